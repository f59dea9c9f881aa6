/** Chooses the successor of a primary among fenced targets. */

import type { TargetId } from "../core/ids.ts";
import { isAtLeast, maxPosition, ORIGIN } from "../core/position.ts";
import type { Position, TargetRecord, TargetReport } from "./types.ts";

/** Target with its status report. */
export interface ReportedTarget {
  readonly target: TargetRecord;
  readonly report: TargetReport;
}

/** Conditions for choosing a successor. */
export interface SuccessionOptions {
  /** Number of copies of the log, including targets that did not answer. */
  readonly copies: number;
  /**
   * Log end of the old primary, if it has stepped down. Every acknowledged
   * commit is at or before it, however many copies there are.
   */
  readonly steppedDownAt?: Position | undefined;
  /** Position that a successor must have reached in any case. */
  readonly floor?: Position | undefined;
  /** Number of replicas that hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
  readonly oldPrimary: TargetId | undefined;
  /**
   * Whether the old primary may be chosen again if no other target is known to
   * hold every acknowledged commit.
   */
  readonly mayKeepOldPrimary: boolean;
  /**
   * Whether the old primary has started again since it led, and so may not hold
   * what it has acknowledged.
   */
  readonly hasOldPrimaryRestarted?: boolean;
  /** Target chosen before all others if it holds every acknowledged commit. */
  readonly preferred?: TargetId | undefined;
  /**
   * Whether a target may lead while others may as well; by default unless it is
   * draining.
   */
  mayLead?(target: TargetRecord): boolean;
}

/**
 * Returns the number of targets that must be fenced. Every acknowledged commit
 * is on the primary and on `syncReplicas` replicas, so any set of
 * `copies - syncReplicas` targets includes a holder of each commit. Without
 * synchronous replicas only the primary is sure to be a holder, and a primary
 * that is gone for good could never be replaced. Such services are treated as
 * with one synchronous replica: commits that no replica received may be lost.
 */
export function getRequiredFencedCount(
  options: Pick<SuccessionOptions, "copies" | "syncReplicas">,
): number {
  return Math.max(1, options.copies - Math.max(1, options.syncReplicas));
}

/** Whether the target's log covers that of an old primary that stepped down. */
export function coversOldPrimary(
  { report }: ReportedTarget,
  { steppedDownAt }: Pick<SuccessionOptions, "steppedDownAt">,
): boolean {
  return steppedDownAt !== undefined &&
    isAtLeast(report.position, steppedDownAt);
}

/**
 * Returns a target that holds every acknowledged commit; undefined if none is
 * known to.
 */
export function tryChooseSuccessor(
  fenced: readonly ReportedTarget[],
  options: SuccessionOptions,
): ReportedTarget | undefined {
  const covering = fenced.filter((candidate) =>
    candidate.target.id !== options.oldPrimary &&
    coversOldPrimary(candidate, options)
  );
  if (covering.length > 0) {
    return tryPick(covering, options);
  }
  // The old primary holds what none of the others has received. It leads again
  // until they have.
  return options.steppedDownAt && options.oldPrimary !== undefined
    ? fenced.find(({ target }) => target.id === options.oldPrimary)
    : tryChooseByCount(fenced, options);
}

/** Returns a target that is sure to hold what any other copy may hold. */
function tryChooseByCount(
  fenced: readonly ReportedTarget[],
  options: SuccessionOptions,
): ReportedTarget | undefined {
  const required = getRequiredFencedCount(options);
  const replicas = fenced.filter(({ target }) =>
    target.id !== options.oldPrimary
  );
  // If enough replicas are fenced, the old primary is left out, so that its
  // unacknowledged entries are not required of the successor.
  const eligible = options.hasOldPrimaryRestarted ? replicas : fenced;
  const quorum = replicas.length >= required ? replicas : eligible;
  if (quorum.length < required) {
    return undefined;
  }
  const lastPosition = quorum.reduce(
    (max, { report }) => maxPosition(max, report.position),
    options.floor ?? ORIGIN,
  );
  const upToDate = eligible.filter(({ report }) =>
    isAtLeast(report.position, lastPosition)
  );
  return tryPick(upToDate, options);
}

/** Picks one of several targets with the same entries. */
function tryPick(
  upToDate: readonly ReportedTarget[],
  options: SuccessionOptions,
): ReportedTarget | undefined {
  const isOldPrimary = ({ target }: ReportedTarget) =>
    target.id === options.oldPrimary;
  const mayLead = (target: TargetRecord) =>
    options.mayLead?.(target) ?? !target.isDraining;
  return upToDate.find(({ target }) => target.id === options.preferred) ??
    upToDate.find((candidate) =>
      !isOldPrimary(candidate) && mayLead(candidate.target)
    ) ??
    (options.mayKeepOldPrimary ? upToDate.find(isOldPrimary) : undefined) ??
    upToDate.find((candidate) => !isOldPrimary(candidate));
}
