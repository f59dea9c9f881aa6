/** Chooses the successor of a primary among fenced targets. */

import type { TargetId } from "../core/ids.ts";
import { isAtLeast, maxPosition, ORIGIN } from "../core/position.ts";
import type { TargetRecord, TargetReport } from "./types.ts";

/** A target that acknowledges nothing any more, with its final log. */
export interface Fenced {
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
  readonly mayKeep: boolean;
  /** Chosen before all others if it is safe. */
  readonly preferred?: TargetId | undefined;
}

/**
 * Targets that must be fenced: every acknowledged commit is on the primary and
 * on `syncReplicas` more, so that many copies fewer than all meet each of them.
 */
export function getRequiredCount(
  options: Pick<SuccessionOptions, "copies" | "syncReplicas">,
): number {
  return Math.max(1, options.copies - Math.max(1, options.syncReplicas));
}

/** The target that holds every acknowledged commit; undefined if unknown. */
export function trySuccessor(
  fenced: readonly Fenced[],
  options: SuccessionOptions,
): Fenced | undefined {
  const required = getRequiredCount(options);
  const replicas = fenced.filter(({ target }) =>
    target.id !== options.oldPrimary
  );
  // Without the old primary its unacknowledged entries don't matter.
  const base = replicas.length >= required ? replicas : fenced;
  if (base.length < required) {
    return undefined;
  }
  const end = base.reduce(
    (max, { report }) => maxPosition(max, report.position),
    ORIGIN,
  );
  const complete = fenced.filter(({ report }) =>
    isAtLeast(report.position, end)
  );
  const isOld = ({ target }: Fenced) => target.id === options.oldPrimary;
  return complete.find(({ target }) => target.id === options.preferred) ??
    complete.find((one) => !isOld(one) && !one.target.isDraining) ??
    (options.mayKeep ? complete.find(isOld) : undefined) ??
    complete.find((one) => !isOld(one));
}
