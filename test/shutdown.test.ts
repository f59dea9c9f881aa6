import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { nowMs } from "../src/core/clock.ts";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import { type ClientConnections, shutDown } from "../src/pooling/shutdown.ts";
import type {
  LogFields,
  TargetCommand,
  TargetReply,
} from "../src/pooling/types.ts";
import {
  begin,
  getOutcome,
  type PoolFleet,
  type PoolFleetOptions,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

const GRACE_MS = 6_000;

beforeEach(() => void vi.useFakeTimers());
/** Fleets that the tests have started. */
const fleets: PoolFleet[] = [];
let fleet: PoolFleet;
afterEach(() => {
  fleets.splice(0).forEach((started) => started.stop());
  vi.useRealTimers();
});

async function start(options: PoolFleetOptions = {}): Promise<void> {
  fleet = await startPoolFleet(options);
  fleets.push(fleet);
}

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
      countForwardedChannels: () => 0,
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

const SUSPENSIONS = [
  { title: "after the end of execution", ms: 0.4 * GRACE_MS, workMs: 0 },
  { title: "as execution is to end", ms: 0.35 * GRACE_MS, workMs: 0 },
  // Admission has closed late, so a statement may just have been admitted.
  { title: "with work to do", ms: 0.35 * GRACE_MS, workMs: 0.05 * GRACE_MS },
];

// Guards against a process that was suspended until the end of execution: its
// timers run first, and the results that targets had sent meanwhile were lost.
test.each(SUSPENSIONS)(
  "results that have come during a suspension are read before execution ends: $title",
  async ({ ms, workMs }) => {
    let statements = 3;
    let atEnd: number | undefined;
    const stopped = shutDown({
      connections: {
        countConnections: () => 1,
        countStatements: () => statements,
        countAccepted: () => 0,
        drain() {},
        endAll: () => void (atEnd ??= statements),
        close() {},
      },
      pooler: {
        leave: () => Promise.resolve(),
        isReplacingPrimary: () => false,
        countForwardedChannels: () => 0,
        closeAdmission() {
          // Only timers run in this time, as after a suspension.
          vi.advanceTimersByTime(ms);
          setTimeout(() => statements = 0, workMs);
        },
        abortTransactionsWhenIdle() {},
        stop() {},
      },
      log: { info() {}, request() {} },
    }, { graceMs: GRACE_MS });
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    expect(atEnd).toBe(0);
  },
);

test("a host whose admission is closed refuses new work at once and finishes the rest", async () => {
  await start();
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
  await start();
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
  await start({ maxConnections: 2 });
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

/** Starts the stop of a host; the list gets an entry once it is over. */
function beginStop(
  host: number,
  countConnections: () => number,
): string[] {
  const ends: string[] = [];
  const connections: ClientConnections = {
    countConnections,
    countStatements: countConnections,
    countAccepted: () => 0,
    drain() {},
    endAll() {},
    close() {},
  };
  void shutDown({
    connections,
    pooler: fleet.poolers[host]!,
    log: { info() {}, request() {} },
  }, { graceMs: GRACE_MS }).then(() => ends.push("over"));
  return ends;
}

// Guards against statements that wait for quota when execution ends: they were
// admitted, and the process ended without an answer to them.
test("a statement that waits for quota at the end of execution gets its answer", async () => {
  await start();
  const slow = {
    database: "slow",
    service: "ledger",
    consistency: { kind: "primary" },
    statementTimeoutMs: 20_000,
    objectiveMs: 20_000,
    priority: 1,
    isPublic: false,
  };
  fleet.setCatalog({
    routes: new Map([["slow", slow]]),
    quotas: new Map([["w1", { ratePerS: 0.17, burst: 5 }]]),
  } as never);
  await vi.advanceTimersByTimeAsync(100);
  // The last one waits for a token that comes 5.9 s later.
  const waiting = Array.from(
    { length: 6 },
    () => begin(fleet.openSession("slow"), "READ a"),
  );
  await vi.advanceTimersByTimeAsync(100);
  expect(waiting.filter((outcomes) => outcomes.length === 0)).toHaveLength(1);
  const ends = beginStop(
    0,
    () => waiting.filter((outcomes) => outcomes.length === 0).length,
  );
  while (ends.length === 0) {
    await vi.advanceTimersByTimeAsync(10);
  }
  expect(waiting.flat().sort()).toEqual([
    ...Array(5).fill("done"),
    "stopping",
  ]);
});

// Guards against a stop that counts connections of clients only: the process
// ended in the middle of a failover, whose replicas stayed paused until other
// hosts gave up on its lease.
test("a stop with time left ends after the failover that its host performs", async () => {
  await start();
  fleet.delayedPromotions.minDelayMs = 2_000;
  fleet.getTarget("t1").faults.isUnresponsive = true;
  while (!fleet.logLines.some(({ event }) => event === "failover_started")) {
    await vi.advanceTimersByTimeAsync(10);
  }
  const ends = beginStop(0, () => 0);
  while (ends.length === 0) {
    await vi.advanceTimersByTimeAsync(10);
  }
  const lease = fleet.store.get(
    asId<ObjectKey>("turmericchute-fleet/duty.ledger"),
  );
  expect(lease.value).toMatchObject({ holder: "h0", isDone: true });
});

// Guards against hosts that divide the connections of a leaving host among
// themselves while it still uses them: targets refused connections.
test("hosts do not use the connections of a leaving host before it has stopped", async () => {
  await start({ hosts: 2, maxConnections: 8, group: { maxConnections: 8 } });
  async function openTransactions(host: number): Promise<void> {
    for (let i = 0; i < 4; i++) {
      const session = fleet.openSession("orders", host);
      await run(session, "BEGIN");
      await run(session, "READ a");
    }
  }
  await openTransactions(0);
  await openTransactions(1);
  const listRefusals = () =>
    fleet.logLines.filter(({ event, fields }) =>
      event === "target_dial_failed" && fields.code === "too_many_connections"
    );
  expect(listRefusals()).toEqual([]);
  await fleet.poolers[1]!.leave();
  await vi.advanceTimersByTimeAsync(500);
  await run(fleet.openSession("orders", 0), "READ a");
  expect(listRefusals()).toEqual([]);
});

// Guards against a host that announces once that it is leaving: peers counted it
// for 45 s after its end when that call met a heartbeat or a failing store.
test("a host announces that it is leaving until the store accepts it", async () => {
  await start({ hosts: 2 });
  fleet.hostsWithoutStore.add("h0");
  const ends = beginStop(0, () => 1);
  await vi.advanceTimersByTimeAsync(200);
  fleet.hostsWithoutStore.delete("h0");
  while (ends.length === 0) {
    await vi.advanceTimersByTimeAsync(10);
  }
  expect(
    fleet.store.get(asId<ObjectKey>("turmericchute-fleet/host.h0")).value,
  ).toMatchObject({ beat: -1 });
});

// Guards against a commit in the pause before it is sent again when execution
// ends: the target had refused it, but the client was told that it may have run.
test("a commit that the target refused before the end of execution is aborted", async () => {
  await start();
  const { connect } = fleet.group;
  const commits: TargetCommand[] = [];
  vi.spyOn(fleet.group, "connect").mockImplementation((id, workspace) =>
    connect(id, workspace).map((link) => ({
      ...link,
      send(command: TargetCommand) {
        if (command.kind !== "commit" || !link.isOpen()) {
          return link.send(command);
        }
        commits.push(command);
        return Promise.resolve<TargetReply>({
          kind: "error",
          code: "busy",
          detail: "busy",
          state: "open",
          position: undefined,
        });
      },
    }))
  );
  // Connections that were opened before answer without the refusal.
  fleet.register("t1", { incarnation: 2 });
  await vi.advanceTimersByTimeAsync(100);
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE a 1");
  const outcomes = begin(session, "COMMIT");
  await vi.advanceTimersByTimeAsync(1);
  expect(commits).toHaveLength(1);
  fleet.poolers[0]!.stop();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(commits).toHaveLength(1);
  expect(outcomes).toEqual(["aborted"]);
});

// Guards against a session that is closed between two statements while its
// client still reads an answer: the commit that followed was malformed, which
// promises nothing, although the transaction was rolled back.
test("a commit after the end of execution is aborted", async () => {
  await start();
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE a 1");
  fleet.poolers[0]!.stop();
  expect(getOutcome(await run(session, "COMMIT"))).toBe("aborted");
});
