/** Begins a transaction on the first connection that a target grants. */

import type { TargetId } from "../core/ids.ts";
import type { Hold } from "./dispatch.ts";
import type { AgedPosition } from "./floor_log.ts";
import type { PoolFailure } from "./errors.ts";
import type { TargetCommand, TargetRecord } from "./types.ts";
import {
  acquireFor,
  describe,
  getTimeLeftMs,
  listPrimary,
  noteReply,
  prepareLink,
  type Task,
  type WorkContext,
} from "./work.ts";

/** What came of beginning. */
export type Begun =
  | { readonly kind: "begun"; readonly hold: Hold }
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
  ctx: WorkContext,
  task: Task,
  options: {
    list(): readonly TargetRecord[];
    readonly command: TargetCommand;
    /** The floor that the command carries. */
    readonly floor?: AgedPosition;
  },
): Promise<Begun> {
  const acquired = await acquireFor(ctx, task, () => options.list());
  if (acquired.isErr()) {
    return { kind: "refused", failure: acquired.error };
  }
  const hold = acquired.value;
  const fault = await prepareLink(hold, {
    context: task.context,
    then: options.command,
    timeoutMs: getTimeLeftMs(task),
  });
  if (!fault) {
    return { kind: "begun", hold };
  }
  noteReply(ctx, hold, { reply: fault, ms: 0, floor: options.floor });
  hold.release(false);
  return { kind: "fault", target: hold.target.id, reason: describe(fault) };
}

/**
 * Begins a plain transaction at the primary, in which a target that lost the
 * lead refuses every statement.
 */
export function beginAtPrimary(ctx: WorkContext, task: Task): Promise<Begun> {
  return beginOn(ctx, task, {
    list: () => listPrimary(ctx, task.route.service),
    command: { kind: "begin", isReadOnly: false },
  });
}
