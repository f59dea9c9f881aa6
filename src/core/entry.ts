/** The way of a caller's request: authenticate, admit, route, run, answer. */

import type { CallerFrame, HelloFrame } from "../generated/caller.ts";
import { Err, Ok, type Result } from "ts-results-es";
import { admit } from "./admit.ts";
import { authenticate, type Caller, isKeyInForce } from "./authenticate.ts";
import { nowMs } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import type { Failure } from "./errors.ts";
import { assertNever } from "./errors.ts";
import { asId, type HostId, type ReqId, type TxId } from "./ids.ts";
import type { Membership } from "./membership.ts";
import { listPoolHosts } from "./route.ts";
import {
  decodeToken,
  encodeToken,
  raiseFloor,
  type Session,
} from "./session.ts";
import type {
  Admitted,
  Answer,
  ExecOp,
  ExecReq,
  HostIo,
  Outcome,
} from "./types.ts";

/** A request of a caller, as opposed to the opening of a session. */
export type RequestFrame = Exclude<CallerFrame, HelloFrame>;

/** One session of a caller on this host. */
export interface CallerSession {
  request(frame: RequestFrame): Promise<Answer>;
  /** The connection ended: open transactions are rolled back. */
  end(): void;
}

/** Takes callers in. */
export interface Entry {
  open(hello: HelloFrame): Result<CallerSession, Failure>;
}

/** What the entry is made of. */
export interface EntryOptions {
  readonly self: HostId;
  readonly cfg: Configuration;
  readonly membership: Membership;
  readonly hostsPerGroup: number;
  readonly defaultTimeoutMs: number;
  readonly maxTimeoutMs: number;
  /** Runs a request at the pool of `host`. */
  exec(host: HostId, req: ExecReq): Promise<Outcome>;
  endSession(session: string): void;
}

/** Creates the entry of this host. */
export function createEntry(io: HostIo, options: EntryOptions): Entry {
  const { self, cfg, membership } = options;

  function newId(): string {
    const [a, b] = [io.random(), io.random()];
    return `${self}.${a.toString(36).slice(2)}${b.toString(36).slice(2)}`;
  }

  function listHosts(admitted: Admitted): HostId[] {
    const tx = tryTxHost(admitted.op);
    if (tx) {
      return [tx];
    }
    const hosts = listPoolHosts(admitted.group.group, {
      alive: membership.listAlive(),
      count: options.hostsPerGroup,
    });
    return hosts.includes(self)
      ? [self, ...hosts.filter((host) => host !== self)]
      : hosts;
  }

  async function run(admitted: Admitted): Promise<Outcome> {
    const { workspace, group, session, floor } = admitted;
    let last: Outcome = { kind: "failed", error: "unavailable" };
    for (const host of listHosts(admitted)) {
      const budgetMs = admitted.deadline - nowMs();
      if (budgetMs <= 0) {
        break;
      }
      const req: ExecReq = {
        kind: "exec",
        workspace,
        group: group.group,
        op: withTxHost(admitted.op, host),
        session,
        budgetMs,
        ...(floor ? { floor } : {}),
      };
      last = await options.exec(host, req);
      if (last.kind === "done" || !mayTryNext(last)) {
        return last;
      }
    }
    return last;
  }

  async function handle(
    caller: Caller,
    session: Session,
    frame: RequestFrame,
  ): Promise<Outcome> {
    if (!isKeyInForce(cfg, caller)) {
      return { kind: "failed", error: "unauthenticated" };
    }
    const timeoutMs = Math.min(
      frame.timeoutMs ?? options.defaultTimeoutMs,
      options.maxTimeoutMs,
    );
    const admitted = admit({ cfg }, {
      session,
      frame,
      op: toOp(frame, newId),
      deadline: nowMs() + timeoutMs,
    });
    if (admitted.isErr()) {
      return { kind: "failed", ...admitted.error };
    }
    const outcome = await run(admitted.value);
    if (outcome.kind === "done") {
      const { group } = admitted.value.group;
      raiseFloor(session, { group, position: outcome.floor });
    }
    return outcome;
  }

  return {
    open(hello) {
      const caller = authenticate(cfg, hello.key);
      if (caller.isErr()) {
        return Err(caller.error);
      }
      const { workspace } = caller.value;
      const floors = hello.token
        ? decodeToken(hello.token, workspace)
        : Ok(new Map());
      if (floors.isErr()) {
        return Err(floors.error);
      }
      const session = { id: newId(), workspace, floors: floors.value };
      return Ok({
        async request(frame) {
          const startedAt = nowMs();
          const outcome = await handle(caller.value, session, frame);
          observe(io, { frame, outcome, workspace, ms: nowMs() - startedAt });
          return toAnswer(frame.id, { outcome, session });
        },
        end: () => options.endSession(session.id),
      });
    },
  };
}

function toAnswer(
  id: ReqId,
  given: { readonly outcome: Outcome; readonly session: Session },
): Answer {
  const { outcome, session } = given;
  const token = encodeToken(session);
  if (outcome.kind === "failed") {
    const { kind: _, ...failure } = outcome;
    return { kind: "failed", id, failure, token };
  }
  return {
    kind: "done",
    id,
    result: outcome.result,
    token,
    servedBy: outcome.servedBy,
    replayed: outcome.replayed ?? false,
  };
}

function observe(
  io: HostIo,
  given: {
    readonly frame: RequestFrame;
    readonly outcome: Outcome;
    readonly workspace: string;
    readonly ms: number;
  },
): void {
  const { frame, outcome, workspace } = given;
  const requestClass = "class" in frame ? frame.class : frame.kind;
  io.metrics.count("requests_total", { workspace, class: requestClass });
  io.metrics.observe("request_ms", given.ms, {
    workspace,
    class: requestClass,
  });
  if (outcome.kind === "failed") {
    io.metrics.count("refusals_total", { workspace, error: outcome.error });
  }
}

function toOp(frame: RequestFrame, newId: () => string): ExecOp {
  const { id } = frame;
  switch (frame.kind) {
    case "read":
      return {
        kind: "read",
        id,
        class: frame.class,
        body: frame.body,
        ...tx(frame),
      };
    case "write":
      return {
        kind: "write",
        id,
        class: frame.class,
        body: frame.body,
        repeatable: frame.repeatable ?? false,
        ...tx(frame),
      };
    case "begin":
      return { kind: "begin", id, tx: asId<TxId>(newId()) };
    case "end":
      return { kind: "end", id, tx: frame.tx, end: frame.end };
    case "outcome":
      return { kind: "outcome", id, of: frame.of };
    default:
      return assertNever(frame);
  }
}

function tx(frame: { readonly tx?: TxId }): { tx?: TxId } {
  return frame.tx ? { tx: frame.tx } : {};
}

const TX_HOST_SEPARATOR = "/";

/** Names the host that will hold the connection in the transaction's id. */
function withTxHost(op: ExecOp, host: HostId): ExecOp {
  return op.kind === "begin"
    ? { ...op, tx: asId<TxId>(`${host}${TX_HOST_SEPARATOR}${op.tx}`) }
    : op;
}

function tryTxHost(op: ExecOp): HostId | undefined {
  if (op.kind === "begin" || !("tx" in op) || !op.tx) {
    return undefined;
  }
  return asId<HostId>(op.tx.split(TX_HOST_SEPARATOR)[0]!);
}

/** Only what was not run, or runs once however often it is sent, goes on. */
function mayTryNext(outcome: Extract<Outcome, { kind: "failed" }>): boolean {
  return outcome.error === "unavailable" || outcome.error === "shutting_down";
}
