import { afterEach, expect, test, vi } from "vitest";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";
import {
  listLostWrites,
  startWriteLoad,
  tryPrimaryOf,
  type WriteLoad,
} from "./write_load.ts";

const HOSTS = 3;
const RECORD_KEY = asId<ObjectKey>("turmericchute-fleet/copies.ledger");
/** Time for a failover, with the waits between two attempts. */
const FAILOVER_MS = 10_000;
/** Time for the record of the copies to follow a change of the targets. */
const RECORD_MS = 2_000;

let fleet: PoolFleet;
let load: WriteLoad;
afterEach(() => {
  load.stop();
  fleet.stop();
});

/** Starts writes on three hosts in front of these targets; t1 leads. */
async function startLoadedFleet(
  { ids = ["t1", "t2", "t3"] }: { readonly ids?: readonly string[] } = {},
): Promise<void> {
  fleet = await startPoolFleet({ hosts: HOSTS, group: { ids } });
  load = startWriteLoad(fleet, [0, 1, 2]);
  await vi.advanceTimersByTimeAsync(1_000);
}

function setUnresponsive(id: string, isUnresponsive: boolean): void {
  fleet.getTarget(id).faults.isUnresponsive = isUnresponsive;
}

/** Ends all hosts and starts them again after a time. */
async function restartHosts(
  { downMs, whileDown }: {
    readonly downMs: number;
    whileDown?(): void;
  },
): Promise<void> {
  load.stop();
  for (let host = 0; host < HOSTS; host++) {
    fleet.killHost(host);
  }
  await vi.advanceTimersByTimeAsync(downMs);
  whileDown?.();
  for (let host = 0; host < HOSTS; host++) {
    fleet.restartHost(host);
  }
}

/** Lets the primary go dark while t3 receives nothing; t2 has all writes. */
async function crashPrimary(): Promise<void> {
  await startLoadedFleet();
  fleet.getTarget("t3").faults.isReplicationStopped = true;
  await vi.advanceTimersByTimeAsync(500);
  setUnresponsive("t1", true);
}

function listRecorded(): readonly string[] {
  const { copies } = fleet.store.get(RECORD_KEY).value as {
    copies: { id: string }[];
  };
  return copies.map(({ id }) => id);
}

// Guards against a count of copies that forgets, in a restart of all hosts, a
// primary whose registration has lapsed: one fenced replica would be enough.
test("a lapsed primary counts as a copy after a restart of all hosts", async () => {
  await crashPrimary();
  // The replica without the last writes is fenced first.
  fleet.targetReplies.delayMsByTarget.set("t2", 300);
  await restartHosts({
    downMs: 3_000,
    whileDown: () => fleet.deregister("t1"),
  });
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(load.acknowledged.size).toBeGreaterThan(0);
  expect(tryPrimaryOf(fleet)?.record.id).toBe("t2");
  expect(listLostWrites(fleet, load.acknowledged)).toHaveLength(0);
});

// Guards against a lapsed replica, the only one with the last writes, that no
// host knows after a restart of all.
test("a lapsed replica is the successor after a restart of all hosts", async () => {
  await crashPrimary();
  await restartHosts({
    downMs: 3_000,
    whileDown() {
      fleet.deregister("t1");
      fleet.deregister("t2");
    },
  });
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(fleet.orders[0]?.target).toBe("t2");
  expect(listLostWrites(fleet, load.acknowledged)).toHaveLength(0);
});

// Guards against the log of a replica that has started again, which held the
// last writes and is not counted after a restart of all hosts.
test("a log that was lost counts after a restart of all hosts", async () => {
  await crashPrimary();
  await restartHosts({
    downMs: 3_000,
    whileDown() {
      fleet.getTarget("t2").faults.isReplicationStopped = true;
      (fleet.getTarget("t2").log as unknown[]).length = 0;
      fleet.register("t2", { incarnation: 2 });
    },
  });
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(fleet.orders).toHaveLength(0);
  setUnresponsive("t1", false);
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(listLostWrites(fleet, load.acknowledged)).toHaveLength(0);
});

// Guards against a record that keeps targets which have been replaced: the next
// crash would wait for them.
test("the record of the copies follows planned replacements", async () => {
  await startLoadedFleet();
  await vi.advanceTimersByTimeAsync(RECORD_MS);
  expect(listRecorded()).toEqual(["t1", "t2", "t3"]);
  fleet.register("t3", { isDraining: true });
  await vi.advanceTimersByTimeAsync(RECORD_MS);
  fleet.deregister("t3");
  await vi.advanceTimersByTimeAsync(RECORD_MS);
  expect(listRecorded()).toEqual(["t1", "t2"]);
});

// Guards against a record that the store has lost with its last seconds.
test("the record of the copies returns after the store has lost it", async () => {
  await startLoadedFleet();
  const copy = fleet.store.takeCopy();
  fleet.store.remove(RECORD_KEY);
  await vi.advanceTimersByTimeAsync(RECORD_MS);
  expect(listRecorded()).toEqual(["t1", "t2", "t3"]);
  fleet.returnStore(copy);
  await vi.advanceTimersByTimeAsync(RECORD_MS);
  expect(listRecorded()).toEqual(["t1", "t2", "t3"]);
});

/** Lets the registration of a replica lapse, which goes on counting as a copy. */
async function lapseReplica(): Promise<void> {
  load.stop();
  fleet.deregister("t3");
  await vi.advanceTimersByTimeAsync(RECORD_MS);
}

// Guards against calls to a store that does not answer, ten a second.
test("a record that the store does not accept is written again at intervals", async () => {
  await startLoadedFleet();
  // The watches deliver the change before the store fails.
  fleet.register("t3", { isDraining: true });
  await vi.advanceTimersByTimeAsync(5);
  fleet.hostsWithoutStore.add("all");
  await vi.advanceTimersByTimeAsync(10_000);
  const failed = fleet.logLines.filter(({ event, fields }) =>
    event === "copies_recorded" && fields["isAccepted"] === false
  );
  expect(failed.length).toBeGreaterThan(0);
  expect(failed.length).toBeLessThan(10 * HOSTS);
});

// Guards against a record of another writer that makes hosts forget copies.
test("a record that cannot be read is replaced and removes no copy", async () => {
  await startLoadedFleet();
  await lapseReplica();
  const { version } = fleet.store.get(RECORD_KEY);
  fleet.store.put(RECORD_KEY, "odd", { ifVersion: version }).unwrap();
  await vi.advanceTimersByTimeAsync(RECORD_MS);
  expect(listRecorded()).toEqual(["t1", "t2"]);
  expect(fleet.logLines.some(({ event }) => event === "copy_forgotten"))
    .toBe(false);
});

// Guards against hosts that write a record which is up to date.
test("the record of the copies is written once while no target changes", async () => {
  await startLoadedFleet();
  await vi.advanceTimersByTimeAsync(10_000);
  expect(
    fleet.logLines.filter(({ event }) => event === "copies_recorded"),
  ).toHaveLength(1);
});
