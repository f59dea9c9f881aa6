/** Selects the hosts that a host exchanges heartbeats with. */

import { hash32 } from "./hash.ts";
import type { HostId } from "./ids.ts";

/** Maximum fleet size at which each host sends heartbeats to every other. */
export const FULL_MESH_MAX_HOSTS = 12;

/**
 * Lists the neighbours of `self` among `hosts`. In a large fleet these are the
 * hosts at distances 1, 2, 4, ... in both directions on a ring ordered by hash.
 * The relation is symmetric, and a report reaches every host in a logarithmic
 * number of hops.
 */
export function listNeighbours(
  self: HostId,
  hosts: readonly HostId[],
): HostId[] {
  const others = hosts.filter((host) => host !== self);
  if (others.length < FULL_MESH_MAX_HOSTS) {
    return others;
  }
  const ring = [self, ...others]
    .map((host) => ({ host, ringPosition: hash32(host) }))
    .sort((a, b) =>
      a.ringPosition - b.ringPosition || (a.host < b.host ? -1 : 1)
    )
    .map((entry) => entry.host);
  const start = ring.indexOf(self);
  const neighbours = new Set<HostId>();
  for (let distance = 1; distance <= ring.length / 2; distance *= 2) {
    neighbours.add(ring[(start + distance) % ring.length]!);
    neighbours.add(ring[(start - distance + ring.length) % ring.length]!);
  }
  return [...neighbours];
}
