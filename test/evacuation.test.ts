/** Patterns: evacuation by an operator's object, kept through a return. */

import { afterEach, expect, test } from "vitest";
import { asId } from "../src/core/ids.ts";
import {
  advance,
  countLines,
  IN_FORCE_MS,
  isEvacuation,
  isUsed,
  listAsked,
  listPrimaries,
  returnWithout,
  startClients,
  startEvacuable,
} from "./evacuable_fleet.ts";
import { begin, getOutcome, type PoolFleet, run } from "./pool_fleet.ts";

let fleet: PoolFleet;

afterEach(() => fleet.stop());

// Guards against work for an evacuated domain over any path: probes, reads,
// hedges and retries of hosts in all domains.
test("a replica's domain gets neither statements nor status requests", async () => {
  fleet = await startEvacuable();
  const clients = startClients();
  await advance(1_000);
  const evacuatedAt = Date.now();
  fleet.evacuate("d1");
  await advance(IN_FORCE_MS + 10_000);
  expect(listAsked("t2", evacuatedAt + IN_FORCE_MS)).toEqual([]);
  expect(listPrimaries()).toEqual(["t1"]);
  fleet.endEvacuation("d1");
  clients.stop();
  await advance(5_000);
  expect(listAsked("t2", evacuatedAt + IN_FORCE_MS).length).toBeGreaterThan(0);
});

// Guards against a host that goes on with what it knew when the store has
// turned it away.
test("a host that the store turns away learns of the evacuation through a peer", async () => {
  fleet = await startEvacuable();
  fleet.hostsWithoutStore.add("h1");
  await advance(12_000);
  fleet.logLines.length = 0;
  const evacuatedAt = Date.now();
  fleet.evacuate("d1");
  const clients = startClients();
  await advance(IN_FORCE_MS + 5_000);
  clients.stop();
  expect(countLines("evacuation_started", { domain: "d1" })).toBe(3);
  expect(listAsked("t2", evacuatedAt + IN_FORCE_MS)).toEqual([]);
});

// Guards against a host that serves before it knows of the evacuation.
test("a host that starts is ready only once it knows the evacuations", async () => {
  fleet = await startEvacuable();
  fleet.evacuate("d1");
  await advance(IN_FORCE_MS);
  const startedAt = Date.now();
  fleet.storeFaults.getListDelayMs = (prefix) =>
    prefix.startsWith("evacuations/") ? 3_000 : 0;
  fleet.logLines.length = 0;
  fleet.startHost();
  const started = fleet.poolers.at(-1)!;
  await advance(2_900);
  expect(started.isReady()).toBe(false);
  await advance(1_000);
  expect(started.isReady()).toBe(true);
  expect(await isUsed("t2", 3)).toBe(false);
  expect(listAsked("t2", startedAt)).toEqual([]);
});

// Guards against an evacuation that the operator took back and that an older
// copy of the store brings back, also for a host that starts then.
test("a copy of the store does not bring back what was taken back", async () => {
  fleet = await startEvacuable();
  fleet.evacuate("d1");
  await advance(1_000);
  const copy = fleet.store.takeCopy();
  fleet.endEvacuation("d1");
  await advance(5_000);
  fleet.logLines.length = 0;
  returnWithout(copy, isEvacuation);
  await advance(5_000);
  expect(fleet.store.list("evacuations/").objects).toHaveLength(1);
  expect(countLines("evacuation_started")).toBe(0);
  expect(countLines("evacuation_outdated", { domain: "d1" })).toBe(3);
  fleet.startHost();
  await advance(5_000);
  expect(await isUsed("t2", 0)).toBe(true);
  expect(await isUsed("t2", 3)).toBe(true);
  // Guards also against knowledge that is lost with the hosts that saw it.
  [0, 1, 2].forEach((host) => fleet.killHost(host));
  fleet.startHost();
  await advance(5_000);
  expect(await isUsed("t2", 4)).toBe(true);
  // A new one counts, although the object was there before.
  fleet.evacuate("d1");
  await advance(2_000);
  expect(await isUsed("t2", 3)).toBe(false);
  expect(await isUsed("t2", 4)).toBe(false);
});

