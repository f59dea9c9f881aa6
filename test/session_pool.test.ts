import { afterEach, expect, test, vi } from "vitest";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

let fleet: PoolFleet;
afterEach(() => fleet.stop());

test("a write is read back by its session and by others", async () => {
  fleet = await startPoolFleet({ group: { lagMs: 80 } });
  const session = fleet.openSession("accounts");
  expect(getOutcome(await run(session, "WRITE a 1", { id: "w" }))).toBe("done");
  const { targets, runs } = fleet.group;
  expect(targets[0]!.log.map((entry) => entry.ids)).toEqual([["w"]]);
  expect(getOutcome(await run(session, "READ a", { id: "r" }))).toBe("done");
  const read = runs.find(({ id }) => id === "r")!;
  expect(read.position).toEqual({ term: 1, pos: 1 });
});

test("a session's read never runs on a log without the session's write", async () => {
  fleet = await startPoolFleet({ group: { lagMs: 400 } });
  const session = fleet.openSession("accounts");
  for (let n = 1; n <= 8; n++) {
    await run(session, `WRITE a ${n}`, { id: `w${n}` });
    await run(session, "READ a", { id: `r${n}` });
  }
  const positions = fleet.group.runs.filter(({ id }) => id.startsWith("r"))
    .map(({ position }) => position.pos);
  expect(positions).toEqual([1, 2, 3, 4, 5, 6, 7, 8]);
});

test("bounded reads are served by replicas within the bound", async () => {
  fleet = await startPoolFleet({ group: { lagMs: 100 } });
  const writer = fleet.openSession("orders");
  const reader = fleet.openSession("reports");
  const acknowledged: { at: number; pos: number }[] = [];
  for (let n = 1; n <= 30; n++) {
    await run(writer, `WRITE a ${n}`);
    acknowledged.push({ at: performance.now(), pos: n });
    const sentAt = performance.now();
    await run(reader, "READ a", { id: `r${n}` });
    const { position } = fleet.group.runs.find(({ id }) => id === `r${n}`)!;
    const required = acknowledged.filter(({ at }) => at <= sentAt - 1_500);
    expect(position.pos).toBeGreaterThanOrEqual(required.at(-1)?.pos ?? 0);
    await vi.advanceTimersByTimeAsync(100);
  }
  const servedBy = new Set(
    fleet.group.runs.filter(({ id }) => id.startsWith("r"))
      .map(({ target }) => target),
  );
  expect([...servedBy].some((target) => target !== "t1")).toBe(true);
});

test("a suspended host discards read floors from before its suspension", async () => {
  fleet = await startPoolFleet({ group: { lagMs: 100 } });
  const writer = fleet.openSession("orders");
  const reader = fleet.openSession("reports");
  await run(writer, "WRITE a 1");
  await run(reader, "READ a");
  fleet.getTarget("t2").faults.isReplicationStopped = true;
  fleet.getTarget("t3").faults.isReplicationStopped = true;
  fleet.hostsWithoutStore.add("all");
  // Another host's commit is acknowledged while this one is suspended: the
  // wall clock advances, the monotonic clock stands still.
  fleet.getTarget("t3").faults.isReplicationStopped = false;
  void fleet.group.connect(fleet.getTarget("t1").record.id, "w1").unwrap()
    .send({ kind: "run", id: "w2" as never, text: "WRITE a 2" });
  await vi.advanceTimersByTimeAsync(50);
  expect(fleet.group.acknowledged.has("w2")).toBe(true);
  fleet.getTarget("t3").faults.isReplicationStopped = true;
  vi.setSystemTime(Date.now() + 8_000);
  await run(reader, "READ a", { id: "r" });
  const { position } = fleet.group.runs.find(({ id }) => id === "r")!;
  expect(position).toEqual({ term: 1, pos: 2 });
});

