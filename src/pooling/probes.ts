/** Probes the status of targets where client traffic does not reveal it. */

import { nowMs } from "../core/clock.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import { sendControlCommand } from "./control.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import type { Holders } from "./holders.ts";
import type { PositionSharing } from "./position_sharing.ts";
import type { Catalog, TargetRecord } from "./types.ts";
import type { ExecutionContext } from "./execution.ts";

/**
 * Fraction of the shortest staleness bound after which positions are refreshed.
 */
const REFRESH_AGE_FRACTION = 0.4;
/**
 * Fraction of that age after which a relay refreshes its positions, so that
 * those it passes on are not refreshed at once again.
 */
const RELAY_REFRESH_FRACTION = 0.5;
/**
 * Multiple of the refresh age after which a host that is not a polling host
 * probes the primary itself.
 */
const DIRECT_POLL_FACTOR = 1.6;
/**
 * Time after the first request for a position before a host that is not a
 * polling host probes the primary itself, in milliseconds. When a whole fleet
 * starts, the polling hosts need some time.
 */
const FIRST_POSITION_TIMEOUT_MS = 400;
/**
 * Time after the last read of a service for which a host that is not a polling
 * host keeps its position fresh, in milliseconds. Later reads ask for it.
 */
const POSITION_USE_TIMEOUT_MS = 5_000;
/** Refresh age of positions that no route needs, in milliseconds. */
const UNUSED_REFRESH_AGE_MS = 3_000;
/**
 * Probe interval for suspect targets and services without a primary, in
 * milliseconds.
 */
const SUSPECT_PROBE_INTERVAL_MS = 250;
/**
 * Probe interval of a host in a small fleet for a replica, in milliseconds.
 * Each probe uses a slot of the replica, and replies to reads reveal lag too.
 */
const REPLICA_PROBE_INTERVAL_MS = 3_000;

/** Returns the probe interval of one host for a replica, in milliseconds. */
export function getReplicaProbeIntervalMs(hostCount: number): number {
  return REPLICA_PROBE_INTERVAL_MS * getIntervalFactor(hostCount);
}

/** Status probes. */
export interface Probes {
  /** Sends the probes that are due; call it periodically. */
  probeDueTargets(): void;
}

