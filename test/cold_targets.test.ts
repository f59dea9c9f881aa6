/** Pattern: slow start with one limit for the fleet, in shares of the hosts. */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type HostId } from "../src/core/ids.ts";
import type { PeerInfo } from "../src/core/types.ts";
import {
  type ColdTargets,
  createColdTargets,
} from "../src/pooling/cold_targets.ts";
import { createHolders } from "../src/pooling/holders.ts";
import type { TargetRecord } from "../src/pooling/types.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";

let fleet: PoolFleet | undefined;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
  fleet?.stop();
  fleet = undefined;
  vi.useRealTimers();
});

/** The limit of the deployments: 1.5 times the rate, and 5 statements. */
const LIMIT = { factor: 1.5, statements: 5 };
const SECOND_MS = 1_000;

function createTarget(overrides: Partial<TargetRecord> = {}): TargetRecord {
  return {
    id: asId("t1"),
    incarnation: Date.now(),
    service: asId("ledger"),
    address: "127.0.0.1:1",
    domain: asId("d0"),
    slots: 4,
    isDraining: false,
    role: "replica",
    coldLeftMs: 20_000,
    ...overrides,
  };
}

function createHosts(count: number): PeerInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    host: asId<HostId>(`h${index}`),
    domain: asId(`d${index % 6}`),
  }));
}

/** The limits as a host sees them that knows the hosts `known`. */
function createView(self: PeerInfo, options: {
  readonly known: readonly PeerInfo[];
  readonly ratePerS: number;
  readonly maxConnections?: number;
  isShareExpired?(): boolean;
  readonly endedMs?: number;
}): ColdTargets {
  const { known, ratePerS, maxConnections = 66 } = options;
  return createColdTargets({
    log: { info() {}, request() {} },
    metrics: { count() {}, add() {}, observe() {}, set() {} },
  }, {
    self: self.host,
    limit: LIMIT,
    tryGetPolicy: () =>
      ratePerS > 0 ? { durationMs: 20_000, ratePerS } : undefined,
    evacuations: { tryGetEndedMs: () => options.endedMs },
    holders: createHolders({
      self: self.host,
      topology: { domain: self.domain, regions: new Map() },
      listHosts: () => known,
      countConnectedHosts: () => known.length,
      countWorkspaces: () => 8,
      getMaxConnections: () => maxConnections,
    }),
    listHosts: () => known.map(({ host }) => host),
    isShareExpired: options.isShareExpired ?? (() => false),
  });
}

/** Sends all that the views allow for 5 s; returns the times. */
async function sendAllAllowed(
  views: readonly ColdTargets[],
  target: TargetRecord,
): Promise<number[]> {
  const times: number[] = [];
  for (let ms = 0; ms < 5 * SECOND_MS; ms += 20) {
    for (const view of views) {
      for (let n = 0; n < 50; n++) {
        const reservation = view.tryReserve(target);
        if (!reservation) {
          break;
        }
        reservation.recordSent();
        times.push(ms);
      }
    }
    await vi.advanceTimersByTimeAsync(20);
  }
  return times;
}

/** Returns the largest number of times within one second. */
function getPeak(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((start) =>
      times.filter((time) => time >= start && time < start + SECOND_MS).length
    ),
  );
}

// Guards against a limit that each host keeps and the fleet does not, also while
// one host has lost a holder that the others see.
test.each([2, 10, 40, 200])(
  "76 hosts together keep the limit of a target that takes %i a second",
  async (ratePerS) => {
    const hosts = createHosts(76);
    const target = createTarget();
    const ranked = createHolders({
      self: hosts[0]!.host,
      topology: { domain: asId("d0"), regions: new Map() },
      listHosts: () => hosts,
      countConnectedHosts: () => hosts.length,
      countWorkspaces: () => 8,
      getMaxConnections: () => 66,
    }).list(target, undefined);
    const views = hosts.map((self) =>
      createView(self, {
        // The spare that would replace the first holder has lost sight of it.
        known: self.host === ranked[3]
          ? hosts.filter(({ host }) => host !== ranked[0])
          : hosts,
        ratePerS,
      })
    );
    const times = await sendAllAllowed(views, target);
    expect(getPeak(times)).toBeLessThanOrEqual(ratePerS * 1.5 + 5);
    expect(times.length).toBeGreaterThan(0);
  },
);

test.each([3, 60])(
  "%i hosts with connections of their own keep the limit",
  async (count) => {
    const hosts = createHosts(count);
    const views = hosts.map((self) =>
      createView(self, { known: hosts, ratePerS: 10, maxConnections: 600 })
    );
    const times = await sendAllAllowed(views, createTarget());
    expect(getPeak(times)).toBeLessThanOrEqual(20);
    expect(getPeak(times)).toBeGreaterThan(10);
  },
);

// Guards against the share of a host whose peers have replaced it.
test("a host whose heartbeat is not accepted has no share", () => {
  const hosts = createHosts(3);
  const view = createView(hosts[0]!, {
    known: hosts,
    ratePerS: 100,
    maxConnections: 600,
    isShareExpired: () => true,
  });
  expect(view.tryReserve(createTarget())).toBeUndefined();
  expect(view.tryReserve(createTarget({ id: asId("t2"), incarnation: 0 })))
    .toBeUndefined();
});

