/** Patterns: one decision on which targets may get new work; data residency. */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { MetricsSink } from "../src/core/types.ts";
import { asId, type HostId, type TargetId } from "../src/core/ids.ts";
import {
  createTargetEligibility,
  type WorkScope,
} from "../src/pooling/target_eligibility.ts";
import type { Catalog, TargetRecord } from "../src/pooling/types.ts";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

let fleet: PoolFleet | undefined;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
  fleet?.stop();
  fleet = undefined;
  vi.useRealTimers();
});

const REGIONS = new Map(
  [["d0", "north"], ["d1", "north"], ["d2", "south"], ["d3", "west"]].map((
    [domain, region],
  ) => [asId<TargetRecord["domain"]>(domain!), region!]),
);

function createTestMetrics(): MetricsSink {
  return { count() {}, add() {}, observe() {}, set() {} };
}

/** Decisions of a host in `d0` on targets `t0` to `t3` in `d0` to `d3`. */
function createDecisions(options: {
  readonly evacuated?: Readonly<Record<string, number>>;
  readonly draining?: readonly string[];
  readonly homes?: Readonly<Record<string, readonly string[]>>;
  readonly primary?: string | undefined;
} = {}) {
  const state = { primary: options.primary ?? "t0" as string | undefined };
  const targets = ["d0", "d1", "d2", "d3"].map((domain, index) => ({
    id: asId<TargetId>(`t${index}`),
    service: "ledger",
    domain,
    isDraining: options.draining?.includes(`t${index}`) ?? false,
  } as unknown as TargetRecord));
  const homesByWorkspace: Catalog["homesByWorkspace"] = new Map(
    Object.entries(options.homes ?? {}).map((
      [workspace, regions],
    ) => [asId(workspace), regions]),
  );
  const decisions = createTargetEligibility({
    topology: {
      domain: asId("d0"),
      regions: REGIONS,
      evacuations: {
        version: 1,
        isKnown: () => true,
        getAgeMs: () => 0,
        tryGetActiveMs: (domain) => options.evacuated?.[domain],
        tryGetEndedMs: () => undefined,
      },
    },
    directory: {
      list: () => targets,
      tryGet: (id) => targets.find((target) => target.id === id),
    },
    primaries: { tryPrimary: () => asId(state.primary as TargetId) },
    tryGetCatalog: () => ({ homesByWorkspace }),
    listHosts: () =>
      [...REGIONS.keys()].map((domain, index) => ({
        host: asId<HostId>(`h${index}`),
        domain,
      })),
    transactionGraceMs: 1_000,
    io: { metrics: createTestMetrics(), random: () => 0.5 },
  });
  const scope = (homeRegions?: readonly string[]): WorkScope => ({
    route: { service: asId("ledger"), ...homeRegions && { homeRegions } },
    workspace: asId("w1"),
  });
  const list = (homeRegions?: readonly string[]) =>
    decisions.listEligible(asId("ledger"), scope(homeRegions))
      .map(({ id }) => id);
  return { decisions, scope, list, targets, state };
}

test("reads go to targets that are neither draining nor evacuated", () => {
  expect(createDecisions().list()).toEqual(["t0", "t1", "t2", "t3"]);
  const { list, decisions, targets } = createDecisions({
    evacuated: { d1: 0, d3: 0 },
    draining: ["t2"],
  });
  expect(list()).toEqual(["t0"]);
  // A draining target still answers status requests, an evacuated one does not.
  expect(targets.map(decisions.isEligible)).toEqual([true, false, true, false]);
  expect(targets.map(decisions.mayLead)).toEqual([true, false, false, false]);
});

test("homes are those of route and workspace, or what both have in common", () => {
  expect(createDecisions().list(["south"])).toEqual(["t2"]);
  const { list } = createDecisions({ homes: { w1: ["north", "west"] } });
  expect(list()).toEqual(["t0", "t1", "t3"]);
  expect(list(["west", "south"])).toEqual(["t3"]);
  expect(list(["south"])).toEqual([]);
});

// Guards against a statement that waits until its deadline for a target that it
// may not use, and against one that is refused while it may still be served.
test("work is refused at once where no target may run it", () => {
  const { decisions, scope } = createDecisions({
    homes: { w1: ["north"] },
    primary: "t2",
  });
  expect(decisions.tryRefuse(scope(), "read")).toBeUndefined();
  expect(decisions.tryRefuse(scope(["south"]), "read")?.error)
    .toBe("overloaded");
  const refusal = decisions.tryRefuse(scope(), "primary");
  expect(refusal?.error).toBe("no_primary");
  expect(refusal?.retryAfterMs).toBeGreaterThan(0);
  const all = createDecisions({ evacuated: { d0: 0, d1: 0, d2: 0, d3: 0 } });
  expect(all.decisions.tryRefuse(all.scope(), "read")?.retryAfterMs)
    .toBeGreaterThan(0);
  // Only draining targets: as before, statements wait for another one.
  const draining = createDecisions({ draining: ["t0", "t1", "t2", "t3"] });
  expect(draining.decisions.tryRefuse(draining.scope(), "read"))
    .toBeUndefined();
});