test("variables and prepared statements follow the session", async () => {
  fleet = await startPoolFleet({ maxConnections: 1 });
  const [a, b] = [fleet.openSession("accounts"), fleet.openSession("accounts")];
  await run(a, "SET zone north");
  await run(a, "PREPARE s WRITE shape_a");
  await run(b, "SET tone low");
  await run(b, "PREPARE s WRITE shape_b");
  for (let n = 0; n < 4; n++) {
    expect(getOutcome(await run(a, "EXEC s k 1", { id: `a${n}` }))).toBe(
      "done",
    );
    expect(getOutcome(await run(b, "EXEC s k 1", { id: `b${n}` }))).toBe(
      "done",
    );
  }
  for (const { id, text, variables } of fleet.group.runs) {
    expect({ text, variables }).toEqual(
      id.startsWith("a")
        ? { text: "shape_a k 1", variables: { zone: "north" } }
        : { text: "shape_b k 1", variables: { tone: "low" } },
    );
  }
  await run(a, "DEALLOC s");
  expect(getOutcome(await run(a, "EXEC s k 1"))).toBe("unknown_statement");
});

test("a transaction stays on one connection that nobody else uses", async () => {
  fleet = await startPoolFleet();
  const [a, b] = [fleet.openSession("orders"), fleet.openSession("orders")];
  expect(getOutcome(await run(a, "BEGIN"))).toBe("done");
  await run(a, "WRITE k 1", { id: "a1" });
  await run(b, "WRITE k 2", { id: "b1" });
  await run(a, "READ k", { id: "a2" });
  expect(getOutcome(await run(a, "COMMIT", { id: "a3" }))).toBe("done");
  const runsOfA = fleet.group.runs.filter(({ id }) => id.startsWith("a"));
  expect(new Set(runsOfA.map(({ connection }) => connection)).size).toBe(1);
  const runOfB = fleet.group.runs.find(({ id }) => id === "b1")!;
  expect(runOfB.connection).not.toBe(runsOfA[0]!.connection);
  expect(fleet.group.acknowledged).toEqual(new Set(["a1", "b1"]));
});

test("idle connections are closed to leave room for a restarted host", async () => {
  // A target keeps the connections of a host that lost power open for seconds;
  // the restarted host needs connections that its predecessor had not opened.
  fleet = await startPoolFleet({ maxConnections: 5 });
  const sessions = [0, 1, 2, 3, 4].map(() => fleet.openSession("orders"));
  for (const session of sessions) {
    await run(session, "BEGIN");
    await run(session, "WRITE k 1");
  }
  expect(fleet.getTarget("t1").connections).toBe(5);
  for (const session of sessions) {
    await run(session, "COMMIT");
  }
  await vi.advanceTimersByTimeAsync(50);
  expect(fleet.getTarget("t1").connections).toBeLessThanOrEqual(2);
});

test("a failed transaction accepts only a commit or rollback", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE k 1", { id: "w" });
  fleet.getTarget("t1").faults.losesReplies = true;
  const answer = await run(session, "WRITE k 2");
  expect([getOutcome(answer), answer.state]).toEqual(["aborted", "failed"]);
  expect(getOutcome(await run(session, "READ k"))).toBe("malformed");
  expect(getOutcome(await run(session, "COMMIT"))).toBe("aborted");
  expect(session.state).toBe("idle");
  expect(fleet.group.acknowledged.size).toBe(0);
});

test("an idle transaction is rolled back and gives its connection back", async () => {
  fleet = await startPoolFleet({ maxConnections: 1 });
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE k 1", { id: "w" });
  await vi.advanceTimersByTimeAsync(3_500);
  expect(session.state).toBe("failed");
  expect(getOutcome(await run(fleet.openSession("orders"), "WRITE k 2"))).toBe(
    "done",
  );
  expect(fleet.group.acknowledged.has("w")).toBe(false);
});

