import { afterEach, expect, test, vi } from "vitest";
import type { StatementTarget } from "../standins/statement_group.ts";
import {
  type PoolFleet,
  type PoolFleetOptions,
  startPoolFleet,
} from "./pool_fleet.ts";
import {
  listLostWrites,
  startWriteLoad,
  tryPrimaryOf,
  type WriteLoad,
} from "./write_load.ts";

const PROMOTE_MS = 600;
/** Time for a failover, with the waits between two attempts. */
const FAILOVER_MS = 10_000;

let fleet: PoolFleet;
let load: WriteLoad | undefined;
afterEach(() => {
  load?.stop();
  fleet.stop();
});

/** Starts three hosts and four copies of the log. */
async function startFourCopies(
  options: Pick<PoolFleetOptions, "unregistered"> = {},
): Promise<void> {
  fleet = await startPoolFleet({
    hosts: 3,
    group: { ids: ["t1", "t2", "t3", "t4"], promoteMs: PROMOTE_MS },
    ...options,
  });
}

/** Writes on two hosts all the time; returns the acknowledged writes. */
function startWriters(): ReadonlySet<string> {
  load = startWriteLoad(fleet, [1, 2]);
  return load.acknowledged;
}

function getPrimary(): StatementTarget {
  return tryPrimaryOf(fleet)!;
}

function listLost(acknowledged: ReadonlySet<string>): readonly string[] {
  return listLostWrites(fleet, acknowledged);
}

/** Leaves the current hosts without the store and starts another one. */
async function startLoneHost(): Promise<void> {
  ["h0", "h1", "h2"].forEach((host) => fleet.hostsWithoutStore.add(host));
  fleet.startHost();
  await vi.advanceTimersByTimeAsync(2_000);
}

const UNKNOWN_COPY_CASES = [
  { title: "replies at once", repliesMs: 0 },
  { title: "replies after 60 ms", repliesMs: 60 },
  { title: "replies after 140 ms", repliesMs: 140 },
  { title: "registered late, 60 ms", repliesMs: 60, registeredAfterMs: 300 },
  { title: "registered late, 140 ms", repliesMs: 140, registeredAfterMs: 300 },
  { title: "one host cut off", repliesMs: 0, cutHost: "h0" },
  { title: "one host cut off, 60 ms", repliesMs: 60, cutHost: "h0" },
  {
    title: "one host cut off, registered late",
    repliesMs: 60,
    registeredAfterMs: 300,
    cutHost: "h0",
  },
];

// Guards against a promotion while the old primary goes on acknowledging with a
// copy that the acting host has not heard of.
test.each(UNKNOWN_COPY_CASES)(
  "a leaving primary and a copy that nobody knows lose no write: $title",
  async ({ repliesMs, registeredAfterMs, cutHost }) => {
    await startFourCopies({ unregistered: ["t4"] });
    const acknowledged = startWriters();
    fleet.targetReplies.delayMs = repliesMs;
    await vi.advanceTimersByTimeAsync(1_000);
    if (cutHost !== undefined) {
      fleet.unreachableTargets.add(`${cutHost}/t1`);
      await vi.advanceTimersByTimeAsync(500);
    }
    fleet.register("t1", { isDraining: true });
    if (registeredAfterMs !== undefined) {
      setTimeout(() => fleet.register("t4"), registeredAfterMs);
    }
    await vi.advanceTimersByTimeAsync(FAILOVER_MS);
    expect(getPrimary().record.id).not.toBe("t1");
    expect(acknowledged.size).toBeGreaterThan(50);
    expect(listLost(acknowledged)).toHaveLength(0);
  },
);

// Guards against hosts of an earlier version that do not understand the request
// while a fleet is upgraded, and are taken not to reach the old primary.
test("hosts that ignore a request with a token make the old primary step down", async () => {
  await startFourCopies({ unregistered: ["t4"] });
  const acknowledged = startWriters();
  // Nor do they understand an answer with a field that they have not asked for.
  fleet.messageFaults.isLost = (_, __, msg) =>
    (msg.kind === "ask_step_down" && msg.fencingToken !== undefined) ||
    (msg.kind === "tell_step_down" && msg.isPromised !== undefined);
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.unreachableTargets.add("h0/t1");
  fleet.hostsWithoutStore.add("h1").add("h2");
  await vi.advanceTimersByTimeAsync(500);
  fleet.register("t1", { isDraining: true });
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  const [deposed] = fleet.logLines.filter(({ event }) =>
    event === "old_primary_deposed"
  );
  expect(deposed?.fields["result"]).toBe("stepped_down");
  expect(listLost(acknowledged)).toHaveLength(0);
});

