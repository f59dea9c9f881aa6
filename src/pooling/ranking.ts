/** Latency-aware ranking of the targets that may serve a read. */

import type { DomainId } from "../core/ids.ts";
import type { Dispatcher } from "./dispatch.ts";
import type { AgedPosition } from "./position_history.ts";
import type { Health } from "./health.ts";
import type { RequiredContext } from "./link_context.ts";
import type { TargetRecord, Topology } from "./types.ts";
import type { HostId, TargetId, WorkspaceId } from "../core/ids.ts";

/** Round-trip times that are assumed until a latency has been measured. */
const SAME_DOMAIN_RTT_MS = 1;
const SAME_REGION_RTT_MS = 3;
const CROSS_REGION_RTT_MS = 40;
/**
 * Assumed processing time of an unmeasured target; low, so that it is tried.
 */
const DEFAULT_PROCESSING_MS = 5;
/** Cost of opening a connection in addition to its round trips. */
const HANDSHAKE_COST_MS = 20;
/** Penalty on primaries, which reserves their slots for writes. */
const PRIMARY_PENALTY_MS = 15;
/** Penalty on ejected targets, which are used only as a last resort. */
const EJECTED_PENALTY_MS = 5_000;
/**
 * Penalty on cold targets that have their part; less than that on ejected ones,
 * which are likely to fail.
 */
const COLD_PENALTY_MS = 2_500;
/** Penalty on other regions, because traffic between regions is expensive. */
const CROSS_REGION_PENALTY_MS = 5;

/** Inputs of a ranking. */
export interface RankOptions {
  readonly topology: Topology;
  readonly health: Health;
  readonly dispatcher: Dispatcher;
  readonly primary: TargetId | undefined;
  readonly floor: AgedPosition;
  readonly workspace: WorkspaceId;
  readonly context: RequiredContext;
  /** Whether a cold target has its part of this host's work; not by default. */
  isServed?(target: TargetRecord): boolean;
  /** Whether the statement may pass through the host; all by default. */
  mayUseHolder?(host: HostId): boolean;
}

/**
 * Ranks the targets for a read with a read floor, best first. Replicas that
 * probably have not reached the floor are left out, unless all other targets
 * are ejected.
 */
export function rankReadTargets(
  targets: readonly TargetRecord[],
  options: RankOptions,
): TargetRecord[] {
  const upToDate = targets.filter((target) =>
    target.id === options.primary || !isProbablyLagging(target, options)
  );
  const hasHealthyTarget = upToDate.some(({ id }) =>
    !options.health.isEjected(id)
  );
  return (hasHealthyTarget ? upToDate : [...targets])
    .map((target) => ({ target, scoreMs: getScoreMs(target, options) }))
    .sort((a, b) => a.scoreMs - b.scoreMs)
    .map(({ target }) => target);
}

/** Returns the expected time to an answer plus penalties, in milliseconds. */
function getScoreMs(target: TargetRecord, options: RankOptions): number {
  const { health, dispatcher, topology } = options;
  const rttMs = getRttMs(topology, target.domain);
  const latencyMs = health.tryLatencyMs(target.id) ??
    rttMs + DEFAULT_PROCESSING_MS;
  let scoreMs = latencyMs * (1 + dispatcher.getLoad(target));
  scoreMs += rttMs >= CROSS_REGION_RTT_MS ? CROSS_REGION_PENALTY_MS : 0;
  scoreMs += health.isEjected(target.id) ? EJECTED_PENALTY_MS : 0;
  scoreMs += options.isServed?.(target) ? COLD_PENALTY_MS : 0;
  scoreMs += target.id === options.primary ? PRIMARY_PENALTY_MS : 0;
  const source = dispatcher.tryFindSource(target, options);
  if (!source) {
    return scoreMs + latencyMs;
  }
  return source.kind === "idle" || source.kind === "forward"
    ? scoreMs
    : scoreMs + HANDSHAKE_COST_MS + 2 * rttMs;
}

function isProbablyLagging(
  target: TargetRecord,
  { health, floor }: RankOptions,
): boolean {
  return !health.hasReached(target.id, floor.position) &&
    health.getLagMs(target.id) > floor.ageMs;
}

/** Returns the assumed round-trip time to a failure domain, in milliseconds. */
export function getRttMs(topology: Topology, domain: DomainId): number {
  if (topology.domain === domain) {
    return SAME_DOMAIN_RTT_MS;
  }
  return topology.regions.get(topology.domain) === topology.regions.get(domain)
    ? SAME_REGION_RTT_MS
    : CROSS_REGION_RTT_MS;
}
