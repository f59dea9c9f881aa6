/** Exponentially weighted moving averages. */

/** Returns the average after a new sample, which counts with `weight`. */
export function moveAverage(
  average: number,
  options: { readonly sample: number; readonly weight: number },
): number {
  return average + options.weight * (options.sample - average);
}
