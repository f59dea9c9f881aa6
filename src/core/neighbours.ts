/** The hosts that a host exchanges heartbeats with. */

import { hash32 } from "./hash.ts";
import type { HostId } from "./ids.ts";

/** Up to this many hosts, each exchanges heartbeats with every other. */
export const FULL_MESH_HOSTS = 12;

/**
 * The neighbours of `self` among `hosts`. In a large fleet they stand at the
 * distances 1, 2, 4, ... to both sides on a ring ordered by hash, so that the
 * relation is mutual and a report passes from any host to any other in a
 * logarithmic number of steps.
 */
export function listNeighbours(
  self: HostId,
  hosts: readonly HostId[],
): HostId[] {
  const others = hosts.filter((host) => host !== self);
  if (others.length < FULL_MESH_HOSTS) {
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
