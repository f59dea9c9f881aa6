/**
 * Patterns: hosts that end, are cut off or replaced; leases on parts of a quota
 * whose holder and peers each know other hosts.
 */

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
