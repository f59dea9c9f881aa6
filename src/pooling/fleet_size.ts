/** What every host does in turn is done less often by each of a larger fleet. */

/** Hosts up to which intervals hold as they are configured. */
const SMALL_FLEET_MAX_HOSTS = 8;

/** Factor by which a fleet of `hostCount` hosts stretches an interval. */
export function getIntervalFactor(hostCount: number): number {
  return Math.max(1, hostCount / SMALL_FLEET_MAX_HOSTS);
}
