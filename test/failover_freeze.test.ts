import { afterEach, expect, test, vi } from "vitest";
import {
  type PoolFleet,
  type PoolFleetOptions,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";
import { listLostWrites, startWriteLoad, tryPrimaryOf } from "./write_load.ts";

const HOSTS = 3;
/** Time for a failover, with the waits between two attempts. */
const FAILOVER_MS = 10_000;
const STEP_MS = 5;

let fleet: PoolFleet;
let stopLoad = () => {};
afterEach(() => {
  stopLoad();
  fleet.stop();
});

/** Starts loaded hosts before four targets, of which t4 has not started. */
async function startLoadedFleet(
  options: Partial<PoolFleetOptions> = {},
): Promise<ReadonlySet<string>> {
  fleet = await startPoolFleet({
    hosts: HOSTS,
    group: { ids: ["t1", "t2", "t3", "t4"], promoteMs: 600 },
    unregistered: ["t4"],
    ...options,
  });
  fleet.getTarget("t4").faults.isReplicationStopped = true;
  const load = startWriteLoad(fleet, [0, 1, 2]);
  stopLoad = load.stop;
  await vi.advanceTimersByTimeAsync(1_000);
  return load.acknowledged;
}

/** Advances the time until a host logs the event; returns the host's index. */
async function advanceUntilLogged(event: string): Promise<number> {
  for (let ms = 0; ms < FAILOVER_MS; ms += STEP_MS) {
    const line = fleet.logLines.find((logged) => logged.event === event);
    if (line) {
      return Number(line.host.slice(1));
    }
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  throw new Error(`not logged: ${event}`);
}

function startFourth({ isRegistered = true } = {}): void {
  fleet.getTarget("t4").faults.isReplicationStopped = false;
  if (isRegistered) {
    fleet.register("t4");
  }
}

/** Lets the primary answer again, with a copy that starts. */
function returnPrimary(options?: { readonly isRegistered: boolean }): void {
  fleet.getTarget("t1").faults.isUnresponsive = false;
  startFourth(options);
}

const FREEZE_CASES = [
  { event: "failover_fenced", freezeMs: 400, isRegistered: true },
  { event: "failover_fenced", freezeMs: 1_400, isRegistered: true },
  { event: "failover_fenced", freezeMs: 4_000, isRegistered: true },
  { event: "failover_fenced", freezeMs: 1_400, isRegistered: false },
  { event: "old_primary_deposed", freezeMs: 1_400, isRegistered: false },
];

// Guards against a host that freezes between its decision and its order, while
// the old primary is back and commits with a copy that was not fenced.
test.each(FREEZE_CASES)(
  "commits acknowledged while the acting host is frozen are kept: $event, $freezeMs ms, t4 registered: $isRegistered",
  async ({ event, freezeMs, isRegistered }) => {
    const acknowledged = await startLoadedFleet();
    fleet.getTarget("t1").faults.isUnresponsive = true;
    const acting = await advanceUntilLogged(event);
    fleet.freezeHost(acting, freezeMs);
    await vi.advanceTimersByTimeAsync(300);
    returnPrimary({ isRegistered });
    await vi.advanceTimersByTimeAsync(FAILOVER_MS);
    expect(acknowledged.size).toBeGreaterThan(50);
    expect(listLostWrites(fleet, acknowledged)).toHaveLength(0);
  },
);

// Guards against an order that takes effect long after the last look at the old
// primary: no freeze is needed for that.
test.each([
  { isRegistered: true },
  { isRegistered: false },
])(
  "commits acknowledged while an order is under way are kept: t4 registered: $isRegistered",
  async ({ isRegistered }) => {
    const acknowledged = await startLoadedFleet();
    fleet.delayedPromotions.minDelayMs = 1_500;
    fleet.getTarget("t1").faults.isUnresponsive = true;
    await advanceUntilLogged("promotion_ordered");
    returnPrimary({ isRegistered });
    await vi.advanceTimersByTimeAsync(2 * FAILOVER_MS);
    expect(tryPrimaryOf(fleet)?.record.id).not.toBe("t1");
    expect(listLostWrites(fleet, acknowledged)).toHaveLength(0);
  },
);

// Guards against a promise that a host forgets in a restart: it is served by the
// old primary before the order.
test("a host that starts during a failover withholds acknowledgements too", async () => {
  await startLoadedFleet();
  fleet.getTarget("t1").faults.isUnresponsive = true;
  const acting = await advanceUntilLogged("failover_fenced");
  const other = (acting + 1) % HOSTS;
  stopLoad();
  fleet.freezeHost(acting, 4_000);
  fleet.killHost(other);
  returnPrimary({ isRegistered: false });
  fleet.restartHost(other);
  while (!fleet.poolers[other]!.isReady()) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  const load = startWriteLoad(fleet, [other]);
  stopLoad = load.stop;
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(load.acknowledged.size).toBeGreaterThan(50);
  expect(listLostWrites(fleet, load.acknowledged)).toHaveLength(0);
});

// Guards against writes that end with a failover which promoted nobody.
test("writes go on after a failover that found no successor", async () => {
  await startLoadedFleet();
  stopLoad();
  ["t1", "t2"].forEach((id) =>
    fleet.getTarget(id).faults.isUnresponsive = true
  );
  await advanceUntilLogged("failover_waits");
  ["t1", "t2"].forEach((id) =>
    fleet.getTarget(id).faults.isUnresponsive = false
  );
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(tryPrimaryOf(fleet)?.record.id).toBe("t1");
  for (let host = 0; host < HOSTS; host++) {
    const answer = await run(fleet.openSession("orders", host), "WRITE k 1");
    expect(answer.kind).toBe("done");
  }
});

// Guards against acknowledgements that stay withheld if the acting host ends.
test("writes go on after the acting host has ended before its order", async () => {
  await startLoadedFleet();
  stopLoad();
  fleet.getTarget("t1").faults.isUnresponsive = true;
  const acting = await advanceUntilLogged("old_primary_deposed");
  fleet.killHost(acting);
  returnPrimary({ isRegistered: true });
  await vi.advanceTimersByTimeAsync(2 * FAILOVER_MS);
  for (let host = 0; host < HOSTS; host++) {
    if (host !== acting) {
      const answer = await run(fleet.openSession("orders", host), "WRITE k 1");
      expect(answer.kind).toBe("done");
    }
  }
});
