/**
 * Counts the invariant violations of a run from the logs of the targets and the
 * answers that callers received. Shares no code with the system under test.
 */

import type { History } from "./history.ts";
import { countOverRate } from "./rate.ts";
import { countCrossWorkspaceReads, countStaleReads } from "./reads.ts";
import { checkWrites } from "./writes.ts";

/**
 * Number of violations of each invariant; each must be 0. `WriteFindings`
 * describes those of writes.
 */
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

/** Counts the violations of all invariants in a run. */
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
