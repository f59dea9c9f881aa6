/** Order of log positions and what a majority of targets holds. */

import type { Position } from "./types.ts";

/** The position before the first entry of any log. */
export const ORIGIN: Position = { term: 0, pos: 0 };

/** Orders positions by term, then by place in the log. */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.pos - b.pos;
}

/** Tells whether `a` is at or past `b`. */
export function isAtLeast(a: Position, b: Position): boolean {
  return comparePositions(a, b) >= 0;
}

/** The later of two positions. */
export function maxPosition(a: Position, b: Position): Position {
  return isAtLeast(a, b) ? a : b;
}

/** Number of targets that make a majority of `size`. */
export function getMajority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * The lowest position that covers whatever a majority may hold, given the ends
 * of the logs of the targets that answered. Undefined without a majority.
 */
export function tryMajorityFloor(
  logEnds: readonly Position[],
  groupSize: number,
): Position | undefined {
  const majority = getMajority(groupSize);
  if (logEnds.length < majority) {
    return undefined;
  }
  // A target that did not answer may hold any position, so each missing answer
  // leaves one holder fewer to find among those that did.
  const missing = groupSize - logEnds.length;
  const descending = logEnds.toSorted((a, b) => comparePositions(b, a));
  return descending[majority - missing - 1] ?? descending[0];
}
