/**
 * Failures of the host that reads the store for its failure domain: whatever
 * happens to it, a change that the store accepted must reach each host in touch
 * within 3 s.
 */

import { afterEach, expect, test, vi } from "vitest";
import { asId, type HostId, type ObjectKey } from "../src/core/ids.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";

/** Time within which a change must reach each host in touch. */
const CHANGE_BOUND_MS = 3_000;
/** Time within which a configuration must be in force in any case. */
const CONFIG_BOUND_MS = 6_000;
const HOSTS = 8;
/** Times of the fault after the fleet is at rest; a watch waits for 1.75 s. */
const OFFSETS_MS = [0, 500, 1_000, 1_500];

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Starts eight hosts of one domain and waits until they watch through one. */
async function startWithReader(): Promise<number> {
  fleet = await startPoolFleet({ hosts: HOSTS });
  await vi.advanceTimersByTimeAsync(8_000);
  return getReader();
}

/** Index of the host through which the others watch. */
function getReader(): number {
  const line = fleet.logLines.findLast(({ event, fields }) =>
    event === "store_reader_used" && fields["reader"] !== "none"
  );
  return Number(String(line?.fields["reader"]).slice(1));
}

function toHostId(index: number): HostId {
  return asId<HostId>(`h${index}`);
}

/** Changes the configuration; returns the slowest of these hosts, in ms. */
async function measureChange(hosts: readonly number[]): Promise<number> {
  const changedAt = Date.now();
  const arrivedAt = new Map<number, number>();
  for (const index of hosts) {
    fleet.poolers[index]!.onCatalogChange(() => {
      arrivedAt.set(index, arrivedAt.get(index) ?? Date.now());
    });
  }
  fleet.setCatalog({ transactionIdleMs: 2_999 });
  await vi.advanceTimersByTimeAsync(2 * CONFIG_BOUND_MS);
  return Math.max(
    ...hosts.map((index) => (arrivedAt.get(index) ?? Infinity) - changedAt),
  );
}

function listOthers(...excluded: readonly number[]): readonly number[] {
  return [...fleet.poolers.keys()].filter((index) => !excluded.includes(index));
}

function countWatches(freshness: string): number {
  return [...fleet.counters].filter(([name]) =>
    name.startsWith("store_calls_total watch") && name.endsWith(freshness)
  ).reduce((sum, [, count]) => sum + count, 0);
}

test("a cost at rest that grows with the hosts: only the reader watches", async () => {
  await startWithReader();
  const before = countWatches("exact");
  await vi.advanceTimersByTimeAsync(15_000);
  // Two prefixes, each watched again after 1.75 s.
  expect(countWatches("exact") - before).toBeLessThanOrEqual(2 * 10);
  expect(await measureChange(listOthers())).toBeLessThan(100);
});

test("fewer than six hosts of a domain: each watches for itself", async () => {
  fleet = await startPoolFleet({ hosts: 5 });
  await vi.advanceTimersByTimeAsync(8_000);
  expect(fleet.logLines.filter(({ event }) => event === "store_reader_used"))
    .toEqual([]);
  expect(await measureChange(listOthers())).toBeLessThan(100);
});

test.each(OFFSETS_MS)("the reader is killed after %i ms", async (offsetMs) => {
  const reader = await startWithReader();
  await vi.advanceTimersByTimeAsync(offsetMs);
  fleet.killHost(reader);
  expect(await measureChange(listOthers(reader))).toBeLessThan(CHANGE_BOUND_MS);
});

test.each(OFFSETS_MS)("the reader is frozen after %i ms", async (offsetMs) => {
  const reader = await startWithReader();
  await vi.advanceTimersByTimeAsync(offsetMs);
  fleet.network.suspend([toHostId(reader)]);
  expect(await measureChange(listOthers(reader))).toBeLessThan(CHANGE_BOUND_MS);
  // What it sent before it was frozen must not be taken for news later.
  fleet.network.resume();
  expect(await measureChange(listOthers())).toBeLessThan(CHANGE_BOUND_MS);
});

test.each(OFFSETS_MS)(
  "the reader is partitioned from its clients after %i ms",
  async (offsetMs) => {
    const reader = await startWithReader();
    await vi.advanceTimersByTimeAsync(offsetMs);
    fleet.network.silentHosts.add(toHostId(reader));
    // The reader still reaches the store, so it is in touch.
    expect(await measureChange(listOthers())).toBeLessThan(CHANGE_BOUND_MS);
  },
);

test.each(OFFSETS_MS)(
  "the reader is turned away by the store after %i ms",
  async (offsetMs) => {
    const reader = await startWithReader();
    await vi.advanceTimersByTimeAsync(offsetMs);
    fleet.hostsWithoutStore.add(`h${reader}`);
    expect(await measureChange(listOthers(reader))).toBeLessThan(
      CHANGE_BOUND_MS,
    );
  },
);

test.each(OFFSETS_MS)(
  "the reader is cut off from the store, whose answers never come, after %i ms",
  async (offsetMs) => {
    const reader = await startWithReader();
    await vi.advanceTimersByTimeAsync(offsetMs);
    fleet.storeFaults.getResponseDelayMs = (host) =>
      host === `h${reader}` ? 60_000 : 0;
    expect(await measureChange(listOthers(reader))).toBeLessThan(
      CHANGE_BOUND_MS,
    );
  },
);

