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
