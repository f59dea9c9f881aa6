/** Detects suspensions of the process and jumps of the wall clock. */

import { nowMs } from "../core/clock.ts";

/**
 * Drift between wall clock and monotonic clock that counts as a jump, in
 * milliseconds; NTP slews by less.
 */
const MAX_DRIFT_MS = 250;

/** Detects clock jumps, after which the age of earlier data is unknown. */
export interface ClockJumpDetector {
  /**
   * Checks the clocks and returns the number of jumps so far. Data of an
   * earlier epoch must be discarded.
   */
  getEpoch(): number;
  /** Registers a callback that receives the drift of each detected jump. */
  onJump(listener: (driftMs: number) => void): void;
}

/**
 * Creates a detector. The monotonic clock stops during a suspension and the
 * wall clock does not, so the difference between them changes.
 */
export function createClockJumpDetector(): ClockJumpDetector {
  const listeners = new Set<(driftMs: number) => void>();
  let offset = Date.now() - nowMs();
  let epoch = 0;
  return {
    getEpoch() {
      const current = Date.now() - nowMs();
      const drift = current - offset;
      offset = current;
      if (Math.abs(drift) > MAX_DRIFT_MS) {
        epoch++;
        listeners.forEach((listener) => listener(Math.round(drift)));
      }
      return epoch;
    },
    onJump: (listener) => void listeners.add(listener),
  };
}
