/** Latency-aware choice among the targets that may serve a read. */

import type { DomainId } from "../core/ids.ts";
import type { Dispatcher } from "./dispatch.ts";
import type { AgedPosition } from "./floor_log.ts";
import type { Health } from "./health.ts";
import type { RequiredContext } from "./link_context.ts";
import type { TargetRecord } from "./types.ts";
import type { TargetId, WorkspaceId } from "../core/ids.ts";

/** Round trips that are assumed before one was measured, in milliseconds. */
const SAME_DOMAIN_RTT_MS = 1;
const SAME_REGION_RTT_MS = 3;
const CROSS_REGION_RTT_MS = 40;
/** Work assumed before one was measured: little, so that targets get tried. */
const DEFAULT_PROCESSING_MS = 5;
/** Cost of a new connection beside its round trips, in milliseconds. */
const HANDSHAKE_COST_MS = 20;
/** Keeps the slots of primaries for writes, in milliseconds. */
const PRIMARY_PENALTY_MS = 15;
/** Put on targets that are used only when nothing else is left. */
const EJECTED_PENALTY_MS = 5_000;
/** Bytes between regions are dear, so near targets win a close call. */
const CROSS_REGION_PENALTY_MS = 5;

/** Where hosts and targets are. */
export interface Topology {
  readonly domain: DomainId;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<DomainId, string>;
}

/** What a ranking looks at. */
export interface RankOptions {
  readonly topology: Topology;
  readonly health: Health;
  readonly dispatcher: Dispatcher;
  readonly primary: TargetId | undefined;
  readonly floor: AgedPosition;
  readonly workspace: WorkspaceId;
  readonly context: RequiredContext;
}

/**
 * Orders the targets that may serve a read above a floor, best first. Replicas
 * that probably lack the floor are left out while there is another target.
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

/** Expected time to an answer, in milliseconds. */
function getScoreMs(target: TargetRecord, options: RankOptions): number {
  const { health, dispatcher, topology: topology } = options;
  const rttMs = getRttMs(topology, target.domain);
  const latencyMs = health.tryLatencyMs(target.id) ??
    rttMs + DEFAULT_PROCESSING_MS;
  let scoreMs = latencyMs * (1 + dispatcher.getLoad(target.id));
  scoreMs += rttMs >= CROSS_REGION_RTT_MS ? CROSS_REGION_PENALTY_MS : 0;
  scoreMs += health.isEjected(target.id) ? EJECTED_PENALTY_MS : 0;
  scoreMs += target.id === options.primary ? PRIMARY_PENALTY_MS : 0;
  const option = dispatcher.tryFindSource(target, options);
  if (!option) {
    return scoreMs + latencyMs;
  }
  return option.kind === "idle"
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

/** Round trip to a failure domain, before anything was measured. */
export function getRttMs(topology: Topology, domain: DomainId): number {
  if (topology.domain === domain) {
    return SAME_DOMAIN_RTT_MS;
  }
  return topology.regions.get(topology.domain) === topology.regions.get(domain)
    ? SAME_REGION_RTT_MS
    : CROSS_REGION_RTT_MS;
}
