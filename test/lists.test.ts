import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  asId,
  type KeyId,
  type PlanId,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import { matchesSecret } from "../src/core/keys.ts";
import {
  applyList,
  issueWorkspaceKey,
  listKeys,
  type Lists,
  markLeaving,
  readLists,
  rotateKey,
  validateLists,
  withdrawKey,
} from "../src/core/lists.ts";
import { PLANS_KEY } from "../src/core/object_keys.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import {
  buildGroups,
  buildPlans,
  buildServices,
  LAKAZ,
} from "../tools/workloads.ts";
import { settle } from "./fleet.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";

const WORKSPACE = LAKAZ.workspaces[0]!.workspace;
let store: MemoryStore;
let core: ReturnType<typeof createPlatformCore>;

function buildLists(): Lists {
  const services = buildServices(LAKAZ);
  const sparePlan = { ...services.plans[0]!, plan: SPARE_PLAN };
  return structuredClone({
    plans: buildPlans(LAKAZ),
    services: { ...services, plans: [...services.plans, sparePlan] },
    groups: { kind: "groups", groups: buildGroups(LAKAZ, (t) => t) },
  });
}

const SPARE_PLAN = asId<PlanId>("plan-spare");

/** Returns the plans list with one more workspace. */
function withWorkspace(
  name: string,
  plan = LAKAZ.workspaces[0]!.plan,
): Lists["plans"] {
  const { plans } = buildLists();
  const workspace = asId<WorkspaceId>(name);
  return { ...plans, workspaces: [...plans.workspaces, { workspace, plan }] };
}

async function readBase(list: "plans" | "services") {
  return (await readLists(store)).unwrap()[list];
}

beforeEach(() => {
  vi.useFakeTimers();
  core = createPlatformCore();
  store = createMemoryStore(core);
  const lists = buildLists();
  for (const [name, value] of Object.entries(lists)) {
    core.put(asId(`config/${name}`), value, { ifVersion: 0 }).unwrap();
  }
});

afterEach(() => void vi.useRealTimers());

test("all problems of a list are reported at once", () => {
  const { plans, services, groups } = buildLists();
  const plan = services.plans[0]!;
  const invalidPlan = {
    ...plan,
    burst: 0.5,
    ratePerSecond: 0,
    services: [{
      service: "ordering",
      staleReads: [{ class: "status_lookup", maxStaleMs: -1 }],
    }],
    colour: "red",
  };
  const invalidServices = {
    ...services,
    plans: [invalidPlan, ...services.plans.slice(1)],
  };
  expect(validateLists({ plans, services: invalidServices, groups }))
    .toMatchSnapshot();
});

test("lists are checked against each other", () => {
  const { plans, services, groups } = buildLists();
  services.plans[0]!.services.push({ service: asId<ServiceId>("orderng") });
  plans.workspaces.push(plans.workspaces[0]!);
  plans.workspaces.push({
    workspace: asId<WorkspaceId>("new"),
    plan: asId("plan-none"),
  });
  expect(validateLists({ plans, services, groups })).toMatchSnapshot();
});

test("one of two concurrent edits is rejected with the differences", async () => {
  const base = await readBase("plans");
  const results = await settle(Promise.all(
    ["first", "second"].map((name) =>
      applyList(store, { list: "plans", value: withWorkspace(name), base })
    ),
  ));
  expect(results.filter((res) => res.isOk())).toHaveLength(1);
  const rejected = results.find((res) => res.isErr());
  const err = rejected?.isErr() ? rejected.error : undefined;
  const added = { type: "CREATE", path: ["workspaces", 8] };
  expect(err).toMatchObject({ kind: "conflict", differences: [added] });
});

test("concurrent edits of two lists cannot make the lists contradict each other", async () => {
  const base = await readBase("plans");
  let hasRaced = false;
  store.beforePut = async (key) => {
    if (key === PLANS_KEY && !hasRaced) {
      hasRaced = true;
      const services = await readBase("services");
      await applyList(store, {
        list: "services",
        value: buildServices(LAKAZ),
        base: services,
      });
    }
  };
  await settle(
    applyList(store, {
      list: "plans",
      value: withWorkspace("new", SPARE_PLAN),
      base,
    }),
  );
  const stored = (await readLists(store)).unwrap();
  const values = { plans: stored.plans.value, services: stored.services.value };
  expect(validateLists(values)).toEqual([]);
});

test.each(["lost_answer", "not_sent"] as const)(
  "an update with the fault %s is applied once",
  async (fault) => {
    const base = await readBase("plans");
    store.faults.push("none", fault);
    const value = withWorkspace("new");
    const res = await settle(applyList(store, { list: "plans", value, base }));
    expect(res.unwrap().version).toBe(2);
    expect(core.get(PLANS_KEY)).toMatchObject({ version: 2, value });
  },
);

test("a key is issued once although the answer is lost", async () => {
  store.faults.push("lost_answer");
  const issued = (await settle(issueWorkspaceKey(store, WORKSPACE))).unwrap();
  const keys = (await listKeys(store)).unwrap();
  expect(keys).toHaveLength(1);
  expect(matchesSecret(keys[0]!, issued.secret)).toBe(true);
  expect(JSON.stringify(core.list(""))).not.toContain(issued.secret);
});

test("a key is rotated with overlap and withdrawn", async () => {
  const issued = (await settle(issueWorkspaceKey(store, WORKSPACE))).unwrap();
  const { keyId } = issued.record;
  const rotated = (await settle(rotateKey(store, { keyId, overlapMs: 60_000 })))
    .unwrap();
  (await settle(withdrawKey(store, rotated.record.keyId))).unwrap();
  const [first, second] = (await listKeys(store)).unwrap();
  const expiresAt = new Date(Date.now() + 60_000).toISOString();
  expect(Date.parse(first!.expiresAt!)).toBeLessThanOrEqual(
    Date.parse(expiresAt),
  );
  expect(first!.withdrawnAt).toBeUndefined();
  expect(second!.withdrawnAt).toBeDefined();
  const missing = await withdrawKey(store, asId<KeyId>("none"));
  expect(missing.isErr() && missing.error.kind).toBe("not_found");
});

test("a target is marked as leaving although an answer is lost", async () => {
  const target = asId<TargetId>(
    buildLists().groups.groups[0]!.targets[1]!.target,
  );
  store.faults.push("lost_answer");
  const res = await settle(markLeaving(store, { target, leaving: true }));
  const groups = res.unwrap().value as Lists["groups"];
  expect(groups.groups[0]!.targets.map((t) => t.leaving)).toEqual([
    undefined,
    true,
    undefined,
  ]);
});
