/** How many statements a host keeps in flight at one target. */

const MIN_LIMIT = 1;
const SLOW_RATIO = 2;
const SLOW_EXTRA_MS = 2;
const DECREASE = 0.9;
/** Lets the baseline of a target that has become slower rise again. */
const BASELINE_GROWTH = 1.002;

/** A limit that falls when statements wait inside the target. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /** Takes the time that a statement of the kind `key` took. */
  note(
    key: string,
    options: { readonly ms: number; readonly inFlight: number },
  ): void;
}

/** Creates a limit between one statement and `max`. */
export function createConcurrencyLimit(
  options: { readonly initial: number; readonly max: number },
): ConcurrencyLimit {
  const baselines = new Map<string, number>();
  let limit = Math.min(options.initial, options.max);

  function updateBaseline(key: string, ms: number): number {
    const baseline = baselines.get(key) ?? ms;
    baselines.set(key, Math.min(ms, baseline * BASELINE_GROWTH));
    return baseline;
  }

  return {
    get limit() {
      return Math.floor(limit);
    },
    note(key, { ms, inFlight }) {
      const baseline = updateBaseline(key, ms);
      if (ms > baseline * SLOW_RATIO + SLOW_EXTRA_MS) {
        limit = Math.max(MIN_LIMIT, limit * DECREASE);
      } else if (inFlight >= Math.floor(limit)) {
        limit = Math.min(options.max, limit + 1 / limit);
      }
    },
  };
}
