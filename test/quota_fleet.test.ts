/**
 * Patterns: quotas of a large fleet under demand that moves and hosts that are
 * lost. Bounds are those of docs/design/hard_load.md.
 */

import { afterEach, expect, test } from "vitest";
import type { Quota } from "../src/pooling/types.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";
import { checkQuotas, createQuotaLoad, type Demand } from "./quota_load.ts";

/** Refusals within the plan, as fractions of what was sent. */
const MAX_REFUSED = 0.001;
/** Workspaces and their mean demand: a few are large. */
const WORKSPACES = Array.from({ length: 80 }, (_, n) => `w${n + 1}`);
/** Rate of a workspace as a multiple of its mean demand. */
const RATE_FACTOR = 1.6;

let fleet: PoolFleet;
afterEach(() => fleet.stop());

function getMeanPerS(workspace: string): number {
  const index = WORKSPACES.indexOf(workspace);
  return index < 4 ? 60 : 4;
}

function createQuotas(factor = 1): ReadonlyMap<string, Quota> {
  return new Map(WORKSPACES.map((workspace) => {
    const ratePerS = getMeanPerS(workspace) * RATE_FACTOR * factor;
    return [workspace, { ratePerS, burst: ratePerS }];
  }));
}

async function startFleet(hosts: number): Promise<void> {
  fleet = await startPoolFleet({
    hosts,
    workspaces: WORKSPACES,
    domains: Array.from({ length: hosts }, (_, n) => `d${(n % 6) + 1}`),
  });
  fleet.setCatalog({ quotas: createQuotas() as never });
}

function createDemand(
  factorOf: (workspace: string, elapsedMs: number) => number = () => 1,
): ReadonlyMap<string, Demand> {
  return new Map(WORKSPACES.map((workspace) => [workspace, {
    getRatePerS: (elapsedMs: number) =>
      getMeanPerS(workspace) * factorOf(workspace, elapsedMs),
  }]));
}

// Guards against quotas that are bound to hosts while the demand moves.
test("demand in waves is served at 76 hosts", async () => {
  const quotas = createQuotas();
  await startFleet(76);
  const load = createQuotaLoad(fleet, {
    quotas,
    demand: createDemand((_, ms) => 1 + 0.27 * Math.sin((ms / 11_000) * 6.28)),
    seed: 1,
  });
  await load.run(15_000);
  const verdict = checkQuotas(load.attempts, { quotas });
  expect(verdict.exceeded).toEqual([]);
  expect(verdict.refusedWithinPlan).toBeLessThan(MAX_REFUSED * verdict.sent);
});
