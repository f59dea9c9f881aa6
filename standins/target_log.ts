/** Compares the logs of two targets. */

import { isAtLeast } from "../src/core/position.ts";
import type { Position, TargetStatus } from "../src/core/types.ts";
import type { TermStart } from "./target_types.ts";

/**
 * Returns the length of the common prefix of two logs. Compares the terms and
 * their start positions only: entries of the same term and position are equal.
 */
export function getCommonLength(
  replica: { readonly termStarts: readonly TermStart[]; length: number },
  primary: { readonly termStarts: readonly TermStart[]; length: number },
): number {
  let common = 0;
  for (const [index, start] of replica.termStarts.entries()) {
    const other = primary.termStarts[index];
    if (other?.term !== start.term || other.pos !== start.pos) {
      break;
    }
    const end = replica.termStarts[index + 1]?.pos ?? replica.length + 1;
    const otherEnd = primary.termStarts[index + 1]?.pos ?? primary.length + 1;
    common = Math.min(end, otherEnd) - 1;
    if (end !== otherEnd) {
      break;
    }
  }
  return common;
}

/** Returns whether the log of a target has reached a position. */
export function hasReached(status: TargetStatus, position: Position): boolean {
  return isAtLeast(status.logEnd, position);
}
