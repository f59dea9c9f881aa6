/** Fleets with owners of quotas, their demand, and the bounds that hold. */

import { expect } from "vitest";
import type { HostId } from "../src/core/ids.ts";
import type { Quota } from "../src/pooling/types.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";
import { type Attempt, checkQuotas, type Demand } from "./quota_load.ts";

/** Refusals within the plan, as fractions of what was sent. */
export const MAX_REFUSED = 0.001;
export const MAX_REFUSED_AFTER_LOSS = 0.01;
/** Time after the loss of a host in which the higher fraction holds. */
export const LOSS_MS = 10_000;
export const DOMAINS = 6;
/** Rate of a workspace as a multiple of its mean demand; the burst is 1 s. */
const RATE_FACTOR = 1.6;
/** One-way delay between regions, of which each has two domains. */
const REGION_DELAY_MS = 20;
const PARTITIONS = 8;

/** Workspaces with their quotas and mean demand. */
export interface Setup {
  readonly workspaces: readonly string[];
  readonly quotas: ReadonlyMap<string, Quota>;
  getMeanPerS(workspace: string): number;
}

/** Workspaces of which the first four are large. */
export function createSetup(workspaceCount: number): Setup {
  const workspaces = Array.from(
    { length: workspaceCount },
    (_, n) => `w${n + 1}`,
  );
  const getMeanPerS = (workspace: string) =>
    workspaces.indexOf(workspace) < 4 ? 60 : 4;
  return {
    workspaces,
    getMeanPerS,
    quotas: createQuotas(
      workspaces,
      (workspace) => getMeanPerS(workspace) * RATE_FACTOR,
    ),
  };
}

/** Creates quotas whose burst is one second of the rate. */
export function createQuotas(
  workspaces: readonly string[],
  getRatePerS: (workspace: string) => number,
): ReadonlyMap<string, Quota> {
  return new Map(workspaces.map((workspace) => {
    const ratePerS = getRatePerS(workspace);
    return [workspace, { ratePerS, burst: ratePerS }];
  }));
}

function getRegion(host: HostId): number {
  return Math.floor((Number(host.slice(1)) % DOMAINS) / 2);
}

/** Starts a fleet over three regions. */
export async function startFleet(
  hosts: number,
  setup: Setup,
): Promise<PoolFleet> {
  const fleet = await startPoolFleet({
    hosts,
    workspaces: setup.workspaces,
    domains: Array.from({ length: hosts }, (_, n) => `d${(n % DOMAINS) + 1}`),
  });
  fleet.setCatalog({ quotas: setup.quotas as never });
  fleet.messageFaults.getDelayMs = (from, to) =>
    getRegion(from) === getRegion(to) ? 1 : REGION_DELAY_MS;
  return fleet;
}

/** Creates the mean demand of all workspaces, changed by a factor. */
export function createDemand(
  setup: Setup,
  options: {
    getFactor?(workspace: string, elapsedMs: number): number;
    readonly chooseHost?: Demand["chooseHost"];
  } = {},
): ReadonlyMap<string, Demand> {
  const { getFactor, chooseHost } = options;
  return new Map(setup.workspaces.map((workspace) => [workspace, {
    getRatePerS: (elapsedMs: number) =>
      setup.getMeanPerS(workspace) * (getFactor?.(workspace, elapsedMs) ?? 1),
    ...(chooseHost ? { chooseHost } : {}),
  }]));
}

/** Returns the host that owns most partitions. */
export function findOwner(fleet: PoolFleet): number {
  const owners = new Map<string, number>();
  for (let partition = 0; partition < PARTITIONS; partition++) {
    const { value } = fleet.store.get(
      `turmericchute-fleet/quota.${partition}` as never,
    );
    const { host } = value as { readonly host: string };
    owners.set(host, (owners.get(host) ?? 0) + 1);
  }
  const [first] = [...owners].sort((a, b) => b[1] - a[1]);
  return Number(first![0].slice(1));
}

/** Checks the bound of a window and the refusals within the plan. */
export function expectWithin(
  attempts: readonly Attempt[],
  options: {
    readonly quotas: ReadonlyMap<string, Quota>;
    readonly from?: number;
    readonly to?: number;
    readonly maxRefused: number;
  },
): void {
  const verdict = checkQuotas(attempts, options);
  expect(verdict.exceeded).toEqual([]);
  expect(verdict.refusedWithinPlan / verdict.sent)
    .toBeLessThan(options.maxRefused);
}
