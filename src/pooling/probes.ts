/** Asks targets for their status where traffic does not tell enough. */

import { nowMs } from "../core/clock.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import type { Stoppable } from "../core/types.ts";
import { control } from "./control.ts";
import { getStretch } from "./fleet_size.ts";
import type { FloorSharing } from "./floor_sharing.ts";
import type { TargetRecord } from "./types.ts";
import type { WorkContext } from "./work.ts";

/** Time between two looks at what to ask, in milliseconds. */
const TICK_MS = 100;
/** Part of the shortest staleness bound at which a floor is renewed. */
const FLOOR_PART = 0.4;
/** Multiple of that age at which this host asks the primary itself. */
const UNTOLD_FACTOR = 1.6;
/** Age at which a floor is renewed that no route needs, in milliseconds. */
const UNUSED_FLOOR_AGE_MS = 3_000;
/** Time between two questions to a primary that fails or is not known. */
const SUSPECT_INTERVAL_MS = 250;
/**
 * Time between two questions of a host of a small fleet to a replica, in
 * milliseconds; each takes a slot, and lag shows in the answers to reads too.
 */
const REPLICA_INTERVAL_MS = 3_000;
/** Time between two questions of one host to a replica, in milliseconds. */
export function getReplicaIntervalMs(hostCount: number): number {
  return REPLICA_INTERVAL_MS * getStretch(hostCount);
}

/** Running probes. */
export interface Probes extends Stoppable {
  start(): void;
}

/** Creates the probes of all services in the catalog. */
export function createProbes(
  ctx: WorkContext,
  options: {
    readonly sharing: FloorSharing;
    /** Hosts that run, this one included. */
    countHosts(): number;
  },
): Probes {
  const { sharing } = options;
  const askedAt = new Map<TargetId, number>();
  const peerAskedAt = new Map<ServiceId, number>();
  let timer: NodeJS.Timeout | undefined;

  function getIntervalMs(target: TargetRecord): number {
    const { service, id } = target;
    const primary = ctx.leaders.tryPrimary(service);
    const isSuspect = ctx.health.getFailingMs(id) > 0 ||
      ctx.health.isDoubtful(id) || ctx.health.getPausedMs(id) > 0;
    if (primary === undefined || isSuspect) {
      return SUSPECT_INTERVAL_MS;
    }
    if (primary !== id) {
      return getReplicaIntervalMs(options.countHosts());
    }
    const ageMs = ctx.getFloors(service).getAgeMs();
    const dueMs = getFloorDueMs(service);
    if (ageMs <= dueMs) {
      return Infinity;
    }
    // Peers that do not tell in time leave it to this host.
    const isOwnTask = sharing.isKeeper(service) ||
      ageMs > dueMs * UNTOLD_FACTOR;
    if (isOwnTask) {
      return dueMs / 2;
    }
    askPeer(service, dueMs / 4);
    return Infinity;
  }

  function askPeer(service: ServiceId, intervalMs: number): void {
    const last = peerAskedAt.get(service) ?? -Infinity;
    if (nowMs() - last >= intervalMs) {
      peerAskedAt.set(service, nowMs());
      sharing.ask(service);
    }
  }

  /** Age at which the floor of a service is to be renewed. */
  function getFloorDueMs(service: ServiceId): number {
    let due = UNUSED_FLOOR_AGE_MS;
    for (const route of ctx.catalog.tryGet()?.routes.values() ?? []) {
      const { consistency } = route;
      if (route.service === service && consistency.kind !== "primary") {
        due = Math.min(due, consistency.maxStaleMs * FLOOR_PART);
      }
    }
    return due;
  }

  function ask(target: TargetRecord): void {
    askedAt.set(target.id, nowMs());
    void control(ctx, target, { kind: "status" });
  }

  function tick(): void {
    const services = ctx.catalog.tryGet()?.services.keys() ?? [];
    for (const service of services) {
      for (const target of ctx.directory.list(service)) {
        const last = askedAt.get(target.id) ?? -Infinity;
        if (nowMs() - last >= getIntervalMs(target)) {
          ask(target);
        }
      }
    }
  }

  return {
    start() {
      timer = setInterval(tick, TICK_MS);
    },
    stop: () => clearInterval(timer),
  };
}