// Guards against an evacuation that ends because an older copy lacks it.
test("an evacuation that a copy lacks stays until it is written again", async () => {
  fleet = await startEvacuable();
  const copy = fleet.store.takeCopy();
  fleet.evacuate("d1");
  await advance(5_000);
  fleet.logLines.length = 0;
  returnWithout(copy, isEvacuation);
  await advance(1_500);
  expect(countLines("evacuation_missing", { domain: "d1" })).toBe(3);
  fleet.evacuate("d1");
  await advance(5_000);
  expect(countLines("evacuation_ended")).toBe(0);
  expect(await isUsed("t2", 0)).toBe(false);
  fleet.endEvacuation("d1");
  await advance(1_000);
  expect(countLines("evacuation_ended")).toBe(3);
});

test("an evacuation that stays missing after a return has ended", async () => {
  fleet = await startEvacuable();
  const copy = fleet.store.takeCopy();
  fleet.evacuate("d1");
  await advance(5_000);
  fleet.logLines.length = 0;
  returnWithout(copy, isEvacuation);
  await advance(1_800);
  expect(countLines("evacuation_ended")).toBe(0);
  await advance(1_000);
  expect(countLines("evacuation_ended")).toBe(3);
});

// Guards against an open transaction that goes on at an evacuated target, and
// against one whose commit is reported as lost or as done when it was not sent.
test("a transaction that is open at an evacuated target ends within the bound", async () => {
  fleet = await startEvacuable();
  // A transaction of the only target: no failover ends it.
  fleet.store.remove(asId("targets/t2"));
  fleet.store.remove(asId("targets/t3"));
  await advance(1_000);
  const open = fleet.openSession("orders");
  const late = fleet.openSession("orders", 1);
  for (const session of [open, late]) {
    await run(session, "BEGIN");
    expect(getOutcome(await run(session, "WRITE k 1"))).toBe("done");
  }
  const evacuatedAt = Date.now();
  fleet.evacuate("d0");
  await advance(500);
  // Within the grace it ends as at a draining target.
  expect(getOutcome(await run(open, "COMMIT"))).toBe("done");
  await advance(1_000);
  expect(getOutcome(await run(late, "COMMIT"))).toBe("aborted");
  await advance(10_000);
  expect(listAsked("t1", evacuatedAt + 1_500)).toEqual([]);
});

// Guards against a statement that waits in the queue of another host and is
// sent from there after the evacuation.
test("a statement in a holder's queue is not sent to an evacuated target", async () => {
  const workspaces = Array.from({ length: 8 }, (_, n) => `w${n + 1}`);
  fleet = await startEvacuable({
    hosts: 5,
    domains: ["d1", "d1", "d1", "d2", "d2"],
    workspaces,
    maxConnections: 4,
    ratePerS: 10_000,
    group: { workMs: 400, maxConnections: 4 },
  });
  fleet.store.remove(asId("targets/t1"));
  fleet.store.remove(asId("targets/t3"));
  await advance(6_000);
  const sessions = workspaces.flatMap((workspace) =>
    [3, 4].map((host) => fleet.openSession("accounts", host, workspace))
  );
  const outcomes = sessions.map((session) => begin(session, "READ k"));
  await advance(100);
  const waiting = outcomes.filter((list) => list.length === 0).length;
  expect(waiting).toBeGreaterThan(4);
  fleet.evacuate("d1");
  await advance(200);
  const knownAt = Date.now();
  await advance(2_000);
  expect(listAsked("t2", knownAt)).toEqual([]);
  expect(outcomes.every((list) => list.length === 1)).toBe(true);
});

// Guards against a statement that waits for a connection until its deadline when
// no target may run it any more.
test("a waiting write is refused at once when the primary is evacuated", async () => {
  fleet = await startEvacuable({ group: { workMs: 400 }, maxConnections: 3 });
  const outcomes = [0, 1, 2].map(() =>
    begin(fleet.openSession("orders"), "WRITE k 1")
  );
  await advance(50);
  fleet.evacuate("d0");
  await advance(50);
  expect(outcomes.filter((list) => list.includes("no_primary")).length)
    .toBeGreaterThan(0);
});

test("without the setting, nothing is watched and nothing changes", async () => {
  fleet = await startEvacuable({ evacuationInForceMs: undefined as never });
  fleet.evacuate("d0");
  await advance(10_000);
  expect(
    [...fleet.readPrefixes.keys()].filter((prefix) =>
      prefix.startsWith("evacuations")
    ),
  ).toEqual([]);
  const answer = await run(fleet.openSession("orders"), "WRITE k 1");
  expect(getOutcome(answer)).toBe("done");
  expect(listPrimaries()).toEqual(["t1"]);
});
