/** Decisions of a change of primary. */

import type { TargetId } from "./ids.ts";
import { comparePositions, getMajority } from "./position.ts";
import type { GroupInfo, TargetStatus } from "./types.ts";

/** The term in which the next primary of a group is to lead. */
export function getNextTerm(terms: readonly number[]): number {
  return Math.max(0, ...terms) + 1;
}

/**
 * The target to promote in `term`: the most advanced of those that accepted
 * the term, by the term of its last log entry and then by position. Undefined
 * unless they are a majority, as only then every acknowledged write is among
 * their logs and every older term has lost its majority. A target that is not
 * to lead counts for neither.
 */
export function tryChoosePrimary(
  accepted: readonly TargetStatus[],
  options: {
    readonly term: number;
    readonly groupSize: number;
    readonly excluded?: TargetId;
  },
): TargetStatus | undefined {
  const { term, groupSize, excluded } = options;
  const fenced = accepted.filter((status) =>
    status.term === term && status.target !== excluded
  );
  if (fenced.length < getMajority(groupSize)) {
    return undefined;
  }
  return fenced.toSorted((a, b) => comparePositions(b.logEnd, a.logEnd))[0];
}

/** Whether a group could be led without its leaving targets. */
export function canHandOver(group: GroupInfo): boolean {
  const staying = group.targets.filter((target) => !target.leaving);
  return staying.length >= getMajority(group.targets.length);
}
