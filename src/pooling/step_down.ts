/** Makes a primary step down, which ends its acknowledgements. */

import type { ExecutionContext } from "./execution.ts";
import { sendControlCommand } from "./control.ts";
import type { Position, TargetRecord, TargetReport } from "./types.ts";

/** Result of an attempt to make a target step down. */
export type StepDownRes =
  /** No commit after this log end was or will be acknowledged by the target. */
  | { readonly kind: "stepped_down"; readonly position: Position }
  /** Answers, and may still be primary. */
  | { readonly kind: "answers" }
  /**
   * Was a replica at the first answer. Its log end bounds acknowledged commits
   * only if it is known to be the last primary, and to have followed no other.
   */
  | {
    readonly kind: "not_primary";
    /** Undefined if the target may follow a primary of this term or later. */
    readonly position: Position | undefined;
  }
  | { readonly kind: "unreachable" };

/** Whether no answer of a target means that it is not there. */
export function isLikelyDark(
  ctx: ExecutionContext,
  { id }: TargetRecord,
): boolean {
  return ctx.health.isSuspect(id) || ctx.directory.tryGet(id) === undefined;
}

/** Target that was paused or made to step down, as it reports itself. */
export interface HaltedTarget {
  /** Whether the target led before. */
  readonly wasPrimary: boolean;
  /** Undefined if the last command got no report. */
  readonly report: TargetReport | undefined;
}

/** Pauses a replica, or makes a primary step down. */
export async function haltTarget(
  ctx: ExecutionContext,
  options: { readonly target: TargetRecord; readonly term: number },
): Promise<HaltedTarget> {
  const { target, term } = options;
  // A primary ignores this command.
  const paused = await sendControlCommand(ctx, target, { kind: "pause", term });
  return paused?.role === "primary"
    ? {
      wasPrimary: true,
      report: await sendControlCommand(ctx, target, {
        kind: "step_down",
        term,
      }),
    }
    : { wasPrimary: false, report: paused };
}

/**
 * Returns a function that makes one attempt. The function remembers whether the
 * target was primary, since the answer to a successful attempt may be lost.
 */
export function createStepDown(
  ctx: ExecutionContext,
  options: { readonly target: TargetRecord; readonly term: number },
): (attempt?: {
  /** Whether another host has made the target step down for this term. */
  readonly isDeposed: boolean;
}) => Promise<StepDownRes> {
  const { target, term } = options;
  let wasPrimary = false;

  return async (attempt) => {
    const halted = await haltTarget(ctx, options);
    wasPrimary ||= halted.wasPrimary || attempt?.isDeposed === true;
    const { report } = halted;
    if (!report) {
      return isLikelyDark(ctx, target)
        ? { kind: "unreachable" }
        : { kind: "answers" };
    }
    if (report.role === "primary") {
      return { kind: "answers" };
    }
    // In a later term, another target leads and may have replaced entries.
    return wasPrimary && report.term <= term
      ? { kind: "stepped_down", position: report.position }
      : {
        kind: "not_primary",
        position: report.term < term ? report.position : undefined,
      };
  };
}