// Guards against a client that learns of the abort as a malformed statement,
// which does not tell that nothing of its transaction is kept.
test("the next statement after an idle transaction was rolled back is aborted", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await vi.advanceTimersByTimeAsync(3_500);
  expect(await run(session, "READ k")).toMatchObject({
    error: "aborted",
    detail: "no statement for 3000 ms",
    state: "failed",
  });
  expect(getOutcome(await run(session, "READ k"))).toBe("malformed");
  expect(getOutcome(await run(session, "ROLLBACK"))).toBe("done");
  expect(session.state).toBe("idle");
});

test("a transaction is rolled back when its client disconnects", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  await run(session, "WRITE k 1", { id: "w" });
  fleet.poolers[0]!.closeSession(session);
  await run(fleet.openSession("orders"), "WRITE k 2", { id: "v" });
  expect(fleet.group.targets[0]!.log.map(({ ids }) => ids)).toEqual([["v"]]);
});

test("a write whose answer is lost is in doubt and is not sent again", async () => {
  fleet = await startPoolFleet();
  fleet.getTarget("t1").faults.losesReplies = true;
  const answer = await run(fleet.openSession("orders"), "WRITE k 1", {
    id: "w",
  });
  expect(getOutcome(answer)).toBe("in_doubt");
  expect(fleet.group.runs.filter(({ id }) => id === "w").length).toBe(1);
});

test("a commit whose answer is lost is in doubt only if it wrote", async () => {
  fleet = await startPoolFleet();
  const [writer, reader] = [
    fleet.openSession("orders"),
    fleet.openSession("orders"),
  ];
  await run(writer, "BEGIN");
  await run(writer, "WRITE k 1");
  await run(reader, "BEGIN READ");
  await run(reader, "READ k");
  fleet.getTarget("t1").faults.losesReplies = true;
  expect(getOutcome(await run(writer, "COMMIT"))).toBe("in_doubt");
  expect(getOutcome(await run(reader, "COMMIT"))).toBe("aborted");
});

test("a write that targets refuse is reported as not run", async () => {
  fleet = await startPoolFleet();
  fleet.getTarget("t1").faults.isBusy = true;
  const answer = await run(fleet.openSession("orders"), "WRITE k 1", {
    id: "w",
  });
  expect(getOutcome(answer)).toBe("overloaded");
  expect(fleet.group.runs.some(({ id }) => id === "w")).toBe(false);
});

test("a read whose answer is lost is served by another target", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("reports");
  for (const target of fleet.group.targets) {
    target.faults.losesReplies = target.record.id === "t2";
  }
  for (let n = 0; n < 10; n++) {
    expect(getOutcome(await run(session, "READ k"))).toBe("done");
  }
});

test("an unresponsive primary is replaced without losing an acknowledged write", async () => {
  fleet = await startPoolFleet({ hosts: 3, group: { lagMs: 60 } });
  const session = fleet.openSession("orders");
  for (let n = 0; n < 5; n++) {
    await run(session, `WRITE k ${n}`, { id: `w${n}` });
  }
  fleet.getTarget("t3").faults.isReplicationStopped = true;
  await run(session, "WRITE k 5", { id: "w5" });
  fleet.getTarget("t1").faults.isUnresponsive = true;
  fleet.getTarget("t3").faults.isReplicationStopped = false;
  let answer = await run(session, "WRITE k 6", { id: "x0" });
  expect(["in_doubt", "overloaded"]).toContain(getOutcome(answer));
  for (let n = 1; n < 60 && getOutcome(answer) !== "done"; n++) {
    await vi.advanceTimersByTimeAsync(100);
    answer = await run(session, "WRITE k 6", { id: `x${n}` });
  }
  expect(getOutcome(answer)).toBe("done");
  // The replica that received nothing lacks w5 and must not be promoted.
  const newPrimary = fleet.group.targets.find(({ record, role }) =>
    role === "primary" && record.id !== "t1"
  )!;
  expect(newPrimary.record.id).toBe("t2");
  const keptIds = new Set(newPrimary.log.flatMap(({ ids }) => ids));
  for (const id of fleet.group.acknowledged) {
    expect(keptIds.has(id)).toBe(true);
  }
  const fencingTokens = fleet.logLines.filter(({ event }) =>
    event === "failover_started"
  )
    .map(({ fields }) => fields.fencingToken);
  expect(new Set(fencingTokens).size).toBe(fencingTokens.length);
});

