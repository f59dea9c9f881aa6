/**
 * Slots at holders, for statements of other hosts. Pattern: more hosts than a
 * target admits connections, and more statements than it has slots.
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  begin,
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

const WORKSPACES = Array.from({ length: 8 }, (_, n) => `w${n + 1}`);
const WORK_MS = 100;

let fleet: PoolFleet;

beforeEach(async () => {
  fleet = await startPoolFleet({
    hosts: 5,
    domains: ["d1", "d1", "d1", "d2", "d2"],
    workspaces: WORKSPACES,
    maxConnections: 20,
    schedulesSlots: true,
    ratePerS: 10_000,
    group: { workMs: WORK_MS },
  });
  // Opens the connection that the statements of a test use.
  await run(fleet.openSession("orders", 3), "WRITE k 0", { id: "warm" });
});

afterEach(() => fleet.stop());

const listRun = () =>
  fleet.group.runs.map(({ id }) => id).filter((id) => id !== "warm");

// The holder ran the statements of clients that had left.
test("a write whose client leaves does not run if it waits at the holder", async () => {
  const [first, second] = [3, 4].map((host) =>
    fleet.openSession("orders", host)
  );
  const answered = run(first!, "WRITE k 1", { id: "first" });
  void second!.execute("second" as never, {
    kind: "run",
    access: "write",
    text: "WRITE k 2",
  });
  await vi.advanceTimersByTimeAsync(WORK_MS / 4);
  second!.close();
  expect(getOutcome(await answered)).toBe("done");
  await vi.advanceTimersByTimeAsync(WORK_MS * 10);
  expect(listRun()).toEqual(["first"]);
});

// The close of a channel ended the connection of a write at work.
test("a write at work is not given up when its client leaves", async () => {
  const session = fleet.openSession("orders", 3);
  const outcomes = begin(session, "WRITE k 1");
  await vi.advanceTimersByTimeAsync(WORK_MS / 2);
  session.close();
  await vi.advanceTimersByTimeAsync(WORK_MS * 4);
  expect(outcomes).toEqual(["done"]);
  expect(listRun()).toHaveLength(1);
});

// A rollback at the end of the session ended the connection of the commit.
test("a commit at work is not given up when its client leaves", async () => {
  const session = fleet.openSession("orders", 3);
  await run(session, "BEGIN");
  await run(session, "WRITE k 1", { id: "first" });
  const replicas = fleet.group.targets.filter(({ role }) => role === "replica");
  replicas.forEach(({ faults }) => faults.isReplicationStopped = true);
  const outcomes = begin(session, "COMMIT");
  await vi.advanceTimersByTimeAsync(WORK_MS / 2);
  session.close();
  await vi.advanceTimersByTimeAsync(WORK_MS / 2);
  replicas.forEach(({ faults }) => faults.isReplicationStopped = false);
  await vi.advanceTimersByTimeAsync(WORK_MS * 4);
  expect(outcomes).toEqual(["done"]);
});

test("a holder runs no more statements at once than its part of the slots", async () => {
  const answers = WORKSPACES.flatMap((workspace) =>
    [0, 1, 2, 3, 4].map((host) =>
      run(fleet.openSession("orders", host, workspace), "WRITE k 1", {
        id: `${workspace}-${host}`,
      })
    )
  );
  const outcomes = await Promise.all(answers);
  const ends = fleet.group.runs.map(({ at }) => at);
  const atOnce = ends.map((end) =>
    ends.filter((other) => other > end - WORK_MS && other <= end).length
  );
  expect(Math.max(...atOnce)).toBeLessThanOrEqual(3);
  // What is refused is refused as not run.
  const refused = outcomes.filter((answer) => getOutcome(answer) !== "done");
  expect(listRun()).toHaveLength(answers.length - refused.length);
});

// A transaction lost its place to new statements while its client thought.
test("a transaction goes on and commits while new statements fill the slots", async () => {
  const session = fleet.openSession("orders", 4);
  await run(session, "BEGIN");
  await run(session, "WRITE k 1", { id: "first" });
  const others = Array.from(
    { length: 40 },
    (_, n) => run(fleet.openSession("orders", n % 5), "WRITE k 2"),
  );
  await vi.advanceTimersByTimeAsync(WORK_MS / 2);
  const startedAt = performance.now();
  expect(getOutcome(await run(session, "WRITE k 3"))).toBe("done");
  expect(getOutcome(await run(session, "COMMIT"))).toBe("done");
  // Each of its two commands waits for one statement at work at the most.
  expect(performance.now() - startedAt).toBeLessThan(WORK_MS * 4);
  await Promise.all(others);
});
