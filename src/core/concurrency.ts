/**
 * Adaptive limits on the statements that a host has in flight at one target:
 * additive increase, multiplicative decrease.
 */

import { nowMs } from "./clock.ts";

const MIN_LIMIT = 1;
/**
 * A statement is slow if it takes longer than `SLOW_RATIO` times the baseline
 * plus `SLOW_EXTRA_MS`.
 */
const SLOW_RATIO = 1.5;
const SLOW_EXTRA_MS = 2;
const DECREASE_FACTOR = 0.8;
/**
 * Length of a window. The shortest duration in the last two windows is the
 * baseline: the time that a statement takes without queueing in the target.
 */
const BASELINE_WINDOW_MS = 10_000;

/** Limit between 1 and a maximum. */
export interface AimdLimit {
  readonly value: number;
  increase(by: number): void;
  decrease(factor: number): void;
}

/** Creates a limit; `getMax` may change its result. */
export function createAimdLimit(
  options: { readonly initial: number; getMax(): number },
): AimdLimit {
  let value = options.initial;
  return {
    get value() {
      return Math.max(MIN_LIMIT, Math.min(value, options.getMax()));
    },
    increase(by) {
      value = Math.min(options.getMax(), value + by);
    },
    decrease(factor) {
      value = Math.max(MIN_LIMIT, Math.min(value, options.getMax()) * factor);
    },
  };
}

/** Concurrency limit that falls when statements queue inside the target. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /** Records the duration of a statement; each `key` has its own baseline. */
  recordDuration(
    key: string,
    options: { readonly ms: number; readonly inFlight: number },
  ): void;
}

interface Baseline {
  windowStartedAt: number;
  current: number;
  previous: number;
}

/** Creates a limit that stays between 1 and `max` statements. */
export function createConcurrencyLimit(
  options: { readonly initial: number; readonly max: number },
): ConcurrencyLimit {
  const baselines = new Map<string, Baseline>();
  const limit = createAimdLimit({
    initial: options.initial,
    getMax: () => options.max,
  });
  let decreasedAt = -Infinity;

  function getBaseline(key: string, ms: number): number {
    const now = nowMs();
    const baseline = baselines.get(key) ??
      { windowStartedAt: now, current: Infinity, previous: Infinity };
    baselines.set(key, baseline);
    if (now - baseline.windowStartedAt > BASELINE_WINDOW_MS) {
      baseline.windowStartedAt = now;
      baseline.previous = baseline.current;
      baseline.current = Infinity;
    }
    baseline.current = Math.min(baseline.current, ms);
    return Math.min(baseline.current, baseline.previous);
  }

  return {
    get limit() {
      return Math.floor(limit.value);
    },
    recordDuration(key, { ms, inFlight }) {
      const baseline = getBaseline(key, ms);
      const isSlow = ms > baseline * SLOW_RATIO + SLOW_EXTRA_MS;
      // Statements that were slow at the same time cause a single decrease.
      if (isSlow && nowMs() - decreasedAt > ms) {
        limit.decrease(DECREASE_FACTOR);
        decreasedAt = nowMs();
      } else if (!isSlow && inFlight >= Math.floor(limit.value)) {
        limit.increase(1 / (2 * limit.value));
      }
    },
  };
}
