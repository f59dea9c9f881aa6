/** Delays before a retry. */

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
