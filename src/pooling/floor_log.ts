/** Floors of reads: positions that cover what was acknowledged before a time. */

import { nowMs } from "../core/clock.ts";
import { isAtLeast, maxPosition } from "../core/position.ts";
import type { ClockJumpDetector } from "./clock_guard.ts";
import type { Position } from "./types.ts";

/** Time for which samples are kept; longer than any bound that is used. */
const RETENTION_MS = 10_000;
/** Safety margin below the staleness bound, in milliseconds. */
const SAFETY_MARGIN_MS = 100;
/** Samples closer together than this are merged, in milliseconds. */
const MERGE_INTERVAL_MS = 50;

/** A position with the time from which it covers all acknowledged commits. */
interface Sample {
  /** Before the question was sent, on the monotonic clock. */
  readonly sentAt: number;
  readonly position: Position;
}

/** A floor with its age. */
export interface AgedPosition {
  readonly position: Position;
  /** Time for which the position is known to have been reached. */
  readonly ageMs: number;
}

/** What a session has to see. */
export interface ReadRequirement {
  readonly maxStaleMs: number;
  /** Position of the last commit of the session. */
  readonly sessionPosition?: Position | undefined;
}

/** Positions of the primary of one service. */
export interface PositionHistory {
  /**
   * Takes the position of a target that was primary when it answered a
   * question sent at `askedAt`.
   */
  record(position: Position, askedAt: number): void;
  /** The lowest floor that satisfies the need. */
  tryReadFloor(requirement: ReadRequirement): AgedPosition | undefined;
  /** The newest sample, to be told to a peer. */
  tryLatest(): AgedPosition | undefined;
  /** Age of the newest sample in milliseconds; infinite without one. */
  getAgeMs(): number;
}

/** Creates an empty log. */
export function createPositionHistory(
  clockJumps: ClockJumpDetector,
): PositionHistory {
  let samples: Sample[] = [];
  let epoch = clockJumps.getEpoch();

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
    record(position, askedAt) {
      dropInvalid();
      const last = samples.at(-1);
      if (last && position.term < last.position.term) {
        return;
      }
      if (last && position.term > last.position.term) {
        // The new primary may lack unacknowledged entries of the old term.
        samples = [{ position, sentAt: askedAt }];
        return;
      }
      if (last && askedAt <= last.sentAt) {
        return;
      }
      const previous = samples.at(-2);
      if (previous && askedAt - previous.sentAt < MERGE_INTERVAL_MS) {
        samples.pop();
      }
      samples.push({ position, sentAt: askedAt });
    },
    tryReadFloor({ maxStaleMs, sessionPosition: own }) {
      dropInvalid();
      const now = nowMs();
      const recent = samples.find(({ sentAt: askedAt }) =>
        now - askedAt <= maxStaleMs - SAFETY_MARGIN_MS
      );
      if (!recent) {
        return undefined;
      }
      const ageMs = now - recent.sentAt;
      const { term } = recent.position;
      // A newer term holds every acknowledged commit of the older ones.
      if (!own || own.term < term) {
        return { position: recent.position, ageMs };
      }
      if (isAtLeast(recent.position, own)) {
        return { position: recent.position, ageMs };
      }
      const covering = samples.find(({ position }) => isAtLeast(position, own));
      return {
        position: maxPosition(recent.position, own),
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
  };
}