// Guards against places that are lost with each connection that is not opened.
test("a reservation without a statement is free again", () => {
  const hosts = createHosts(1);
  const view = createView(hosts[0]!, { known: hosts, ratePerS: 10 });
  const target = createTarget();
  for (let n = 0; n < 100; n++) {
    const reservation = view.tryReserve(target)!;
    reservation.release();
    reservation.release();
  }
  const places = Array.from({ length: 100 }, () => view.tryReserve(target));
  expect(places.filter((place) => place).length).toBe(16);
});

// Guards against a target that is cold anew with each list of the registrations,
// and against a fleet that restarts before targets that have long been warm.
test("a target is cold for the time that its process told first", async () => {
  const hosts = createHosts(1);
  const view = createView(hosts[0]!, { known: hosts, ratePerS: 10 });
  const target = createTarget({ coldLeftMs: 5_000 });
  expect(view.isCold(target)).toBe(true);
  await vi.advanceTimersByTimeAsync(4_900);
  expect(view.isCold({ ...target })).toBe(true);
  await vi.advanceTimersByTimeAsync(200);
  expect(view.isCold({ ...target })).toBe(false);
  expect(view.isCold({ ...target, incarnation: Date.now() })).toBe(true);
  await vi.advanceTimersByTimeAsync(60_000);
  const restarted = createView(hosts[0]!, { known: hosts, ratePerS: 10 });
  expect(restarted.isCold(target)).toBe(false);
});

test("nothing is limited without a rate, or for a target that is not cold", () => {
  const hosts = createHosts(1);
  const [none, some] = [0, 10].map((ratePerS) =>
    createView(hosts[0]!, { known: hosts, ratePerS })
  );
  const { coldLeftMs: _, ...warm } = createTarget();
  expect(none!.isCold(createTarget())).toBe(false);
  expect(some!.isCold(warm)).toBe(false);
  const returned = createView(hosts[0]!, {
    known: hosts,
    ratePerS: 10,
    endedMs: 19_900,
  });
  expect(returned.isCold(warm)).toBe(true);
});

/** Statements that ran at `t2` since `time`, as times. */
function listRuns(time: number): number[] {
  return fleet!.group.runs.filter(({ target, at }) =>
    target === "t2" && at >= time
  ).map(({ at }) => at);
}

// Guards against the full load at once for a domain whose evacuation has ended.
test("traffic returns gradually after an evacuation", async () => {
  fleet = await startPoolFleet({
    hosts: 3,
    evacuationInForceMs: 5_000,
    coldLimit: LIMIT,
    cold: { durationMs: 10_000, ratePerS: 10 },
  });
  let isStopped = false;
  let count = 0;
  const read = async (host: number) => {
    const session = fleet!.openSession("accounts", host);
    while (!isStopped) {
      await session.execute(
        asId(`c${count++}`),
        { kind: "run", access: "read", text: "READ k" },
      );
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  };
  [0, 0, 1, 1, 2, 2].forEach((host) => void read(host));
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.evacuate("d1");
  await vi.advanceTimersByTimeAsync(8_000);
  const endedAt = performance.now();
  fleet.endEvacuation("d1");
  await vi.advanceTimersByTimeAsync(9_500);
  const cold = listRuns(endedAt);
  expect(cold.length).toBeGreaterThan(0);
  expect(getPeak(cold)).toBeLessThanOrEqual(20);
  await vi.advanceTimersByTimeAsync(5_000);
  expect(getPeak(listRuns(endedAt + 11_000))).toBeGreaterThan(40);
  isStopped = true;
  await vi.advanceTimersByTimeAsync(1_000);
});

// Guards against writes to a promoted or restarted primary beyond its limit.
test("a cold primary gets no more writes than its limit", async () => {
  fleet = await startPoolFleet({
    hosts: 3,
    coldLimit: LIMIT,
    cold: { durationMs: 10_000, ratePerS: 10 },
  });
  fleet.register("t1", { coldLeftMs: 8_000, incarnation: Date.now() });
  await vi.advanceTimersByTimeAsync(1_000);
  const startedAt = performance.now();
  let isStopped = false;
  let count = 0;
  const write = async (host: number) => {
    const session = fleet!.openSession("orders", host);
    while (!isStopped) {
      await session.execute(
        asId(`c${count++}`),
        { kind: "run", access: "write", text: "WRITE k 1" },
      );
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  };
  [0, 0, 1, 1, 2, 2].forEach((host) => void write(host));
  await vi.advanceTimersByTimeAsync(6_000);
  isStopped = true;
  const times = fleet.group.runs.filter(({ target, at }) =>
    target === "t1" && at >= startedAt
  ).map(({ at }) => at);
  expect(times.length).toBeGreaterThan(40);
  expect(getPeak(times)).toBeLessThanOrEqual(20);
  await vi.advanceTimersByTimeAsync(1_000);
});
