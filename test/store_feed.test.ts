import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import type { PlatformStore } from "../src/core/types.ts";
import { createStoreFeed } from "../src/pooling/store_feed.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { waitForChange } from "../standins/platform_server.ts";
import { createMemoryStore } from "./memory_store.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Watches a kind in which 40 objects change every second, for 10 s. */
async function countWatches(spacingMs: number) {
  const core = createPlatformCore();
  const seen = new Set<string>();
  let watches = 0;
  const store: PlatformStore = {
    ...createMemoryStore(core),
    async watch(prefix, options) {
      watches++;
      const changes = await waitForChange(core, { prefix, ...options });
      return { isOk: () => true, isErr: () => false, value: changes } as never;
    },
  };
  const feed = createStoreFeed(
    { store, log: { info() {}, request() {} }, random: () => 0.5 },
    {
      prefix: "hosts/",
      getSpacingMs: () => spacingMs,
      handlers: {
        onList: (objects) => objects.forEach(({ key }) => seen.add(key)),
        onChange: ({ key }) => void seen.add(key),
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

test("changes in quick succession are told together", async () => {
  expect(await countWatches(0)).toEqual({ seen: 400, watches: 401 });
  const spaced = await countWatches(1_000);
  expect(spaced.seen).toBe(400);
  expect(spaced.watches).toBeLessThanOrEqual(13);
});
