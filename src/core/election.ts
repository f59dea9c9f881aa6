/** Choice of the term and the target when a primary is replaced. */

import type { TargetId } from "./ids.ts";
import { comparePositions, getMajority } from "./position.ts";
import type { GroupInfo, TargetStatus } from "./types.ts";

/** Returns the term of the next primary of a group: above every known term. */
export function getNextTerm(terms: readonly number[]): number {
  return Math.max(0, ...terms) + 1;
}

/**
 * Returns the target to promote in `term`: the most advanced target that has
 * accepted the term, by the term of its last log entry and then by position.
 * Undefined unless the targets that accepted form a majority: only then do
 * their logs include every acknowledged write, and has every older term lost
 * its majority. The `excluded` target is neither counted nor chosen.
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

/** Returns whether a group keeps a majority without its leaving targets. */
export function canHandOver(group: GroupInfo): boolean {
  const staying = group.targets.filter((target) => !target.leaving);
  return staying.length >= getMajority(group.targets.length);
}
