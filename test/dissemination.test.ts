import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createConfiguration } from "../src/core/configuration.ts";
import { createFreshness } from "../src/core/freshness.ts";
import { asId, type HostId, type ObjectKey } from "../src/core/ids.ts";
import {
  CONFIG_PREFIX,
  PLANS_KEY,
  SERVICES_KEY,
} from "../src/core/object_keys.ts";
import type { HostIo, StateChange } from "../src/core/types.ts";
import type { PlatformCall } from "../standins/local_fleet.ts";
import { buildPlans, buildServices, LAKAZ } from "../tools/workloads.ts";
import {
  createGetFrame,
  createPutFrame,
  getMaxPlatformCalls,
  getResult,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";

/** Time within which every host applies a configuration change (issue 6). */
const MAX_PROPAGATION_MS = 5_000;
/**
 * A tenth of the reads that the platform can serve, divided by at most 40
 * calling hosts.
 */
const CALLS_PER_HOST_PER_SECOND = 5;
/** A tenth of the several hundred writes per second that the platform takes. */
const MAX_SEAT_CALLS_PER_SECOND = 30;

let fleet: TestFleet;

beforeEach(() => void vi.useFakeTimers());

afterEach(() => {
  fleet?.stop();
  vi.useRealTimers();
});

/** Changes the services list like an operator; returns its new version. */
function changeServices(rate: number): number {
  const { version, value } = fleet.platform.get(SERVICES_KEY);
  const list = structuredClone(value) as { plans: { ratePerSecond: number }[] };
  list.plans[0]!.ratePerSecond = rate;
  return fleet.platform.put(SERVICES_KEY, list, { ifVersion: version })
    .unwrap().version;
}

function listVersions(): number[] {
  return fleet.hosts.map(({ host }) =>
    host.cfg.objects.find(({ key }) => key === SERVICES_KEY)?.version ?? 0
  );
}

function isConfigurationCall({ path }: PlatformCall): boolean {
  return path.startsWith(CONFIG_PREFIX);
}

async function tryRead(host: string): Promise<string> {
  const entry = fleet.getHost(host).host.entry;
  const key = [...fleet.keys.values()][0]!;
  const opened = entry.open({ kind: "hello", key });
  if (opened.isErr()) {
    return opened.error.error;
  }
  const answer = await settle(opened.value.request(createGetFrame("order-1")));
  opened.value.end();
  return answer.kind === "failed" ? answer.failure.error : "served";
}

test.each([3, 9])(
  "a change is applied on %i hosts in time, and their reported versions show it",
  async (hosts) => {
    fleet = await startTestFleet({ hosts, groups: [] });
    const version = changeServices(77);
    await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
    expect(new Set(listVersions())).toEqual(new Set([version]));
    const hostVersions = fleet.hosts[0]!.host.membership.listHostVersions();
    const serviceVersions = hostVersions.flatMap(({ versions }) =>
      versions.filter(({ key }) => key === SERVICES_KEY)
    );
    expect(serviceVersions.map((entry) => entry.version)).toEqual(
      Array.from({ length: hosts }, () => version),
    );
  },
);

test("a late or outdated answer never reverts a version", async () => {
  fleet = await startTestFleet();
  const key = asId<ObjectKey>("config/plans");
  const cfg = createConfiguration({ log() {} } as unknown as HostIo);
  const createObject = (version: number) => ({ key, version, value: {} });
  cfg.applyChanges({ revision: 9, objects: [createObject(4)] });
  cfg.applyChanges({ revision: 5, objects: [createObject(2)] });
  expect(cfg.objects).toEqual([createObject(4)]);
  expect(cfg.revision).toBe(9);
  expect(cfg.listChangedAfter(8)).toEqual([createObject(4)]);
});

// An invalid list was logged and reported as in force on every host.
test("an invalid object is passed on but not reported as in force", () => {
  const changes: StateChange[] = [];
  const cfg = createConfiguration(
    { log: (change: StateChange) => changes.push(change) } as unknown as HostIo,
  );
  const listAt = (version: number, rate: number) => {
    const services = buildServices(LAKAZ);
    const plans = services.plans.map((plan) => ({
      ...plan,
      ratePerSecond: rate,
    }));
    return { key: SERVICES_KEY, version, value: { ...services, plans } };
  };
  const plans = { key: PLANS_KEY, version: 1, value: buildPlans(LAKAZ) };
  const invalid = listAt(4, -1);
  cfg.applyChanges({ revision: 3, objects: [plans, listAt(3, 70)] });
  cfg.applyChanges({ revision: 4, objects: [invalid] });
  cfg.applyChanges({ revision: 5, objects: [listAt(2, 50)] });
  const { workspace } = LAKAZ.workspaces[0]!;
  expect(cfg.tryAllowance(workspace)?.ratePerSecond).toBe(70);
  expect(cfg.listChangedAfter(3)).toEqual([invalid]);
  expect(
    changes.map(({ event, fields }) => [event, fields.key, fields.version]),
  ).toEqual([
    ["accepted", PLANS_KEY, 1],
    ["accepted", SERVICES_KEY, 3],
    ["rejected", SERVICES_KEY, 4],
  ]);
  expect(changes.at(-1)!.fields.detail).toBe(
    "/plans/0/ratePerSecond must be > 0",
  );
  expect(cfg.acceptedVersions).toEqual([
    { key: PLANS_KEY, version: 1 },
    { key: SERVICES_KEY, version: 3 },
  ]);
  cfg.applyChanges({ revision: 6, objects: [listAt(6, 60)] });
  expect(cfg.tryAllowance(workspace)?.ratePerSecond).toBe(60);
  expect(cfg.acceptedVersions.at(-1)!.version).toBe(6);
});

test("a host does not report the version of an invalid list as its own", async () => {
  fleet = await startTestFleet({ groups: [] });
  const version = changeServices(77);
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  changeServices(-1);
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  const reported = fleet.hosts[0]!.host.membership.listHostVersions()
    .flatMap(({ versions }) => versions)
    .filter(({ key }) => key === SERVICES_KEY);
  expect(reported.map((entry) => entry.version)).toEqual(
    fleet.hosts.map(() => version),
  );
});

test("no host reverts to an older version while hosts restart and the platform is slow", async () => {
  fleet = await startTestFleet({ hosts: 6, groups: [] });
  const lowestVersions = new Map<string, number>();
  for (let step = 0; step < 40; step++) {
    const latestVersion = changeServices(100 + step);
    fleet.platformFaults.slowMs = step % 3 === 0 ? 900 : 0;
    fleet.platformFaults.loseAnswers = step % 4 === 0;
    if (step % 5 === 0) {
      const { id } = fleet.hosts[step % 6]!;
      fleet.restart(id);
      lowestVersions.delete(id);
    }
    fleet.partition("h1", step % 2 ? "h2" : "platform");
    await vi.advanceTimersByTimeAsync(700);
    fleet.heal();
    listVersions().forEach((version, index) => {
      const { id } = fleet.hosts[index]!;
      expect(version).toBeGreaterThanOrEqual(lowestVersions.get(id) ?? 0);
      expect(version).toBeLessThanOrEqual(latestVersion);
      lowestVersions.set(id, version);
    });
  }
  fleet.platformFaults.loseAnswers = false;
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  expect(new Set(listVersions()).size).toBe(1);
});

test("requests are served during an outage of the platform", async () => {
  fleet = await startTestFleet();
  const session = fleet.openSession("h1");
  await settle(session.request(createPutFrame("order-1", "placed")));
  fleet.platformFaults.down = true;
  for (let second = 0; second < 60; second++) {
    await vi.advanceTimersByTimeAsync(1_000);
    expect(getResult(await settle(session.request(createGetFrame("order-1")))))
      .toBe("placed");
  }
});

test("a host that starts in an outage gets the configuration from peers", async () => {
  fleet = await startTestFleet();
  fleet.platformFaults.down = true;
  await vi.advanceTimersByTimeAsync(10_000);
  fleet.restart("h2");
  await vi.advanceTimersByTimeAsync(3_000);
  expect(await tryRead("h2")).toBe("served");
});

test("a fully partitioned host refuses requests and serves again once healed", async () => {
  fleet = await startTestFleet();
  ["platform", "h2", "h3"].forEach((other) => fleet.partition("h1", other));
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  expect(await tryRead("h1")).toBe("configuration_unconfirmed");
  expect(await tryRead("h2")).toBe("served");
  fleet.heal();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await tryRead("h1")).toBe("served");
});

