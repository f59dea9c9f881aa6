/** Callers of a run: sessions that switch hosts and record each answer. */

import type { RequestFrame } from "../../src/core/entry.ts";
import { nowMs, sleep } from "../../src/core/clock.ts";
import {
  asId,
  type ReqId,
  type ServiceId,
  type TxId,
} from "../../src/core/ids.ts";
import type { TraceLine } from "../../src/generated/trace.ts";
import type { CheckedBody, CheckedReq } from "../check/history.ts";
import { type Client, tryConnect } from "../client.ts";
import { groupBy } from "./group_by.ts";

const REQUEST_TIMEOUT_MS = 5_000;
/** Time that a caller waits for an answer after the request's timeout. */
const ANSWER_MARGIN_MS = 500;
const RECONNECT_DELAY_MS = 50;
/** Number of requests after which a session switches to the next host. */
const HOST_SWITCH_INTERVAL = 8;
const TX_INTERVAL_MS = 500;
const MAX_SCHEDULE_DELAY_MS = 3_000;

/** Request with its class and latency. */
export interface Call {
  readonly req: CheckedReq;
  readonly class: string;
  readonly latencyMs: number;
}

/** Options of the callers. */
export interface CallersOptions {
  /** Length of the run; sessions behind schedule stop shortly after it. */
  readonly durationMs: number;
  readonly urls: readonly string[];
  /** One-way latency between callers and hosts, in milliseconds. */
  readonly latencyMs: number;
}

/** Sends the frames of one session through its current host. */
export interface Caller {
  send(frame: RequestFrame, info: CallInfo): Promise<Call["req"]["answer"]>;
  /** Switches to the next host; the session token is kept. */
  switchHost(): void;
  close(): void;
}

/** Class and operation of a frame, as recorded for the checker. */
interface CallInfo {
  readonly class: string;
  readonly op: CheckedReq["op"];
}

/** Callers of one run and the answers that they received. */
export interface Callers {
  readonly calls: readonly Call[];
  /** Replays the lines of a trace; the lines of a session stay in order. */
  runLines(
    lines: readonly TraceLine[],
    keys: ReadonlyMap<string, string>,
  ): Promise<void>;
  /** Runs transactions of two writes, one after another. */
  runTransactions(plan: TransactionPlan): Promise<void>;
}

/** Options of a session that runs transactions. */
export interface TransactionPlan {
  readonly workspace: string;
  readonly session: string;
  readonly service: ServiceId;
  readonly key: string;
  readonly durationMs: number;
}

