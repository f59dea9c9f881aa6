/**
 * Failures of a copy of the store that answers for many hosts: a call for each
 * host, a history that grows without a bound, and old news given out as new.
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { sleep } from "../src/core/clock.ts";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import type { EraCalls } from "../src/core/store_era.ts";
import {
  type CachedRes,
  createWatchCache,
  MAX_READER_AGE_MS,
} from "../src/pooling/watch_cache.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createEraCalls } from "./era_calls.ts";

const LOG = { info() {}, request() {} };

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function startCache(wrap: (calls: EraCalls) => EraCalls["watch"]) {
  const core = createPlatformCore({ versionsAreRevisions: true });
  const state = { calls: 0, isDown: false };
  const calls = createEraCalls(core, {
    isUnreachable: () => state.isDown,
    getResponseDelayMs: () => 0,
  });
  const watchStore = wrap(calls);
  const cache = createWatchCache({ log: LOG }, {
    prefix: "p/",
    mayBeLate: false,
    getMinWatchIntervalMs: () => 100,
    watchStore(...args) {
      state.calls++;
      return watchStore(...args);
    },
    onRenewed() {},
  });
  const put = (name: string) => {
    const key = asId<ObjectKey>(`p/${name}`);
    core.put(key, name, { ifVersion: core.get(key).version }).unwrap();
  };
  return { core, state, cache, put };
}

function listKeys(res: CachedRes): readonly string[] {
  return res.result.unwrap().objects.map(({ key }) => key);
}

test("one call to the store answers all hosts, whatever revision they have", async () => {
  const { state, cache, put } = startCache((calls) => calls.watch);
  ["a", "b", "c", "d"].forEach(put);
  const answers = Promise.all(
    [3, 3, 1, 2, 1, 4].map((after) =>
      cache.watch({ after, waitMs: 1_000, era: 1 })
    ),
  );
  await vi.advanceTimersByTimeAsync(10);
  // One from the first revision, one from the oldest of the others.
  expect(state.calls).toBeLessThanOrEqual(3);
  put("e");
  await vi.advanceTimersByTimeAsync(1_000);
  const keys = (await answers).map(listKeys);
  expect(keys[0]).toContain("p/d");
  expect(keys[2]).toEqual(expect.arrayContaining(["p/b", "p/c", "p/d"]));
  expect(keys[5]).toEqual(["p/e"]);
  cache.stop();
});

test("more changes than the history holds are reported as gone, not left out", async () => {
  const { cache, put } = startCache((calls) => calls.watch);
  for (let n = 0; n < 5_000; n++) {
    put(`k${n}`);
  }
  const answer = cache.watch({ after: 1, waitMs: 0, era: 1 });
  await vi.advanceTimersByTimeAsync(2_000);
  const { result } = await answer;
  expect(result.isErr() && result.error.kind).toBe("history_gone");
  cache.stop();
});

test("an era that rose ends the history, and is told", async () => {
  const { core, cache, put } = startCache((calls) => calls.watch);
  put("a");
  const copy = core.takeCopy();
  put("b");
  const waiting = cache.watch({ after: 2, waitMs: 10_000, era: 1 });
  await vi.advanceTimersByTimeAsync(10);
  core.returnTo(copy, { isExternal: () => false });
  await vi.advanceTimersByTimeAsync(3_000);
  expect((await waiting).era).toBe(2);
  expect((await waiting).result.isErr()).toBe(true);
  // A host that still has a revision of the older era gets no changes.
  const older = await cache.watch({ after: 1, waitMs: 0, era: 1 });
  expect(older.era).toBe(2);
  expect(older.result.isErr()).toBe(true);
  cache.stop();
});

test("a host that has seen a newer era is not answered from the older one", async () => {
  const { core, cache, put } = startCache((calls) => calls.watch);
  put("a");
  await cache.watch({ after: 0, waitMs: 0, era: 1 });
  core.returnTo(core.takeCopy(), { isExternal: () => false });
  put("b");
  const res = await cache.watch({ after: 1, waitMs: 0, era: 2 });
  expect(res.era).toBe(2);
  expect(listKeys(res)).toEqual(["p/b"]);
  cache.stop();
});

test("an answer that this process read too late does not renew the age", async () => {
  let holdMs = 0;
  const { cache, put } = startCache((calls) => async (...args) => {
    const res = await calls.watch(...args);
    if (holdMs > 0) {
      await sleep(holdMs);
    }
    return res;
  });
  put("a");
  const first = await cache.watch({ after: 0, waitMs: 0, era: 1 });
  expect(first.ageMs).toBe(0);
  holdMs = 5_000;
  await vi.advanceTimersByTimeAsync(20_000);
  expect(cache.tryGetAgeMs()).toBeGreaterThan(MAX_READER_AGE_MS);
  cache.stop();
});

test("a store that fails answers no host from the copy", async () => {
  const { state, cache, put } = startCache((calls) => calls.watch);
  put("a");
  await cache.watch({ after: 0, waitMs: 0, era: 1 });
  state.isDown = true;
  await vi.advanceTimersByTimeAsync(3_000);
  const answer = cache.watch({ after: 0, waitMs: 0, era: 1 });
  await vi.advanceTimersByTimeAsync(3_000);
  const res = await answer;
  expect(res.result.unwrapErr().kind).toBe("unreachable");
  expect(res.ageMs).toBeUndefined();
  cache.stop();
});

test("a cache that nobody asks does not call the store", async () => {
  const { state, cache } = startCache((calls) => calls.watch);
  await vi.advanceTimersByTimeAsync(0);
  void cache.watch({ after: 0, waitMs: 0, era: 1 });
  await vi.advanceTimersByTimeAsync(30_000);
  const before = state.calls;
  await vi.advanceTimersByTimeAsync(30_000);
  expect(state.calls).toBe(before);
  cache.stop();
});

test("an older answer that arrives last does not replace newer changes", async () => {
  let heldMs = 0;
  const { cache, put } = startCache((calls) => async (prefix, watch) => {
    const res = await calls.watch(prefix, watch);
    if (watch.waitMs > 0 && heldMs > 0) {
      await sleep(heldMs);
    }
    return res;
  });
  put("a");
  const ask = (after: number) => cache.watch({ after, waitMs: 0, era: 1 });
  void ask(1);
  await vi.advanceTimersByTimeAsync(150);
  heldMs = 300;
  // The watch that waits is answered with this state, which is held back.
  put("a");
  await vi.advanceTimersByTimeAsync(100);
  put("a");
  // This host's revision is older than the history, so it is read at once.
  const answer = ask(0);
  await vi.advanceTimersByTimeAsync(10);
  const early = await answer;
  expect(early.result.unwrap().objects[0]?.version).toBe(3);
  await vi.advanceTimersByTimeAsync(500);
  const late = await ask(1);
  expect(late.result.unwrap().objects[0]?.version).toBe(3);
  cache.stop();
});
