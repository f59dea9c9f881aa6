/** What the logs of two targets have in common, and when one is long enough. */

import { isAtLeast } from "../src/core/position.ts";
import type { Position, TargetStatus } from "../src/core/types.ts";
import type { TermStart } from "./target_types.ts";

/** Entries that two logs have in common, found by where their terms begin. */
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

/** Tells whether an await request is answered. */
export function hasReached(status: TargetStatus, at: Position): boolean {
  return isAtLeast(status.logEnd, at);
}