/** Creates the callers of one run. */
export function createCallers(options: CallersOptions): Callers {
  const calls: Call[] = [];
  let nextId = 1;

  function newId(): ReqId {
    return asId<ReqId>(`m${nextId++}`);
  }

  function createCaller(
    sessionOptions: {
      readonly workspace: string;
      readonly session: string;
      readonly key: string;
      readonly firstHostIndex: number;
    },
  ): Caller {
    let hostIndex = sessionOptions.firstHostIndex;
    let client: Client | undefined;
    let sessionToken = "";

    async function connect(): Promise<Client | undefined> {
      if (!client?.isOpen()) {
        const url = options.urls[hostIndex % options.urls.length]!;
        client = await tryConnect(url, {
          key: sessionOptions.key,
          token: sessionToken,
        });
      }
      return client;
    }

    return {
      async send(frame, info) {
        const startedAt = nowMs();
        const sentAt = Date.now();
        let connected = await connect();
        if (!connected) {
          hostIndex++;
          await sleep(RECONNECT_DELAY_MS);
          connected = await connect();
        }
        await sleep(options.latencyMs);
        const answer = await connected?.request(
          { ...frame, timeoutMs: REQUEST_TIMEOUT_MS },
          REQUEST_TIMEOUT_MS + ANSWER_MARGIN_MS,
        );
        await sleep(options.latencyMs);
        sessionToken = answer?.token || sessionToken;
        calls.push({
          req: {
            id: frame.id,
            workspace: sessionOptions.workspace,
            session: sessionOptions.session,
            sentAt,
            answeredAt: Date.now(),
            op: info.op,
            answer,
          },
          class: info.class,
          latencyMs: nowMs() - startedAt,
        });
        return answer;
      },
      switchHost() {
        hostIndex++;
        client?.close();
        client = undefined;
      },
      close: () => client?.close(),
    };
  }

  async function runSession(
    lines: readonly TraceLine[],
    sessionOptions: {
      readonly startedAt: number;
      readonly firstHostIndex: number;
      readonly key: string;
    },
  ): Promise<void> {
    const { workspace, session } = lines[0]!;
    const caller = createCaller({ workspace, session, ...sessionOptions });
    for (const [index, line] of lines.entries()) {
      await sleep(Math.max(0, sessionOptions.startedAt + line.atMs - nowMs()));
      if (
        nowMs() >
          sessionOptions.startedAt + options.durationMs + MAX_SCHEDULE_DELAY_MS
      ) {
        break;
      }
      if (index % HOST_SWITCH_INTERVAL === HOST_SWITCH_INTERVAL - 1) {
        caller.switchHost();
      }
      await caller.send(toFrame(line, newId()), {
        class: line.class,
        op: toOp(line),
      });
    }
    caller.close();
  }

  return {
    calls,
    async runLines(lines, keys) {
      const startedAt = nowMs();
      const sessions = groupBy(lines, (line) => line.session);
      await Promise.all(
        [...sessions.values()].map((sessionLines, index) =>
          runSession(sessionLines, {
            startedAt,
            firstHostIndex: index,
            key: keys.get(sessionLines[0]!.workspace) ?? "",
          })
        ),
      );
    },
    async runTransactions({ durationMs, ...plan }) {
      const endAt = nowMs() + durationMs;
      const caller = createCaller({ ...plan, firstHostIndex: 0 });
      while (nowMs() < endAt) {
        await runTransaction(caller, { ...plan, newId });
        await sleep(TX_INTERVAL_MS);
      }
      caller.close();
    },
  };
}

async function runTransaction(
  caller: Caller,
  options: {
    readonly session: string;
    readonly service: ServiceId;
    readonly newId: () => ReqId;
  },
): Promise<void> {
  const { service, newId, session } = options;
  const beginId = newId();
  const beginAnswer = await caller.send(
    { kind: "begin", id: beginId, service },
    { class: "begin", op: { kind: "begin", tx: beginId } },
  );
  if (!beginAnswer?.ok) {
    return;
  }
  const tx = asId<TxId>(`${beginAnswer.result}`);
  for (const row of [1, 2]) {
    const id = newId();
    const key = `tx-${session}-${row}`;
    const change = { op: "put", key, value: `${id}` } as const;
    const answer = await caller.send({
      kind: "write",
      id,
      service,
      class: "transaction",
      body: change,
      tx,
    }, {
      class: "transaction",
      op: { kind: "write", change, unrepeatable: true, tx: beginId },
    });
    if (!answer?.ok) {
      caller.switchHost();
      return;
    }
  }
  await caller.send(
    { kind: "end", id: newId(), service, tx, end: "commit" },
    { class: "commit", op: { kind: "end", tx: beginId, end: "commit" } },
  );
}

function toFrame(line: TraceLine, id: ReqId): RequestFrame {
  const { service, body } = line;
  const common = { id, service, class: line.class, body };
  return line.access === "read"
    ? { kind: "read", ...common }
    : { kind: "write", ...common, repeatable: !line.unrepeatable };
}

function toOp(line: TraceLine): CheckedReq["op"] {
  const body = line.body as CheckedBody;
  return body.op === "get" ? { kind: "read", key: body.key } : {
    kind: "write",
    change: body,
    unrepeatable: line.unrepeatable ?? false,
  };
}
