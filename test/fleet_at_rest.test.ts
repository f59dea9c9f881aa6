/** Pattern: many hosts and services, few statements at each host. */

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
