/** Request pipeline: authenticates, admits, routes, executes and answers. */

import type { HelloFrame } from "../generated/caller.ts";
import { Err, Ok, type Result } from "ts-results-es";
import { admit } from "./admit.ts";
import {
  authenticate,
  type Caller,
  checkCaller,
  isKeyValid,
} from "./authenticate.ts";
import { nowMs } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import type { Failure } from "./errors.ts";
import { assertNever } from "./errors.ts";
import type { Freshness } from "./freshness.ts";
import { asId, type HostId, type ReqId, type TxId } from "./ids.ts";
import { forward } from "./forward.ts";
import type { Placement } from "./placement.ts";
import {
  buildSessionId,
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
  RequestFrame,
} from "./types.ts";

export type { RequestFrame } from "./types.ts";

/** Session of one caller on its entry host. */
export interface CallerSession {
  request(frame: RequestFrame): Promise<Answer>;
  /** Ends the session and rolls back its open transactions. */
  end(): void;
}

/** Opens sessions for callers that connect to this host. */
export interface Entry {
  open(hello: HelloFrame): Result<CallerSession, Failure>;
}

/** Dependencies and time limits of the entry. */
export interface EntryOptions {
  readonly self: HostId;
  readonly cfg: Configuration;
  readonly freshness: Freshness;
  readonly placement: Placement;
  readonly defaultTimeoutMs: number;
  readonly maxTimeoutMs: number;
  /**
   * Runs a request on a pool host. Fails with `outcome_unknown` if the host does
   * not answer.
   */
  exec(host: HostId, req: ExecReq): Promise<Outcome>;
  /** Rolls back the open transactions of a session on the given hosts. */
  endSession(session: string, hosts: readonly HostId[]): void;
}

interface OpenSession {
  readonly caller: Caller;
  end(): void;
}

/** Creates the entry of this host, which serves all of its callers. */
export function createEntry(io: HostIo, options: EntryOptions): Entry {
  const { self, cfg } = options;
  const sessions = new Set<OpenSession>();
  cfg.onChange(endRevokedSessions);

  /** Ends the sessions whose key is no longer valid. */
  function endRevokedSessions(): void {
    for (const { caller, end } of [...sessions]) {
      if (!isKeyValid(cfg, caller)) {
        end();
      }
    }
  }

  function createId(): string {
    const [a, b] = [io.random(), io.random()];
    const unique = `${a.toString(36).slice(2)}${b.toString(36).slice(2)}`;
    return buildSessionId(self, unique);
  }

  function listHosts(admitted: Admitted): readonly HostId[] {
    const hosts = options.placement.listPoolHosts(admitted.group.group);
    return hosts.includes(self)
      ? [self, ...hosts.filter((host) => host !== self)]
      : hosts;
  }

  async function handleRequest(
    caller: Caller,
    session: Session,
    request: { readonly frame: RequestFrame; readonly txHosts: Set<HostId> },
  ): Promise<Outcome> {
    const { frame, txHosts } = request;
    const checked = checkCaller(options, caller);
    if (checked.isErr()) {
      return { kind: "failed", ...checked.error };
    }
    const timeoutMs = Math.min(
      frame.timeoutMs ?? options.defaultTimeoutMs,
      options.maxTimeoutMs,
    );
    const admitted = admit({ cfg }, {
      session,
      frame,
      op: toOp(frame, createId),
      deadline: nowMs() + timeoutMs,
    });
    if (admitted.isErr()) {
      return { kind: "failed", ...admitted.error };
    }
    const { exec } = options;
    const onBegin = (host: HostId) => txHosts.add(host);
    const outcome = await forward({ listHosts, exec, onBegin }, admitted.value);
    if (outcome.kind === "done") {
      const { group } = admitted.value.group;
      raiseFloor(session, { group, position: outcome.floor });
    }
    return outcome;
  }

  return {
    open(hello) {
      const caller = authenticate(options, hello.key);
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
      const session = { id: createId(), workspace, floors: floors.value };
      const txHosts = new Set<HostId>();
      const rollBack = () => options.endSession(session.id, [...txHosts]);
      const openSession: OpenSession = {
        caller: caller.value,
        end() {
          sessions.delete(openSession);
          rollBack();
        },
      };
      sessions.add(openSession);
      return Ok({
        async request(frame) {
          const startedAt = nowMs();
          const outcome = await handleRequest(caller.value, session, {
            frame,
            txHosts,
          });
          if (frame.kind === "begin" && !sessions.has(openSession)) {
            // The transaction may have been opened after the session's end.
            rollBack();
          }
          recordMetrics(io, {
            frame,
            outcome,
            workspace,
            ms: nowMs() - startedAt,
          });
          return toAnswer(frame.id, { outcome, session });
        },
        end: openSession.end,
      });
    },
  };
}

function toAnswer(
  id: ReqId,
  options: { readonly outcome: Outcome; readonly session: Session },
): Answer {
  const { outcome, session } = options;
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

function recordMetrics(
  io: HostIo,
  options: {
    readonly frame: RequestFrame;
    readonly outcome: Outcome;
    readonly workspace: string;
    readonly ms: number;
  },
): void {
  const { frame, outcome, workspace } = options;
  const requestClass = "class" in frame ? frame.class : frame.kind;
  io.metrics.count("requests_total", { workspace, class: requestClass });
  io.metrics.observe("request_ms", options.ms, {
    workspace,
    class: requestClass,
  });
  if (outcome.kind === "failed") {
    io.metrics.count("refusals_total", { workspace, error: outcome.error });
  }
}

function toOp(frame: RequestFrame, createId: () => string): ExecOp {
  const { id } = frame;
  switch (frame.kind) {
    case "read":
      return {
        kind: "read",
        id,
        class: frame.class,
        body: frame.body,
        ...toTxField(frame),
      };
    case "write":
      return {
        kind: "write",
        id,
        class: frame.class,
        body: frame.body,
        repeatable: frame.repeatable ?? false,
        ...toTxField(frame),
      };
    case "begin":
      return { kind: "begin", id, tx: asId<TxId>(createId()) };
    case "end":
      return { kind: "end", id, tx: frame.tx, end: frame.end };
    case "outcome":
      return { kind: "outcome", id, of: frame.of };
    default:
      return assertNever(frame);
  }
}

function toTxField(frame: { readonly tx?: TxId }): { tx?: TxId } {
  return frame.tx ? { tx: frame.tx } : {};
}
