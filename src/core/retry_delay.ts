/** Delays before a retry. */

/**
 * Fraction by which the delay that refused callers are told is extended at
 * random at the most.
 */
const MAX_EXTENSION = 0.5;

/**
 * Returns the delay after `failures` earlier failures in a row: `minMs` after
 * none, doubled by each of them, at most `maxMs`.
 */
export function getBackoffMs(
  failures: number,
  bounds: { readonly minMs: number; readonly maxMs: number },
): number {
  return Math.min(bounds.maxMs, bounds.minMs * 2 ** failures);
}

/**
 * Returns the delay that a refused caller is told: the expected wait within the
 * bounds, extended at random so that callers refused together come back apart.
 */
export function getRetryAfterMs(
  waitMs: number,
  options: {
    readonly minMs: number;
    readonly maxMs: number;
    /** A random number in [0, 1). */
    readonly random: number;
  },
): number {
  const boundedMs = Math.min(options.maxMs, Math.max(options.minMs, waitMs));
  return Math.ceil(boundedMs * (1 + MAX_EXTENSION * options.random));
}
