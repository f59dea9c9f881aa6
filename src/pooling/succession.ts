/** Chooses the successor of a primary among fenced targets. */

import type { TargetId } from "../core/ids.ts";
import { isAtLeast, maxPosition, ORIGIN } from "../core/position.ts";
import type { TargetRecord, TargetReport } from "./types.ts";

/** A target that acknowledges nothing any more, with its final log. */
export interface FencedTarget {
  readonly target: TargetRecord;
  readonly report: TargetReport;
}

/** What the choice depends on. */
export interface SuccessionOptions {
  /** Copies of the log, whether they answered or not. */
  readonly copies: number;
  /** Replicas that hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
  readonly oldPrimary: TargetId | undefined;
  /** The old primary may lead again if nothing else is safe. */
  readonly mayKeepOldPrimary: boolean;
  /** Chosen before all others if it is safe. */
  readonly preferred?: TargetId | undefined;
}

/**
 * Targets that must be fenced: every acknowledged commit is on the primary and
 * on `syncReplicas` more, so that many copies fewer than all meet each of them.
 */
export function getRequiredFencedCount(
  options: Pick<SuccessionOptions, "copies" | "syncReplicas">,
): number {
  return Math.max(1, options.copies - Math.max(1, options.syncReplicas));
}

/** The target that holds every acknowledged commit; undefined if unknown. */
export function tryChooseSuccessor(
  fenced: readonly FencedTarget[],
  options: SuccessionOptions,
): FencedTarget | undefined {
  const required = getRequiredFencedCount(options);
  const replicas = fenced.filter(({ target }) =>
    target.id !== options.oldPrimary
  );
  // Without the old primary its unacknowledged entries don't matter.
  const quorum = replicas.length >= required ? replicas : fenced;
  if (quorum.length < required) {
    return undefined;
  }
  const lastPosition = quorum.reduce(
    (max, { report }) => maxPosition(max, report.position),
    ORIGIN,
  );
  const upToDate = fenced.filter(({ report }) =>
    isAtLeast(report.position, lastPosition)
  );
  const isOldPrimary = ({ target }: FencedTarget) =>
    target.id === options.oldPrimary;
  return upToDate.find(({ target }) => target.id === options.preferred) ??
    upToDate.find((one) => !isOldPrimary(one) && !one.target.isDraining) ??
    (options.mayKeepOldPrimary ? upToDate.find(isOldPrimary) : undefined) ??
    upToDate.find((one) => !isOldPrimary(one));
}