test("a write is not sent to an unresponsive primary", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  const sessions = Array.from({ length: 6 }, () => fleet.openSession("orders"));
  await run(sessions[0]!, "WRITE k 0");
  fleet.getTarget("t1").faults.isUnresponsive = true;
  // The first statement detects that the primary is unresponsive; later ones
  // are refused as not run, at once or while they wait for a connection, and
  // may be retried.
  void sessions[0]!.execute("first" as never, {
    kind: "run",
    access: "write",
    text: "WRITE k 1",
  });
  await vi.advanceTimersByTimeAsync(450);
  for (const [n, session] of sessions.slice(1).entries()) {
    const answer = await run(session, "WRITE k 2", { id: `later${n}` });
    expect(["no_primary", "done"]).toContain(getOutcome(answer));
  }
});

test("an old primary that comes back does not replace its successor", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  await run(fleet.openSession("orders"), "WRITE k 1", { id: "w1" });
  fleet.getTarget("t1").faults.isUnresponsive = true;
  await vi.advanceTimersByTimeAsync(4_000);
  const newPrimary = fleet.group.targets.find(({ record, role }) =>
    role === "primary" && record.id !== "t1"
  )!;
  fleet.register(newPrimary.record.id, { role: "primary" });
  fleet.store.remove("targets/t1" as never);
  await vi.advanceTimersByTimeAsync(4_000);
  // The old primary is back and does not know yet that it was replaced.
  fleet.getTarget("t1").faults.isUnresponsive = false;
  fleet.register("t1", { role: "primary" });
  const before = fleet.logLines.length;
  for (let n = 0; n < 20; n++) {
    const id = `x${n}`;
    expect(
      getOutcome(await run(fleet.openSession("orders"), "WRITE k 2", { id })),
    )
      .toBe("done");
    await vi.advanceTimersByTimeAsync(200);
  }
  const events = fleet.logLines.slice(before).map(({ event }) => event);
  expect(events).not.toContain("failover_started");
  expect(events).not.toContain("write_not_acknowledged");
  expect(newPrimary.role).toBe("primary");
});

test("no target is promoted on logs that grew after they were read", async () => {
  fleet = await startPoolFleet({ hosts: 1 });
  await run(fleet.openSession("orders"), "WRITE k 1", { id: "w1" });
  const connect = (id: string) =>
    fleet.group.connect(fleet.getTarget(id).record.id, "w1").unwrap();
  const [writer, interferer] = [connect("t1"), connect("t3")];
  // Only this host has lost the primary. Whenever it has paused t3, another
  // client resumes t3, and the primary acknowledges another write.
  fleet.unreachableTargets.add("t1");
  for (let n = 0; n < 1_200; n++) {
    void interferer.send({ kind: "status" }).then((reply) => {
      if (reply.kind === "done" && reply.rows[0]!.split(" ")[3] !== "0") {
        void interferer.send({ kind: "resume" });
        const id = `v${n}` as never;
        void writer.send({ kind: "run", id, text: "WRITE k 2" });
      }
    });
    await vi.advanceTimersByTimeAsync(5);
  }
  const newPrimary = fleet.group.targets.find(({ record, role }) =>
    role === "primary" && record.id !== "t1"
  );
  const keptIds = new Set(
    (newPrimary ?? fleet.getTarget("t1")).log
      .flatMap(({ ids }) => ids),
  );
  expect([...fleet.group.acknowledged].filter((id) => !keptIds.has(id)))
    .toEqual([]);
});

