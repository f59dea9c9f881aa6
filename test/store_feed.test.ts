import { Err } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import type { PlatformStore } from "../src/core/types.ts";
import { createStoreFeed } from "../src/pooling/store_feed.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { waitForChange } from "../standins/platform_server.ts";
import { createMemoryStore } from "./memory_store.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Counts the watches of a feed while 40 objects a second change, for 10 s. */
async function countWatches(minIntervalMs: number) {
  const core = createPlatformCore();
  const seen = new Set<string>();
  let watches = 0;
  const store: PlatformStore = {
    ...createMemoryStore(core),
    async watch(prefix, options) {
      watches++;
      return await waitForChange(core, { prefix, ...options });
    },
  };
  const feed = createStoreFeed(
    { store, log: { info() {}, request() {} }, random: () => 0.5 },
    {
      prefix: "hosts/",
      getMinWatchIntervalMs: () => minIntervalMs,
      handlers: {
        onList: (objects) => objects.forEach(({ key }) => seen.add(key)),
        onChanges: (objects) => objects.forEach(({ key }) => seen.add(key)),
      },
    },
  );
  feed.start();
  for (let n = 0; n < 400; n++) {
    await vi.advanceTimersByTimeAsync(25);
    core.put(asId<ObjectKey>(`hosts/${n}`), n, { ifVersion: 0 }).unwrap();
  }
  await vi.advanceTimersByTimeAsync(2_000);
  feed.stop();
  return { seen: seen.size, watches };
}

test("changes in quick succession are delivered together", async () => {
  expect(await countWatches(0)).toEqual({ seen: 400, watches: 401 });
  const limited = await countWatches(1_000);
  expect(limited.seen).toBe(400);
  expect(limited.watches).toBeLessThanOrEqual(13);
});

test("recovery of the store is detected soon, although nothing changes", async () => {
  const core = createPlatformCore();
  const state = { isDown: false };
  const failAfter = (ms: number) =>
    new Promise<never>((resolve) =>
      setTimeout(
        () => resolve(Err({ kind: "unreachable" }) as never),
        ms,
      )
    );
  const store: PlatformStore = {
    ...createMemoryStore(core),
    // A call to an unresponsive store fails 1.5 s after its wait time.
    async watch(prefix, options) {
      return state.isDown
        ? await failAfter(options.waitMs + 1_500)
        : await waitForChange(core, { prefix, ...options });
    },
  };
  let reconnectedAt: number | undefined;
  const feed = createStoreFeed(
    { store, log: { info() {}, request() {} }, random: () => 0.5 },
    {
      prefix: "hosts/",
      handlers: {
        onList() {},
        onChanges() {},
        onReconnected: () => void (reconnectedAt = performance.now()),
      },
    },
  );
  feed.start();
  await vi.advanceTimersByTimeAsync(1_000);
  state.isDown = true;
  await vi.advanceTimersByTimeAsync(9_000);
  expect(feed.isUnreachable()).toBe(true);
  const recoveredAt = performance.now();
  state.isDown = false;
  await vi.advanceTimersByTimeAsync(10_000);
  // Allows for a call still pending from the outage and the delay of its retry.
  expect(reconnectedAt! - recoveredAt).toBeLessThan(1_500 + 1_200);
  feed.stop();
});
