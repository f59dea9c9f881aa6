import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type HostId, type ObjectKey } from "../src/core/ids.ts";
import { createEraStore } from "../src/core/store_era.ts";
import { createFleet, LEDGER_KEY } from "../src/pooling/fleet.ts";
import type { PoolIo } from "../src/pooling/types.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createEraCalls, isExternalKey } from "./era_calls.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Starts fleet views of hosts on one store that can return to a copy. */
function startViews(count: number) {
  const core = createPlatformCore({ versionsAreRevisions: true });
  const views = Array.from({ length: count }, (_, index) => {
    const state = { responseDelayMs: 0 };
    const events: string[] = [];
    const view = createFleet({
      store: createEraStore(createEraCalls(core, {
        isUnreachable: () => false,
        getResponseDelayMs: () => state.responseDelayMs,
      })),
      log: { info: (event: string) => void events.push(event) },
      metrics: { count() {}, add() {} },
      random: () => 0.5,
    } as unknown as PoolIo, {
      self: asId<HostId>(`h${index}`),
      peerAddress: `127.0.0.1:${index}`,
      domain: asId("d1"),
      isStoreLostBy: () => false,
      setAddresses() {},
    });
    return { view, state, events };
  });
  return {
    core,
    views,
    put: (key: ObjectKey, value: unknown) =>
      core.put(key, value, { ifVersion: core.get(key).version }).unwrap(),
    stop: () => views.forEach(({ view }) => view.stop()),
  };
}

// Guards against a revision that was given out again: the object of the era
// that ended had the same or a higher one and stayed in the cache.
test("an object of an older era never passes for the stored one", async () => {
  const { core, views, put, stop } = startViews(1);
  const { view } = views[0]!;
  put(LEDGER_KEY, "restored");
  view.start();
  await vi.advanceTimersByTimeAsync(2_000);
  const copy = core.takeCopy();
  const lost = put(LEDGER_KEY, "lost");
  await vi.advanceTimersByTimeAsync(2_000);
  expect(view.tryGet(LEDGER_KEY)?.value).toBe("lost");
  core.returnTo(copy, { isExternal: isExternalKey });
  await vi.advanceTimersByTimeAsync(2_000);
  expect(view.tryGet(LEDGER_KEY)?.value).toBe("restored");
  const again = put(LEDGER_KEY, "given out again");
  expect(again.version).toBeLessThanOrEqual(lost.version + 1);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(view.tryGet(LEDGER_KEY)?.value).toBe("given out again");
  stop();
});

test("between a rise of the era and the next list nothing cached is used", async () => {
  const { core, views, put, stop } = startViews(1);
  const { view, state } = views[0]!;
  put(LEDGER_KEY, "x");
  view.start();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(view.isLoaded()).toBe(true);
  const copy = core.takeCopy();
  put(LEDGER_KEY, "lost");
  await vi.advanceTimersByTimeAsync(2_000);
  state.responseDelayMs = 1_000;
  core.returnTo(copy, { isExternal: isExternalKey });
  await vi.advanceTimersByTimeAsync(1_500);
  expect(view.isLoaded()).toBe(false);
  expect(view.tryGet(LEDGER_KEY)).toBeUndefined();
  expect(view.countHosts()).toBe(1);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(view.isLoaded()).toBe(true);
  expect(view.tryGet(LEDGER_KEY)?.value).toBe("x");
  stop();
});

// Guards against a host that is missing for a moment: connection limits and
// minimum shares of the others grew by its part.
test("a host whose registration was lost stays a member and registers at once", async () => {
  const { core, views, stop } = startViews(3);
  views[0]!.view.start();
  views[1]!.view.start();
  await vi.advanceTimersByTimeAsync(2_000);
  const copy = core.takeCopy();
  views[2]!.view.start();
  await vi.advanceTimersByTimeAsync(2_000);
  const counts = () => views.map(({ view }) => view.countHosts());
  expect(counts()).toEqual([3, 3, 3]);
  const lowest = [3, 3, 3];
  core.returnTo(copy, { isExternal: isExternalKey });
  expect(core.get(asId("turmericchute-fleet/host.h2")).version).toBe(0);
  for (let ms = 0; ms < 2_000; ms += 10) {
    await vi.advanceTimersByTimeAsync(10);
    counts().forEach((count, index) =>
      lowest[index] = Math.min(lowest[index]!, count)
    );
  }
  expect(lowest).toEqual([3, 3, 3]);
  expect(core.get(asId("turmericchute-fleet/host.h2")).version)
    .toBeGreaterThan(0);
  stop();
});

// Guards against an older record that makes a host a member again.
test("a host that has left is not a member again after a return", async () => {
  const { core, views, stop } = startViews(2);
  views.forEach(({ view }) => view.start());
  await vi.advanceTimersByTimeAsync(2_000);
  const copy = core.takeCopy();
  await views[1]!.view.leave();
  views[1]!.view.stop();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(views[0]!.view.countHosts()).toBe(1);
  core.returnTo(copy, { isExternal: isExternalKey });
  for (let ms = 0; ms < 5_000; ms += 10) {
    await vi.advanceTimersByTimeAsync(10);
    expect(views[0]!.view.countHosts()).toBe(1);
  }
  stop();
});
