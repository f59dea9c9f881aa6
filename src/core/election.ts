/** Decisions of a change of primary. */

import { comparePositions, getMajority } from "./position.ts";
import type { TargetStatus } from "./types.ts";

/** The term in which the next primary of a group is to lead. */
export function getNextTerm(terms: readonly number[]): number {
  return Math.max(0, ...terms) + 1;
}

/**
 * The target to promote in `term`: the most advanced of those that accepted
 * the term, by the term of its last log entry and then by position. Undefined
 * unless they are a majority, as only then every acknowledged write is among
 * their logs and every older term has lost its majority.
 */
export function tryChoosePrimary(
  accepted: readonly TargetStatus[],
  options: { readonly term: number; readonly groupSize: number },
): TargetStatus | undefined {
  const fenced = accepted.filter((status) => status.term === options.term);
  if (fenced.length < getMajority(options.groupSize)) {
    return undefined;
  }
  return fenced.toSorted((a, b) => comparePositions(b.logEnd, a.logEnd))[0];
}
