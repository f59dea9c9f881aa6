/** Latency-aware choice among the targets that may serve a read. */

import type { DomainId } from "../core/ids.ts";
import type { Dispatcher } from "./dispatch.ts";
import type { AgedPosition } from "./floor_log.ts";
import type { Health } from "./health.ts";
import type { ContextNeed } from "./link_context.ts";
import type { TargetRecord } from "./types.ts";
import type { TargetId, WorkspaceId } from "../core/ids.ts";

/** Round trips that are assumed before one was measured, in milliseconds. */
const NEAR_RTT_MS = 1;
const REGION_RTT_MS = 3;
const FAR_RTT_MS = 40;
/** Work assumed before one was measured: little, so that targets get tried. */
const DEFAULT_WORK_MS = 5;
/** Cost of a new connection beside its round trips, in milliseconds. */
const HANDSHAKE_MS = 20;
/** Keeps the slots of primaries for writes, in milliseconds. */
const PRIMARY_BIAS_MS = 15;
/** Put on targets that are used only when nothing else is left. */
const EJECTED_MS = 5_000;
/** Bytes between regions are dear, so near targets win a close call. */
const FAR_BIAS_MS = 5;

/** Where hosts and targets are. */
export interface Place {
  readonly domain: DomainId;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<DomainId, string>;
}

/** What a ranking looks at. */
export interface RankOptions {
  readonly place: Place;
  readonly health: Health;
  readonly dispatcher: Dispatcher;
  readonly primary: TargetId | undefined;
  readonly floor: AgedPosition;
  readonly workspace: WorkspaceId;
  readonly context: ContextNeed;
}

/**
 * Orders the targets that may serve a read above a floor, best first. Replicas
 * that probably lack the floor are left out while there is another target.
 */
export function rankReaders(
  targets: readonly TargetRecord[],
  options: RankOptions,
): TargetRecord[] {
  const current = targets.filter((target) =>
    target.id === options.primary || !isProbablyLagging(target, options)
  );
  const isEnough = current.some(({ id }) => !options.health.isEjected(id));
  return (isEnough ? current : [...targets])
    .map((target) => ({ target, score: getScore(target, options) }))
    .sort((a, b) => a.score - b.score)
    .map(({ target }) => target);
}

/** Expected time to an answer, in milliseconds. */
function getScore(target: TargetRecord, options: RankOptions): number {
  const { health, dispatcher, place } = options;
  const rtt = getRttMs(place, target.domain);
  const latency = health.tryLatencyMs(target.id) ?? rtt + DEFAULT_WORK_MS;
  let score = latency * (1 + dispatcher.getLoad(target.id));
  score += rtt >= FAR_RTT_MS ? FAR_BIAS_MS : 0;
  score += health.isEjected(target.id) ? EJECTED_MS : 0;
  score += target.id === options.primary ? PRIMARY_BIAS_MS : 0;
  const option = dispatcher.tryFindSource(target, options);
  if (!option) {
    return score + latency;
  }
  return option.kind === "idle" ? score : score + HANDSHAKE_MS + 2 * rtt;
}

function isProbablyLagging(
  target: TargetRecord,
  { health, floor }: RankOptions,
): boolean {
  return !health.hasReached(target.id, floor.position) &&
    health.getLagMs(target.id) > floor.ageMs;
}

/** Round trip to a failure domain, before anything was measured. */
export function getRttMs(place: Place, domain: DomainId): number {
  if (place.domain === domain) {
    return NEAR_RTT_MS;
  }
  return place.regions.get(place.domain) === place.regions.get(domain)
    ? REGION_RTT_MS
    : FAR_RTT_MS;
}
