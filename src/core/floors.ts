/** Floors of reads: positions that cover what was acknowledged before. */

import { nowMs, sleep } from "./clock.ts";
import { isAtLeast, tryMajorityFloor } from "./position.ts";
import type { Position, TargetStatus } from "./types.ts";

/** Time that further targets get once a majority has answered. */
const STRAGGLER_WAIT_MS = 10;
/** Time for which a round may serve reads that may be stale. */
const HISTORY_MS = 30_000;

/** What a majority of the targets answered in one round. */
export interface StatusRound {
  readonly startedAt: number;
  /** Covers every write acknowledged before the round began. */
  readonly floor: Position;
  /** End of the log of the primary, if it was among those that answered. */
  readonly primaryLogEnd: Position | undefined;
}

/** Gathers the answers to one round of status requests. */
export async function collectStatusRound(
  requests: readonly Promise<TargetStatus | undefined>[],
): Promise<StatusRound | undefined> {
  const startedAt = nowMs();
  const statuses: TargetStatus[] = [];
  const all = Promise.all(requests.map(async (answer) => {
    const status = await answer;
    if (status) {
      statuses.push(status);
    }
    return status;
  }));
  await waitForMajority(requests);
  // The more targets answer, the lower is the floor that covers the same.
  await Promise.race([all, sleep(STRAGGLER_WAIT_MS)]);
  const logEnds = statuses.map((status) => status.logEnd);
  const floor = tryMajorityFloor(logEnds, requests.length);
  return floor &&
    { startedAt, floor, primaryLogEnd: tryPrimaryLogEnd(statuses) };
}

/** Resolves once a majority or all of the answers are there. */
function waitForMajority(
  requests: readonly Promise<TargetStatus | undefined>[],
): Promise<void> {
  return new Promise((resolve) => {
    let reported = 0;
    let completed = 0;
    for (const answer of requests) {
      void answer.then((status) => {
        completed++;
        reported += status ? 1 : 0;
        if (2 * reported > requests.length || completed === requests.length) {
          resolve();
        }
      });
    }
  });
}

function tryPrimaryLogEnd(
  statuses: readonly TargetStatus[],
): Position | undefined {
  const term = Math.max(0, ...statuses.map((status) => status.term));
  return statuses.find((s) => s.role === "primary" && s.term === term)?.logEnd;
}

/**
 * Whether `floor` was never handed out: the primary of the newest term of a
 * majority holds whatever was acknowledged before the round began.
 */
export function exceedsPrimaryLog(
  floor: Position,
  round: StatusRound,
): boolean {
  return round.primaryLogEnd !== undefined &&
    !isAtLeast(round.primaryLogEnd, floor);
}

/** Floors of the last rounds, for reads that may be stale. */
export interface FloorHistory {
  add(round: StatusRound): void;
  /** The lowest floor of a round that began within the last `maxStaleMs`. */
  tryFloor(maxStaleMs: number): Position | undefined;
}

/** Creates an empty history. */
export function createFloorHistory(): FloorHistory {
  const rounds: StatusRound[] = [];
  return {
    add(round) {
      rounds.push(round);
      while (nowMs() - rounds[0]!.startedAt > HISTORY_MS) {
        rounds.shift();
      }
    },
    tryFloor: (maxStaleMs) =>
      rounds.find((round) => nowMs() - round.startedAt <= maxStaleMs)?.floor,
  };
}
