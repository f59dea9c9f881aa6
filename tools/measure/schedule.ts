/** Generates the fault schedule of a run from a seed. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";

/** Fault that takes a primary out of service. */
export type PrimaryFault = "down" | "cut" | "frozen" | "partly_cut";

/** Fault with its start, relative to that of the load, in milliseconds. */
export type ScheduledFault =
  & { readonly atMs: number; readonly forMs: number }
  & (
    | {
      readonly kind: "primary";
      readonly group: number;
      readonly fault: PrimaryFault;
    }
    | { readonly kind: "replica_lag"; readonly group: number }
    | { readonly kind: "host_killed"; readonly host: number }
    | { readonly kind: "host_frozen"; readonly host: number }
    | { readonly kind: "platform_down" }
    | { readonly kind: "key_withdrawn" }
  );

/** Options of the schedule. */
export interface ScheduleOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly groups: number;
  readonly hosts: number;
  readonly primaryFaults: readonly PrimaryFault[];
}

const FIRST_FAILOVER_MS = 2_000;
const FAILOVER_INTERVAL_MS = 2_800;
/** Primary faults stop being planned this long before the end of the run. */
const FAILOVER_MARGIN_MS = 3_500;
const PRIMARY_FAULT_MS = 4_000;
const HOST_KILLED_MS = 1_500;
const HOST_FROZEN_MS = 1_200;
const REPLICA_LAG_MS = 3_000;

/** Generates the schedule, ordered by time. */
export function generateSchedule(options: ScheduleOptions): ScheduledFault[] {
  const { durationMs, groups, hosts, primaryFaults } = options;
  const generator = mersenne(options.seed);
  const draw = (limit: number) => uniformInt(generator, 0, limit - 1);
  const faults: ScheduledFault[] = [];
  const lastFailoverMs = durationMs - FAILOVER_MARGIN_MS;
  for (
    let failoverMs = FIRST_FAILOVER_MS;
    failoverMs <= lastFailoverMs;
    failoverMs += FAILOVER_INTERVAL_MS
  ) {
    faults.push({
      kind: "primary",
      atMs: failoverMs + draw(200),
      forMs: PRIMARY_FAULT_MS,
      group: faults.length % groups,
      fault: primaryFaults[draw(primaryFaults.length)]!,
    });
  }
  const killedHost = draw(hosts);
  return [
    ...faults,
    {
      kind: "replica_lag",
      atMs: durationMs * 0.2,
      forMs: REPLICA_LAG_MS,
      group: draw(groups),
    } as const,
    { kind: "key_withdrawn", atMs: durationMs * 0.3, forMs: 0 } as const,
    {
      kind: "host_killed",
      atMs: durationMs * 0.35,
      forMs: HOST_KILLED_MS,
      host: killedHost,
    } as const,
    {
      kind: "platform_down",
      atMs: durationMs * 0.5,
      forMs: durationMs * 0.2,
    } as const,
    {
      kind: "host_frozen",
      atMs: durationMs * 0.6,
      forMs: HOST_FROZEN_MS,
      host: (killedHost + 1 + draw(hosts - 1)) % hosts,
    } as const,
  ].sort((a, b) => a.atMs - b.atMs);
}
