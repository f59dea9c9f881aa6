/** Routes new connections to hosts that pass their health checks. */

import type { HostProcess } from "./host_process.ts";

const CHECK_INTERVAL_MS = 1_000;
/** Misses in a row after which a host gets no new connections. */
const MAX_MISSES = 2;
/** Part of a zone's hosts in rotation below which all of them are used. */
const MIN_IN_ROTATION = 0.5;

/** Host as the balancer sees it; `process` is the current one. */
export interface BalancedHost {
  readonly host: string;
  readonly domain: string;
  readonly clientPort: number;
  readonly process: HostProcess;
}

/** Balancer over the hosts of all zones. */
export interface Balancer {
  /** Picks a host for a client of a zone; `draw` picks an index. */
  pick(domain: string, draw: (below: number) => number): BalancedHost;
  close(): void;
}

/** Starts the health checks; all hosts are in rotation at first. */
export function createBalancer(hosts: readonly BalancedHost[]): Balancer {
  const misses = new Map<string, number>();
  const timer = setInterval(() => {
    hosts.forEach(async ({ host, process }) => {
      const status = await process.getHealth(CHECK_INTERVAL_MS);
      misses.set(host, status === 200 ? 0 : (misses.get(host) ?? 0) + 1);
    });
  }, CHECK_INTERVAL_MS);

  const isInRotation = ({ host }: BalancedHost) =>
    (misses.get(host) ?? 0) < MAX_MISSES;

  return {
    pick(domain, draw) {
      const zone = hosts.filter((host) => host.domain === domain);
      const inRotation = zone.filter(isInRotation);
      const elsewhere = hosts.filter(isInRotation);
      const candidates = inRotation.length === 0 && elsewhere.length > 0
        ? elsewhere
        : inRotation.length < MIN_IN_ROTATION * zone.length
        ? zone
        : inRotation;
      return candidates[draw(candidates.length)]!;
    },
    close: () => clearInterval(timer),
  };
}
