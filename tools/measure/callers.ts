/** Callers of a run: sessions that move between hosts and note each answer. */

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
/** Time beyond the request's own that a caller waits for an answer. */
const ANSWER_MARGIN_MS = 500;
const RECONNECT_PAUSE_MS = 50;
/** A session changes its host once in this many requests. */
const MOVE_EVERY = 8;
const TX_INTERVAL_MS = 500;
const MAX_BEHIND_MS = 3_000;

/** A checked request with what the figures need besides. */
export interface Call {
  readonly req: CheckedReq;
  readonly class: string;
  readonly latencyMs: number;
}

/** What callers need of the fleet. */
export interface CallersOptions {
  /** Sessions that lag behind stop sending after this time. */
  readonly durationMs: number;
  readonly urls: readonly string[];
  /** One-way latency between callers and hosts, in milliseconds. */
  readonly latencyMs: number;
}

/** Sends frames of one session, from whichever host it is at. */
export interface Caller {
  send(frame: RequestFrame, told: Told): Promise<Call["req"]["answer"]>;
  /** Goes to the next host, taking the token along. */
  move(): void;
  close(): void;
}

/** How a frame is told to the checker. */
interface Told {
  readonly class: string;
  readonly op: CheckedReq["op"];
}

/** The callers of one run with all that they were told. */
export interface Callers {
  readonly calls: readonly Call[];
  /** Sends the lines of a trace, those of one session in order. */
  runLines(
    lines: readonly TraceLine[],
    keys: ReadonlyMap<string, string>,
  ): Promise<void>;
  /** Runs transactions of two writes one after the other. */
  runTransactions(given: TransactionPlan): Promise<void>;
}

/** One session that runs transactions. */
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
    given: {
      readonly workspace: string;
      readonly session: string;
      readonly key: string;
      readonly startAt: number;
    },
  ): Caller {
    let at = given.startAt;
    let client: Client | undefined;
    let token = "";

    async function connect(): Promise<Client | undefined> {
      if (!client?.isOpen()) {
        const url = options.urls[at % options.urls.length]!;
        client = await tryConnect(url, { key: given.key, token });
      }
      return client;
    }

    return {
      async send(frame, told) {
        const startedAt = nowMs();
        const sentAt = Date.now();
        let open = await connect();
        if (!open) {
          at++;
          await sleep(RECONNECT_PAUSE_MS);
          open = await connect();
        }
        await sleep(options.latencyMs);
        const answer = await open?.request(
          { ...frame, timeoutMs: REQUEST_TIMEOUT_MS },
          REQUEST_TIMEOUT_MS + ANSWER_MARGIN_MS,
        );
        await sleep(options.latencyMs);
        token = answer?.token || token;
        calls.push({
          req: {
            id: frame.id,
            workspace: given.workspace,
            session: given.session,
            sentAt,
            answeredAt: Date.now(),
            op: told.op,
            answer,
          },
          class: told.class,
          latencyMs: nowMs() - startedAt,
        });
        return answer;
      },
      move() {
        at++;
        client?.close();
        client = undefined;
      },
      close: () => client?.close(),
    };
  }

  async function runSession(
    lines: readonly TraceLine[],
    given: {
      readonly startedAt: number;
      readonly startAt: number;
      readonly key: string;
    },
  ): Promise<void> {
    const { workspace, session } = lines[0]!;
    const caller = createCaller({ workspace, session, ...given });
    for (const [index, line] of lines.entries()) {
      await sleep(Math.max(0, given.startedAt + line.atMs - nowMs()));
      if (nowMs() > given.startedAt + options.durationMs + MAX_BEHIND_MS) {
        break;
      }
      if (index % MOVE_EVERY === MOVE_EVERY - 1) {
        caller.move();
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
        [...sessions.values()].map((own, index) =>
          runSession(own, {
            startedAt,
            startAt: index,
            key: keys.get(own[0]!.workspace) ?? "",
          })
        ),
      );
    },
    async runTransactions({ durationMs, ...given }) {
      const endAt = nowMs() + durationMs;
      const caller = createCaller({ ...given, startAt: 0 });
      while (nowMs() < endAt) {
        await runTransaction(caller, { ...given, newId });
        await sleep(TX_INTERVAL_MS);
      }
      caller.close();
    },
  };
}

async function runTransaction(
  caller: Caller,
  given: {
    readonly session: string;
    readonly service: ServiceId;
    readonly newId: () => ReqId;
  },
): Promise<void> {
  const { service, newId, session } = given;
  const begin = newId();
  const begun = await caller.send(
    { kind: "begin", id: begin, service },
    { class: "begin", op: { kind: "begin", tx: begin } },
  );
  if (!begun?.ok) {
    return;
  }
  const tx = asId<TxId>(`${begun.result}`);
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
      op: { kind: "write", change, unrepeatable: true, tx: begin },
    });
    if (!answer?.ok) {
      caller.move();
      return;
    }
  }
  await caller.send(
    { kind: "end", id: newId(), service, tx, end: "commit" },
    { class: "commit", op: { kind: "end", tx: begin, end: "commit" } },
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
