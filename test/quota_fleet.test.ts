/**
 * Patterns: quotas with owners while a host, a link or the store fails. Bounds
 * are those of docs/design/hard_load.md.
 */

import { afterEach, expect, test } from "vitest";
import type { PoolFleet } from "./pool_fleet.ts";
import { type Attempt, checkQuotas, createQuotaLoad } from "./quota_load.ts";
import {
  createDemand,
  createQuotas,
  createSetup,
  expectWithin,
  findOwner,
  LOSS_MS,
  MAX_REFUSED,
  MAX_REFUSED_AFTER_LOSS,
  startFleet,
} from "./quota_setup.ts";

/** Time in which a quarter of the load is served after a restart. */
const RESTART_MS = 15_000;
/** Time within which a configuration is in force. */
const CONFIG_MS = 6_000;

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Hosts and workspaces of the tests in which one host or the store fails. */
const SMALL_HOSTS = 24;
const SMALL_WORKSPACES = 32;

async function startSmall(options: { readonly seed: number }) {
  const setup = createSetup(SMALL_WORKSPACES);
  fleet = await startFleet(SMALL_HOSTS, setup);
  const closed = new Set<number>();
  const load = createQuotaLoad(fleet, {
    quotas: setup.quotas,
    demand: createDemand(setup),
    seed: options.seed,
    isClosed: (host) => closed.has(host),
  });
  await load.run(12_000);
  return { load, closed, setup, quotas: setup.quotas };
}

// Guards against an owner that grants after its successor has begun.
test("an owner is frozen for 5 s and woken", async () => {
  const { load, closed, quotas } = await startSmall({ seed: 4 });
  const owner = findOwner(fleet);
  const frozenAt = Date.now();
  fleet.freezeHost(owner, 5_000);
  closed.add(owner);
  await load.run(5_000);
  closed.clear();
  await load.run(10_000);
  await load.finish();
  expectWithin(load.attempts, {
    quotas,
    from: frozenAt,
    to: frozenAt + LOSS_MS,
    maxRefused: MAX_REFUSED_AFTER_LOSS,
  });
});

// Guards against an owner and a successor that both grant while only one of
// them reaches the store.
test("an owner is cut off from the store", async () => {
  const { load, quotas } = await startSmall({ seed: 5 });
  const cutAt = Date.now();
  fleet.hostsWithoutStore.add(`h${findOwner(fleet)}`);
  await load.run(LOSS_MS + 5_000);
  fleet.hostsWithoutStore.clear();
  await load.run(3_000);
  await load.finish();
  expectWithin(load.attempts, {
    quotas,
    from: cutAt,
    to: cutAt + LOSS_MS,
    maxRefused: MAX_REFUSED_AFTER_LOSS,
  });
});

// Guards against an owner that keeps its lease where no host can ask it.
test("an owner is cut off from its peers", async () => {
  const { load, closed, quotas } = await startSmall({ seed: 6 });
  const owner = findOwner(fleet);
  const cutAt = Date.now();
  fleet.messageFaults.isLost = (from, to) =>
    from === `h${owner}` || to === `h${owner}`;
  closed.add(owner);
  await load.run(LOSS_MS);
  closed.clear();
  await load.run(5_000);
  fleet.messageFaults.isLost = () => false;
  await load.run(3_000);
  await load.finish();
  expectWithin(load.attempts, {
    quotas,
    from: cutAt,
    to: cutAt + LOSS_MS,
    maxRefused: MAX_REFUSED_AFTER_LOSS,
  });
});

// Guards against owners that stop granting while nobody can replace them.
test("the store is down for 6 s", async () => {
  const { load, quotas } = await startSmall({ seed: 7 });
  const downAt = Date.now();
  fleet.hostsWithoutStore.add("all");
  await load.run(6_000);
  fleet.hostsWithoutStore.clear();
  await load.run(6_000);
  await load.finish();
  expectWithin(load.attempts, {
    quotas,
    from: downAt,
    maxRefused: MAX_REFUSED,
  });
});

// Guards against an owner of the restored copy beside the one that replaced it.
test("the store returns to a copy from before a change of owner", async () => {
  const { load, closed, quotas } = await startSmall({ seed: 8 });
  const owner = findOwner(fleet);
  const copy = fleet.store.takeCopy();
  fleet.freezeHost(owner, 3_000);
  closed.add(owner);
  await load.run(3_000);
  closed.clear();
  await load.run(1_000);
  fleet.returnStore(copy);
  await load.run(8_000);
  const recoveredAt = Date.now();
  await load.run(6_000);
  await load.finish();
  expectWithin(load.attempts, {
    quotas,
    from: recoveredAt,
    maxRefused: MAX_REFUSED,
  });
});

// Guards against a fleet that waits for the leases of its own old processes.
test("all hosts are killed and start again", async () => {
  const { load, quotas } = await startSmall({ seed: 9 });
  for (let host = 0; host < SMALL_HOSTS; host++) {
    fleet.killHost(host);
  }
  await load.run(500);
  for (let host = 0; host < SMALL_HOSTS; host++) {
    fleet.restartHost(host);
  }
  const restartedAt = Date.now();
  await load.run(RESTART_MS + 3_000);
  await load.finish();
  const after = checkQuotas(load.attempts, {
    quotas,
    from: restartedAt + RESTART_MS,
  });
  expect(after.exceeded).toEqual([]);
  expect(after.taken).toBeGreaterThan(after.sent / 4);
});

// Guards against tokens of a higher quota that are granted after it was lowered.
test("quotas are lowered to half", async () => {
  const { load, setup, quotas } = await startSmall({ seed: 10 });
  const loweredAt = Date.now();
  const lowered = createQuotas(
    setup.workspaces,
    (workspace) => quotas.get(workspace)!.ratePerS / 2,
  );
  fleet.setCatalog({ quotas: lowered as never });
  await load.run(CONFIG_MS + 6_000);
  await load.finish();
  const inForceAt = loweredAt + CONFIG_MS;
  const isAfter = (at: number) => (attempt: Attempt) => attempt.sentAt >= at;
  expect(checkQuotas(load.attempts, { quotas }).exceeded).toEqual([]);
  const late = load.attempts.filter(isAfter(inForceAt));
  expect(checkQuotas(late, { quotas: lowered }).exceeded).toEqual([]);
  const verdict = checkQuotas(load.attempts.filter(isAfter(loweredAt)), {
    quotas: lowered,
    from: inForceAt,
  });
  expect(verdict.refusedWithinPlan / verdict.sent).toBeLessThan(MAX_REFUSED);
});

// Guards against requests that stay without tokens when datagrams are lost.
test("one datagram of fifty is lost", async () => {
  let sent = 0;
  const setup = createSetup(SMALL_WORKSPACES);
  const { quotas } = setup;
  fleet = await startFleet(SMALL_HOSTS, setup);
  fleet.messageFaults.isLost = () => ++sent % 50 === 0;
  const load = createQuotaLoad(fleet, {
    quotas,
    demand: createDemand(setup),
    seed: 11,
  });
  await load.run(10_000);
  await load.finish();
  expectWithin(load.attempts, { quotas, maxRefused: MAX_REFUSED });
});
