import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import type { CallerSession } from "../src/core/entry.ts";
import { STATUS_INTERVAL_MS } from "../src/core/monitor.ts";
import type { Answer } from "../src/core/types.ts";
import { GROUPS_KEY } from "../src/core/object_keys.ts";
import type { TargetNode } from "../standins/target_node.ts";
import {
  createPutFrame,
  getResult,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";
import {
  createFrame,
  getTargetId,
  getTestGroup,
  type TestGroup,
} from "./group.ts";

let fleet: TestFleet;
let group: TestGroup;
let targets: readonly TargetNode[];

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet();
  group = getTestGroup(fleet);
  targets = group.targets;
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

/** Maximum gap in service when a primary is killed or partitioned. */
const MAX_GAP_MS = 3_000;
/** Maximum gap at full deployment size, also for two failures at once. */
const MAX_GAP_FULL_SIZE_MS = 7_000;
const REQUEST_TIMEOUT_MS = 12_000;
const HOSTS = ["h1", "h2", "h3"];

function request(host: string, key: string): Promise<Answer> {
  const timeoutMs = REQUEST_TIMEOUT_MS;
  return fleet.openSession(host).request(
    createPutFrame(key, "placed", { timeoutMs }),
  );
}

/** Returns the time until a write is acknowledged, in milliseconds. */
async function measureWrite(host: string, key: string): Promise<number> {
  const startedAt = Date.now();
  getResult(await settle(request(host, key)));
  return Date.now() - startedAt;
}

function listHostsByEvent(event: string): string[] {
  return fleet.hosts.flatMap((host) =>
    host.log.filter((line) => line.event === event).map(() => host.id)
  );
}

describe("a primary that is lost", () => {
  test("is replaced and rejoins without its unacknowledged log tail", async () => {
    const [oldPrimary] = targets;
    await measureWrite("h1", "before");
    oldPrimary!.faults = { cutFrom: ["*"] };
    oldPrimary!.core.openSession().run({
      kind: "write",
      workspace: fleet.deployment.workspaces[0]!.workspace,
      id: createPutFrame("tail", 1).id,
      term: 1,
      body: { op: "put", key: "tail", value: "unacknowledged" },
      unique: true,
    });
    expect(await measureWrite("h1", "after")).toBeLessThan(MAX_GAP_MS);
    const primary = group.getPrimary();
    expect(primary).not.toBe(oldPrimary);
    oldPrimary!.faults = {};
    await vi.advanceTimersByTimeAsync(2_000);
    expect(oldPrimary!.core.status()).toMatchObject({
      role: "replica",
      following: getTargetId(primary),
      logEnd: primary.core.status().logEnd,
    });
    expect(JSON.stringify(oldPrimary!.core.log)).not.toContain(
      "unacknowledged",
    );
  });

  test("is replaced in time with the platform down", async () => {
    fleet.platformFaults.down = true;
    targets[0]!.faults = { cutFrom: ["*"] };
    expect(await measureWrite("h2", "after")).toBeLessThan(MAX_GAP_MS);
  });

  test("is replaced with the duration of each phase logged", async () => {
    await measureWrite("h2", "before");
    targets[0]!.faults = { cutFrom: ["*"] };
    const gapMs = await measureWrite("h2", "after");
    const lines = fleet.hosts.flatMap((host) => host.log);
    const phases = ["promoted", "rerouted"]
      .map((event) => lines.find((line) => line.event === event)?.fields);
    expect(phases).toMatchObject([
      { cause: "silent", fence: expect.any(Number), term: 2 },
      { reroute: expect.any(Number), term: 2 },
    ]);
    expect(phases[0]!.detect).toBeGreaterThan(Number(phases[0]!.fence));
    expect(phases[0]!.detect).toBeLessThan(gapMs + STATUS_INTERVAL_MS);
  });

  test("is replaced when it is partitioned from the hosts only", async () => {
    targets[0]!.faults = { cutFrom: HOSTS };
    expect(await measureWrite("h2", "after")).toBeLessThan(MAX_GAP_MS);
  });

  test("is replaced when it is partitioned from its replicas only", async () => {
    const replicas = targets.slice(1).map(getTargetId);
    await measureWrite("h1", "before");
    targets[0]!.faults = { cutFrom: replicas };
    expect(await measureWrite("h2", "after")).toBeLessThan(MAX_GAP_MS);
    expect(group.getPrimary()).not.toBe(targets[0]);
  });

  test("acknowledges no write of a host in its minority partition", async () => {
    const [isolatedHost, ...others] = group.poolHosts;
    const replicas = targets.slice(1);
    targets[0]!.faults = { cutFrom: [...others, ...replicas.map(getTargetId)] };
    replicas.forEach((target) => target.faults = { cutFrom: [isolatedHost!] });
    others.forEach((host) => fleet.partition(isolatedHost!, host));
    const pendingWrite = request(isolatedHost!, "old");
    await measureWrite(others[0]!, "new");
    const answer = await settle(pendingWrite);
    expect(answer).toMatchObject({ failure: { error: "outcome_unknown" } });
    expect(group.countEntries("new")).toBe(1);
    expect(group.countEntries("old")).toBe(0);
  });

  test("is rejected by its replicas when it resumes after a freeze", async () => {
    await measureWrite("h1", "before");
    targets[0]!.faults = { frozen: true };
    const sent = request("h1", "across");
    await vi.advanceTimersByTimeAsync(MAX_GAP_MS);
    targets[0]!.faults = {};
    expect(getResult(await settle(sent))).toBe("placed");
    await vi.advanceTimersByTimeAsync(2_000);
    expect(targets[0]!.core.status().role).toBe("replica");
    expect(group.countEntries("across")).toBe(1);
  });
});

describe("the host that replaces the primary", () => {
  /** Advances the clock until a host raises the term; returns that host. */
  async function advanceUntilTermRaised(): Promise<string> {
    for (let ms = 0; ms < 5_000; ms++) {
      await vi.advanceTimersByTimeAsync(1);
      const [host] = listHostsByEvent("raising_term");
      if (host) {
        return host;
      }
    }
    throw new Error("no host raised the term within 5 s");
  }

  test("is succeeded when it dies after raising the term", async () => {
    await measureWrite("h1", "before");
    targets[0]!.faults = { cutFrom: ["*"] };
    const coordinator = await advanceUntilTermRaised();
    fleet.kill(coordinator);
    const other = HOSTS.find((host) => host !== coordinator)!;
    expect(await measureWrite(other, "after")).toBeLessThan(
      MAX_GAP_FULL_SIZE_MS,
    );
    expect(group.getTerm()).toBeGreaterThan(2);
  });

  test("cannot override a newer term after its lease has expired", async () => {
    targets[0]!.faults = { cutFrom: ["*"] };
    const coordinator = await advanceUntilTermRaised();
    fleet.freeze(coordinator);
    const other = HOSTS.find((host) => host !== coordinator)!;
    expect(await measureWrite(other, "after")).toBeLessThan(
      MAX_GAP_FULL_SIZE_MS,
    );
    const primary = group.getPrimary();
    const term = group.getTerm();
    fleet.thaw(coordinator);
    await vi.advanceTimersByTimeAsync(3_000);
    expect(group.getPrimary()).toBe(primary);
    expect(group.getTerm()).toBe(term);
    await measureWrite(coordinator, "later");
  });

  test("handles a second failure during the first", async () => {
    fleet.kill("h1");
    targets[0]!.faults = { cutFrom: ["*"] };
    await settle(request("h2", "across"));
    const secondPrimary = group.getPrimary();
    targets[0]!.faults = {};
    secondPrimary.faults = { cutFrom: ["*"] };
    expect(await measureWrite("h3", "after")).toBeLessThan(
      MAX_GAP_FULL_SIZE_MS,
    );
    expect(group.countEntries("across")).toBe(1);
  });
});

test("a replica that is far behind is not promoted", async () => {
  const [oldPrimary, laggingReplica] = targets;
  laggingReplica!.faults = { lagMs: 4_000 };
  for (let n = 0; n < 5; n++) {
    await measureWrite("h1", `order-${n}`);
  }
  oldPrimary!.faults = { cutFrom: ["*"] };
  await measureWrite("h1", "after");
  expect(group.getPrimary()).toBe(targets[2]);
  expect(group.countEntries("order-4")).toBe(1);
});

describe("a live primary is not replaced", () => {
  async function writeFor(ms: number): Promise<void> {
    const endsAt = Date.now() + ms;
    for (let n = 0; Date.now() < endsAt; n++) {
      await settle(request("h1", `order-${n}`));
      await vi.advanceTimersByTimeAsync(200);
    }
  }

  test.each([
    ["statements take 1.5 s", { statementMs: 1_500 }],
    ["frames take 350 ms", { latencyMs: 350 }],
  ])("when %s", async (_name, faults) => {
    targets[0]!.faults = faults;
    await writeFor(15_000);
    expect(group.getTerm()).toBe(1);
  });

  test("when its replicas lag by a second and a half", async () => {
    targets.slice(1).forEach((target) => target.faults = { lagMs: 1_500 });
    await writeFor(15_000);
    expect(group.getTerm()).toBe(1);
  });

  test("when a single host cannot reach it", async () => {
    targets[0]!.faults = { cutFrom: ["h1"] };
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.getTerm()).toBe(1);
    expect(await measureWrite("h1", "order")).toBeLessThan(MAX_GAP_MS);
  });

  test("when all hosts were frozen for seconds", async () => {
    HOSTS.forEach(fleet.freeze);
    await vi.advanceTimersByTimeAsync(5_000);
    HOSTS.forEach(fleet.thaw);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.getTerm()).toBe(1);
  });
});

test("a leaving primary is replaced without a failed request", async () => {
  const groups = fleet.groups.map((group) => ({
    ...group,
    targets: group.targets.map((info) => ({
      ...info,
      ...(info.target === getTargetId(targets[0]!) ? { leaving: true } : {}),
    })),
  }));
  const session: CallerSession = fleet.openSession("h1");
  const begun = await settle(
    session.request(createFrame({ kind: "begin" })),
  );
  fleet.platform.put(GROUPS_KEY, { kind: "groups", groups }, { ifVersion: 1 });
  await vi.advanceTimersByTimeAsync(1_000);
  expect(getResult(begun)).toBeDefined();
  let maxMs = 0;
  for (let n = 0; n < 30; n++) {
    maxMs = Math.max(maxMs, await measureWrite("h1", `order-${n}`));
    await vi.advanceTimersByTimeAsync(100);
  }
  expect(group.getPrimary()).not.toBe(targets[0]);
  expect(maxMs).toBeLessThan(MAX_GAP_MS);
});
