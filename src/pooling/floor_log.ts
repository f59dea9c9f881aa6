/** Floors of reads: positions that cover what was acknowledged before a time. */

import { nowMs } from "../core/clock.ts";
import { isAtLeast, maxPosition } from "../core/position.ts";
import type { ClockGuard } from "./clock_guard.ts";
import type { Position } from "./types.ts";

/** Time for which samples are kept; longer than any bound that is used. */
const KEEP_MS = 10_000;
/** Safety margin below the staleness bound, in milliseconds. */
const MARGIN_MS = 100;
/** Samples closer together than this are merged, in milliseconds. */
const MIN_SPACING_MS = 50;

/** A position with the time from which it covers all acknowledged commits. */
interface Sample {
  /** Before the question was sent, on the monotonic clock. */
  readonly askedAt: number;
  readonly position: Position;
}

/** A floor with its age. */
export interface Floor {
  readonly position: Position;
  /** Time for which the position is known to have been reached. */
  readonly ageMs: number;
}

/** What a session has to see. */
export interface FloorNeed {
  readonly maxStaleMs: number;
  /** Position of the last commit of the session. */
  readonly own?: Position | undefined;
}

/** Positions of the primary of one service. */
export interface FloorLog {
  /**
   * Takes the position of a target that was primary when it answered a
   * question sent at `askedAt`.
   */
  note(position: Position, askedAt: number): void;
  /** The lowest floor that satisfies the need. */
  tryFloor(need: FloorNeed): Floor | undefined;
  /** The newest sample, to be told to a peer. */
  tryNewest(): Floor | undefined;
  /** Age of the newest sample in milliseconds; infinite without one. */
  getAgeMs(): number;
}

/** Creates an empty log. */
export function createFloorLog(guard: ClockGuard): FloorLog {
  let samples: Sample[] = [];
  let epoch = guard.getEpoch();

  function dropVoid(): void {
    const current = guard.getEpoch();
    if (current !== epoch) {
      epoch = current;
      samples = [];
    }
    const now = nowMs();
    while (samples.length > 1 && now - samples[0]!.askedAt > KEEP_MS) {
      samples.shift();
    }
  }

  return {
    note(position, askedAt) {
      dropVoid();
      const last = samples.at(-1);
      if (last && position.term < last.position.term) {
        return;
      }
      if (last && position.term > last.position.term) {
        // The new primary may lack unacknowledged entries of the old term.
        samples = [{ position, askedAt }];
        return;
      }
      if (last && askedAt <= last.askedAt) {
        return;
      }
      const previous = samples.at(-2);
      if (previous && askedAt - previous.askedAt < MIN_SPACING_MS) {
        samples.pop();
      }
      samples.push({ position, askedAt });
    },
    tryFloor({ maxStaleMs, own }) {
      dropVoid();
      const now = nowMs();
      const usable = samples.find(({ askedAt }) =>
        now - askedAt <= maxStaleMs - MARGIN_MS
      );
      if (!usable) {
        return undefined;
      }
      const ageMs = now - usable.askedAt;
      const { term } = usable.position;
      // A newer term holds every acknowledged commit of the older ones.
      if (!own || own.term < term) {
        return { position: usable.position, ageMs };
      }
      if (isAtLeast(usable.position, own)) {
        return { position: usable.position, ageMs };
      }
      const covering = samples.find(({ position }) => isAtLeast(position, own));
      return {
        position: maxPosition(usable.position, own),
        ageMs: covering ? now - covering.askedAt : 0,
      };
    },
    tryNewest() {
      dropVoid();
      const last = samples.at(-1);
      return last &&
        { position: last.position, ageMs: nowMs() - last.askedAt };
    },
    getAgeMs() {
      dropVoid();
      const last = samples.at(-1);
      return last ? nowMs() - last.askedAt : Infinity;
    },
  };
}
