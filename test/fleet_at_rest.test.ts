/**
 * Patterns: many hosts and services, few statements at each host; timer
 * coalescing, so that an idle host seldom wakes up; batched membership updates,
 * so that a start is not quadratic in the number of hosts.
 */

import { afterEach, expect, test, vi } from "vitest";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

let fleet: PoolFleet;
afterEach(() => fleet.stop());

function countPositionRequests(): number {
  return fleet.counters.get("peer_messages ask_floor") ?? 0;
}

test("hosts that serve no reads of a service do not ask for its position", async () => {
  fleet = await startPoolFleet({ hosts: 8 });
  const before = countPositionRequests();
  await vi.advanceTimersByTimeAsync(10_000);
  expect(countPositionRequests()).toBe(before);
});

test("the first read after a rest asks for the position and needs no transaction", async () => {
  fleet = await startPoolFleet({ hosts: 8 });
  await vi.advanceTimersByTimeAsync(10_000);
  for (const [host] of fleet.poolers.entries()) {
    const session = fleet.openSession("reports", host);
    const answer = await run(session, "READ k", { id: `first${host}` });
    expect(getOutcome(answer)).toBe("done");
    const ran = fleet.group.runs.find(({ id }) => id === `first${host}`);
    expect(ran?.isInTransaction).toBe(false);
  }
});

test("a host that serves reads keeps the position fresh", async () => {
  fleet = await startPoolFleet({ hosts: 8 });
  const session = fleet.openSession("reports", 3);
  await run(session, "READ k");
  const before = countPositionRequests();
  await vi.advanceTimersByTimeAsync(3_000);
  expect(countPositionRequests()).toBeGreaterThan(before);
});

test("the periodic checks of a host share their timers", async () => {
  // With more workspaces than connections, the new host forwards its probes.
  fleet = await startPoolFleet({
    hosts: 12,
    workspaces: ["w1", "w2", "w3", "w4"],
  });
  const startTimer = globalThis.setInterval;
  let wakeupCount = 0;
  const spy = vi.spyOn(globalThis, "setInterval").mockImplementation(
    (callback, ms) =>
      startTimer(() => {
        wakeupCount++;
        callback();
      }, ms),
  );
  const openedBefore = fleet.network.openedCount;
  fleet.startHost();
  await vi.advanceTimersByTimeAsync(10_000);
  spy.mockRestore();
  expect(fleet.network.openedCount).toBeGreaterThan(openedBefore);
  wakeupCount = 0;
  const seconds = 10;
  await vi.advanceTimersByTimeAsync(seconds * 1_000);
  // One timer of the failover monitor and one for all other checks.
  expect(wakeupCount / seconds).toBeLessThanOrEqual(2 * 10);
});

test("a host that joins a fleet takes over the list of hosts in one step", async () => {
  const hosts = 24;
  fleet = await startPoolFleet({ hosts });
  fleet.startHost();
  await vi.advanceTimersByTimeAsync(500);
  // After the list, after its own registration, and after one watch.
  expect(fleet.counters.get(`address_lists h${hosts}`)).toBeLessThanOrEqual(3);
});

const DOMAINS = ["d1", "d2"];

/** Two failure domains of 8 hosts, each of which serves reads. */
async function startRelayedFleet() {
  fleet = await startPoolFleet({
    hosts: 16,
    domains: Array.from({ length: 16 }, (_, index) => DOMAINS[index % 2]!),
  });
  return fleet.poolers.map((_, host) => fleet.openSession("reports", host));
}

async function readAtAllHosts(
  sessions: Awaited<ReturnType<typeof startRelayedFleet>>,
): Promise<string[]> {
  return (await Promise.all(
    sessions.map((session) => run(session, "READ k")),
  )).map(getOutcome);
}

// Load: every host reads every service. Guards against one request for each
// host, service and interval to the polling hosts, most of them in other
// regions.
test("the hosts of a large domain request positions from one of them", async () => {
  const sessions = await startRelayedFleet();
  await readAtAllHosts(sessions);
  await vi.advanceTimersByTimeAsync(1_000);
  const before = countPositionRequests();
  const relayedBefore = fleet.counters.get("peer_messages ask_floors") ?? 0;
  for (let second = 0; second < 4; second++) {
    await readAtAllHosts(sessions);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  // Two relays refresh every 300 ms; 14 hosts request from them.
  expect(countPositionRequests() - before).toBeLessThan(2 * 4_000 / 300 * 2);
  expect(fleet.counters.get("peer_messages ask_floors") ?? 0)
    .toBeGreaterThan(relayedBefore);
});

// Failure: the relay of a domain answers nobody. Guards against reads that
// lose their floor, and go to the primary, while the polling hosts answer.
test("without its relay a domain requests positions from polling hosts", async () => {
  const sessions = await startRelayedFleet();
  await readAtAllHosts(sessions);
  fleet.messageFaults.isLost = (_from, _to, { kind }) => kind === "tell_floors";
  await vi.advanceTimersByTimeAsync(2_000);
  const runsBefore = fleet.group.runs.length;
  const outcomes: string[] = [];
  for (let n = 0; n < 10; n++) {
    outcomes.push(...await readAtAllHosts(sessions));
    await vi.advanceTimersByTimeAsync(300);
  }
  expect(new Set(outcomes)).toEqual(new Set(["done"]));
  const inTransaction = fleet.group.runs.slice(runsBefore)
    .filter(({ isInTransaction }) => isInTransaction);
  expect(inTransaction).toEqual([]);
});
