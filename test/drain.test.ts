import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { CallerSession } from "../src/core/entry.ts";
import { LEAVE_NOTICE_MS } from "../src/core/drain.ts";
import type { Host } from "../src/core/host.ts";
import {
  asId,
  type HostId,
  type ReqId,
  type TargetId,
  type TxId,
} from "../src/core/ids.ts";
import { markLeaving } from "../src/core/lists.ts";
import { buildSessionId } from "../src/core/session.ts";
import type { Answer, ExecOp, ExecReq, Outcome } from "../src/core/types.ts";
import { LAKAZ } from "../tools/workloads.ts";
import {
  createGetFrame,
  createPutFrame,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";
import { createMemoryStore } from "./memory_store.ts";

/** Time after which a leaving target must receive no new work (issue 6). */
const LEAVING_MS = 3_000;
const DRAIN_TIMEOUT_MS = 30_000;
const RESTART_MS = 2_500;
const PAUSE_MS = 150;
/** Time limit of an operation that a peer sends. */
const EXEC_BUDGET_MS = 500;

let fleet: TestFleet;
let failures: string[];
let nextRid = 1;

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet();
  failures = [];
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

const wait = (ms: number) => new Promise((done) => setTimeout(done, ms));

function recordFailure(answer: Answer): Answer {
  if (answer.kind === "failed") {
    failures.push(answer.failure.error);
  }
  return answer;
}

/** Starts a caller that moves to another host when its host is stopping. */
function startCaller(name: string, stoppingHosts: Set<string>) {
  let running = true;
  let session: CallerSession | undefined;
  let hostId = "";
  let token: string | undefined;

  function getSession(): CallerSession {
    if (!session || stoppingHosts.has(hostId)) {
      session?.end();
      hostId = fleet.hosts.map(({ id }) => `${id}`)
        .find((id) => !stoppingHosts.has(id))!;
      session = fleet.openSession(hostId, token ? { token } : {});
    }
    return session;
  }

  /** Returns whether the row was written and the transaction was committed. */
  async function transact(current: CallerSession, n: number): Promise<boolean> {
    const { service } = LAKAZ;
    const id = (part: string) => asId<ReqId>(`${name}-${n}-${part}`);
    const begun = recordFailure(
      await current.request({ kind: "begin", id: id("begin"), service }),
    );
    if (begun.kind === "failed") {
      return false;
    }
    const tx = begun.result as TxId;
    const put = recordFailure(
      await current.request(createPutFrame(`${name}-row`, n, { tx })),
    );
    await wait(PAUSE_MS);
    const ended = recordFailure(
      await current.request({
        kind: "end",
        id: id("end"),
        service,
        tx,
        end: "commit",
      }),
    );
    return put.kind === "done" && ended.kind === "done";
  }

  async function run(): Promise<void> {
    let written: number | null = null;
    for (let n = 0; running; n++) {
      const current = getSession();
      written = await transact(current, n) ? n : written;
      const read = recordFailure(
        await current.request(createGetFrame(`${name}-row`)),
      );
      token = read.token;
      if (read.kind === "done" && read.result !== written) {
        failures.push(`read ${read.result} after writing ${written}`);
      }
      await wait(PAUSE_MS);
    }
  }

  const done = run();
  return {
    stop() {
      running = false;
      return done;
    },
  };
}

/** Drains and restarts each host in turn while callers send requests. */
async function restartAllInTurn(): Promise<void> {
  const stoppingHosts = new Set<string>();
  const callers = ["a", "b", "c"].map((name) =>
    startCaller(name, stoppingHosts)
  );
  await vi.advanceTimersByTimeAsync(1_000);
  for (const { id, host } of fleet.hosts) {
    stoppingHosts.add(id);
    await settle(host.drain(DRAIN_TIMEOUT_MS));
    fleet.kill(id);
    await vi.advanceTimersByTimeAsync(500);
    fleet.restart(id);
    await vi.advanceTimersByTimeAsync(RESTART_MS);
    stoppingHosts.delete(id);
  }
  await settle(Promise.all(callers.map((caller) => caller.stop())));
}

test("a rolling restart of all hosts under load fails no admitted request", async () => {
  await restartAllInTurn();
  expect(failures.filter((error) => error !== "rate_limited")).toEqual([]);
});

test("a rolling restart rejects no request within the rate", async () => {
  await restartAllInTurn();
  expect(failures).toEqual([]);
});

test("a draining host waits until its open transactions have ended", async () => {
  const session = fleet.openSession("h1");
  const begun = recordFailure(
    await settle(session.request({
      kind: "begin",
      id: asId<ReqId>("begin-1"),
      service: LAKAZ.service,
    })),
  );
  const tx = begun.kind === "done" ? begun.result as TxId : undefined;
  const poolHost = fleet.getHost(`${tx}`.split("/")[0]!).host;
  let isStopped = false;
  const stopped = poolHost.drain(DRAIN_TIMEOUT_MS).then(() => isStopped = true);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(isStopped).toBe(false);
  recordFailure(
    await settle(session.request(createPutFrame("row", 1, { tx: tx! }))),
  );
  recordFailure(
    await settle(session.request({
      kind: "end",
      id: asId<ReqId>("end-1"),
      service: LAKAZ.service,
      tx: tx!,
      end: "commit",
    })),
  );
  await settle(stopped);
  expect(failures).toEqual([]);
});

/** Sends an operation to a host, as its peer h2 does; returns the outcome. */
async function execAt(host: Host, op: ExecOp): Promise<Outcome | undefined> {
  const [from, rid] = [asId<HostId>("h2"), nextRid++];
  const receive = vi.spyOn(fleet.getHost(from).host, "receivePeer");
  const { workspace } = fleet.deployment.workspaces[0]!;
  const { group } = fleet.groups[0]!;
  const req: ExecReq = {
    kind: "exec",
    workspace,
    group,
    op,
    session: buildSessionId(from, "s1"),
    budgetMs: EXEC_BUDGET_MS,
  };
  host.receivePeer(from, { kind: "call", rid, req });
  await vi.advanceTimersByTimeAsync(EXEC_BUDGET_MS);
  const answers = receive.mock.calls.map(([_from, msg]) => msg)
    .filter((msg) => msg.kind === "return" && msg.rid === rid);
  receive.mockRestore();
  const [answer] = answers;
  return answer?.kind === "return" && answer.res.kind === "exec"
    ? answer.res.outcome
    : undefined;
}

test("a draining host refuses new work of its peers", async () => {
  const { host } = fleet.getHost("h1");
  // The open transaction keeps the host from ending its drain.
  const begin = (n: number): ExecOp => ({
    kind: "begin",
    id: asId<ReqId>(`b${n}`),
    tx: asId<TxId>(`h1/tx${n}`),
  });
  expect(await execAt(host, begin(1))).toMatchObject({ kind: "done" });
  void host.drain(DRAIN_TIMEOUT_MS);
  await vi.advanceTimersByTimeAsync(LEAVE_NOTICE_MS);
  const statement = { class: "order_place", body: { op: "get", key: "row" } };
  const outcomes = [
    await execAt(host, { kind: "read", id: asId<ReqId>("r1"), ...statement }),
    await execAt(host, {
      kind: "write",
      id: asId<ReqId>("w1"),
      repeatable: false,
      ...statement,
    }),
    await execAt(host, begin(2)),
    await execAt(host, {
      kind: "outcome",
      id: asId<ReqId>("o1"),
      of: asId<ReqId>("w1"),
    }),
  ];
  const refusal = { kind: "failed", error: "shutting_down" };
  expect(outcomes).toEqual([refusal, refusal, refusal, refusal]);
  const inTransaction = await execAt(host, {
    kind: "read",
    id: asId<ReqId>("r2"),
    ...statement,
    tx: asId<TxId>("h1/tx1"),
  });
  expect(inTransaction).toMatchObject({ kind: "done" });
});

test("a draining host serves its connected callers", async () => {
  const session = fleet.openSession("h1");
  const { host } = fleet.getHost("h1");
  void host.drain(DRAIN_TIMEOUT_MS);
  for (let n = 0; n < 20; n++) {
    recordFailure(await settle(session.request(createPutFrame("row", n))));
    await vi.advanceTimersByTimeAsync(PAUSE_MS);
  }
  expect(failures).toEqual([]);
});

test("a leaving target gets no new work", async () => {
  const stoppingHosts = new Set<string>();
  const callers = ["a", "b"].map((name) => startCaller(name, stoppingHosts));
  const group = fleet.groups.find(({ group }) =>
    fleet.hosts[0]!.host.listGroupViews()
      .some((view) => view.group === group)
  )!;
  const replica = group.targets[1]!.target;
  const store = createMemoryStore(fleet.platform);
  await vi.advanceTimersByTimeAsync(1_000);
  const target = asId<TargetId>(replica);
  (await settle(markLeaving(store, { target, leaving: true }))).unwrap();
  await vi.advanceTimersByTimeAsync(LEAVING_MS);
  let openedCount = 0;
  const node = fleet.getTarget(replica);
  const { tryOpen } = node;
  node.tryOpen = (from) => {
    openedCount++;
    return tryOpen(from);
  };
  const before = node.core.statements.length;
  await vi.advanceTimersByTimeAsync(5_000);
  expect([openedCount, node.core.statements.length - before]).toEqual([0, 0]);
  await settle(Promise.all(callers.map((caller) => caller.stop())));
  expect(failures).toEqual([]);
});