// Guards against writes that wait in the queue of a service whose evacuated
// primary has stepped down and has no successor yet.
test("work for an evacuated primary is refused until another one leads", () => {
  const { decisions, scope, state } = createDecisions({ evacuated: { d0: 5 } });
  expect(decisions.tryRefuse(scope(), "primary")?.error).toBe("no_primary");
  state.primary = undefined;
  expect(decisions.tryRefuse(scope(), "primary")?.error).toBe("no_primary");
  state.primary = "t1";
  expect(decisions.tryRefuse(scope(), "primary")).toBeUndefined();
  state.primary = undefined;
  expect(decisions.tryRefuse(scope(), "primary")).toBeUndefined();
});

// Guards against statements that pass through a region without need.
test("statements with homes pass through hosts at home and near the entry", () => {
  const { decisions, scope } = createDecisions();
  const mayPass = (homeRegions?: readonly string[]) =>
    ["h0", "h1", "h2", "h3", "h9"].filter((host) =>
      decisions.mayForwardThrough(asId(host), scope(homeRegions))
    );
  expect(mayPass(["south"])).toEqual(["h0", "h1", "h2"]);
  expect(mayPass()).toEqual(["h0", "h1", "h2", "h3", "h9"]);
});

test("transactions stay open at an evacuated target for the grace only", () => {
  const { decisions, targets } = createDecisions({
    evacuated: { d0: 999, d1: 1_000 },
  });
  expect(targets.map(decisions.mustEndTransactions))
    .toEqual([false, true, false, false]);
});

// Guards against a change of the homes that open sessions do not follow: the
// route is read anew, and a queued or pinned statement must be too.
test("new homes hold for open sessions, and a primary elsewhere refuses at once", async () => {
  fleet = await startPoolFleet({
    hosts: 2,
    regions: { d0: "north", d1: "south", d2: "west" },
  });
  const session = fleet.openSession("accounts");
  const session2 = fleet.openSession("orders");
  expect(getOutcome(await run(session, "WRITE a 1"))).toBe("done");
  fleet.setCatalog({
    homesByWorkspace: new Map([[asId("w1"), ["west"]]]),
  });
  await vi.advanceTimersByTimeAsync(1_000);
  const before = fleet.group.runs.length;
  for (let n = 0; n < 5; n++) {
    expect(getOutcome(await run(session, `READ a ${n}`))).toBe("done");
  }
  expect(new Set(fleet.group.runs.slice(before).map(({ target }) => target)))
    .toEqual(new Set(["t3"]));
  const answer = await run(session2, "WRITE b 1", { limitMs: 5 });
  expect(answer).toMatchObject({ kind: "failed", error: "no_primary" });
  expect(answer.kind === "failed" && answer.retryAfterMs).toBeGreaterThan(0);
});

// Guards against homes that bind the first statement of a transaction only.
test("a transaction outside of new homes is aborted at its next statement", async () => {
  fleet = await startPoolFleet({
    regions: { d0: "north", d1: "south", d2: "west" },
  });
  const session = fleet.openSession("orders");
  await run(session, "BEGIN");
  expect(getOutcome(await run(session, "WRITE a 1"))).toBe("done");
  fleet.setCatalog({ homesByWorkspace: new Map([[asId("w1"), ["west"]]]) });
  await vi.advanceTimersByTimeAsync(1_000);
  const before = fleet.group.runs.length;
  expect(getOutcome(await run(session, "WRITE a 2"))).toBe("aborted");
  expect(fleet.group.runs.length).toBe(before);
});

// Guards against a holder in a third region: no host is in the target's region,
// so the holders are chosen among all.
test("a statement with homes passes through no host of a third region", async () => {
  const workspaces = Array.from({ length: 8 }, (_, n) => `w${n + 1}`);
  fleet = await startPoolFleet({
    hosts: 6,
    domains: ["d0", "d0", "d1", "d1", "d1", "d1"],
    regions: { d0: "north", d1: "south", d2: "west" },
    workspaces,
    maxConnections: 20,
    ratePerS: 10_000,
  });
  const readAtTarget = async () => {
    const before = fleet!.commands.length;
    for (const workspace of workspaces) {
      const session = fleet!.openSession("accounts", 0, workspace);
      expect(getOutcome(await run(session, "READ k"))).toBe("done");
    }
    return new Set(
      fleet!.commands.slice(before).filter(({ target, kind }) =>
        target === "t3" && kind === "run"
      ).map(({ host }) => host),
    );
  };
  fleet.store.remove(asId("targets/t2"));
  fleet.store.remove(asId("targets/t1"));
  await vi.advanceTimersByTimeAsync(5_000);
  const without = await readAtTarget();
  expect([...without].some((host) => Number(host.slice(1)) > 1)).toBe(true);
  fleet.setCatalog({
    homesByWorkspace: new Map(workspaces.map((id) => [asId(id), ["west"]])),
  });
  await vi.advanceTimersByTimeAsync(1_000);
  const withHomes = await readAtTarget();
  expect([...withHomes].every((host) => Number(host.slice(1)) <= 1)).toBe(true);
});
