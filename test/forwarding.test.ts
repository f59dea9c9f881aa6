/**
 * Statements over connections that other hosts hold. Pattern: many workspaces
 * and hosts before few connections a target.
 */

import { afterEach, expect, test, vi } from "vitest";
import { asId, type HostId } from "../src/core/ids.ts";
import type { Session } from "../src/pooling/session.ts";
import type { Catalog } from "../src/pooling/types.ts";
import {
  begin,
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

const WORKSPACES = Array.from({ length: 8 }, (_, n) => `w${n + 1}`);

let fleet: PoolFleet;

afterEach(() => fleet.stop());

/** Three hosts in the targets' domain and two in another one. */
function startForwardingFleet(): Promise<PoolFleet> {
  return startPoolFleet({
    hosts: 5,
    domains: ["d1", "d1", "d1", "d2", "d2"],
    workspaces: WORKSPACES,
    maxConnections: 20,
    ratePerS: 10_000,
  });
}

function countDials(): number {
  return [...fleet.counters].filter(([key]) =>
    key.startsWith("target_dials_total")
  ).reduce((sum, [, count]) => sum + count, 0);
}

/** Returns the holder to which a host has connected last. */
function getLastHolder(): string {
  const connected = fleet.logLines.filter(({ event }) =>
    event === "holder_connected"
  );
  return String(connected.at(-1)!.fields.holder);
}

test("statements of all workspaces at all hosts share a few connections", async () => {
  fleet = await startForwardingFleet();
  const sessions = WORKSPACES.flatMap((workspace) =>
    [0, 1, 2, 3, 4].map((host) =>
      fleet.openSession("accounts", host, workspace)
    )
  );
  const dialsBefore = countDials();
  const outcomes: string[] = [];
  for (let round = 0; round < 10; round++) {
    for (const session of sessions) {
      outcomes.push(getOutcome(await run(session, "READ k")));
    }
  }
  expect(new Set(outcomes)).toEqual(new Set(["done"]));
  // One connection a workspace and target, and a few for the hosts themselves.
  expect((countDials() - dialsBefore) / outcomes.length).toBeLessThan(0.1);
  for (const { connections } of fleet.group.targets) {
    expect(connections).toBeLessThanOrEqual(20);
  }
});

test("statements run under the workspace and the session's variables", async () => {
  fleet = await startForwardingFleet();
  for (const workspace of WORKSPACES) {
    const session = fleet.openSession("orders", 3, workspace);
    await run(session, `SET owner ${workspace}`);
    await run(session, "PREPARE p WRITE update_k");
    const answer = await run(session, "EXEC p k 1", { id: `e-${workspace}` });
    expect(getOutcome(answer)).toBe("done");
  }
  for (const workspace of WORKSPACES) {
    const ran = fleet.group.runs.find(({ id }) => id === `e-${workspace}`);
    expect(ran?.workspace).toBe(workspace);
    expect(ran?.variables).toEqual({ owner: workspace });
  }
});

test("a transaction stays on one connection, and its commit ends the channel", async () => {
  fleet = await startForwardingFleet();
  const session = fleet.openSession("orders", 4);
  const other = fleet.openSession("orders", 3);
  await run(session, "BEGIN");
  await run(session, "WRITE k 1", { id: "a" });
  await run(other, "WRITE k 2", { id: "b" });
  await run(session, "READ k", { id: "c" });
  expect(getOutcome(await run(session, "COMMIT"))).toBe("done");
  const connectionOf = (id: string) =>
    fleet.group.runs.find((ran) => ran.id === id)?.connection;
  expect(connectionOf("c")).toBe(connectionOf("a"));
  expect(connectionOf("b")).not.toBe(connectionOf("a"));
  await vi.advanceTimersByTimeAsync(100);
  const channels = fleet.poolers.map((pooler) =>
    pooler.countForwardedChannels()
  );
  expect(channels).toEqual([0, 0, 0, 0, 0]);
});

test("a transaction that its client leaves is rolled back at the holder", async () => {
  fleet = await startForwardingFleet();
  const session = fleet.openSession("orders", 4);
  await run(session, "BEGIN");
  await run(session, "WRITE k 1", { id: "left" });
  fleet.poolers[4]!.closeSession(session);
  await vi.advanceTimersByTimeAsync(200);
  expect(fleet.group.acknowledged.has("left")).toBe(false);
  expect(fleet.poolers.map((pooler) => pooler.countForwardedChannels()))
    .toEqual([0, 0, 0, 0, 0]);
});

/** Sends a statement from host 3 while targets take long to answer. */
async function sendSlowly(session: Session, text: string): Promise<string[]> {
  fleet.targetReplies.delayMs = 300;
  const outcomes = begin(session, text);
  await vi.advanceTimersByTimeAsync(100);
  return outcomes;
}

function resetHolders(): void {
  ["h0", "h1", "h2"].forEach((host) => fleet.network.reset(asId(host)));
}

// Guards against running a statement again, or calling it not run, after the
// link over which its answer would have come was lost.
test("a write whose holder is lost is in doubt and never sent again", async () => {
  fleet = await startForwardingFleet();
  const session = fleet.openSession("orders", 3);
  await run(session, "WRITE k 0");
  const outcomes = await sendSlowly(session, "WRITE k 1");
  resetHolders();
  await vi.advanceTimersByTimeAsync(3_000);
  expect(outcomes).toEqual(["in_doubt"]);
  expect(fleet.group.runs.filter(({ id }) => id === "r1").length)
    .toBeLessThanOrEqual(1);
});

test("a read whose holder is lost is served over another path", async () => {
  fleet = await startForwardingFleet();
  const session = fleet.openSession("accounts", 3);
  await run(session, "READ k");
  const outcomes = await sendSlowly(session, "READ k");
  resetHolders();
  fleet.targetReplies.delayMs = 0;
  await vi.advanceTimersByTimeAsync(2_000);
  expect(outcomes).toEqual(["done"]);
});

// Guards against giving up work at a holder that is only silent for a while.
test("an answer that a silent holder delivers late reaches the client", async () => {
  fleet = await startForwardingFleet();
  const session = fleet.openSession("orders", 3);
  await run(session, "WRITE k 0");
  const outcomes = await sendSlowly(session, "WRITE k 1");
  fleet.targetReplies.delayMs = 0;
  ["h0", "h1", "h2"].forEach((host) =>
    fleet.network.silentHosts.add(asId(host))
  );
  await vi.advanceTimersByTimeAsync(150);
  fleet.network.silentHosts.clear();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(outcomes).toEqual(["done"]);
});

/** Lets statements on all routes run for 10 s. */
function allowLongStatements(): void {
  const { value } = fleet.store.get(asId("catalog/main"));
  const { routes } = value as Catalog;
  fleet.setCatalog({
    routes: new Map(
      [...routes].map((
        [name, route],
      ) => [name, { ...route, statementTimeoutMs: 10_000 }]),
    ),
  });
}

const HOLDERS = ["h0", "h1", "h2"].map((host) => asId<HostId>(host));

// Guards against a stream that is given up while a statement may still wait.
test.each(["WRITE k 1", "COMMIT"])(
  "an answer that comes after a suspension of 4 s reaches the client: %s",
  async (text) => {
    fleet = await startForwardingFleet();
    allowLongStatements();
    await vi.advanceTimersByTimeAsync(1_000);
    const session = fleet.openSession("orders", 3);
    await run(session, "WRITE k 0");
    if (text === "COMMIT") {
      await run(session, "BEGIN");
      await run(session, "WRITE k 1");
    }
    const outcomes = await sendSlowly(session, text);
    fleet.targetReplies.delayMs = 0;
    fleet.network.suspend(HOLDERS);
    await vi.advanceTimersByTimeAsync(4_000);
    fleet.network.resume();
    await vi.advanceTimersByTimeAsync(100);
    expect(outcomes).toEqual(["done"]);
    expect(getOutcome(await run(session, "WRITE k 2"))).toBe("done");
  },
);

test("a holder suspended for longer than a statement may wait is given up", async () => {
  fleet = await startForwardingFleet();
  const session = fleet.openSession("orders", 3);
  await run(session, "WRITE k 0");
  const outcomes = await sendSlowly(session, "WRITE k 1");
  fleet.targetReplies.delayMs = 0;
  fleet.network.suspend(HOLDERS);
  await vi.advanceTimersByTimeAsync(4_000);
  expect(outcomes).toEqual(["in_doubt"]);
  expect(fleet.logLines.some(({ event }) => event === "holder_lost"))
    .toBe(true);
  fleet.network.resume();
  expect(getOutcome(await run(session, "WRITE k 2"))).toBe("done");
});

test("a silent holder gets no new statements", async () => {
  fleet = await startForwardingFleet();
  const session = fleet.openSession("accounts", 3);
  await run(session, "READ k");
  fleet.network.silentHosts.add(asId(getLastHolder()));
  const outcomes: string[] = [];
  for (let n = 0; n < 20; n++) {
    outcomes.push(getOutcome(await run(session, "READ k")));
  }
  expect(new Set(outcomes)).toEqual(new Set(["done"]));
});

test("a stopping holder hands its work over without a failed statement", async () => {
  fleet = await startForwardingFleet();
  const sessions = WORKSPACES.map((workspace) =>
    fleet.openSession("orders", 3, workspace)
  );
  for (const session of sessions) {
    await run(session, "WRITE k 0");
  }
  const outcomes: string[] = [];
  for (const index of [0, 1]) {
    void fleet.poolers[index]!.leave();
    for (const session of sessions) {
      outcomes.push(getOutcome(await run(session, "WRITE k 1")));
    }
    fleet.poolers[index]!.closeAdmission();
    fleet.poolers[index]!.stop();
    for (const session of sessions) {
      outcomes.push(getOutcome(await run(session, "WRITE k 2")));
    }
  }
  expect(new Set(outcomes)).toEqual(new Set(["done"]));
});

test("a holder that is cut off from a target is passed over", async () => {
  fleet = await startForwardingFleet();
  const sessions = WORKSPACES.map((workspace) =>
    fleet.openSession("orders", 3, workspace)
  );
  for (const session of sessions) {
    await run(session, "WRITE k 0");
  }
  fleet.unreachableTargets.add("h0/t1");
  await Promise.all(
    sessions.map((session) => run(session, "WRITE k 1", { limitMs: 5_000 })),
  );
  await vi.advanceTimersByTimeAsync(2_000);
  const outcomes: string[] = [];
  for (const session of sessions) {
    outcomes.push(getOutcome(await run(session, "WRITE k 2")));
  }
  expect(new Set(outcomes)).toEqual(new Set(["done"]));
});

test("holders never forward what was forwarded to them", async () => {
  fleet = await startForwardingFleet();
  // Host 2 is asked although it has no connection left of its own.
  fleet.unreachableTargets.add("h0/t1");
  fleet.unreachableTargets.add("h1/t1");
  fleet.unreachableTargets.add("h2/t1");
  const session = fleet.openSession("orders", 3);
  const answer = await run(session, "WRITE k 1", { limitMs: 5_000 });
  expect(["no_primary", "overloaded", "in_doubt", "done"])
    .toContain(getOutcome(answer));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(fleet.poolers.map((pooler) => pooler.countForwardedChannels()))
    .toEqual([0, 0, 0, 0, 0]);
});

// Load: most holders are cut off from other hosts, the targets are not. Guards
// against taking the silence of a holder for that of its targets: hosts then
// refused what primaries could run, and began to replace them.
test("hosts cut off from holders do not blame the targets", async () => {
  fleet = await startForwardingFleet();
  const sessions = WORKSPACES.map((workspace) =>
    fleet.openSession("accounts", 3, workspace)
  );
  for (const session of sessions) {
    await run(session, "READ k");
  }
  HOLDERS.forEach((host) => fleet.network.silentHosts.add(host));
  const writer = fleet.openSession("orders", 3);
  const refused: string[] = [];
  for (let round = 0; round < 20; round++) {
    sessions.forEach((session) => void begin(session, "READ k"));
    await vi.advanceTimersByTimeAsync(300);
    const answer = await run(writer, "WRITE k 1");
    refused.push(...answer.kind === "failed" ? [answer.error] : []);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(refused.filter((error) => error === "no_primary")).toEqual([]);
  expect(
    fleet.logLines.filter(({ event }) => event === "failover_started"),
  ).toEqual([]);
});
