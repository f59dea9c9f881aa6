/** Patterns: replacement of an evacuated primary in order. */

import { afterEach, expect, test } from "vitest";
import { asId } from "../src/core/ids.ts";
import {
  advance,
  countLines,
  IN_FORCE_MS,
  listAsked,
  listLost,
  listPrimaries,
  startClients,
  startEvacuable,
} from "./evacuable_fleet.ts";
import { getOutcome, type PoolFleet, run } from "./pool_fleet.ts";

let fleet: PoolFleet;

afterEach(() => fleet.stop());

// Guards against an evacuated primary that stays, or that is replaced by a
// target of its own domain, and against acknowledged writes that are lost.
test("the primary of an evacuated domain is replaced by a target outside", async () => {
  fleet = await startEvacuable();
  fleet.register("t2", { domain: asId("d0") });
  const clients = startClients();
  await advance(1_000);
  // The evacuated replica is fenced first.
  fleet.targetReplies.delayMsByTarget.set("t3", 60);
  const evacuatedAt = Date.now();
  fleet.evacuate("d0");
  await advance(IN_FORCE_MS + 5_000);
  expect(listPrimaries()).toEqual(["t3"]);
  clients.stop();
  await advance(2_000);
  expect(listLost("t3")).toEqual([]);
  expect([
    ...listAsked("t1", evacuatedAt + IN_FORCE_MS),
    ...listAsked("t2", evacuatedAt + IN_FORCE_MS),
  ]).toEqual([]);
  expect(fleet.orders.map(({ target }) => target)).toEqual(["t3"]);
  for (let host = 0; host < 3; host++) {
    const answer = await run(fleet.openSession("orders", host), "WRITE k 2");
    expect(getOutcome(answer)).toBe("done");
  }
  // The replicas that the failover paused follow again.
  expect(fleet.group.targets.map(({ pausedTerm }) => pausedTerm))
    .toEqual([0, 0, 0]);
});

// Guards against a second failover, of the successor: a host that has not heard
// of it believes that the evacuated target leads, and asks that one nothing.
test("a host that still believes in the old primary keeps the new one", async () => {
  fleet = await startEvacuable({ hosts: 4, domains: ["d0", "d1", "d2", "d2"] });
  fleet.evacuate("d0");
  for (let ms = 0; ms < 5_000 && fleet.orders.length === 0; ms += 5) {
    await advance(5);
  }
  const { holder, target } = fleet.orders[0]!;
  for (let host = 0; host < 4; host++) {
    if (`h${host}` !== holder) {
      fleet.unreachableTargets.add(`h${host}/${target}`);
    }
  }
  await advance(3_400);
  fleet.unreachableTargets.clear();
  await advance(10_000);
  expect(fleet.orders).toHaveLength(1);
  expect(listPrimaries()).toEqual([target]);
});

// Guards against a promotion of a target that lacks acknowledged writes because
// the only one that has them is evacuated too.
test("a target outside of the domain leads only once it has caught up", async () => {
  fleet = await startEvacuable();
  fleet.register("t2", { domain: asId("d0") });
  await advance(500);
  fleet.getTarget("t3").faults.isReplicationStopped = true;
  const session = fleet.openSession("orders");
  expect(getOutcome(await run(session, "WRITE k 1"))).toBe("done");
  expect(listLost("t3")).toHaveLength(1);
  fleet.evacuate("d0");
  await advance(8_000);
  expect(listPrimaries()).toEqual(["t1"]);
  expect(fleet.orders).toEqual([]);
  const refused = await run(session, "WRITE k 2", { limitMs: 5 });
  expect(refused).toMatchObject({ kind: "failed", error: "no_primary" });
  // It receives the log with the next commit of a client that needs no host.
  fleet.getTarget("t3").faults.isReplicationStopped = false;
  const link = fleet.group.connect(asId("t1"), "w1").unwrap();
  void link.send({ kind: "run", id: asId("x1"), text: "WRITE k 3" });
  await advance(6_000);
  expect(listPrimaries()).toEqual(["t3"]);
  expect(listLost("t3")).toEqual([]);
  expect(getOutcome(await run(session, "WRITE k 4"))).toBe("done");
});