test("the reader and its stand-by are killed together", async () => {
  const reader = await startWithReader();
  fleet.killHost(reader);
  await vi.advanceTimersByTimeAsync(100);
  const standBy = getReader();
  expect(standBy).not.toBe(reader);
  fleet.killHost(standBy);
  expect(await measureChange(listOthers(reader, standBy)))
    .toBeLessThan(CHANGE_BOUND_MS);
});

test("the reader lags: answers of the store reach it 2 s late", async () => {
  const reader = await startWithReader();
  fleet.storeFaults.getResponseDelayMs = (host) =>
    host === `h${reader}` ? 2_000 : 0;
  for (let n = 0; n < 4; n++) {
    await vi.advanceTimersByTimeAsync(700);
    expect(await measureChange(listOthers(reader)))
      .toBeLessThan(CHANGE_BOUND_MS);
  }
});

test("the store is slow: no host waits for a copy that never becomes young", async () => {
  const reader = await startWithReader();
  fleet.storeFaults.getResponseDelayMs = () => 1_000;
  await vi.advanceTimersByTimeAsync(10_000);
  // Changes take a second longer then; a configuration has 6 s.
  expect(await measureChange([reader])).toBeLessThan(CONFIG_BOUND_MS);
  expect(await measureChange(listOthers())).toBeLessThan(CONFIG_BOUND_MS);
});

test("the store returned to an earlier copy: no revision of the old era is watched", async () => {
  await startWithReader();
  const copy = fleet.store.takeCopy();
  await vi.advanceTimersByTimeAsync(4_000);
  fleet.returnStore(copy);
  expect(await measureChange(listOthers())).toBeLessThan(CHANGE_BOUND_MS);
  await vi.advanceTimersByTimeAsync(4_000);
  expect(await measureChange(listOthers())).toBeLessThan(CHANGE_BOUND_MS);
  const before = countWatches("exact");
  await vi.advanceTimersByTimeAsync(15_000);
  expect(countWatches("exact") - before).toBeLessThanOrEqual(2 * 10);
});

test("the whole fleet is restarted: hosts find their reader again", async () => {
  await startWithReader();
  listOthers().forEach((index) => fleet.killHost(index));
  await vi.advanceTimersByTimeAsync(1_000);
  const before = countWatches("exact");
  listOthers().forEach((index) => fleet.restartHost(index));
  await vi.advanceTimersByTimeAsync(1_500);
  expect(fleet.poolers.every((pooler) => pooler.isReady())).toBe(true);
  expect(await measureChange(listOthers())).toBeLessThan(CHANGE_BOUND_MS);
  // One reader's watches, and those of hosts that could not reach it at once.
  expect(countWatches("exact") - before).toBeLessThanOrEqual(2 * (6 + HOSTS));
});

test("the store is down: hosts notice, and no host uses a copy without its age", async () => {
  await startWithReader();
  fleet.hostsWithoutStore.add("all");
  await vi.advanceTimersByTimeAsync(10_000);
  const lost = fleet.logLines.filter(({ event, fields }) =>
    event === "store_lost" && fields["prefix"] === "catalog/"
  );
  expect(lost.length).toBe(HOSTS);
  fleet.hostsWithoutStore.clear();
  expect(await measureChange(listOthers())).toBeLessThan(CHANGE_BOUND_MS);
});

/** Registers a host whose process does not know readers. */
function registerOlderHost(): void {
  const key = asId<ObjectKey>("turmericchute-fleet/host.older");
  const record = {
    incarnation: 1,
    beat: 1,
    peers: "127.0.0.1:99",
    domain: "d1",
    firstEra: 1,
  };
  fleet.store.put(key, record, { ifVersion: 0 }).unwrap();
}

test("an older process in the domain: it is neither counted nor sent a message that it does not know", async () => {
  fleet = await startPoolFleet({ hosts: 5 });
  registerOlderHost();
  await vi.advanceTimersByTimeAsync(8_000);
  const listUsed = () =>
    fleet.logLines.filter(({ event }) => event === "store_reader_used")
      .map(({ fields }) => fields["reader"]);
  expect(listUsed()).toEqual([]);
  fleet.startHost();
  await vi.advanceTimersByTimeAsync(8_000);
  expect(listUsed().length).toBeGreaterThan(0);
  expect(listUsed()).not.toContain("older");
  expect(await measureChange(listOthers())).toBeLessThan(100);
});

// Load: a configuration of a thousand routes. Guards against a reader whose link
// takes longer than the bound to pass it on to the hosts of its domain.
test("each host reads a long change from the store itself", async () => {
  await startWithReader();
  const routes = "x".repeat(100_000);
  const before = countWatches("exact");
  const changedAt = Date.now();
  const arrived = new Set<number>();
  listOthers().forEach((index) =>
    fleet.poolers[index]!.onCatalogChange(() => {
      if (Date.now() - changedAt < CHANGE_BOUND_MS) {
        arrived.add(index);
      }
    })
  );
  fleet.setCatalog({ padding: routes } as object);
  await vi.advanceTimersByTimeAsync(CHANGE_BOUND_MS);
  expect(arrived.size).toBe(HOSTS);
  expect(fleet.counters.get("store_reader_served_total too_long"))
    .toBe(HOSTS - 1);
  // Each host makes one call, and goes on watching through the reader.
  expect(countWatches("exact") - before).toBeLessThan(2 * HOSTS);
});
