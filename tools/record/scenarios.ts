/** Scenarios of recorded runs, each testing an invariant under faults. */

import { asId, type HostId, type TargetId } from "../../src/core/ids.ts";
import type { Fault } from "../../src/generated/replay.ts";
import {
  createBeginFrame,
  createCommitFrame,
  createOutcomeFrame,
  createScenario,
  DEFAULT_WORKSPACE,
  type Scenario,
} from "./scenario.ts";

const PRIMARY = "ordering-1-1";
const REPLICAS = ["ordering-1-2", "ordering-1-3"];

/** Errors with which a request with a withdrawn key may be refused. */
const KEY_REFUSAL_ERRORS = ["unauthenticated", "configuration_unconfirmed"];

function targetFault(
  name: string,
  faults: Omit<Extract<Fault, { kind: "target" }>, "kind" | "target"> = {},
): Fault {
  return { kind: "target", target: asId<TargetId>(name), ...faults };
}

function hostFault(
  name: string,
  change: Extract<Fault, { kind: "host" }>["change"],
): Fault {
  return { kind: "host", host: asId<HostId>(name), change };
}

const readYourWrites = createScenario({
  name: "read_your_writes",
  title: "a session reads its write on another host while replicas lag",
  reason: "Replicas fall behind by seconds; sessions move between hosts.",
  expected: { r1: { result: "placed" }, r2: { result: "placed" } },
}, (script) => {
  REPLICAS.forEach((name) =>
    script.fault(0, targetFault(name, { lagMs: 1_500 }))
  );
  script.open(50, "first", { host: "h1" });
  script.put(100, "first", { id: "w1", key: "order-1", value: "placed" });
  script.open(4_000, "moved", { host: "h2", tokenOf: "first" });
  script.get(4_001, "moved", { id: "r1", key: "order-1" });
  script.open(4_002, "without-token", { host: "h3" });
  script.get(4_003, "without-token", { id: "r2", key: "order-1" });
});

const oldPrimary = createScenario({
  name: "old_primary",
  title: "a primary that only one host reaches acknowledges nothing",
  reason: "A partition leaves the old primary with a host on its side.",
  endMs: 14_000,
  expected: { r1: { result: "before" }, r3: { result: "after" } },
}, (script) => {
  script.open(50, "near", { host: "h1" });
  script.open(50, "far", { host: "h2" });
  script.put(100, "near", { id: "w1", key: "order-1", value: "before" });
  script.fault(
    1_000,
    targetFault(PRIMARY, { cutFrom: ["h2", "h3", ...REPLICAS] }),
  );
  script.put(1_050, "near", { id: "w2", key: "order-2", value: "cut off" });
  script.put(4_000, "far", { id: "w3", key: "order-3", value: "after" });
  script.fault(8_000, targetFault(PRIMARY));
  script.get(11_000, "near", { id: "r1", key: "order-1" });
  script.get(11_000, "far", { id: "r3", key: "order-3" });
});

const transactions = createScenario({
  name: "transactions",
  title: "two transactions stay apart while a host dies",
  reason: "A host dies in the middle of a transaction.",
  endMs: 9_000,
  expected: { r1: { result: "a" }, r2: { result: null } },
}, (script) => {
  script.open(50, "a", { host: "h1" });
  script.open(50, "b", { host: "h2" });
  script.send(100, "a", createBeginFrame("a0"));
  script.send(101, "b", createBeginFrame("b0"));
  script.put(200, "a", { id: "a1", key: "order-a", value: "a", tx: "a0" });
  script.put(201, "b", { id: "b1", key: "order-b", value: "b", tx: "b0" });
  script.put(250, "a", { id: "a2", key: "account", value: "a", tx: "a0" });
  script.fault(300, hostFault("h2", "kill"));
  script.send(400, "a", createCommitFrame("a3", "a0"));
  script.open(6_000, "after", { host: "h3" });
  script.get(6_001, "after", { id: "r1", key: "account" });
  script.get(6_002, "after", { id: "r2", key: "order-b" });
});

const workspaces = createScenario({
  name: "workspaces",
  title: "two workspaces use the same row key and one token is borrowed",
  reason: "A caller presents the token of another workspace in a failover.",
  endMs: 9_000,
  expected: { r1: { result: "attorney's" }, r2: { result: "clerk's" } },
}, (script) => {
  script.open(50, "attorney", { host: "h1" });
  script.open(50, "clerk", { host: "h2", workspace: "clerks" });
  script.put(100, "attorney", {
    id: "w1",
    key: "order-1",
    value: "attorney's",
  });
  script.put(100, "clerk", { id: "w2", key: "order-1", value: "clerk's" });
  script.fault(1_000, targetFault(PRIMARY, { down: true }));
  script.open(1_500, "borrowed", {
    host: "h3",
    workspace: "clerks",
    tokenOf: "attorney",
  });
  script.get(1_600, "borrowed", { id: "r0", key: "order-1" });
  script.get(6_000, "attorney", { id: "r1", key: "order-1" });
  script.get(6_000, "clerk", { id: "r2", key: "order-1" });
});

