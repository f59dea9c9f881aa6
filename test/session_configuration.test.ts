/** Sessions that go on while the configuration changes. */

import { afterEach, expect, test, vi } from "vitest";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import type { Session } from "../src/pooling/session.ts";
import type { Route } from "../src/pooling/types.ts";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

/** Time for a new configuration to reach the hosts, in milliseconds. */
const IN_FORCE_MS = 100;
const LAG_MS = 1_300;

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Leads the route of a database to a service; the fleet has `ledger` only. */
async function lead(database: string, service: string): Promise<void> {
  const route: Route = {
    database: asId(database),
    service: asId(service),
    consistency: { kind: "session", maxStaleMs: 2_500 },
    statementTimeoutMs: 1_000,
    objectiveMs: 1_000,
    priority: 1,
    isPublic: false,
  };
  fleet.setCatalog({ routes: new Map([[route.database, route]]) });
  await vi.advanceTimersByTimeAsync(IN_FORCE_MS);
}

/** Position that the run of a statement had to see, by its id. */
function tryPositionOf(id: string) {
  return fleet.group.runs.find((ran) => ran.id === id)?.position;
}

async function write(session: Session, texts: readonly string[]) {
  for (const text of texts) {
    expect(getOutcome(await run(session, text))).toBe("done");
  }
}

// Guards against a read floor that is dropped when a route leads elsewhere: the
// next read on the service misses the session's own commit.
test.each([
  { title: "a write", texts: ["WRITE k 1"], readsAway: true },
  {
    title: "a write, and no statement meanwhile",
    texts: ["WRITE k 1"],
    readsAway: false,
  },
  {
    title: "a transaction",
    texts: ["BEGIN", "WRITE k 1", "COMMIT"],
    readsAway: true,
  },
])(
  "a session reads its own commit after its route led to another service: $title",
  async ({ texts, readsAway }) => {
    fleet = await startPoolFleet({ hosts: 3, group: { lagMs: LAG_MS } });
    await lead("accounts", "ledger");
    const session = fleet.openSession("accounts", 2);
    await write(session, texts);
    const { position } = fleet.getTarget("t1").log.at(-1)!;
    await lead("accounts", "archive");
    if (readsAway) {
      expect(getOutcome(await run(session, "READ k"))).not.toBe("done");
    }
    await lead("accounts", "ledger");
    const answer = await run(session, "READ k", { id: "r-back" });
    expect(getOutcome(answer)).toBe("done");
    expect(tryPositionOf("r-back")).toEqual(position);
  },
);

/** Gives the key of the first workspace to another one. */
async function moveKey(workspace: string): Promise<void> {
  const workspaces = ["w1", "w2"].map((id) => asId<WorkspaceId>(id));
  fleet.setCatalog({
    workspaceByKey: new Map([["key1", asId(workspace)]]),
    quotas: new Map(
      workspaces.map((id) => [id, { ratePerS: 1_000, burst: 1_000 }]),
    ),
  });
  await vi.advanceTimersByTimeAsync(IN_FORCE_MS);
}

const listRuns = () =>
  fleet.group.runs.map(({ workspace, text }) => `${workspace} ${text}`);

/** Runs statements, a key that moves between them, and returns the outcomes. */
async function runMoving(
  session: Session,
  steps: readonly string[],
): Promise<string[]> {
  const outcomes: string[] = [];
  for (const step of steps) {
    const [word, workspace] = step.split("=");
    if (word === "key" && workspace !== undefined) {
      await moveKey(workspace);
    } else {
      outcomes.push(getOutcome(await run(session, step)));
    }
  }
  return outcomes;
}

// Guards against a transaction that goes on, and commits, for the workspace that
// held the key before.
test.each([
  {
    title: "before its first statement",
    steps: ["BEGIN", "key=w2", "WRITE k 1", "ROLLBACK"],
    outcomes: ["done", "aborted", "done"],
    runs: [],
  },
  {
    title: "before a statement",
    steps: ["BEGIN", "WRITE k 1", "key=w2", "READ k", "COMMIT"],
    outcomes: ["done", "done", "aborted", "aborted"],
    runs: ["w1 WRITE k 1"],
  },
  {
    title: "before its commit",
    steps: ["BEGIN", "WRITE k 1", "key=w2", "COMMIT", "READ k"],
    outcomes: ["done", "done", "aborted", "done"],
    runs: ["w1 WRITE k 1", "w2 READ k"],
  },
  {
    title: "in a transaction of reads",
    steps: ["BEGIN READ", "READ k", "key=w2", "READ k", "ROLLBACK"],
    outcomes: ["done", "done", "aborted", "done"],
    runs: ["w1 READ k"],
  },
  {
    title: "there and back between two statements",
    steps: ["BEGIN", "WRITE k 1", "key=w2", "key=w1", "READ k", "COMMIT"],
    outcomes: ["done", "done", "done", "done"],
    runs: ["w1 WRITE k 1", "w1 READ k", "w1 COMMIT"],
  },
])(
  "a transaction whose key moves to another workspace is aborted: $title",
  async ({ steps, outcomes, runs }) => {
    fleet = await startPoolFleet({ hosts: 3, workspaces: ["w1", "w2"] });
    const session = fleet.openSession("orders", 1);
    expect(await runMoving(session, steps)).toEqual(outcomes);
    expect(listRuns()).toEqual(runs);
    expect(fleet.group.targets.flatMap(({ log }) => log)).toHaveLength(
      runs.includes("w1 COMMIT") ? 3 : 0,
    );
  },
);

// Guards against a session that is refused although its key and its route are
// there, and against one that goes on for the workspace before.
test("a session whose key moves goes on for its new workspace", async () => {
  fleet = await startPoolFleet({ hosts: 3, workspaces: ["w1", "w2"] });
  const session = fleet.openSession("orders", 1);
  const steps = [
    "SET v 1",
    "PREPARE s WRITE q",
    "EXEC s k 1",
    "key=w2",
    "EXEC s k 2",
    "BEGIN",
    "WRITE k 3",
    "COMMIT",
    "key=w1",
    "READ k",
  ];
  const outcomes = await runMoving(session, steps);
  expect(new Set(outcomes)).toEqual(new Set(["done"]));
  expect(fleet.group.runs.map(({ workspace, variables }) => ({
    workspace,
    variables,
  }))).toEqual(
    ["w1", "w2", "w2", "w2", "w1"].map((workspace) => ({
      workspace,
      variables: { v: "1" },
    })),
  );
  expect(session.workspace).toBe("w1");
});

// Guards against a statement that waits for quota and then runs for the
// workspace that held the key when it came.
test("a statement runs for the workspace that has its key after the wait for quota", async () => {
  fleet = await startPoolFleet({ workspaces: ["w1", "w2"], ratePerS: 4 });
  const session = fleet.openSession("orders");
  for (let count = 0; count < 4; count++) {
    await run(session, "READ k");
  }
  const pending = session.execute(
    asId("waiting"),
    { kind: "run", access: "read", text: "READ k" },
  );
  await vi.advanceTimersByTimeAsync(10);
  await moveKey("w2");
  await vi.advanceTimersByTimeAsync(1_000);
  const answer = await pending;
  const ran = fleet.group.runs.find(({ id }) => id === "waiting");
  expect([getOutcome(answer), ran?.workspace]).toEqual(["done", "w2"]);
});
