import { afterEach, expect, test, vi } from "vitest";
import { sleep } from "../src/core/clock.ts";
import type { LineAnswer } from "../tools/soak/line_client.ts";
import { type PoolProcess, startPoolProcess } from "./pool_process.ts";

const POLL_INTERVAL_MS = 10;
/** Line with which a stopping host ends an idle session. */
const STOPPING_LINE = "ERR BUSY the host is stopping; connect again";

vi.setConfig({ testTimeout: 60_000 });

const started: PoolProcess[] = [];
afterEach(async () => {
  await Promise.all(started.splice(0).map((host) => host.stop()));
});

async function start(
  options: Parameters<typeof startPoolProcess>[0],
): Promise<PoolProcess> {
  const host = await startPoolProcess(options);
  started.push(host);
  return host;
}

/** Waits for a line of the host's log; returns its fields. */
async function waitForLine(host: PoolProcess, event: string) {
  for (;;) {
    const line = host.logLines.find(({ msg }) => msg === event);
    if (line) {
      return line;
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

test("a statement whose client is gone leaves a line with its id", async () => {
  const host = await start({ group: { workMs: 300 } });
  const client = host.connect();
  await client.start("reports");
  void client.query("gone-1", "READ a");
  while (!host.group.begun.has("gone-1")) {
    await sleep(POLL_INTERVAL_MS);
  }
  client.socket.resetAndDestroy();
  expect(await waitForLine(host, "answer_undelivered")).toMatchObject({
    id: "gone-1",
    workspace: "w1",
    outcome: "done",
    reason: "connection failed: ECONNRESET",
  });
});

test("a stop tells in the log what was open at each of its phases", async () => {
  const host = await start({ graceS: 1 });
  const client = host.connect();
  await client.start("orders");
  await client.query("t-1", "BEGIN");
  host.kill("SIGTERM");
  expect(await host.exited).toBe(0);
  // Lines that are still unwritten at the exit may overtake others.
  const phases = host.logLines
    .filter(({ msg }) => `${msg}`.startsWith("stop"))
    .sort((a, b) => Number(a.elapsedMs) - Number(b.elapsedMs));
  const { sessions: remaining, isDrained } = phases.at(-1)!;
  // The client may or may not have ended its side within the grace.
  expect(isDrained).toBe(remaining === 0);
  expect(phases.map(({ msg, sessions, statements, accepted }) => ({
    msg,
    ...(msg === "stopped" ? {} : { sessions }),
    statements,
    accepted,
  }))).toMatchSnapshot();
});

interface SentStatement {
  readonly id: string;
  readonly answer: LineAnswer;
}

interface ClientRun {
  readonly sent: readonly SentStatement[];
  /** Lines that ended sessions before a statement was sent. */
  readonly told: readonly string[];
}

/**
 * Opens one session after another for a single statement each, as clients do
 * that keep the host's address, until the host refuses connections. As the
 * platform's clients, it sends nothing in a session that it was told is over.
 */
async function sendUntilRefused(
  host: PoolProcess,
  name: string,
): Promise<ClientRun> {
  const sent: SentStatement[] = [];
  const told: string[] = [];
  for (let i = 0;; i++) {
    const client = host.connect();
    const opened = await client.start("reports");
    if (opened.lines.length === 0) {
      return { sent, told };
    }
    if (client.unsolicited.length > 0) {
      told.push(...client.unsolicited);
    } else if (opened.lines[0]!.startsWith("READY")) {
      const id = `${name}-${i}`;
      sent.push({ id, answer: await client.query(id, "READ a") });
    }
    client.socket.destroy();
  }
}

/** Lists statements that reached a target and have no result from it. */
function listBrokenOff(
  host: PoolProcess,
  sent: readonly SentStatement[],
): readonly SentStatement[] {
  const hasResult = ({ id, answer: { lines, isComplete } }: SentStatement) =>
    isComplete && lines.includes(`DONE signed-${id}`);
  return sent.filter((statement) =>
    host.group.begun.has(statement.id) && !hasResult(statement)
  );
}

// Guards against a stop that admits statements until its time is over and then
// closes their connections: executed statements had no answer.
test("clients that connect until the end of a stop get all their answers", async () => {
  const host = await start({ graceS: 6, group: { workMs: 400 } });
  const transaction = host.connect();
  await transaction.start("orders");
  await transaction.query("t-1", "BEGIN");
  await transaction.query("t-2", "READ a");
  const clients = Array.from(
    { length: 20 },
    (_, i) => sendUntilRefused(host, `c${i}`),
  );
  while (host.group.runs.length < 20) {
    await sleep(POLL_INTERVAL_MS);
  }
  host.kill("SIGTERM");
  const runs = await Promise.all(clients);
  const sent = runs.flatMap((run) => run.sent);
  const told = runs.flatMap((run) => run.told);
  expect(await host.exited).toBe(0);
  expect(told.filter((line) => line !== STOPPING_LINE)).toEqual([]);
  expect(listBrokenOff(host, sent)).toEqual([]);
  // Not executed either, but the client was told so before the end.
  expect(sent.filter(({ answer }) => answer.lines.length === 0)).toEqual([]);
});

// Guards against a host that is suspended until its stop ends execution, and
// tells clients that it stops although the targets have sent their results.
test("results that come while a stopping host is suspended reach the clients", async () => {
  const host = await start({ graceS: 6, group: { workMs: 400 } });
  const transaction = host.connect();
  await transaction.start("orders");
  await transaction.query("t-1", "BEGIN");
  const clients = Array.from(
    { length: 20 },
    (_, i) => sendUntilRefused(host, `c${i}`),
  );
  while (host.group.runs.length < 20) {
    await sleep(POLL_INTERVAL_MS);
  }
  host.kill("SIGTERM");
  // From before the end of admission at 3 s until after that of execution at
  // 5.1 s. A statement takes 0.4 s at the target.
  await sleep(2_700);
  host.kill("SIGSTOP");
  await sleep(2_600);
  host.kill("SIGCONT");
  const sent = (await Promise.all(clients)).flatMap((run) => run.sent);
  expect(await host.exited).toBe(0);
  expect(listBrokenOff(host, sent)).toEqual([]);
});

// Guards against a statement that crosses the end of its session: without a
// message before the end its client can't tell that it was not executed.
test("a stop tells idle clients before it ends their sessions", async () => {
  const host = await start({ graceS: 1 });
  const client = host.connect();
  await client.start("orders");
  host.kill("SIGTERM");
  await client.ended;
  expect(client.unsolicited).toEqual([STOPPING_LINE]);
});

// Guards against statements that a target does not answer until the process
// ends: their clients were told nothing.
test("statements at work at the end of a stop get a final answer", async () => {
  const host = await start({ graceS: 6, group: { workMs: 60_000 } });
  const reader = host.connect();
  const writer = host.connect();
  await Promise.all([reader, writer].map((client) => client.start("orders")));
  const answers = [
    reader.query("last-1", "READ a"),
    writer.query("last-2", "WRITE a b"),
  ];
  while (host.group.begun.size < answers.length) {
    await sleep(POLL_INTERVAL_MS);
  }
  host.kill("SIGTERM");
  const codes = (await Promise.all(answers)).map(({ lines, isComplete }) => ({
    code: lines[0]?.split(" ")[1],
    isComplete,
  }));
  expect(codes).toEqual([
    { code: "BUSY", isComplete: true },
    { code: "INDOUBT", isComplete: true },
  ]);
  expect(await host.exited).toBe(0);
});

// Guards against the end of the client's side closing the other side as well:
// the answer to a statement in flight was dropped.
test("a client that ends its sending side gets the answer to its statement", async () => {
  const host = await start({ group: { workMs: 100 } });
  const client = host.connect({ allowHalfOpen: true });
  await client.start("reports");
  const answer = client.query("half-1", "READ a");
  client.socket.end();
  expect(await answer).toEqual({
    lines: ["ROW row of READ a", "DONE signed-half-1", "READY I 1.0"],
    isComplete: true,
  });
});

// Guards against a stop that breaks off a commit at work because it ends idle
// transactions: the client was told that the outcome is unknown.
test("a commit at work when a stop aborts idle transactions is answered", async () => {
  const host = await start({ graceS: 4 });
  const client = host.connect();
  await client.start("orders");
  await client.query("t-1", "BEGIN");
  await client.query("t-2", "WRITE a b");
  const replicas = host.group.targets.slice(1);
  replicas.forEach(({ faults }) => faults.isReplicationStopped = true);
  const answer = client.query("t-3", "COMMIT");
  host.kill("SIGTERM");
  await waitForLine(host, "stop_aborts_transactions");
  replicas.forEach(({ faults }) => faults.isReplicationStopped = false);
  expect((await answer).lines[0]).toBe("DONE signed-t-3");
});

// Guards against a host that reaches the end of its stop late, for lack of
// processor time: it closed the connections in the turn of the event loop in
// which it ended execution, before the answers were written.
test("statements at work get a final answer also if the end of a stop is late", async () => {
  const graceS = 1;
  const host = await start({ graceS, group: { workMs: 60_000 } });
  const client = host.connect();
  await client.start("orders");
  const answer = client.query("late-1", "READ a");
  while (!host.group.begun.has("late-1")) {
    await sleep(POLL_INTERVAL_MS);
  }
  host.kill("SIGTERM");
  await waitForLine(host, "stopping");
  host.kill("SIGSTOP");
  await sleep(graceS * 1_000);
  host.kill("SIGCONT");
  expect((await answer).isComplete).toBe(true);
});

// Guards against statements that the host has read, behind the one with which
// it ends the session: they were dropped, and their client was told nothing.
test("statements sent ahead of the end of a session are refused, not dropped", async () => {
  const host = await start({ graceS: 2, group: { workMs: 600 } });
  const client = host.connect();
  await client.start("reports");
  host.kill("SIGTERM");
  const ids = Array.from({ length: 12 }, (_, i) => `p-${i}`);
  const answers = ids.map((id) => client.query(id, "READ a"));
  const outcomes = (await Promise.all(answers)).map(({ lines }, i) => ({
    isBegun: host.group.begun.has(ids[i]!),
    isAnswered: lines.length > 0,
  }));
  expect(outcomes.filter(({ isAnswered }) => !isAnswered)).toEqual([]);
});

// Guards against an exception that breaks off the statements of all sessions.
test.each([
  ["thrown", 'throw new Error("not expected")'],
  ["rejected", 'void Promise.reject(new Error("not expected"))'],
  ["no error", 'throw "not expected"'],
])(
  "an unexpected exception is logged and stops the host in order: %s",
  async (_name, fault) => {
    const host = await start({
      graceS: 6,
      group: { workMs: 300 },
      prologue: `process.on("SIGUSR2", () => { ${fault} })`,
    });
    const client = host.connect();
    await client.start("reports");
    const answer = client.query("work-1", "READ a");
    while (!host.group.begun.has("work-1")) {
      await sleep(POLL_INTERVAL_MS);
    }
    host.kill("SIGUSR2");
    expect((await answer).lines).toContain("DONE signed-work-1");
    // More of the same while the host stops does not break off the rest.
    host.kill("SIGUSR2");
    expect(await client.query("work-2", "READ a")).toMatchObject({
      isComplete: true,
    });
    expect(await host.getHealth()).toBe(503);
    client.socket.end();
    expect(await host.exited).toBe(1);
    expect((await waitForLine(host, "crashed")).detail)
      .toContain("not expected");
    await waitForLine(host, "stopped");
  },
);