test("a host resumed from a freeze refuses to act on outdated state", async () => {
  fleet = await startTestFleet();
  const session = fleet.openSession("h1");
  fleet.freeze("h1");
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  fleet.thaw("h1");
  const answer = await settle(session.request(createGetFrame("order-1")));
  expect(answer.kind === "failed" && answer.failure.error)
    .toBe("configuration_unconfirmed");
});

test("a change spreads through the only host that connects two partitions", async () => {
  fleet = await startTestFleet({ hosts: 5 });
  ["h1", "h2", "h3"].forEach((a) =>
    ["h4", "h5"].forEach((b) => fleet.partition(a, b))
  );
  ["h4", "h5"].forEach((host) => fleet.partition(host, "platform"));
  const version = changeServices(88);
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  expect(await tryRead("h4")).toBe("configuration_unconfirmed");
  fleet.platformFaults.down = true;
  fleet.heal();
  ["h1", "h2"].forEach((a) =>
    ["h4", "h5"].forEach((b) => fleet.partition(a, b))
  );
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  expect(listVersions()).toEqual(Array.from({ length: 5 }, () => version));
  expect(await tryRead("h4")).toBe("served");
});

test("a host that lost its state does not count towards the majority", () => {
  const [self, other, third] = ["h1", "h2", "h3"].map(asId<HostId>);
  const hosts = [self!, other!, third!];
  const freshness = createFreshness({ self: self!, listHosts: () => hosts });
  const recordAnswer = (from: HostId, ready: boolean) =>
    freshness.recordPeerAnswer({ from, askedAt: performance.now(), ready });
  recordAnswer(other!, true);
  expect(freshness.isConfirmed()).toBe(false);
  recordAnswer(third!, false);
  expect(freshness.isConfirmed()).toBe(false);
  recordAnswer(third!, true);
  expect(freshness.isConfirmed()).toBe(true);
});

