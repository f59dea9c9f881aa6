/** How many statements a host keeps in flight at one target. */

import { nowMs } from "./clock.ts";

const MIN_LIMIT = 1;
const SLOW_RATIO = 1.5;
const SLOW_EXTRA_MS = 2;
const DECREASE = 0.8;
/** The shortest time of two such windows counts as the time without a wait. */
const WINDOW_MS = 10_000;

/** A limit that falls when statements wait inside the target. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /** Takes the time that a statement of the kind `key` took. */
  note(
    key: string,
    options: { readonly ms: number; readonly inFlight: number },
  ): void;
}

interface Baseline {
  from: number;
  current: number;
  previous: number;
}

/** Creates a limit between one statement and `max`. */
export function createConcurrencyLimit(
  options: { readonly initial: number; readonly max: number },
): ConcurrencyLimit {
  const baselines = new Map<string, Baseline>();
  let limit = Math.min(options.initial, options.max);
  let decreasedAt = -Infinity;

  function getBaseline(key: string, ms: number): number {
    const now = nowMs();
    const found = baselines.get(key) ??
      { from: now, current: Infinity, previous: Infinity };
    baselines.set(key, found);
    if (now - found.from > WINDOW_MS) {
      found.from = now;
      found.previous = found.current;
      found.current = Infinity;
    }
    found.current = Math.min(found.current, ms);
    return Math.min(found.current, found.previous);
  }

  return {
    get limit() {
      return Math.floor(limit);
    },
    note(key, { ms, inFlight }) {
      const baseline = getBaseline(key, ms);
      const isSlow = ms > baseline * SLOW_RATIO + SLOW_EXTRA_MS;
      // One decrease for all statements that waited at the same time.
      if (isSlow && nowMs() - decreasedAt > ms) {
        limit = Math.max(MIN_LIMIT, limit * DECREASE);
        decreasedAt = nowMs();
      } else if (!isSlow && inFlight >= Math.floor(limit)) {
        limit = Math.min(options.max, limit + 1 / (2 * limit));
      }
    },
  };
}