// Guards against a dead primary that no target can replace, as the only one that
// has its log is in the same domain.
test("a dead primary is replaced while a holder of its log is evacuated", async () => {
  fleet = await startEvacuable();
  fleet.register("t2", { domain: asId("d0") });
  await advance(500);
  fleet.getTarget("t3").faults.isReplicationStopped = true;
  const session = fleet.openSession("orders");
  expect(getOutcome(await run(session, "WRITE k 1"))).toBe("done");
  fleet.evacuate("d0");
  fleet.getTarget("t1").faults.isUnresponsive = true;
  await advance(20_000);
  expect(listPrimaries()).toEqual(["t3"]);
  expect(listLost("t3")).toEqual([]);
  expect(getOutcome(await run(session, "WRITE k 2"))).toBe("done");
});

// Guards against an evacuated replica that stays paused when the host that paused
// it is lost: no host asks it for its status.
test("an evacuated replica is resumed after the host that paused it was lost", async () => {
  fleet = await startEvacuable();
  fleet.evacuate("d1");
  await advance(1_000);
  const link = fleet.group.connect(asId("t2"), "w1").unwrap();
  void link.send({ kind: "pause", term: 2 });
  const lease = { holder: "h9", fencingToken: 1, era: 1, isDone: false };
  fleet.store.put(asId("turmericchute-fleet/duty.ledger"), lease, {
    ifVersion: 0,
  }).unwrap();
  await advance(1_000);
  expect(fleet.getTarget("t2").pausedTerm).toBe(2);
  await advance(10_000);
  expect(fleet.getTarget("t2").pausedTerm).toBe(0);
  expect(listPrimaries()).toEqual(["t1"]);
  expect(countLines("failover_started")).toBe(1);
});

// Guards against a second evacuation that the first one hides, and against a
// successor in the other evacuated domain.
test("two domains are evacuated at once, and one after the other taken back", async () => {
  fleet = await startEvacuable();
  const clients = startClients();
  await advance(1_000);
  const evacuatedAt = Date.now();
  fleet.evacuate("d0");
  fleet.evacuate("d1");
  await advance(IN_FORCE_MS + 5_000);
  clients.stop();
  await advance(1_000);
  expect(listPrimaries()).toEqual(["t3"]);
  expect(listLost("t3")).toEqual([]);
  for (const target of ["t1", "t2"]) {
    expect(listAsked(target, evacuatedAt + IN_FORCE_MS)).toEqual([]);
  }
  const takenBackAt = Date.now();
  fleet.endEvacuation("d0");
  await advance(10_000);
  expect(listAsked("t1", takenBackAt).length).toBeGreaterThan(0);
  expect(listAsked("t2", takenBackAt)).toEqual([]);
});

// Guards against a failover that stops halfway when its reason is gone.
test.each([50, 300, 450, 600, 900])(
  "an evacuation that is taken back after %i ms leaves one primary",
  async (ms) => {
    fleet = await startEvacuable();
    const clients = startClients();
    await advance(1_000);
    fleet.evacuate("d0");
    await advance(ms);
    fleet.endEvacuation("d0");
    await advance(10_000);
    clients.stop();
    await advance(2_000);
    const [primary, ...others] = listPrimaries();
    expect(others).toEqual([]);
    expect(listLost(primary!)).toEqual([]);
    for (let host = 0; host < 3; host++) {
      const session = fleet.openSession("orders", host);
      expect(getOutcome(await run(session, "WRITE k 2"))).toBe("done");
    }
    expect(fleet.group.targets.map(({ pausedTerm }) => pausedTerm))
      .toEqual([0, 0, 0]);
  },
);

// Guards against a queued or refused statement that waits for nothing, and
// against a promotion or step-down that helps nobody.
test("work for the primary is refused at once where no other target is", async () => {
  fleet = await startEvacuable({
    group: { ids: ["t1", "t2"] },
    unregistered: ["t2"],
  });
  const session = fleet.openSession("orders");
  fleet.evacuate("d0");
  await advance(1_000);
  for (const text of ["WRITE k 1", "READ k"]) {
    const answer = await run(session, text, { limitMs: 5 });
    expect(answer).toMatchObject({ kind: "failed", error: "no_primary" });
    expect(answer.kind === "failed" && answer.retryAfterMs)
      .toBeGreaterThan(0);
  }
  await advance(10_000);
  expect(fleet.orders).toEqual([]);
  expect(countLines("failover_started")).toBe(0);
  expect(fleet.getTarget("t1").role).toBe("primary");
  fleet.endEvacuation("d0");
  await advance(2_000);
  expect(getOutcome(await run(session, "WRITE k 2"))).toBe("done");
});
