/**
 * Counts every broken invariant of a run from what targets ran and what callers
 * were told. Shares no code with the decisions of the system.
 */

import type { History } from "./history.ts";
import { countOverRate } from "./rate.ts";
import { countCrossWorkspaceReads, countStaleReads } from "./reads.ts";
import { checkWrites } from "./writes.ts";

/** How often each invariant was broken; each must be 0. */
export interface InvariantCounts {
  readonly lost: number;
  readonly doubled: number;
  readonly staleReads: number;
  readonly wrongWorkspace: number;
  readonly mixedTransactions: number;
  readonly oldPrimaryAcks: number;
  readonly overRate: number;
  readonly falseNotRun: number;
  readonly ranTwice: number;
  readonly keyAtTarget: number;
}

/** Checks a whole run. */
export function checkHistory(history: History): InvariantCounts {
  const writes = checkWrites(history);
  const targets = history.groups.flatMap((group) => group.targets);
  return {
    lost: writes.lost,
    doubled: writes.doubled,
    staleReads: countStaleReads(history.reqs),
    wrongWorkspace: writes.wrongWorkspace + countCrossWorkspaceReads(history),
    mixedTransactions: writes.mixedTransactions,
    oldPrimaryAcks: writes.oldPrimaryAcks,
    overRate: countOverRate(history),
    falseNotRun: writes.falseNotRun,
    ranTwice: writes.ranTwice,
    keyAtTarget: targets.reduce((sum, target) => sum + target.keyHits, 0),
  };
}