const keyAtTarget = createScenario({
  name: "key_at_target",
  title: "no frame to a target holds a key, also in an outage",
  reason: "The platform is down and a host freezes while requests run.",
  expected: { r2: { result: "placed" } },
}, (script) => {
  script.fault(0, { kind: "platform", down: true });
  script.open(50, "one", { host: "h1" });
  script.open(50, "two", { host: "h2" });
  script.put(100, "one", { id: "w1", key: "order-1", value: "placed" });
  script.fault(150, hostFault("h3", "freeze"));
  script.get(200, "two", { id: "r1", key: "order-1" });
  script.fault(1_000, hostFault("h3", "thaw"));
  script.get(3_000, "two", { id: "r2", key: "order-1" });
});

const withdrawnKey = createScenario({
  name: "withdrawn_key",
  title: "a withdrawn key stops for connected callers on every host",
  reason: "One host cannot reach the platform when a key is withdrawn.",
  endMs: 12_000,
  expected: {
    "after-h1": { errors: KEY_REFUSAL_ERRORS },
    "after-h2": { errors: KEY_REFUSAL_ERRORS },
    "after-h3": { errors: KEY_REFUSAL_ERRORS },
  },
}, (script) => {
  const hosts = ["h1", "h2", "h3"];
  hosts.forEach((name) => script.open(50, name, { host: name }));
  hosts.forEach((name) =>
    script.get(100, name, { id: `before-${name}`, key: "order-1" })
  );
  script.fault(500, { kind: "cut", a: "h3", b: "platform" });
  script.fault(1_000, {
    kind: "withdraw_key",
    workspace: asId(DEFAULT_WORKSPACE),
  });
  hosts.forEach((name) =>
    script.get(8_000, name, { id: `after-${name}`, key: "order-1" })
  );
  script.open(8_500, "again", { host: "h3" });
});

const rate = createScenario({
  name: "rate",
  title: "a burst at every host stays within the plan",
  reason: "Two hosts freeze and die while a workspace floods all hosts.",
  workspaces: [
    { workspace: asId(DEFAULT_WORKSPACE), ratePerSecond: 10, burst: 12 },
  ],
  endMs: 9_000,
}, (script) => {
  const hosts = ["h1", "h2", "h3"];
  hosts.forEach((name) => script.open(50, name, { host: name }));
  for (
    const [burstAtMs, round] of [[100, 1], [1_500, 2], [4_000, 3]] as const
  ) {
    hosts.forEach((name) => {
      for (let count = 0; count < 12; count++) {
        const id = `${name}-${round}-${count}`;
        script.get(burstAtMs + count, name, { id, key: "order-1" });
      }
    });
  }
  script.fault(1_400, hostFault("h2", "freeze"));
  script.fault(3_900, hostFault("h2", "thaw"));
  script.fault(3_950, hostFault("h3", "kill"));
});

const lateAnswers = createScenario({
  name: "late_answers",
  title: "late answers reach only their own requests",
  reason: "The primary freezes with statements in flight and wakes again.",
  endMs: 10_000,
  expected: { r1: { result: 3 }, r2: { result: 4 } },
}, (script) => {
  script.open(50, "one", { host: "h1" });
  script.open(50, "two", { host: "h2" });
  script.put(100, "one", { id: "w1", key: "order-1", value: 1 });
  script.put(100, "two", { id: "w2", key: "order-2", value: 2 });
  script.fault(500, targetFault(PRIMARY, { frozen: true }));
  script.put(505, "one", { id: "w3", key: "order-1", value: 3 });
  script.put(505, "two", { id: "w4", key: "order-2", value: 4 });
  script.fault(900, targetFault(PRIMARY));
  script.get(6_000, "one", { id: "r1", key: "order-1" });
  script.get(6_000, "two", { id: "r2", key: "order-2" });
});

