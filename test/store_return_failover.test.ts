import { afterEach, expect, test, vi } from "vitest";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";

const LEASE_KEY = asId<ObjectKey>("turmericchute-fleet/duty.ledger");
/** Longest time for which a failover may run under its lease. */
const LEASE_TIMEOUT_MS = 7_000;

let fleet: PoolFleet;
afterEach(() => fleet.stop());

function listLines(event: string) {
  return fleet.logLines.filter((line) => line.event === event);
}

function listOrderedTokens(): number[] {
  return listLines("promotion_ordered")
    .map(({ fields }) => fields.fencingToken as number);
}

/** Advances the time until `isDone`; fails after `limitMs`. */
async function advanceUntil(
  isDone: () => boolean,
  limitMs: number,
): Promise<void> {
  for (let ms = 0; ms < limitMs && !isDone(); ms += 10) {
    await vi.advanceTimersByTimeAsync(10);
  }
  expect(isDone()).toBe(true);
}

function setUnresponsive(id: string, isUnresponsive: boolean): void {
  fleet.getTarget(id).faults.isUnresponsive = isUnresponsive;
}

function getPrimary(): string {
  return fleet.group.targets.filter(({ role }) => role === "primary")
    .toSorted((a, b) => b.term - a.term)[0]!.record.id;
}

/** Makes the primary unresponsive until another target leads. */
async function replacePrimary(): Promise<void> {
  const old = getPrimary();
  const count = listLines("failover_ended").length;
  setUnresponsive(old, true);
  await advanceUntil(
    () => getPrimary() !== old && listLines("failover_ended").length > count,
    30_000,
  );
  setUnresponsive(old, false);
  await vi.advanceTimersByTimeAsync(5_000);
}

// Guards against a token that is given out twice: a count kept in the lease
// starts again from the older copy.
test("fencing tokens are unique and rise across returns of the store", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  for (let returns = 0; returns < 3; returns++) {
    await replacePrimary();
    fleet.returnStore(copy);
    await vi.advanceTimersByTimeAsync(8_000);
  }
  await replacePrimary();
  const tokens = listOrderedTokens();
  expect(tokens.length).toBeGreaterThanOrEqual(4);
  expect(tokens).toEqual([...new Set(tokens)].sort((a, b) => a - b));
});

// Guards against an order under a claim that the store no longer has.
test("a host that holds a lease of an older era orders no promotion", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  let returnedAt: number | undefined;
  const unsubscribe = fleet.store.onChange(() => {
    const lease = fleet.store.get(LEASE_KEY).value as
      | { openTarget?: string }
      | undefined;
    if (lease?.openTarget !== undefined && returnedAt === undefined) {
      returnedAt = Date.now();
      // After the answer to the write, before that to the status queries.
      fleet.targetReplies.delayMs = 100;
      setTimeout(() => fleet.returnStore(copy), 10);
      setTimeout(() => fleet.targetReplies.delayMs = 0, 200);
    }
  });
  setUnresponsive(getPrimary(), true);
  await advanceUntil(() => returnedAt !== undefined, 10_000);
  unsubscribe();
  await vi.advanceTimersByTimeAsync(LEASE_TIMEOUT_MS - 200);
  expect(listOrderedTokens()).toEqual([]);
  await advanceUntil(() => listLines("failover_ended").length > 1, 10_000);
  expect(listOrderedTokens()).toHaveLength(1);
});

// Guards against a second holder while the first one's failover may still run:
// the store has lost the first one's claim.
test("no host claims a lease while a holder of the older era may act", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  setUnresponsive(getPrimary(), true);
  await advanceUntil(() => listLines("failover_started").length > 0, 10_000);
  fleet.returnStore(copy);
  const returnedAt = Date.now();
  await advanceUntil(() => listLines("failover_started").length > 1, 20_000);
  expect(Date.now() - returnedAt).toBeGreaterThanOrEqual(LEASE_TIMEOUT_MS);
});

// Guards against a claim by a host that started after the return and so has not
// seen the era rise.
test("a host that starts after a return claims no lease that may be lost", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  setUnresponsive(getPrimary(), true);
  await advanceUntil(() => listLines("failover_started").length > 0, 10_000);
  ["h0", "h1", "h2"].forEach((host) => fleet.hostsWithoutStore.add(host));
  fleet.returnStore(copy);
  const startedAt = Date.now();
  fleet.startHost();
  await advanceUntil(() => listLines("failover_started").length > 1, 20_000);
  expect(Date.now() - startedAt).toBeGreaterThanOrEqual(LEASE_TIMEOUT_MS);
});

