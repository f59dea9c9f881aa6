/** Sends one statement to a target over a pooled connection. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "./clock.ts";
import type { Connections } from "./connections.ts";
import type { Failure } from "./errors.ts";
import { assertNever } from "./errors.ts";
import type { WorkspaceId } from "./ids.ts";
import type { Queue, Slot } from "./queue.ts";
import type {
  HostIo,
  RunReq,
  RunRes,
  TargetConn,
  TargetErr,
  TargetInfo,
} from "./types.ts";

/** A statement is sent only if this much time is left for its answer. */
const MIN_ANSWER_WAIT_MS = 1;
/** A statement without an answer is assumed to run for this time at most. */
const UNANSWERED_TOKEN_HOLD_MS = 5_000;

/** Dependencies of sending a statement. */
export interface SendContext {
  readonly io: HostIo;
  readonly queue: Queue;
  readonly connections: Connections;
}

/** Statement to send to one target, with its deadline. */
export interface StatementRequest {
  readonly target: TargetInfo;
  readonly workspace: WorkspaceId;
  readonly req: RunReq;
  readonly deadline: number;
  /** Called immediately before sending; the statement is dropped on false. */
  tryStart?(): boolean;
}

/** Error of a statement: refused before sending, or failed at the target. */
export type SendErr =
  | { readonly kind: "refused"; readonly failure: Failure }
  | { readonly kind: "target"; readonly err: TargetErr };

/** Pooled connection together with the slot for one statement. */
export interface ReservedConnection {
  readonly conn: TargetConn;
  readonly slot: Slot;
}

/** Waits for a rate-limit token, a slot and a connection, in this order. */
export async function reserveConnection(
  ctx: Omit<SendContext, "io">,
  request: Omit<StatementRequest, "req">,
): Promise<Result<ReservedConnection, SendErr>> {
  const { target, workspace, deadline } = request;
  while (true) {
    const slot = await ctx.queue.enter(target.target, { workspace, deadline });
    if (slot.isErr()) {
      return Err({ kind: "refused", failure: slot.error });
    }
    const conn = await ctx.connections.acquire(target, { deadline });
    if (conn.isErr()) {
      slot.value.release();
      return Err({ kind: "target", err: conn.error });
    }
    const isInTime = deadline - nowMs() >= MIN_ANSWER_WAIT_MS;
    // The statement is sent in the same turn of the event loop, so the token
    // cannot expire in between.
    if (isInTime && slot.value.isValid()) {
      return Ok({ conn: conn.value, slot: slot.value });
    }
    ctx.connections.release(conn.value, { clean: true });
    slot.value.release();
    if (!isInTime) {
      const failure: Failure = { error: "deadline_exceeded" };
      return Err({ kind: "refused", failure });
    }
  }
}

/** Reserves a connection, runs the statement on it and releases it. */
export async function send(
  ctx: SendContext,
  request: StatementRequest,
): Promise<Result<RunRes, SendErr>> {
  const { target, workspace, req, deadline } = request;
  const startedAt = nowMs();
  const reserved = await reserveConnection(ctx, request);
  if (reserved.isErr()) {
    return reserved;
  }
  ctx.io.metrics.observe("queue_ms", nowMs() - startedAt, { workspace });
  const { conn, slot } = reserved.value;
  if (request.tryStart && !request.tryStart()) {
    ctx.connections.release(conn, { clean: true });
    slot.release();
    return Err({ kind: "refused", failure: { error: "unavailable" } });
  }
  ctx.io.metrics.count("target_sends_total", { target: target.target });
  const res = await conn.run(req, deadline - nowMs());
  // Without an answer, the statement may still be running on the connection.
  const clean = res.isOk() || res.error.kind !== "no_answer";
  ctx.connections.release(conn, { clean });
  // A statement without an answer may still run, so it keeps its rate-limit
  // token for a while. Its slot is freed immediately.
  if (clean) {
    slot.release();
  } else {
    slot.detach();
    setTimeout(slot.release, UNANSWERED_TOKEN_HOLD_MS);
  }
  if (res.isErr()) {
    return Err({ kind: "target", err: res.error });
  }
  return Ok(res.value);
}

/** Converts the error of a statement that is not retried to a failure. */
export function toFailure(err: SendErr): Failure {
  switch (err.kind) {
    case "refused":
      return err.failure;
    case "target":
      return toTargetFailure(err.err);
    default:
      return assertNever(err);
  }
}

function toTargetFailure(err: TargetErr): Failure {
  switch (err.kind) {
    case "unreachable":
    case "connection_refused":
    case "not_primary":
    case "stale_term":
      return { error: "unavailable" };
    case "no_answer":
      return { error: err.sent ? "outcome_unknown" : "unavailable" };
    case "statement_failed":
      return {
        error: "statement_failed",
        ...(err.detail ? { detail: err.detail } : {}),
      };
    case "cancelled":
      return { error: "cancelled" };
    case "id_reused":
      return { error: "request_id_reused" };
    default:
      return assertNever(err.kind);
  }
}
