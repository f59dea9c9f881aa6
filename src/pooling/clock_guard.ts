/** Notices that the process was suspended or that the time of day jumped. */

import { nowMs } from "../core/clock.ts";

/** Drift between both clocks that counts as a jump; NTP slews by less. */
const MAX_DRIFT_MS = 250;

/** Tells whether what was believed before may be older than it looks. */
export interface ClockJumpDetector {
  /** Number of jumps so far; beliefs of an older epoch are void. */
  getEpoch(): number;
  /** Calls back with the drift of a jump as soon as it is noticed. */
  onJump(listener: (driftMs: number) => void): void;
}

/**
 * Creates a guard. The monotonic clock stands still during a suspension and
 * the time of day does not, so that their difference changes.
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