// Guards against a second target that is promoted while the order for the first
// one, which the store has forgotten, may still take effect.
test("the target of an open order outlives the loss of its lease", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  fleet.delayedPromotions.minDelayMs = 9_000;
  setUnresponsive(getPrimary(), true);
  await advanceUntil(() => listOrderedTokens().length > 0, 10_000);
  fleet.returnStore(copy);
  await vi.advanceTimersByTimeAsync(3_000);
  const [order] = listLines("promotion_ordered");
  expect(fleet.store.get(LEASE_KEY).value).toMatchObject({
    openTarget: order!.fields.target,
    fencingToken: order!.fields.fencingToken,
  });
  await advanceUntil(() => listOrderedTokens().length > 1, 20_000);
  const targets = listLines("promotion_ordered")
    .map(({ fields }) => fields.target);
  expect(new Set(targets).size).toBe(1);
});

// Guards against an open order that is known to hosts other than its holder
// only, since the holder is out of touch.
test("the other hosts write an open order back if its holder does not", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  fleet.delayedPromotions.minDelayMs = 9_000;
  setUnresponsive(getPrimary(), true);
  await advanceUntil(() => listOrderedTokens().length > 0, 10_000);
  const [order] = fleet.orders;
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.hostsWithoutStore.add(order!.holder);
  fleet.messageFaults.isLost = (from, to) =>
    from === order!.holder || to === order!.holder;
  fleet.returnStore(copy);
  await vi.advanceTimersByTimeAsync(1_500);
  expect(fleet.store.get(LEASE_KEY).value).toBeUndefined();
  await vi.advanceTimersByTimeAsync(1_500);
  expect(fleet.store.get(LEASE_KEY).value).toMatchObject({
    openTarget: order!.target,
    fencingToken: order!.fencingToken,
  });
});

test("a finished order leaves no open target after the loss of its lease", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  const old = getPrimary();
  setUnresponsive(old, true);
  await advanceUntil(() => listOrderedTokens().length > 0, 10_000);
  fleet.returnStore(copy);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(getPrimary()).not.toBe(old);
  expect(fleet.store.get(LEASE_KEY).value ?? {})
    .not.toHaveProperty("openTarget");
});

// Guards against an open order that other hosts take from a restored lease and
// keep, although its holder has written back that it is over.
test("an order that its holder writes back as over is open on no host", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const old = getPrimary();
  setUnresponsive(old, true);
  await advanceUntil(() => fleet.orders.length > 0, 10_000);
  const copy = fleet.store.takeCopy();
  await advanceUntil(() => getPrimary() !== old, 10_000);
  fleet.returnStore(copy);
  setUnresponsive(old, false);
  await vi.advanceTimersByTimeAsync(12_000);
  fleet.hostsWithoutStore.add(fleet.orders[0]!.holder);
  const writtenBack = fleet.store.get(LEASE_KEY).value;
  const claims: unknown[] = [];
  fleet.store.onChange(() => {
    const { value } = fleet.store.get(LEASE_KEY);
    if (value !== (claims.at(-1) ?? writtenBack)) {
      claims.push(value);
    }
  });
  const next = getPrimary();
  setUnresponsive(next, true);
  await advanceUntil(() => claims.length > 0, 10_000);
  expect(claims[0]).toMatchObject({ isDone: false });
  expect(claims[0]).not.toHaveProperty("openTarget");
});

// Guards against replicas that receive again before the order takes effect: a
// commit acknowledged then may be missing at the target of the order.
test("replicas stay paused for an open order whose lease is lost", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  const old = getPrimary();
  fleet.delayedPromotions.minDelayMs = 9_000;
  setUnresponsive(old, true);
  await advanceUntil(() => listOrderedTokens().length > 0, 10_000);
  fleet.returnStore(copy);
  setUnresponsive(old, false);
  const resumed: string[] = [];
  for (let ms = 0; ms < 8_500; ms += 100) {
    await vi.advanceTimersByTimeAsync(100);
    fleet.group.targets
      .filter(({ record, pausedTerm }) => record.id !== old && pausedTerm === 0)
      .forEach(({ record }) => resumed.push(record.id));
  }
  expect(resumed).toEqual([]);
});

test("each host logs and counts a change of era and what it gave up", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  const copy = fleet.store.takeCopy();
  setUnresponsive(getPrimary(), true);
  await advanceUntil(() => listLines("failover_started").length > 0, 10_000);
  fleet.returnStore(copy);
  await vi.advanceTimersByTimeAsync(5_000);
  expect(listLines("store_era_changed").map(({ fields }) => fields))
    .toEqual([1, 2, 3].map(() => ({ era: 2, previous: 1 })));
  expect(listLines("lease_given_up").map(({ fields }) => fields.fencingToken))
    .toEqual(
      listLines("failover_started").map(({ fields }) => fields.fencingToken),
    );
  // Three feeds on each of three hosts.
  expect(listLines("watch_given_up")).toHaveLength(9);
  expect(fleet.counters.get("store_era_changes_total")).toBe(3);
  expect(fleet.counters.get("store_era_losses_total lease")).toBe(1);
  // The records of three hosts, the ledger, the lease and the record of the
  // copies on each host.
  expect(fleet.counters.get("store_era_losses_total object")).toBe(18);
});
