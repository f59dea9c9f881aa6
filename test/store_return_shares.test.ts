import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { LEDGER_KEY } from "../src/pooling/fleet.ts";
import { FULL_SHARE } from "../src/pooling/share_ledger.ts";
import { isExternalKey } from "./era_calls.ts";
import { createShareHosts } from "./share_hosts.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Starts three hosts of which the first one uses nearly the whole quota. */
async function startHosts() {
  const { core, createHost } = createShareHosts(() => 0.5);
  const hosts = [0, 1, 2].map(createHost);
  hosts.forEach((host) => host.start());
  hosts[0]!.state.demand = FULL_SHARE;
  await vi.advanceTimersByTimeAsync(40_000);
  return { core, createHost, hosts };
}

type Hosts = Awaited<ReturnType<typeof startHosts>>["hosts"];

function sumShares(hosts: Hosts): number {
  return hosts.reduce((sum, { state }) => sum + state.share, 0);
}

/** Advances the time and returns the highest sum of the shares in use. */
async function getHighestSum(hosts: Hosts, ms: number): Promise<number> {
  let highest = sumShares(hosts);
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
    await vi.advanceTimersByTimeAsync(50);
    highest = Math.max(highest, sumShares(hosts));
  }
  return highest;
}

// Guards against a share that both ledgers grant: to one host in the restored
// one, to another that has not read it in the lost one.
test("a share that has moved is not used twice after a return", async () => {
  const { core, hosts } = await startHosts();
  const [first, second] = hosts as [Hosts[0], Hosts[0]];
  const before = first!.state.share;
  expect(before).toBeGreaterThan(FULL_SHARE / 2);
  const copy = core.takeCopy();
  first!.state.demand = 0;
  second!.state.demand = FULL_SHARE;
  await vi.advanceTimersByTimeAsync(25_000);
  expect(second!.state.share).toBeGreaterThan(FULL_SHARE / 2);
  second!.state.isUnreachable = true;
  first!.state.demand = FULL_SHARE;
  core.returnTo(copy, { isExternal: isExternalKey });
  expect(await getHighestSum(hosts, 60_000)).toBeLessThanOrEqual(FULL_SHARE);
  // The whole quota is in use again once no host can use the lost ledger.
  second!.state.isUnreachable = false;
  second!.state.demand = 0;
  await vi.advanceTimersByTimeAsync(60_000);
  expect(first!.state.share).toBeGreaterThan(FULL_SHARE / 2);
  hosts.forEach((host) => host.stop());
});

// Guards against a new ledger beside the lost one, whose shares are in use.
test("a ledger that the store has lost is written back", async () => {
  const { core, createHost } = createShareHosts(() => 0.5);
  const empty = core.takeCopy();
  const hosts = [0, 1, 2].map(createHost);
  hosts.forEach((host) => host.start());
  hosts[0]!.state.demand = FULL_SHARE;
  await vi.advanceTimersByTimeAsync(40_000);
  const { shares } = core.get(LEDGER_KEY).value as { shares: unknown };
  hosts[1]!.state.isUnreachable = true;
  core.returnTo(empty, { isExternal: isExternalKey });
  const highest = await getHighestSum(hosts, 2_000);
  expect(core.get(LEDGER_KEY).value).toMatchObject({ shares });
  expect(hosts.map((host) => host.shares.isReady()))
    .toEqual([true, true, true]);
  expect(Math.max(highest, await getHighestSum(hosts, 60_000)))
    .toBeLessThanOrEqual(FULL_SHARE);
  hosts.forEach((host) => host.stop());
});

// Guards against a share that looks free in the restored ledger.
test("a host that starts after a return takes no share that may be in use", async () => {
  const { core, createHost, hosts } = await startHosts();
  hosts[0]!.state.demand = 0;
  await vi.advanceTimersByTimeAsync(60_000);
  const copy = core.takeCopy();
  hosts[1]!.state.demand = FULL_SHARE;
  await vi.advanceTimersByTimeAsync(25_000);
  hosts[1]!.state.isUnreachable = true;
  core.returnTo(copy, { isExternal: isExternalKey });
  const started = createHost(3);
  started.state.demand = FULL_SHARE;
  started.start();
  await vi.advanceTimersByTimeAsync(3_000);
  expect(started.shares.isReady()).toBe(true);
  expect(await getHighestSum([...hosts, started], 60_000))
    .toBeLessThanOrEqual(FULL_SHARE);
  [...hosts, started].forEach((host) => host.stop());
});
