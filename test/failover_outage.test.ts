import { afterEach, expect, test, vi } from "vitest";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";
import { listLostWrites, startWriteLoad, tryPrimaryOf } from "./write_load.ts";

const HOSTS = 3;
/** Time for a failover, with the waits between two attempts. */
const FAILOVER_MS = 10_000;

let fleet: PoolFleet;
let stopLoad = () => {};
afterEach(() => {
  stopLoad();
  fleet.stop();
});

/**
 * Lets t4 start while the store is down, as the only replica that receives, and
 * the primary go dark; returns the acknowledged writes.
 */
async function startOutage(): Promise<ReadonlySet<string>> {
  fleet = await startPoolFleet({
    hosts: HOSTS,
    group: { ids: ["t1", "t2", "t3", "t4"], promoteMs: 600 },
    unregistered: ["t4"],
  });
  fleet.getTarget("t4").faults.isReplicationStopped = true;
  const { acknowledged, stop } = startWriteLoad(fleet, [0, 1, 2]);
  stopLoad = stop;
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.hostsWithoutStore.add("all");
  fleet.getTarget("t4").faults.isReplicationStopped = false;
  await vi.advanceTimersByTimeAsync(200);
  ["t2", "t3"].forEach((id) =>
    fleet.getTarget(id).faults.isReplicationStopped = true
  );
  await vi.advanceTimersByTimeAsync(500);
  fleet.getTarget("t1").faults.isUnresponsive = true;
  stopLoad();
  await vi.advanceTimersByTimeAsync(2_000);
  return acknowledged;
}

function returnStore(): void {
  fleet.hostsWithoutStore.delete("all");
}

/** Checks that the replica with the last writes leads in the end. */
function expectAllKept(acknowledged: ReadonlySet<string>): void {
  expect(acknowledged.size).toBeGreaterThan(50);
  expect(listLostWrites(fleet, acknowledged)).toHaveLength(0);
  expect(tryPrimaryOf(fleet)?.record.id).toBe("t4");
}

// Guards against a list of registrations that is taken for complete right after
// an outage of the store, in which targets could not register.
test.each([{ lateMs: 300 }, { lateMs: 1_200 }, { lateMs: 2_000 }])(
  "a copy that registers $lateMs ms after an outage of the store counts",
  async ({ lateMs }) => {
    const acknowledged = await startOutage();
    returnStore();
    await vi.advanceTimersByTimeAsync(lateMs);
    fleet.register("t4");
    await vi.advanceTimersByTimeAsync(FAILOVER_MS);
    expectAllKept(acknowledged);
  },
);

// Guards against hosts that start right after an outage and do not know of it.
test("a copy that registers after an outage counts for hosts that have just started", async () => {
  const acknowledged = await startOutage();
  for (let host = 0; host < HOSTS; host++) {
    fleet.killHost(host);
  }
  returnStore();
  fleet.store.remove(asId<ObjectKey>("targets/t1"));
  for (let host = 0; host < HOSTS; host++) {
    fleet.restartHost(host);
  }
  await vi.advanceTimersByTimeAsync(2_000);
  fleet.register("t4");
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expectAllKept(acknowledged);
});
