/** Begins a transaction on the first connection that a target grants. */

import type { TargetId } from "../core/ids.ts";
import type { Checkout } from "./dispatch.ts";
import type { AgedPosition } from "./floor_log.ts";
import type { PoolFailure } from "./errors.ts";
import type { TargetCommand, TargetRecord } from "./types.ts";
import {
  acquireConnection,
  describeReply,
  type ExecutionContext,
  getTimeLeftMs,
  listPrimary,
  prepareConnection,
  recordReply,
  type Task,
} from "./work.ts";

/** What came of beginning. */
export type BeginResult =
  | { readonly kind: "begun"; readonly checkout: Checkout }
  /** No connection was granted. */
  | { readonly kind: "refused"; readonly failure: PoolFailure }
  /** The target did not begin; the connection is given up. */
  | {
    readonly kind: "fault";
    readonly target: TargetId;
    readonly reason: string;
  };

/** Begins on one of the targets listed, with the state of the session. */
export async function beginOn(
  ctx: ExecutionContext,
  task: Task,
  options: {
    listCandidates(): readonly TargetRecord[];
    readonly command: TargetCommand;
    /** The floor that the command carries. */
    readonly floor?: AgedPosition;
  },
): Promise<BeginResult> {
  const acquired = await acquireConnection(
    ctx,
    task,
    () => options.listCandidates(),
  );
  if (acquired.isErr()) {
    return { kind: "refused", failure: acquired.error };
  }
  const checkout = acquired.value;
  const fault = await prepareConnection(checkout, {
    context: task.context,
    followUp: options.command,
    timeoutMs: getTimeLeftMs(task),
  });
  if (!fault) {
    return { kind: "begun", checkout: checkout };
  }
  recordReply(ctx, checkout, {
    reply: fault,
    latencyMs: 0,
    floor: options.floor,
  });
  checkout.release(false);
  return {
    kind: "fault",
    target: checkout.target.id,
    reason: describeReply(fault),
  };
}

/**
 * Begins a plain transaction at the primary, in which a target that lost the
 * lead refuses every statement.
 */
export function beginAtPrimary(
  ctx: ExecutionContext,
  task: Task,
): Promise<BeginResult> {
  return beginOn(ctx, task, {
    listCandidates: () => listPrimary(ctx, task.route.service),
    command: { kind: "begin", isReadOnly: false },
  });
}
