import { afterEach, expect, test, vi } from "vitest";
import {
  begin,
  getOutcome,
  type PoolFleet,
  type PoolFleetOptions,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

let fleet: PoolFleet;
afterEach(() => fleet.stop());

async function start(group: PoolFleetOptions["group"] = {}): Promise<void> {
  fleet = await startPoolFleet({ group });
}

/** Stops or resumes the replication that writes and commits wait for. */
function setReplication(isStopped: boolean): void {
  for (const id of ["t2", "t3"]) {
    fleet.getTarget(id).faults.isReplicationStopped = isStopped;
  }
}

const STATEMENT_MS = 100;

// The lapse of the registration broke the connection off, and the write was
// answered as in doubt although the target ran it and answered.
test("a write at work is acknowledged although the registration of its target lapses", async () => {
  await start({ workMs: STATEMENT_MS });
  const outcomes = begin(fleet.openSession("orders"), "WRITE a 1");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS / 2);
  fleet.deregister("t1");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  expect(outcomes).toEqual(["done"]);
  expect(fleet.group.acknowledged).toContain("r1");
});

test("a commit at work is acknowledged although the registration of its target lapses", async () => {
  await start();
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE a 1");
  setReplication(true);
  const outcomes = begin(session, "COMMIT");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  fleet.deregister("t1");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  expect(outcomes).toEqual([]);
  setReplication(false);
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  expect(outcomes).toEqual(["done"]);
});

test("an open transaction commits although the registration of its target lapses", async () => {
  await start();
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE a 1");
  fleet.deregister("t1");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  expect(getOutcome(await run(session, "COMMIT"))).toBe("done");
});

test("a target whose registration lapsed gets no new statement and keeps no connection", async () => {
  await start({ workMs: STATEMENT_MS });
  // Otherwise the statement may be served by the next primary.
  fleet.delayedPromotions.minDelayMs = 10_000;
  const outcomes = begin(fleet.openSession("orders"), "WRITE a 1");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS / 2);
  fleet.deregister("t1");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS / 2);
  const other = fleet.openSession("orders");
  expect(getOutcome(await run(other, "WRITE a 2"))).not.toBe("done");
  expect(outcomes).toHaveLength(1);
  expect(fleet.getTarget("t1").connections).toBe(0);
  expect(
    fleet.group.runs.filter(({ text }) => text === "WRITE a 2"),
  ).toEqual([]);
});

test("a connection to an earlier process of a target is closed when the new one is used", async () => {
  await start();
  setReplication(true);
  const outcomes = begin(fleet.openSession("orders"), "WRITE a 1");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  expect(outcomes).toEqual([]);
  fleet.register("t1", { incarnation: 2 });
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  await run(fleet.openSession("accounts"), "READ a");
  expect(outcomes).toEqual(["in_doubt"]);
});

// The commit was answered as in doubt, although it was never sent.
test("a commit is aborted if the connection was lost before it", async () => {
  await start();
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE a 1");
  fleet.register("t1", { incarnation: 2 });
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  await run(fleet.openSession("accounts"), "READ a");
  expect(getOutcome(await run(session, "COMMIT"))).toBe("aborted");
  expect(fleet.getTarget("t1").log).toEqual([]);
});

test("a read moves on from a silent target whose registration lapses", async () => {
  await start();
  const session = fleet.openSession("reports");
  await run(session, "READ a");
  const { target } = fleet.group.runs.at(-1)!;
  fleet.getTarget(target).faults.isUnresponsive = true;
  const outcomes = begin(session, "READ b");
  await vi.advanceTimersByTimeAsync(STATEMENT_MS);
  fleet.deregister(target);
  await vi.advanceTimersByTimeAsync(400);
  expect(outcomes).toEqual(["done"]);
});