test("no target is promoted while too few can be reached", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  await run(fleet.openSession("orders"), "WRITE k 1", { id: "w" });
  fleet.getTarget("t1").faults.isUnresponsive = true;
  fleet.getTarget("t3").faults.isUnresponsive = true;
  await vi.advanceTimersByTimeAsync(10_000);
  expect(fleet.getTarget("t2").role).toBe("replica");
  const events = fleet.logLines.map(({ event }) => event);
  expect(events).toContain("failover_waits");
  expect(events).not.toContain("promotion_ordered");
});

test("no target is promoted while the store is unreachable", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  fleet.hostsWithoutStore.add("all");
  fleet.getTarget("t1").faults.isUnresponsive = true;
  await vi.advanceTimersByTimeAsync(5_000);
  expect(fleet.logLines.map(({ event }) => event)).not
    .toContain("promotion_ordered");
  fleet.hostsWithoutStore.clear();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(fleet.getTarget("t1").role).toBe("replica");
});

test("a draining primary is replaced without losing a write", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  const session = fleet.openSession("orders");
  await run(session, "WRITE k 1", { id: "w1" });
  fleet.register("t1", { isDraining: true });
  await vi.advanceTimersByTimeAsync(2_000);
  expect(fleet.getTarget("t1").role).toBe("replica");
  expect(getOutcome(await run(session, "WRITE k 2", { id: "w2" }))).toBe(
    "done",
  );
  const newPrimary = fleet.group.targets.find(({ role }) =>
    role === "primary"
  )!;
  expect(newPrimary.log.flatMap(({ ids }) => ids)).toEqual(["w1", "w2"]);
  const runsOfW2 = fleet.group.runs.filter(({ id }) => id === "w2");
  expect(runsOfW2.map(({ target }) => target)).toEqual([newPrimary.record.id]);
});

test("replicas left paused by another host resume replication", async () => {
  fleet = await startPoolFleet();
  const link = fleet.group.connect(fleet.getTarget("t2").record.id, "w1")
    .unwrap();
  await link.send({ kind: "pause", term: 9 });
  await vi.advanceTimersByTimeAsync(15_000);
  const report = await link.send({ kind: "status" });
  expect(report.kind === "done" && report.rows[0]!.split(" ")[3]).toBe("0");
});

test("a replica left paused is resumed soon while no failover runs", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const link = fleet.group.connect(fleet.getTarget("t2").record.id, "w1")
    .unwrap();
  await link.send({ kind: "pause", term: 9 });
  await vi.advanceTimersByTimeAsync(6_000);
  const report = await link.send({ kind: "status" });
  expect(report.kind === "done" && report.rows[0]!.split(" ")[3]).toBe("0");
  expect(fleet.getTarget("t1").role).toBe("primary");
});

test("a withdrawn key and a dropped route end their sessions", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("orders");
  await run(session, "WRITE k 1");
  fleet.setCatalog({ workspaceByKey: new Map() });
  await vi.advanceTimersByTimeAsync(100);
  expect(session.tryRefusal()).toEqual({ error: "unauthenticated" });
  expect(getOutcome(await run(session, "WRITE k 2", { id: "w" })))
    .toBe("unauthenticated");
  fleet.setCatalog({ routes: new Map() });
  await vi.advanceTimersByTimeAsync(100);
  expect(getOutcome(await run(session, "READ k"))).toBe("unknown_database");
  expect(fleet.group.runs.some(({ id }) => id === "w")).toBe(false);
});

test("an older configuration never replaces a newer one", async () => {
  fleet = await startPoolFleet();
  fleet.setCatalog({ version: 50 });
  await vi.advanceTimersByTimeAsync(100);
  fleet.setCatalog({ version: 40, routes: new Map() });
  await vi.advanceTimersByTimeAsync(100);
  expect(getOutcome(await run(fleet.openSession("orders"), "WRITE k 1"))).toBe(
    "done",
  );
});

test("target entries that expire while the store is unreachable stay in use", async () => {
  fleet = await startPoolFleet();
  fleet.hostsWithoutStore.add("all");
  await vi.advanceTimersByTimeAsync(4_000);
  for (const id of ["t1", "t2", "t3"]) {
    fleet.store.remove(`targets/${id}` as never);
  }
  fleet.hostsWithoutStore.clear();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(getOutcome(await run(fleet.openSession("orders"), "WRITE k 1"))).toBe(
    "done",
  );
});