const notRun = createScenario({
  name: "not_run",
  title: "a write that may have run is not called not run",
  reason: "The primary dies under writes with short deadlines.",
  endMs: 12_000,
  expected: {
    o2: { result: { ran: false } },
    o3: { result: { ran: false } },
    r2: { result: null },
    r3: { result: null },
  },
}, (script) => {
  script.open(50, "one", { host: "h1" });
  script.put(100, "one", { id: "w1", key: "order-1", value: 1 });
  script.fault(500, targetFault(PRIMARY, { statementMs: 400 }));
  script.put(505, "one", {
    id: "w2",
    key: "order-2",
    value: 2,
    timeoutMs: 600,
  });
  script.fault(800, targetFault(PRIMARY, { down: true }));
  script.put(1_200, "one", {
    id: "w3",
    key: "order-3",
    value: 3,
    timeoutMs: 200,
  });
  script.send(7_000, "one", createOutcomeFrame("o2", "w2"));
  script.send(7_000, "one", createOutcomeFrame("o3", "w3"));
  script.get(10_000, "one", { id: "r2", key: "order-2" });
  script.get(10_000, "one", { id: "r3", key: "order-3" });
});

const atMostOnce = createScenario({
  name: "at_most_once",
  title: "an order that is sent again on another host runs once",
  reason: "A host dies under an order and the caller sends it again.",
  endMs: 9_000,
  expected: { r1: { result: 1 } },
}, (script) => {
  script.open(50, "one", { host: "h1" });
  script.fault(90, targetFault(PRIMARY, { statementMs: 100 }));
  script.put(100, "one", { id: "w1", key: "order-1", value: 1 });
  script.fault(150, hostFault("h1", "kill"));
  script.fault(400, targetFault(PRIMARY));
  script.open(1_500, "two", { host: "h2" });
  script.put(1_600, "two", { id: "w1", key: "order-1", value: 1 });
  script.open(4_000, "three", { host: "h3" });
  script.put(4_100, "three", { id: "w1", key: "order-1", value: 1 });
  script.get(5_000, "three", { id: "r1", key: "order-1" });
});

const leavingTarget = createScenario({
  name: "leaving_target",
  title: "a leaving target gets no new work",
  reason: "A replica is marked as leaving while the other one lags.",
  endMs: 9_000,
  expected: { r0: { result: 1 }, r5: { result: 1 } },
}, (script) => {
  script.open(50, "one", { host: "h1" });
  script.put(100, "one", { id: "w1", key: "order-1", value: 1 });
  script.fault(500, {
    kind: "target_leaving",
    target: asId<TargetId>(REPLICAS[0]!),
  });
  script.fault(500, targetFault(REPLICAS[1]!, { lagMs: 1_000 }));
  for (let count = 0; count < 6; count++) {
    const id = `r${count}`;
    script.get(6_000 + count * 20, "one", { id, key: "order-1" });
  }
});

const configuration = createScenario({
  name: "configuration",
  title: "an accepted plan holds on a host that was cut off",
  reason: "A host misses a change, is replaced, and platform answers get lost.",
  endMs: 14_000,
  expected: {
    r0: { result: null },
    r3: { errors: ["rate_limited"] },
    r7: { errors: ["rate_limited"] },
  },
}, (script) => {
  script.open(50, "one", { host: "h1", workspace: "clerks" });
  script.fault(100, { kind: "cut", a: "h3", b: "platform" });
  script.fault(150, { kind: "platform", loseAnswers: true });
  script.fault(500, {
    kind: "rate",
    workspace: asId("clerks"),
    ratePerSecond: 1,
    burst: 3,
  });
  script.fault(3_000, { kind: "platform" });
  script.fault(4_000, hostFault("h3", "restart"));
  script.fault(6_000, { kind: "heal" });
  script.open(9_000, "three", { host: "h3", workspace: "clerks" });
  for (let count = 0; count < 8; count++) {
    script.get(9_100 + count, "three", { id: `r${count}`, key: "order-1" });
  }
});

const failoverAtNight = createScenario({
  name: "failover_at_night",
  title: "a primary dies while the platform is down",
  reason: "Two faults at once, with nobody on duty.",
  endMs: 12_000,
  expected: { r1: { result: 1 }, r2: { result: 2 } },
}, (script) => {
  script.open(50, "one", { host: "h1" });
  script.put(100, "one", { id: "w1", key: "order-1", value: 1 });
  script.fault(900, { kind: "platform", down: true });
  script.fault(1_000, targetFault(PRIMARY, { down: true }));
  script.put(1_100, "one", { id: "w2", key: "order-2", value: 2 });
  script.fault(7_000, targetFault(PRIMARY));
  script.put(9_000, "one", { id: "w3", key: "order-3", value: 3 });
  script.get(10_000, "one", { id: "r1", key: "order-1" });
  script.get(10_000, "one", { id: "r2", key: "order-2" });
});

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  readYourWrites,
  oldPrimary,
  transactions,
  workspaces,
  keyAtTarget,
  withdrawnKey,
  rate,
  lateAnswers,
  notRun,
  atMostOnce,
  leavingTarget,
  configuration,
  failoverAtNight,
];
