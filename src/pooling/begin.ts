/** Starts transactions on connections to targets. */

import { nowMs } from "../core/clock.ts";
import type { TargetId } from "../core/ids.ts";
import type { Checkout } from "./dispatch.ts";
import type { AgedPosition } from "./position_history.ts";
import type { PoolFailure } from "./errors.ts";
import type { TargetCommand } from "./types.ts";
import {
  acquireConnection,
  choosePrimary,
  describeReply,
  type ExecutionContext,
  getTimeLeftMs,
  prepareConnection,
  recordReply,
  type TargetChoice,
  type Task,
  tryGetLoadRefusal,
} from "./execution.ts";

/** Result of an attempt to begin a transaction. */
export type BeginResult =
  | { readonly kind: "begun"; readonly checkout: Checkout }
  /** No connection could be acquired. */
  | { readonly kind: "refused"; readonly failure: PoolFailure }
  /** The target did not begin the transaction; its connection was closed. */
  | {
    readonly kind: "fault";
    readonly target: TargetId;
    readonly reason: string;
  };

/**
 * Begins a transaction on the first target that grants a connection, after the
 * session's state has been applied to that connection.
 */
export async function beginAtCandidate(
  ctx: ExecutionContext,
  task: Task,
  options: {
    readonly choice: TargetChoice;
    readonly command: TargetCommand;
    /** Read floor that the command carries. */
    readonly floor?: AgedPosition;
  },
): Promise<BeginResult> {
  const acquired = await acquireConnection(ctx, task, options.choice);
  if (acquired.isErr()) {
    return { kind: "refused", failure: acquired.error };
  }
  const checkout = acquired.value;
  const sentAt = nowMs();
  const fault = await prepareConnection(checkout, {
    context: task.context,
    followUp: options.command,
    timeoutMs: getTimeLeftMs(task),
  });
  if (!fault) {
    return { kind: "begun", checkout };
  }
  recordReply(ctx, checkout, {
    reply: fault,
    latencyMs: nowMs() - sentAt,
    floor: options.floor,
  });
  checkout.release(false);
  const refused = tryGetLoadRefusal(fault);
  if (refused) {
    return { kind: "refused", failure: refused };
  }
  return {
    kind: "fault",
    target: checkout.target.id,
    reason: describeReply(fault),
  };
}

/**
 * Begins a read-write transaction at the primary. A target that is no longer
 * the primary refuses every statement in such a transaction.
 */
export function beginAtPrimary(
  ctx: ExecutionContext,
  task: Task,
): Promise<BeginResult> {
  return beginAtCandidate(ctx, task, {
    choice: choosePrimary(ctx, task),
    command: { kind: "begin", isReadOnly: false },
  });
}
