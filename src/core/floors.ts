/** Read floors: positions that cover all writes acknowledged so far. */

import { nowMs, sleep } from "./clock.ts";
import { isAtLeast, tryMajorityFloor } from "./position.ts";
import type { Position, TargetStatus } from "./types.ts";

/** Time to wait for the remaining targets once a majority has answered. */
const STRAGGLER_WAIT_MS = 10;
/** Time for which the floor of a round is kept for bounded-staleness reads. */
const HISTORY_MS = 30_000;

/** Result of one round of status requests that a majority answered. */
export interface StatusRound {
  readonly startedAt: number;
  /** Read floor that covers every write acknowledged before the round. */
  readonly floor: Position;
  /** Log end of the primary; undefined if the primary did not answer. */
  readonly primaryLogEnd: Position | undefined;
}

/**
 * Collects the answers to one round of status requests. Resolves to undefined
 * if no majority answers.
 */
export async function collectStatusRound(
  requests: readonly Promise<TargetStatus | undefined>[],
): Promise<StatusRound | undefined> {
  const startedAt = nowMs();
  const statuses: TargetStatus[] = [];
  const all = Promise.all(requests.map(async (request) => {
    const status = await request;
    if (status) {
      statuses.push(status);
    }
    return status;
  }));
  await waitForMajority(requests);
  // Further answers rule out entries that a majority could have stored, so the
  // floor covers the same writes at a lower or equal position.
  await Promise.race([all, sleep(STRAGGLER_WAIT_MS)]);
  const logEnds = statuses.map((status) => status.logEnd);
  const floor = tryMajorityFloor(logEnds, requests.length);
  return floor &&
    { startedAt, floor, primaryLogEnd: tryPrimaryLogEnd(statuses) };
}

/** Resolves once a majority has answered or all requests have completed. */
function waitForMajority(
  requests: readonly Promise<TargetStatus | undefined>[],
): Promise<void> {
  return new Promise((resolve) => {
    let answered = 0;
    let completed = 0;
    for (const request of requests) {
      void request.then((status) => {
        completed++;
        answered += status ? 1 : 0;
        if (2 * answered > requests.length || completed === requests.length) {
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
 * Returns true if no host can have issued `floor`: the primary of the newest
 * term in a majority stores every write acknowledged before the round began,
 * and `floor` lies beyond the end of its log.
 */
export function exceedsPrimaryLog(
  floor: Position,
  round: StatusRound,
): boolean {
  return round.primaryLogEnd !== undefined &&
    !isAtLeast(round.primaryLogEnd, floor);
}

/** Read floors of recent status rounds, for bounded-staleness reads. */
export interface FloorHistory {
  add(round: StatusRound): void;
  /**
   * Returns the floor of the oldest round that began within the last
   * `maxStaleMs`.
   */
  tryFloor(maxStaleMs: number): Position | undefined;
}

/** Creates an empty floor history. */
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