test("operations admitted by all hosts stay within a workspace's quota", async () => {
  fleet = await startPoolFleet({ hosts: 3, ratePerS: 20 });
  await vi.advanceTimersByTimeAsync(6_000);
  const sessions = [0, 1, 2].map((host) => fleet.openSession("reports", host));
  const sentAt: number[] = [];
  const stopAt = performance.now() + 8_000;
  let n = 0;
  const flood = sessions.map(async (session, host) => {
    while (performance.now() < stopAt) {
      n++;
      const answer = await session.execute(
        `f${host}-${n}` as never,
        { kind: "run", access: "read", text: "READ k" },
      );
      if (answer.kind === "done") {
        sentAt.push(performance.now());
      } else {
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
    }
  });
  await vi.advanceTimersByTimeAsync(9_000);
  await Promise.all(flood);
  const allowed = 20 * 5 + 20;
  for (const from of sentAt) {
    const inWindow = sentAt.filter((at) => at >= from && at < from + 5_000);
    expect(inWindow.length).toBeLessThanOrEqual(allowed * 1.1 + 20);
  }
  // Most of the rate is used although each host holds a third of it.
  expect(sentAt.length).toBeGreaterThan(20 * 8 * 0.8);
});

test("one busy host gets the quota that the others leave unused", async () => {
  fleet = await startPoolFleet({ hosts: 3, ratePerS: 30 });
  await vi.advanceTimersByTimeAsync(6_000);
  const session = fleet.openSession("reports", 0);
  let refused = 0;
  for (let n = 0; n < 40; n++) {
    refused += getOutcome(await run(session, "READ k")) === "done" ? 0 : 1;
    await vi.advanceTimersByTimeAsync(50);
  }
  expect(refused).toBe(0);
});

// Refusals without a line of the log can't be explained to their callers.
test("every failed statement has one line of the log", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("orders");
  const failedIds: string[] = [];
  let count = 0;
  const runAll = async (...texts: string[]) => {
    for (const text of texts) {
      const id = `s${count++}`;
      const answer = await run(session, text, { id });
      if (answer.kind === "failed") {
        failedIds.push(id);
      }
    }
  };
  const countFailures = async (...texts: string[]) => {
    const before = failedIds.length;
    await runAll(...texts);
    return failedIds.length - before;
  };
  const withdraw = () => fleet.setCatalog({ workspaceByKey: new Map() });
  const restore = async () => {
    fleet.setCatalog();
    await vi.advanceTimersByTimeAsync(1_500);
  };
  expect(await countFailures("COMMIT", "ROLLBACK", "EXEC s k 1", "DEALLOC s"))
    .toBe(4);
  expect(await countFailures("BEGIN", "BEGIN", "ROLLBACK")).toBe(1);
  const readOnly = ["BEGIN READ", "WRITE k 1", "READ k", "COMMIT"];
  expect(await countFailures(...readOnly)).toBe(3);

  await runAll("BEGIN");
  withdraw();
  await vi.advanceTimersByTimeAsync(1_500);
  expect(await countFailures("READ k", "ROLLBACK")).toBe(1);
  await restore();
  await runAll("BEGIN");
  withdraw();
  await vi.advanceTimersByTimeAsync(1_500);
  expect(await countFailures("COMMIT")).toBe(1);
  await restore();
  await runAll("BEGIN");
  fleet.setCatalog({ workspaceByKey: new Map([["key1", "w2"]]) as never });
  await vi.advanceTimersByTimeAsync(1_500);
  expect(await countFailures("READ k", "ROLLBACK")).toBe(1);

  const loggedIds = fleet.logLines
    .filter(({ event }) => event === "statement_refused")
    .map(({ fields }) => fields.id);
  expect(loggedIds).toEqual(failedIds);
});
