/** Floors of reads: positions that cover what was acknowledged before. */

import { nowMs, sleep } from "./clock.ts";
import { isAtLeast, tryMajorityFloor } from "./position.ts";
import type { Position, TargetStatus } from "./types.ts";

/** Time that further targets get once a majority has answered. */
const GRACE_MS = 10;
/** Time for which a round may serve reads that may be stale. */
const KEEP_MS = 30_000;

/** What a majority of the targets answered in one round. */
export interface Round {
  readonly startedAt: number;
  /** Covers every write acknowledged before the round began. */
  readonly floor: Position;
  /** End of the log of the primary, if it was among those that answered. */
  readonly primaryEnd: Position | undefined;
}

/** Gathers the answers to one round of status requests. */
export async function gatherRound(
  asked: readonly Promise<TargetStatus | undefined>[],
): Promise<Round | undefined> {
  const startedAt = nowMs();
  const statuses: TargetStatus[] = [];
  const all = Promise.all(asked.map(async (answer) => {
    const status = await answer;
    if (status) {
      statuses.push(status);
    }
    return status;
  }));
  await untilMajority(asked);
  // The more targets answer, the lower is the floor that covers the same.
  await Promise.race([all, sleep(GRACE_MS)]);
  const logEnds = statuses.map((status) => status.logEnd);
  const floor = tryMajorityFloor(logEnds, asked.length);
  return floor &&
    { startedAt, floor, primaryEnd: tryPrimaryEnd(statuses) };
}

/** Resolves once a majority or all of the answers are there. */
function untilMajority(
  asked: readonly Promise<TargetStatus | undefined>[],
): Promise<void> {
  return new Promise((resolve) => {
    let found = 0;
    let answers = 0;
    for (const answer of asked) {
      void answer.then((status) => {
        answers++;
        found += status ? 1 : 0;
        if (2 * found > asked.length || answers === asked.length) {
          resolve();
        }
      });
    }
  });
}

function tryPrimaryEnd(
  statuses: readonly TargetStatus[],
): Position | undefined {
  const term = Math.max(0, ...statuses.map((status) => status.term));
  return statuses.find((s) => s.role === "primary" && s.term === term)?.logEnd;
}

/**
 * Whether `floor` was never handed out: the primary of the newest term of a
 * majority holds whatever was acknowledged before the round began.
 */
export function isBeyond(floor: Position, round: Round): boolean {
  return round.primaryEnd !== undefined && !isAtLeast(round.primaryEnd, floor);
}

/** Floors of the last rounds, for reads that may be stale. */
export interface FloorHistory {
  add(round: Round): void;
  /** The lowest floor of a round that began within the last `maxStaleMs`. */
  tryFloor(maxStaleMs: number): Position | undefined;
}

/** Creates an empty history. */
export function createFloorHistory(): FloorHistory {
  const rounds: Round[] = [];
  return {
    add(round) {
      rounds.push(round);
      while (nowMs() - rounds[0]!.startedAt > KEEP_MS) {
        rounds.shift();
      }
    },
    tryFloor: (maxStaleMs) =>
      rounds.find((round) => nowMs() - round.startedAt <= maxStaleMs)?.floor,
  };
}
