/**
 * Patterns: hosts that end, are cut off or replaced; leases on parts of a quota
 * whose holder and peers each know other hosts.
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { FULL_SHARE } from "../src/pooling/share_ledger.ts";
import { createShareHosts } from "./share_hosts.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

type ShareHost = ReturnType<
  ReturnType<typeof createShareHosts>["createHost"]
>;

/** Advances the time and returns the highest sum of the shares in use. */
async function getHighestSum(
  hosts: readonly ShareHost[],
  ms: number,
): Promise<number> {
  let highest = 0;
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
    await vi.advanceTimersByTimeAsync(50);
    const sum = hosts.reduce((total, { state }) => total + state.share, 0);
    highest = Math.max(highest, sum);
  }
  return highest;
}

// Guards against a part that an isolated host keeps by the number of hosts that
// it knows, while its peers, who know more, leave it less.
test("an isolated host uses no more than peers that have joined since leave it", async () => {
  const { createHost } = createShareHosts(() => 0.5);
  const isolated = createHost(0);
  isolated.state.demand = FULL_SHARE;
  isolated.start();
  await vi.advanceTimersByTimeAsync(10_000);
  expect(isolated.state.share).toBe(FULL_SHARE);
  isolated.state.isUnreachable = true;
  const joined = [1, 2, 3, 4, 5, 6].map(createHost);
  joined.forEach((host) => {
    host.state.demand = FULL_SHARE;
    host.start();
  });
  expect(await getHighestSum([isolated, ...joined], 120_000))
    .toBeLessThanOrEqual(FULL_SHARE);
  const taken = joined.reduce((sum, { state }) => sum + state.share, 0);
  expect(taken).toBeGreaterThan(FULL_SHARE / 2);
  [isolated, ...joined].forEach((host) => host.stop());
});

// Guards against shares that fall to the minimum on all hosts though none of
// them can reclaim any.
test("hosts that the store does not answer at all keep their shares for a while", async () => {
  const { createHost } = createShareHosts(() => 0.5);
  const hosts = [0, 1, 2].map(createHost);
  hosts.forEach((host) => host.start());
  await vi.advanceTimersByTimeAsync(10_000);
  const before = hosts.map(({ state }) => state.share);
  hosts.forEach(({ state }) => state.isUnreachable = true);
  await vi.advanceTimersByTimeAsync(25_000);
  expect(hosts.map(({ state }) => state.share)).toEqual(before);
  await vi.advanceTimersByTimeAsync(15_000);
  expect(hosts.every(({ state }, index) => state.share < before[index]!))
    .toBe(true);
  hosts.forEach((host) => host.stop());
});

const STEPS = 300;
const STEP_MS = 250;
const MAX_HOSTS = 8;

// Guards against shares that two hosts use: one that is cut off, or believes
// that no host reaches the store, and the one that has reclaimed them.
test.each([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])(
  "the shares in use never exceed the quota, whatever hosts reach, seed %i",
  async (seed) => {
    const rng = xoroshiro128plus(seed);
    const drawBelow = (limit: number) => (rng.next() >>> 0) % limit;
    const { createHost } = createShareHosts(() => drawBelow(1_000) / 1e3);
    const hosts = [0, 1, 2].map(createHost);
    const running = new Set(hosts);
    hosts.forEach((host) => host.start());
    const exceeded: { readonly step: number; readonly sum: number }[] = [];

    function setFor(
      key: "isUnreachable" | "isCutOff",
      disrupted: readonly ShareHost[],
    ): void {
      disrupted.forEach(({ state }) => state[key] = true);
      setTimeout(
        () => disrupted.forEach(({ state }) => state[key] = false),
        500 + drawBelow(30_000),
      );
    }

    function disrupt(): void {
      const listed = [...running];
      const host = listed[drawBelow(listed.length)]!;
      switch (drawBelow(8)) {
        case 0:
        case 1:
          host.state.demand = drawBelow(FULL_SHARE);
          return;
        case 2:
          return setFor("isUnreachable", [host]);
        case 3:
          return setFor("isUnreachable", listed);
        case 4:
          setFor("isCutOff", [host]);
          return setFor("isUnreachable", [host]);
        case 5:
          return setFor("isUnreachable", listed.slice(1));
        case 6:
          if (hosts.length < MAX_HOSTS) {
            const joined = createHost(hosts.length);
            joined.state.demand = drawBelow(FULL_SHARE);
            hosts.push(joined);
            running.add(joined);
            joined.start();
          }
          return;
        default:
          if (running.size > 1) {
            running.delete(host);
            host.stop();
          }
      }
    }

    for (let step = 0; step < STEPS; step++) {
      if (drawBelow(6) === 0) {
        disrupt();
      }
      for (let ms = 0; ms < STEP_MS; ms += 50) {
        await vi.advanceTimersByTimeAsync(50);
        const sum = [...running].reduce((n, { state }) => n + state.share, 0);
        if (sum > FULL_SHARE) {
          exceeded.push({ step, sum });
        }
      }
    }
    expect(exceeded.slice(0, 3)).toEqual([]);
    hosts.forEach((host) => running.has(host) && host.stop());
  },
);

// Guards against shares that stay with hosts which were replaced as planned.
test("a fleet that was replaced host by host has the whole quota", async () => {
  const { createHost } = createShareHosts(() => 0.5);
  const old = [0, 1, 2].map(createHost);
  old.forEach((host) => host.start());
  await vi.advanceTimersByTimeAsync(10_000);
  const replacements: ShareHost[] = [];
  for (const [index, host] of old.entries()) {
    const replacement = createHost(10 + index);
    replacement.state.demand = FULL_SHARE / 3;
    replacement.start();
    replacements.push(replacement);
    await host.leave();
    host.stop();
    await vi.advanceTimersByTimeAsync(5_000);
  }
  await vi.advanceTimersByTimeAsync(60_000);
  const sum = replacements.reduce((total, { state }) => total + state.share, 0);
  expect(sum).toBeGreaterThan(0.95 * FULL_SHARE);
  replacements.forEach((host) => host.stop());
});
