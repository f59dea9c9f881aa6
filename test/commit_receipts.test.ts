/** Acknowledgements of commits that a failover might discard. */

import { afterEach, expect, test, vi } from "vitest";
import { asId, type HostId, type ObjectKey } from "../src/core/ids.ts";
import {
  getOutcome,
  type PoolFleet,
  type PoolFleetOptions,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";
import {
  listLostWithin as listLost,
  startWriteLoad,
  tryPrimaryOf,
} from "./write_load.ts";

const LEASE_KEY = asId<ObjectKey>("turmericchute-fleet/duty.ledger");
/** Time within which a change of primary is to be over, from CONTRIBUTING.md. */
const CHANGE_OF_PRIMARY_MS = 7_000;

/** Interval of the writes of each host, in milliseconds. */
const WRITE_INTERVAL_MS = 60;
/** Interval at which logs are compared; shorter than a promotion is in force. */
const COMPARE_INTERVAL_MS = 250;

let fleet: PoolFleet;
let stopLoad = () => {};
afterEach(() => {
  stopLoad();
  fleet.stop();
});

async function start(options: Partial<PoolFleetOptions> = {}): Promise<void> {
  fleet = await startPoolFleet({ hosts: 3, ...options });
}

function startWriters(hosts: readonly number[]): ReadonlySet<string> {
  const load = startWriteLoad(fleet, hosts, WRITE_INTERVAL_MS);
  stopLoad = load.stop;
  return load.acknowledged;
}

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

const listLostWithin = (ms: number, acknowledged: ReadonlySet<string>) =>
  listLost(fleet, acknowledged, { ms, intervalMs: COMPARE_INTERVAL_MS });

/**
 * Parts hosts and targets of one side from the other hosts and targets, and from
 * the store.
 */
function part(side: {
  readonly hosts: readonly number[];
  readonly targets: readonly string[];
}): void {
  const names = side.hosts.map((index) => `h${index}`);
  const isOnSide = (host: HostId) => names.includes(host);
  names.forEach((host) => fleet.hostsWithoutStore.add(host));
  fleet.messageFaults.isLost = (from, to) => isOnSide(from) !== isOnSide(to);
  for (const host of fleet.poolers.keys()) {
    for (const { record: { id }, faults } of fleet.group.targets) {
      const isTargetOnSide = side.targets.includes(id);
      faults.isReplicationStopped ||= !isTargetOnSide;
      if (isTargetOnSide !== side.hosts.includes(host)) {
        fleet.unreachableTargets.add(`h${host}/${id}`);
      }
    }
  }
}

function recordFloors() {
  return fleet.logLines.filter(({ event, fields }) =>
    event === "floor_recorded" && fields["isAccepted"] === true
  );
}

// Guards against acknowledgements that rest on a replica which no failover can
// know of: it starts as the primary and two hosts are parted from the rest.
test.each([
  { startMs: 0, leaveMs: 1_000 },
  { startMs: 100, leaveMs: 1_000 },
  { startMs: 700, leaveMs: 0 },
])(
  "a primary that is parted with a new replica after $startMs ms loses no write",
  async ({ startMs, leaveMs }) => {
    await start({
      hosts: 5,
      group: { ids: ["t1", "t2", "t3", "t4"] },
      unregistered: ["t4"],
    });
    fleet.getTarget("t4").faults.isReplicationStopped = true;
    const acknowledged = startWriters([0, 1, 2, 3, 4]);
    await advance(1_000);
    part({ hosts: [0, 1], targets: ["t1", "t4"] });
    fleet.getTarget("t4").faults.isReplicationStopped = true;
    await advance(startMs);
    fleet.getTarget("t4").faults.isReplicationStopped = false;
    await advance(leaveMs);
    fleet.deregister("t1");
    expect(await listLostWithin(15_000, acknowledged)).toEqual([]);
    expect(tryPrimaryOf(fleet)?.record.id).not.toBe("t1");
  },
);

// Guards against a draining replica that counts as ended when its entry is gone,
// while it receives on the primary's side of a partition.
test("a primary that is parted with a leaving replica loses no write", async () => {
  await start({ hosts: 5 });
  const acknowledged = startWriters([0, 1, 2, 3, 4]);
  await advance(1_000);
  fleet.register("t2", { isDraining: true });
  await advance(500);
  part({ hosts: [0, 1], targets: ["t1", "t2"] });
  await advance(3_600);
  fleet.deregister("t1", "t2");
  expect(await listLostWithin(90_000, acknowledged)).toEqual([]);
});

// Guards against a copy that is forgotten because the store has not heard of it
// for some time: it receives on the other side of a partition.
test.each([75_000, 200_000])(
  "regions that lose each other for %i ms lose no write",
  async (ms) => {
    await start();
    const acknowledged = startWriters([0, 1, 2]);
    await advance(1_000);
    part({ hosts: [0], targets: ["t1", "t2"] });
    await advance(3_600);
    fleet.deregister("t1", "t2");
    const before = acknowledged.size;
    expect(await listLostWithin(ms, acknowledged)).toEqual([]);
    expect(acknowledged.size - before).toBeGreaterThan(
      ms / WRITE_INTERVAL_MS / 2,
    );
  },
  120_000,
);

// Guards against a count that never forgets a replica whose machine is gone: the
// next crash of a primary would end all writes.
test("a primary is replaced a minute after a replica was lost for good", async () => {
  await start();
  const acknowledged = startWriters([0, 1, 2]);
  await advance(1_000);
  fleet.getTarget("t3").faults.isUnresponsive = true;
  await advance(3_600);
  fleet.deregister("t3");
  await advance(60_000);
  fleet.getTarget("t1").faults.isUnresponsive = true;
  const before = acknowledged.size;
  expect(await listLostWithin(CHANGE_OF_PRIMARY_MS, acknowledged)).toEqual([]);
  expect(tryPrimaryOf(fleet)?.record.id).toBe("t2");
  // With its only replica in term 2 lost, the new primary cannot commit.
  expect(acknowledged.size - before).toBe(0);
});

// Guards against writes that stop because no host reaches a replica, and against
// a successor without what the store has named.
test("a successor has every commit that the store names", async () => {
  await start({
    group: { ids: ["t1", "t2", "t3", "t4"] },
    unregistered: ["t4"],
  });
  const acknowledged = startWriters([0, 1, 2]);
  await advance(1_000);
  ["t2", "t3"].forEach((id) =>
    fleet.getTarget(id).faults.isReplicationStopped = true
  );
  const before = acknowledged.size;
  await advance(3_000);
  expect(recordFloors().length).toBeGreaterThan(0);
  expect(acknowledged.size - before).toBeGreaterThan(75);
  fleet.getTarget("t1").faults.isUnresponsive = true;
  fleet.deregister("t1");
  // Without t1 and t4, no target has what the store names.
  expect(await listLostWithin(20_000, acknowledged)).toEqual([]);
  expect(fleet.orders).toEqual([]);
  fleet.getTarget("t1").faults.isUnresponsive = false;
  fleet.register("t1");
  expect(await listLostWithin(20_000, acknowledged)).toEqual([]);
  expect(acknowledged.size - before).toBeGreaterThan(250);
});

// Guards against a floor that is recorded behind the back of a failover.
test("no commit is acknowledged by a floor while a failover is open", async () => {
  await start({
    group: { ids: ["t1", "t2", "t3", "t4"] },
    unregistered: ["t4"],
  });
  const acknowledged = startWriters([1, 2]);
  await advance(1_000);
  ["t2", "t3"].forEach((id) =>
    fleet.getTarget(id).faults.isReplicationStopped = true
  );
  fleet.unreachableTargets.add("h0/t1");
  fleet.messageFaults.isLost = (from, to) => from === "h0" || to === "h0";
  fleet.deregister("t1");
  expect(await listLostWithin(30_000, acknowledged)).toEqual([]);
});

// Guards against commits in doubt at the first start, when the store has no
// record of the copies yet.
test("the first write of a new deployment is acknowledged", async () => {
  await start();
  const answer = await run(fleet.openSession("orders", 2), "WRITE k 1");
  expect(getOutcome(answer)).toBe("done");
  expect(recordFloors()).toEqual([]);
  expect(fleet.store.get(LEASE_KEY).value).toBeUndefined();
});

// Guards against answers that come after the statement's time is over.
test("a commit without receipt is in doubt in time", async () => {
  await start();
  const session = fleet.openSession("orders", 0);
  await run(session, "WRITE k 1");
  fleet.hostsWithoutStore.add("all");
  fleet.unreachableTargets.add("h0/t2").add("h0/t3")
    .add("h1/t2").add("h1/t3").add("h2/t2").add("h2/t3");
  const sentAt = Date.now();
  const answer = await run(session, "WRITE k 2");
  expect(getOutcome(answer)).toBe("in_doubt");
  expect(Date.now() - sentAt).toBeLessThanOrEqual(1_000 + 5);
});
