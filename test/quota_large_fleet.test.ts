/**
 * Patterns: quotas of fleets of 76 and 146 hosts under demand that moves, hot
 * workspaces and the loss of an owner.
 */

import { afterEach, test } from "vitest";
import type { PoolFleet } from "./pool_fleet.ts";
import { createQuotaLoad } from "./quota_load.ts";
import {
  createDemand,
  createSetup,
  DOMAINS,
  expectWithin,
  findOwner,
  LOSS_MS,
  MAX_REFUSED,
  MAX_REFUSED_AFTER_LOSS,
  startFleet,
} from "./quota_setup.ts";

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Waves of 27% with a period of 11 s. */
function getWave(elapsedMs: number): number {
  return 1 + 0.27 * Math.sin((2 * Math.PI * elapsedMs) / 11_000);
}

// Guards against quotas that are bound to hosts while the demand moves.
test("demand in waves that moves over the domains is served at 76 hosts", async () => {
  const setup = createSetup(80);
  const { quotas } = setup;
  fleet = await startFleet(76, setup);
  const load = createQuotaLoad(fleet, {
    quotas,
    demand: createDemand(setup, {
      getFactor: (_, ms) => getWave(ms),
      chooseHost: (random, ms) =>
        Math.floor(random() * 12) * DOMAINS + Math.floor(ms / 2_500) % DOMAINS,
    }),
    seed: 1,
  });
  await load.run(15_000);
  await load.finish();
  expectWithin(load.attempts, { quotas, maxRefused: MAX_REFUSED });
});

// Guards against hot workspaces that cost the others, or themselves, tokens.
test("three workspaces at 4 to 7 times their load get what one bucket gives", async () => {
  const setup = createSetup(80);
  const { quotas } = setup;
  fleet = await startFleet(76, setup);
  const factors = new Map([["w1", 4], ["w10", 7], ["w20", 5]]);
  const load = createQuotaLoad(fleet, {
    quotas,
    demand: createDemand(setup, {
      getFactor: (workspace) => factors.get(workspace) ?? 1,
    }),
    seed: 2,
  });
  await load.run(12_000);
  await load.finish();
  expectWithin(load.attempts, { quotas, maxRefused: MAX_REFUSED });
});

// Guards against an owner whose loss stops its workspaces for a whole lease.
test.each([76, 146])("an owner is killed, %i hosts", async (hosts) => {
  const setup = createSetup(80);
  const { quotas } = setup;
  fleet = await startFleet(hosts, setup);
  const load = createQuotaLoad(fleet, {
    quotas,
    demand: createDemand(setup),
    seed: 3,
  });
  await load.run(2_000);
  const killedAt = Date.now();
  fleet.killHost(findOwner(fleet));
  await load.run(LOSS_MS);
  await load.finish();
  expectWithin(load.attempts, {
    quotas,
    from: killedAt,
    maxRefused: MAX_REFUSED_AFTER_LOSS,
  });
});
