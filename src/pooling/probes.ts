/** Asks targets for their status where traffic does not tell enough. */

import { nowMs } from "../core/clock.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import type { Stoppable } from "../core/types.ts";
import { sendControlCommand } from "./control.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import type { PositionSharing } from "./floor_sharing.ts";
import type { TargetRecord } from "./types.ts";
import type { ExecutionContext } from "./work.ts";

/** Time between two looks at what to ask, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Part of the shortest staleness bound at which a floor is renewed. */
const REFRESH_AGE_FRACTION = 0.4;
/** Multiple of that age at which this host asks the primary itself. */
const DIRECT_POLL_FACTOR = 1.6;
/** Age at which a floor is renewed that no route needs, in milliseconds. */
const UNUSED_REFRESH_AGE_MS = 3_000;
/** Time between two questions to a primary that fails or is not known. */
const SUSPECT_PROBE_INTERVAL_MS = 250;
/**
 * Time between two questions of a host of a small fleet to a replica, in
 * milliseconds; each takes a slot, and lag shows in the answers to reads too.
 */
const REPLICA_PROBE_INTERVAL_MS = 3_000;
/** Time between two questions of one host to a replica, in milliseconds. */
export function getReplicaProbeIntervalMs(hostCount: number): number {
  return REPLICA_PROBE_INTERVAL_MS * getIntervalFactor(hostCount);
}

/** Running probes. */
export interface Probes extends Stoppable {
  start(): void;
}

/** Creates the probes of all services in the catalog. */
export function createProbes(
  ctx: ExecutionContext,
  options: {
    readonly sharing: PositionSharing;
    /** Hosts that run, this one included. */
    countHosts(): number;
  },
): Probes {
  const { sharing } = options;
  const probedAt = new Map<TargetId, number>();
  const peerRequestedAt = new Map<ServiceId, number>();
  let timer: NodeJS.Timeout | undefined;

  function getProbeIntervalMs(target: TargetRecord): number {
    const { service, id } = target;
    const primary = ctx.primaries.tryPrimary(service);
    const isSuspect = ctx.health.getFailingMs(id) > 0 ||
      ctx.health.isSuspect(id) || ctx.health.getPausedMs(id) > 0;
    if (primary === undefined || isSuspect) {
      return SUSPECT_PROBE_INTERVAL_MS;
    }
    if (primary !== id) {
      return getReplicaProbeIntervalMs(options.countHosts());
    }
    const ageMs = ctx.getPositions(service).getAgeMs();
    const refreshAgeMs = getRefreshAgeMs(service);
    if (ageMs <= refreshAgeMs) {
      return Infinity;
    }
    // Peers that do not tell in time leave it to this host.
    const pollsPrimary = sharing.isPollingHost(service) ||
      ageMs > refreshAgeMs * DIRECT_POLL_FACTOR;
    if (pollsPrimary) {
      return refreshAgeMs / 2;
    }
    requestFromPeer(service, refreshAgeMs / 4);
    return Infinity;
  }

  function requestFromPeer(service: ServiceId, intervalMs: number): void {
    const last = peerRequestedAt.get(service) ?? -Infinity;
    if (nowMs() - last >= intervalMs) {
      peerRequestedAt.set(service, nowMs());
      sharing.requestPosition(service);
    }
  }

  /** Age at which the floor of a service is to be renewed. */
  function getRefreshAgeMs(service: ServiceId): number {
    let ageMs = UNUSED_REFRESH_AGE_MS;
    for (const route of ctx.catalog.tryGet()?.routes.values() ?? []) {
      const { consistency } = route;
      if (route.service === service && consistency.kind !== "primary") {
        ageMs = Math.min(ageMs, consistency.maxStaleMs * REFRESH_AGE_FRACTION);
      }
    }
    return ageMs;
  }

  function probe(target: TargetRecord): void {
    probedAt.set(target.id, nowMs());
    void sendControlCommand(ctx, target, { kind: "status" });
  }

  function probeDueTargets(): void {
    const services = ctx.catalog.tryGet()?.services.keys() ?? [];
    for (const service of services) {
      for (const target of ctx.directory.list(service)) {
        const last = probedAt.get(target.id) ?? -Infinity;
        if (nowMs() - last >= getProbeIntervalMs(target)) {
          probe(target);
        }
      }
    }
  }

  return {
    start() {
      timer = setInterval(probeDueTargets, CHECK_INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
}
