import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { nowMs } from "../src/core/clock.ts";
import { shutDown } from "../src/pooling/shutdown.ts";
import type { LogFields } from "../src/pooling/types.ts";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

const GRACE_MS = 6_000;

beforeEach(() => void vi.useFakeTimers());
let fleet: PoolFleet | undefined;
afterEach(() => {
  fleet?.stop();
  fleet = undefined;
  vi.useRealTimers();
});

/** Stops a host with `openCount` connections; returns what was called when. */
async function recordStop(
  { openCount, closesAtMs = Infinity }: {
    readonly openCount: number;
    readonly closesAtMs?: number;
  },
): Promise<string[]> {
  const calls: string[] = [];
  const startedAt = nowMs();
  const record = (name: string) => () =>
    void calls.push(`${Math.round(nowMs() - startedAt)} ms ${name}`);
  const stopped = shutDown({
    connections: {
      countConnections: () => nowMs() - startedAt < closesAtMs ? openCount : 0,
      countStatements: () => 0,
      countAccepted: () => 0,
      drain: record("drain"),
      endAll: record("endAll"),
      close: record("close"),
    },
    pooler: {
      leave: () => Promise.resolve(record("leave")()),
      isReplacingPrimary: () => false,
      closeAdmission: record("closeAdmission"),
      abortTransactionsWhenIdle: record("abortTransactionsWhenIdle"),
      stop: record("stop"),
    },
    log: {
      info: (event: string, { isDrained }: LogFields) =>
        record(
          `log ${event}${isDrained === undefined ? "" : ` ${isDrained}`}`,
        )(),
      request() {},
    },
  }, { graceMs: GRACE_MS });
  await vi.advanceTimersByTimeAsync(GRACE_MS);
  await stopped;
  return calls;
}

// Guards against connections that are closed while work is still admitted on
// them, or before the work at hand has its answer.
test("a stop closes admission first, then ends execution, then connections", async () => {
  expect(await recordStop({ openCount: 3 })).toMatchSnapshot();
});

test("a stop is over as soon as no connection is open", async () => {
  expect(await recordStop({ openCount: 0 })).toMatchSnapshot();
  expect(await recordStop({ openCount: 3, closesAtMs: 3_200 }))
    .toMatchSnapshot();
});

test("a host whose admission is closed refuses new work at once and finishes the rest", async () => {
  fleet = await startPoolFleet();
  const [pooler] = fleet.poolers;
  const idle = fleet.openSession("orders");
  const transaction = fleet.openSession("orders");
  await run(transaction, "BEGIN");
  await run(transaction, "WRITE a 1", { id: "w" });
  pooler!.closeAdmission();
  const openedLate = pooler!.openSession({
    database: "orders",
    key: "key1",
  } as never);
  expect(openedLate.isErr() && openedLate.error.error).toBe("stopping");
  for (const text of ["READ a", "WRITE a 2", "BEGIN"]) {
    expect(await run(idle, text)).toMatchObject({
      error: "stopping",
      isLast: true,
    });
  }
  expect(getOutcome(await run(transaction, "COMMIT"))).toBe("done");
  expect(fleet.group.acknowledged.has("w")).toBe(true);
});

test("transactions are aborted between statements when a stop ends them", async () => {
  fleet = await startPoolFleet();
  const resting = fleet.openSession("orders");
  await run(resting, "BEGIN");
  const busy = fleet.openSession("orders");
  await run(busy, "BEGIN");
  await run(busy, "WRITE a 1", { id: "w" });
  const replicas = fleet.group.targets.slice(1);
  replicas.forEach(({ faults }) => faults.isReplicationStopped = true);
  const committed = run(busy, "COMMIT");
  fleet.poolers[0]!.abortTransactionsWhenIdle();
  replicas.forEach(({ faults }) => faults.isReplicationStopped = false);
  expect(getOutcome(await committed)).toBe("done");
  expect(await run(resting, "READ a")).toMatchObject({
    error: "aborted",
    detail: "the host is stopping; connect again",
  });
});

// Guards against statements that wait for a target which does not answer while
// the process ends.
test("the end of execution answers all statements at work truthfully", async () => {
  fleet = await startPoolFleet({ maxConnections: 2 });
  const written = fleet.openSession("orders");
  await run(written, "BEGIN");
  await run(written, "WRITE a 1", { id: "w" });
  fleet.group.targets.forEach(({ faults }) => faults.isUnresponsive = true);
  const answers = [
    run(written, "COMMIT"),
    run(fleet.openSession("orders"), "WRITE a 2"),
    run(fleet.openSession("orders"), "WRITE a 3"),
    run(fleet.openSession("reports"), "READ a"),
    run(fleet.openSession("orders"), "READ a"),
  ];
  let answeredCount = 0;
  answers.forEach((answer) => void answer.then(() => answeredCount++));
  await vi.advanceTimersByTimeAsync(20);
  expect(answeredCount).toBe(0);
  fleet.poolers[0]!.stop();
  expect((await Promise.all(answers)).map(getOutcome)).toMatchSnapshot();
});