test("a confirmation from before a restart does not make a host ready", async () => {
  const self = asId<HostId>("h1");
  await vi.advanceTimersByTimeAsync(1_000);
  const freshness = createFreshness({ self, listHosts: () => [self] });
  // A peer may forward a confirmation from before the restart.
  freshness.recordConfirmation(performance.now() - 1_000);
  expect([freshness.isConfirmed(), freshness.isReady()]).toEqual([true, false]);
  await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS);
  expect(freshness.isConfirmed()).toBe(false);
  freshness.recordConfirmation(performance.now());
  expect(freshness.isReady()).toBe(true);
});

test("traffic causes no calls to the platform", async () => {
  fleet = await startTestFleet();
  const session = fleet.openSession("h1");
  const counts: number[] = [];
  for (const requests of [0, 20]) {
    fleet.platformCalls.length = 0;
    const frames = Array.from(
      { length: requests },
      () => createGetFrame("order-1"),
    );
    const answers = frames.map((frame) => session.request(frame));
    await vi.advanceTimersByTimeAsync(6_000);
    (await Promise.all(answers)).forEach(getResult);
    counts.push(fleet.platformCalls.filter(isConfigurationCall).length);
    const otherCalls = fleet.platformCalls.length - counts.at(-1)!;
    expect(otherCalls).toBeLessThanOrEqual(MAX_SEAT_CALLS_PER_SECOND * 6);
  }
  // Requests also draw random numbers, which shifts the jitter of each host.
  expect(counts[1]).toBeLessThanOrEqual(counts[0]! + fleet.hosts.length);
});

test("calls to the platform do not grow with the number of hosts", async () => {
  const callCounts: Record<string, number> = {};
  for (const hosts of [3, 9]) {
    for (const changes of [1, 100]) {
      fleet = await startTestFleet({ hosts, groups: [] });
      await vi.advanceTimersByTimeAsync(3_000);
      fleet.platformCalls.length = 0;
      for (let i = 0; i < changes; i++) {
        changeServices(50 + i);
        await vi.advanceTimersByTimeAsync(60_000 / changes);
      }
      callCounts[`${hosts} hosts, ${changes} changes`] =
        fleet.platformCalls.length;
      const maxCalls = getMaxPlatformCalls(fleet);
      expect(maxCalls).toBeLessThanOrEqual(60 * CALLS_PER_HOST_PER_SECOND);
      fleet.stop();
    }
  }
  for (const changes of [1, 100]) {
    const [few, many] = [3, 9].map((n) =>
      callCounts[`${n} hosts, ${changes} changes`]!
    );
    expect(many! / few!).toBeLessThan(1.1);
  }
});

test("platform calls stay bounded in an outage and after recovery", async () => {
  fleet = await startTestFleet({ hosts: 9, groups: [] });
  fleet.platformFaults.down = true;
  await vi.advanceTimersByTimeAsync(60_000);
  for (const seconds of [1, 10]) {
    fleet.platformCalls.length = 0;
    fleet.platformFaults.down = false;
    await vi.advanceTimersByTimeAsync(seconds * 1_000);
    expect(getMaxPlatformCalls(fleet))
      .toBeLessThanOrEqual(seconds * CALLS_PER_HOST_PER_SECOND);
    const callers = fleet.platformCalls.filter(isConfigurationCall)
      .map(({ host }) => host);
    expect(new Set(callers).size).toBeLessThanOrEqual(3);
    const otherCalls = fleet.platformCalls.length - callers.length;
    expect(otherCalls).toBeLessThanOrEqual(seconds * MAX_SEAT_CALLS_PER_SECOND);
  }
});
