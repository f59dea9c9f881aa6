/** Scales periodic work: in a larger fleet each host does it less often. */

/** Number of hosts up to which intervals are not scaled. */
const SMALL_FLEET_MAX_HOSTS = 8;

/**
 * Returns the factor applied to an interval in a fleet of `hostCount` hosts,
 * which is 1 up to `maxUnscaled` hosts.
 */
export function getIntervalFactor(
  hostCount: number,
  maxUnscaled: number = SMALL_FLEET_MAX_HOSTS,
): number {
  return Math.max(1, hostCount / maxUnscaled);
}