// Guards against an order whose fence ends before it takes effect: a replica is
// resumed and makes the old primary's commits acknowledged again.
test("a replica that is resumed after the last look at the logs loses no write", async () => {
  await startFourCopies();
  const acknowledged = startWriters();
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.unreachableTargets.add("h0/t1");
  fleet.hostsWithoutStore.add("h1").add("h2");
  await vi.advanceTimersByTimeAsync(500);
  fleet.register("t1", { isDraining: true });
  for (let ms = 0; ms < FAILOVER_MS && fleet.orders.length === 0; ms += 5) {
    await vi.advanceTimersByTimeAsync(5);
  }
  const resumed = fleet.group.targets.find(({ record: { id } }) =>
    id !== "t1" && id !== fleet.orders[0]!.target
  )!;
  const link = fleet.group.connect(resumed.record.id, "w1").unwrap();
  await link.send({ kind: "resume" });
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(getPrimary().record.id).not.toBe("t1");
  expect(listLost(acknowledged)).toHaveLength(0);
});

// Guards against a count of copies that starts anew with the process: the
// registration of the only replica with all commits has lapsed before.
test("a host that has just started counts the copies that its peers know", async () => {
  await startFourCopies({ unregistered: ["t4"] });
  fleet.getTarget("t2").faults.isReplicationStopped = true;
  fleet.getTarget("t4").faults.isReplicationStopped = true;
  const acknowledged = startWriters();
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.deregister("t3");
  await vi.advanceTimersByTimeAsync(3_000);
  await startLoneHost();
  fleet.getTarget("t1").faults.isUnresponsive = true;
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(acknowledged.size).toBeGreaterThan(50);
  expect(listLost(acknowledged)).toHaveLength(0);
});

// Guards against a failover that leaves out a replica which is cut off from the
// store but not from the primary and the hosts.
test("a replica whose registration has lapsed can still be the successor", async () => {
  await startFourCopies({ unregistered: ["t4"] });
  fleet.getTarget("t2").faults.isReplicationStopped = true;
  fleet.getTarget("t4").faults.isReplicationStopped = true;
  const acknowledged = startWriters();
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.deregister("t3");
  await vi.advanceTimersByTimeAsync(3_000);
  fleet.getTarget("t1").faults.isUnresponsive = true;
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(fleet.orders[0]?.target).toBe("t3");
  expect(getPrimary().record.id).not.toBe("t1");
  expect(listLost(acknowledged)).toHaveLength(0);
});

// Guards against a count of copies that only grows: after a planned replacement
// there are as many copies as before it, and the next failure must not wait for
// one that has left.
test("a primary that crashes after a planned replacement is replaced", async () => {
  await startFourCopies({ unregistered: ["t4"] });
  const acknowledged = startWriters();
  fleet.register("t4");
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.register("t1", { isDraining: true });
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  const successor = getPrimary();
  expect(successor.record.id).not.toBe("t1");
  fleet.register("t1", { isDraining: true, role: "replica" });
  fleet.register(successor.record.id, { role: "primary" });
  fleet.getTarget("t1").faults.isUnresponsive = true;
  fleet.deregister("t1");
  await vi.advanceTimersByTimeAsync(5_000);
  fleet.getTarget(successor.record.id).faults.isUnresponsive = true;
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(["t1", successor.record.id]).not.toContain(getPrimary().record.id);
  expect(listLost(acknowledged)).toHaveLength(0);
});

// Guards against an order without an answer that takes effect after a later
// failover has made its target step down: it leads again, and what it then
// acknowledges is missing from the one that is promoted next.
test("an order without an answer is refused once the next failover has begun", async () => {
  fleet = await startPoolFleet({ hosts: 3, group: { promoteMs: PROMOTE_MS } });
  fleet.delayedPromotions.minDelayMs = 500;
  fleet.getTarget("t1").faults.isUnresponsive = true;
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  const first = getPrimary();
  const { fencingToken } = fleet.orders.at(-1)!;
  expect(first.record.id).not.toBe("t1");
  fleet.delayedPromotions.minDelayMs = 0;
  fleet.getTarget("t1").faults.isUnresponsive = false;
  fleet.register(first.record.id, { role: "primary", isDraining: true });
  const isDeposed = () =>
    fleet.logLines.some(({ event, fields }) =>
      event === "old_primary_deposed" && fields.oldPrimary === first.record.id
    );
  for (let ms = 0; ms < FAILOVER_MS && !isDeposed(); ms += 5) {
    await vi.advanceTimersByTimeAsync(5);
  }
  const late = fleet.group.promote(first.record.id, fencingToken);
  await vi.advanceTimersByTimeAsync(PROMOTE_MS);
  expect((await late).kind).toBe("refused");
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(getPrimary().record.id).not.toBe(first.record.id);
});

// Guards against a leaving primary that leads again only because the replicas
// answer later than it does.
test("a leaving primary is not chosen again while replicas are being fenced", async () => {
  fleet = await startPoolFleet({ hosts: 3, group: { promoteMs: PROMOTE_MS } });
  const acknowledged = startWriters();
  await vi.advanceTimersByTimeAsync(1_000);
  ["t2", "t3"].forEach((id) =>
    fleet.targetReplies.delayMsByTarget.set(id, 120)
  );
  fleet.register("t1", { isDraining: true });
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  expect(fleet.orders.map(({ target }) => target)).not.toContain("t1");
  expect(getPrimary().record.id).not.toBe("t1");
  expect(listLost(acknowledged)).toHaveLength(0);
});
