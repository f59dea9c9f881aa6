/**
 * History of the primary's log positions, from which read floors are derived. A
 * read floor is the lowest log position that a read must reflect.
 */

import { nowMs } from "../core/clock.ts";
import { isAtLeast, maxPosition } from "../core/position.ts";
import type { ClockJumpDetector } from "./clock_jumps.ts";
import type { Position } from "./types.ts";

/**
 * Time for which samples are kept, in milliseconds; longer than any staleness
 * bound.
 */
const RETENTION_MS = 10_000;
/** Safety margin below the staleness bound, in milliseconds. */
const SAFETY_MARGIN_MS = 100;
/**
 * Minimum interval between samples, in milliseconds; closer samples are merged.
 */
const MERGE_INTERVAL_MS = 50;

/** Position that covers all commits acknowledged before the query was sent. */
interface Sample {
  /** Time taken before the query was sent, on the monotonic clock. */
  readonly sentAt: number;
  readonly position: Position;
}

/** Position with its age. */
export interface AgedPosition {
  readonly position: Position;
  /** Time since the position is known to have been reached, in milliseconds. */
  readonly ageMs: number;
}

/** Consistency that a read requires. */
export interface ReadRequirement {
  readonly maxStaleMs: number;
  /** Position of the session's last commit. */
  readonly sessionPosition?: Position | undefined;
}

/** Recent positions of the primary of one service. */
export interface PositionHistory {
  /**
   * Records the position of a target that was primary when it answered a
   * command sent at `sentAt`.
   */
  record(position: Position, sentAt: number): void;
  /**
   * Returns the lowest read floor that satisfies the requirement; undefined
   * without a sample that is recent enough.
   */
  tryReadFloor(requirement: ReadRequirement): AgedPosition | undefined;
  /** Returns the newest sample, as sent to peers; undefined without one. */
  tryLatest(): AgedPosition | undefined;
  /** Age of the newest sample in milliseconds; infinite without one. */
  getAgeMs(): number;
  /** Records a use of the position other than for a read floor. */
  recordUse(): void;
  /** Time since the last use, in milliseconds. */
  getTimeSinceUseMs(): number;
}

/** Creates an empty history. */
export function createPositionHistory(
  clockJumps: ClockJumpDetector,
): PositionHistory {
  let samples: Sample[] = [];
  let epoch = clockJumps.getEpoch();
  let usedAt = -Infinity;

  function dropInvalid(): void {
    const current = clockJumps.getEpoch();
    if (current !== epoch) {
      epoch = current;
      samples = [];
    }
    const now = nowMs();
    while (samples.length > 1 && now - samples[0]!.sentAt > RETENTION_MS) {
      samples.shift();
    }
  }

  return {
    record(position, sentAt) {
      dropInvalid();
      const last = samples.at(-1);
      if (last && position.term < last.position.term) {
        return;
      }
      if (last && position.term > last.position.term) {
        // The new primary may lack unacknowledged entries of the old term, so
        // older samples may lie beyond its log.
        samples = [{ position, sentAt }];
        return;
      }
      if (last && sentAt <= last.sentAt) {
        return;
      }
      const previous = samples.at(-2);
      if (previous && sentAt - previous.sentAt < MERGE_INTERVAL_MS) {
        samples.pop();
      }
      samples.push({ position, sentAt });
    },
    tryReadFloor({ maxStaleMs, sessionPosition }) {
      dropInvalid();
      const now = nowMs();
      usedAt = now;
      const recent = samples.find(({ sentAt }) =>
        now - sentAt <= maxStaleMs - SAFETY_MARGIN_MS
      );
      if (!recent) {
        return undefined;
      }
      const ageMs = now - recent.sentAt;
      const { term } = recent.position;
      // A newer term includes every acknowledged commit of older terms.
      if (!sessionPosition || sessionPosition.term < term) {
        return { position: recent.position, ageMs };
      }
      if (isAtLeast(recent.position, sessionPosition)) {
        return { position: recent.position, ageMs };
      }
      const covering = samples.find(({ position }) =>
        isAtLeast(position, sessionPosition)
      );
      return {
        position: maxPosition(recent.position, sessionPosition),
        ageMs: covering ? now - covering.sentAt : 0,
      };
    },
    tryLatest() {
      dropInvalid();
      const last = samples.at(-1);
      return last &&
        { position: last.position, ageMs: nowMs() - last.sentAt };
    },
    getAgeMs() {
      dropInvalid();
      const last = samples.at(-1);
      return last ? nowMs() - last.sentAt : Infinity;
    },
    recordUse() {
      usedAt = nowMs();
    },
    getTimeSinceUseMs: () => nowMs() - usedAt,
  };
}
