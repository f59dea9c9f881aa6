/** Ordering of log positions, and quorum arithmetic on them. */

import type { Position } from "./types.ts";

/** Position before the first entry of any log. */
export const ORIGIN: Position = { term: 0, pos: 0 };

/** Orders positions by term, then by index in the log. */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.pos - b.pos;
}

/** Returns true if `a` is equal to or after `b`. */
export function isAtLeast(a: Position, b: Position): boolean {
  return comparePositions(a, b) >= 0;
}

/** Returns the later of two positions. */
export function maxPosition(a: Position, b: Position): Position {
  return isAtLeast(a, b) ? a : b;
}

/**
 * Whether a log with this end has the entry at a position, which a log of a
 * later term may have lost.
 */
export function hasEntry(
  logEnd: Position | undefined,
  position: Position,
): boolean {
  return logEnd?.term === position.term && isAtLeast(logEnd, position);
}

/** Raises the position under a key to at least `position`. */
export function raisePosition<K>(
  positions: Map<K, Position>,
  key: K,
  position: Position,
): void {
  positions.set(key, maxPosition(positions.get(key) ?? ORIGIN, position));
}

/** Returns the number of targets that form a majority of `size`. */
export function getMajority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Returns the lowest position that covers every entry that a majority may
 * store, given the log ends of the targets that answered. Returns undefined if
 * no majority answered.
 */
export function tryMajorityFloor(
  logEnds: readonly Position[],
  groupSize: number,
): Position | undefined {
  const majority = getMajority(groupSize);
  if (logEnds.length < majority) {
    return undefined;
  }
  // A target that did not answer may store any entry. Each missing answer thus
  // lowers by one the number of targets needed among those that answered.
  const missing = groupSize - logEnds.length;
  const descending = logEnds.toSorted((a, b) => comparePositions(b, a));
  return descending[majority - missing - 1] ?? descending[0];
}
