/** Writes outside transactions: executed by the primary at most once. */

import { nowMs, sleep } from "../core/clock.ts";
import type { Checkout } from "./dispatch.ts";
import {
  acquireConnection,
  choosePrimary,
  confirmCommit,
  describeReply,
  type ExecutionContext,
  getTimeLeftMs,
  isClean,
  type Outcome,
  prepareConnection,
  recordPrimary,
  recordReply,
  sendWithTimeout,
  type Task,
  type TimedReply,
  toCommand,
  tryGetLoadRefusal,
} from "./execution.ts";

/** Maximum number of attempts for a write that targets refuse to run. */
const MAX_ATTEMPTS = 4;
/** Delay before a refused write is retried. */
const RETRY_DELAY_MS = 20;

/** Executes a write outside a transaction for a session. */
export async function executeWrite(
  ctx: ExecutionContext,
  task: Task,
): Promise<Outcome> {
  let reason = "not sent";
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const acquired = await acquireConnection(
      ctx,
      task,
      choosePrimary(ctx, task),
    );
    if (acquired.isErr()) {
      return { kind: "failed", ...acquired.error };
    }
    const result = await sendWrite(ctx, task, acquired.value);
    if (result.kind !== "refused") {
      return result;
    }
    reason = result.reason;
    await sleep(RETRY_DELAY_MS);
  }
  return { kind: "failed", error: "overloaded", detail: reason };
}

type SendResult = Outcome | {
  /** The target did not run the write. */
  readonly kind: "refused";
  readonly reason: string;
};

async function sendWrite(
  ctx: ExecutionContext,
  task: Task,
  checkout: Checkout,
): Promise<SendResult> {
  const fault = await prepareConnection(checkout, {
    context: task.context,
    timeoutMs: getTimeLeftMs(task),
  });
  if (fault || !checkout.pooled.link.isOpen()) {
    checkout.release(false);
    return {
      kind: "refused",
      reason: fault ? describeReply(fault) : "closed",
    };
  }
  const sentAt = nowMs();
  const reply = await sendWithTimeout(
    checkout,
    toCommand(task.operation, { checkout }),
    getTimeLeftMs(task),
  );
  recordReply(ctx, checkout, { reply, latencyMs: nowMs() - sentAt });
  checkout.release(isClean(reply));
  if (reply.kind === "done" && reply.position) {
    recordPrimary(ctx, checkout, { position: reply.position, sentAt });
  }
  const sent = toSendResult(reply);
  const result = sent.kind === "done"
    ? await confirmCommit(ctx, task, {
      outcome: sent,
      primary: checkout.target.id,
    })
    : sent;
  const fields = {
    id: task.operation.id,
    workspace: task.workspace,
    service: task.route.service,
    target: checkout.target.id,
    ms: Math.round(nowMs() - task.startedAt),
  };
  if (result.kind === "done") {
    ctx.io.log.request("write_answered", fields);
  } else {
    ctx.io.log.info("write_not_acknowledged", {
      ...fields,
      reason: describeReply(reply),
      kind: result.kind,
    });
  }
  return result;
}

function toSendResult(reply: TimedReply): SendResult {
  const detail = describeReply(reply);
  const refused = tryGetLoadRefusal(reply);
  if (refused) {
    return { kind: "failed", ...refused };
  }
  switch (reply.kind) {
    case "done": {
      const { rows, signature, position } = reply;
      return { kind: "done", rows, signature, position };
    }
    case "lost":
    case "silent":
      return { kind: "failed", error: "in_doubt", detail };
    case "error":
      return meansNotRun(reply.code)
        ? { kind: "refused", reason: detail }
        : toFailure(reply.code, detail);
  }
}

type ErrorReply = Extract<TimedReply, { readonly kind: "error" }>;

/** Whether this error code means that the target did not run the command. */
export function meansNotRun(code: ErrorReply["code"]): boolean {
  switch (code) {
    case "busy":
    case "lagging":
    case "read_only":
    case "unknown_statement":
    case "wrong_target":
    case "too_many_connections":
    case "not_sent":
    case "target_down":
      return true;
    case "failed":
    case "timeout":
    case "malformed":
    case "other":
      return false;
  }
}

/** Maps the error code of a statement that may have run to an outcome. */
export function toFailure(
  code: ErrorReply["code"],
  detail: string,
): Extract<Outcome, { readonly kind: "failed" }> {
  switch (code) {
    case "failed":
      return { kind: "failed", error: "failed", detail };
    case "malformed":
      return { kind: "failed", error: "malformed", detail };
    default:
      return { kind: "failed", error: "in_doubt", detail };
  }
}