/** Creates probes for the targets of all services in the catalog. */
export function createProbes(
  ctx: ExecutionContext,
  options: {
    readonly sharing: PositionSharing;
    /** Number of running hosts, including this host. */
    countHosts(): number;
    readonly holders: Holders;
  },
): Probes {
  const { sharing } = options;
  const probedAt = new Map<TargetId, number>();
  const peerRequestedAt = new Map<ServiceId, number>();
  /** Time of the first request for a position to a peer. */
  const firstRequestedAt = new Map<ServiceId, number>();
  let refreshAges: {
    readonly catalog: Catalog | undefined;
    readonly ages: ReadonlyMap<ServiceId, number>;
  } = { catalog: undefined, ages: new Map() };

  function getProbeIntervalMs(target: TargetRecord): number {
    const { service, id } = target;
    const primary = ctx.primaries.tryPrimary(service);
    const isSuspect = ctx.health.getFailingMs(id) > 0 ||
      ctx.health.isSuspect(id) || ctx.health.getPausedMs(id) > 0;
    if (!isPrimaryUsable(service) || isSuspect) {
      if (primary === id) {
        // A polling host learns first that its primary answers again.
        requestFromPeer(service, SUSPECT_PROBE_INTERVAL_MS);
      }
      // Each host probing would take the slots of a target that recovers.
      return sharing.isPollingHost(service) || options.holders.isHolder(target)
        ? SUSPECT_PROBE_INTERVAL_MS
        : SUSPECT_PROBE_INTERVAL_MS * getIntervalFactor(options.countHosts());
    }
    if (ctx.forwarder.isProbeDue(target)) {
      return SUSPECT_PROBE_INTERVAL_MS;
    }
    if (primary !== id) {
      return getReplicaProbeIntervalMs(options.countHosts());
    }
    const ageMs = ctx.getPositions(service).getAgeMs();
    const refreshAgeMs = getRefreshAgeMs(service) *
      (sharing.isRelay() ? RELAY_REFRESH_FRACTION : 1);
    if (ageMs <= refreshAgeMs) {
      return Infinity;
    }
    const isUsed = ctx.getPositions(service).getTimeSinceUseMs() <
      POSITION_USE_TIMEOUT_MS;
    if (!isUsed && !sharing.isPollingHost(service)) {
      firstRequestedAt.delete(service);
      return Infinity;
    }
    // If peers do not deliver a position in time, this host probes itself.
    const firstAt = firstRequestedAt.get(service) ?? nowMs();
    firstRequestedAt.set(service, firstAt);
    const isLate = ageMs > refreshAgeMs * DIRECT_POLL_FACTOR &&
      nowMs() - firstAt > FIRST_POSITION_TIMEOUT_MS;
    if (sharing.isPollingHost(service) || isLate) {
      return refreshAgeMs / 2;
    }
    requestFromPeer(service, refreshAgeMs / 4);
    return Infinity;
  }

  /**
   * Whether there is a primary that may be asked. Of a change of an evacuated
   * one this host learns from the other targets only.
   */
  function isPrimaryUsable(service: ServiceId): boolean {
    const primary = ctx.primaries.tryPrimary(service);
    const target = primary && ctx.directory.tryGet(primary);
    return primary !== undefined &&
      (!target || ctx.eligibility.isEligible(target));
  }

  function requestFromPeer(service: ServiceId, intervalMs: number): void {
    const last = peerRequestedAt.get(service) ?? -Infinity;
    if (nowMs() - last >= intervalMs) {
      peerRequestedAt.set(service, nowMs());
      sharing.requestPosition(service);
    }
  }

  /**
   * Returns the age after which the positions of a service are refreshed, in
   * milliseconds.
   */
  function getRefreshAgeMs(service: ServiceId): number {
    const catalog = ctx.catalog.tryGet();
    if (catalog !== refreshAges.catalog) {
      refreshAges = { catalog, ages: computeRefreshAges(catalog) };
    }
    return refreshAges.ages.get(service) ?? UNUSED_REFRESH_AGE_MS;
  }

  /**
   * Spreads the first probes over the interval, so that the hosts of a fleet
   * that starts do not probe all targets at once.
   */
  function drawFirstTime(intervalMs: number): number {
    return Number.isFinite(intervalMs)
      ? nowMs() - ctx.io.random() * intervalMs
      : -Infinity;
  }

  function probe(target: TargetRecord): void {
    probedAt.set(target.id, nowMs());
    void sendControlCommand(ctx, target, { kind: "status" }, {
      mayForward: true,
    });
  }

  function probeDueTargets(): void {
    const services = ctx.catalog.tryGet()?.services.keys() ?? [];
    for (const service of services) {
      const targets = ctx.directory.list(service)
        .filter(ctx.eligibility.isEligible);
      for (const target of targets) {
        const intervalMs = getProbeIntervalMs(target);
        const last = probedAt.get(target.id) ?? drawFirstTime(intervalMs);
        probedAt.set(target.id, last);
        if (nowMs() - last >= intervalMs) {
          probe(target);
        }
      }
    }
  }

  return { probeDueTargets };
}

/** Returns the shortest refresh age that the routes of each service require. */
function computeRefreshAges(
  catalog: Catalog | undefined,
): ReadonlyMap<ServiceId, number> {
  const ages = new Map<ServiceId, number>();
  for (const { service, consistency } of catalog?.routes.values() ?? []) {
    if (consistency.kind !== "primary") {
      const ageMs = Math.min(
        ages.get(service) ?? UNUSED_REFRESH_AGE_MS,
        consistency.maxStaleMs * REFRESH_AGE_FRACTION,
      );
      ages.set(service, ageMs);
    }
  }
  return ages;
}
