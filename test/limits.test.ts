import fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { findWorstWindow } from "../tools/bound_checker.ts";
import { nowMs } from "../src/core/clock.ts";
import {
  type CreateLimits,
  createLimitsFleet,
  WORKSPACE,
} from "./limits_fleet.ts";

const PLAN = { ratePerSecond: 50, burst: 40 };
const DEEP_PLAN = { ratePerSecond: 10, burst: 60 };
const HOSTS = 5;
const STEP_MS = 40;
const RUNS = 10;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Faulty scheme: each host applies the whole rate on its own. */
const createFullRatePerHost: CreateLimits = createBucketLimits(() => 1);
/** Faulty scheme: each host divides the rate by the hosts it sees alive. */
const createRateSplitByAlive: CreateLimits = createBucketLimits((alive) =>
  1 / alive
);

function createBucketLimits(getShare: (alive: number) => number): CreateLimits {
  return (_io, options) => {
    let used = 0;
    let updatedAt = nowMs();
    return {
      start() {},
      stop() {},
      setWaiting() {},
      ready: () => Promise.resolve(),
      receive: () => Promise.reject(new Error("no peers")),
      tryTake() {
        const share = getShare(options.countAlive());
        const perMs = PLAN.ratePerSecond / 1_000 * share;
        used = Math.max(0, used - perMs * (nowMs() - updatedAt));
        updatedAt = nowMs();
        if (used + 1 > PLAN.burst * share) {
          return undefined;
        }
        used++;
        return { isValid: () => true, settle() {} };
      },
    };
  };
}

type Fleet = ReturnType<typeof createLimitsFleet>;
type FaultKind =
  | "kill"
  | "restart"
  | "freeze"
  | "thaw"
  | "cut"
  | "isolate"
  | "heal"
  | "platform_down"
  | "platform_up"
  | "lose_answers";
interface Fault {
  readonly afterMs: number;
  readonly kind: FaultKind;
  readonly host: number;
  readonly other: number;
}

function applyFault(fleet: Fleet, fault: Fault): void {
  const name = fleet.hosts[fault.host]!.id;
  switch (fault.kind) {
    case "kill":
      return fleet.kill(fault.host);
    case "restart":
      return fleet.restart(fault.host);
    case "freeze":
      return fleet.freeze(fault.host);
    case "thaw":
      return fleet.thaw(fault.host);
    case "cut":
      return void fleet.partition(name, fleet.hosts[fault.other]!.id);
    case "isolate":
      return void fleet.partition(name, "platform");
    case "heal":
      return fleet.heal();
    case "platform_down":
      fleet.faults.isPlatformDown = true;
      return;
    case "platform_up":
      fleet.faults.isPlatformDown = false;
      fleet.faults.isPlatformLossy = false;
      return;
    case "lose_answers":
      fleet.faults.isPlatformLossy = true;
      return;
  }
}

/** Lets every host send as many statements as it may for `ms` milliseconds. */
async function flood(fleet: Fleet, ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
    fleet.hosts.forEach((host, index) => {
      if (host.state === "running") {
        host.limits.setWaiting(fleet, { workspace: WORKSPACE, count: 10 });
        while (fleet.trySendStatement(index));
      }
    });
    await vi.advanceTimersByTimeAsync(STEP_MS);
    expectSeatsDisjoint(fleet);
  }
}

/** Checks that no two processes hold the same seat at the same time. */
function expectSeatsDisjoint(fleet: Fleet): void {
  const seats = fleet.hosts
    .filter((host) => host.state !== "dead")
    .flatMap((host) => host.limits.listSeats?.() ?? []);
  expect(seats.length).toBe(new Set(seats).size);
}

async function findWorstWindowUnder(
  faults: readonly Fault[],
  options: {
    readonly seed: number;
    readonly plan?: typeof PLAN;
    readonly create?: CreateLimits;
  },
) {
  const { plan = PLAN } = options;
  const fleet = createLimitsFleet({ hosts: HOSTS, ...options, plan });
  await flood(fleet, 4_000);
  for (const fault of faults) {
    applyFault(fleet, fault);
    await flood(fleet, fault.afterMs);
  }
  fleet.heal();
  fleet.faults.isPlatformDown = false;
  fleet.hosts.forEach((_, index) => fleet.thaw(index));
  await flood(fleet, 3_000);
  fleet.stop();
  return findWorstWindow(fleet.executedStatements.map((s) => s.ranAt), plan);
}

const faultArb = fc.record({
  afterMs: fc.constantFrom(100, 400, 900, 2_000, 6_000),
  kind: fc.constantFrom<FaultKind>(
    "kill",
    "restart",
    "freeze",
    "thaw",
    "cut",
    "isolate",
    "heal",
    "platform_down",
    "platform_up",
    "lose_answers",
  ),
  host: fc.nat(HOSTS - 1),
  other: fc.nat(HOSTS - 1),
});

async function checkBound(
  options: { readonly plan?: typeof PLAN; readonly create?: CreateLimits } = {},
): Promise<void> {
  await fc.assert(
    fc.asyncProperty(
      fc.array(faultArb, { maxLength: 8 }),
      fc.nat(1_000),
      async (faults, seed) => {
        const worst = await findWorstWindowUnder(faults, { seed, ...options });
        expect(worst.excess).toBeLessThanOrEqual(1e-6);
      },
    ),
    { numRuns: RUNS, seed: 5, endOnFailure: true },
  );
}

test("the checker finds the worst window", () => {
  const limit = { ratePerSecond: 10, burst: 3 };
  expect(findWorstWindow([0, 0, 0, 100], limit).excess).toBe(0);
  expect(findWorstWindow([0, 1_000, 1_000, 1_000, 1_000, 5_000], limit))
    .toEqual({ from: 1_000, to: 1_000, ran: 4, excess: 1 });
});

test("no sequence of faults lets a workspace exceed its rate", async () => {
  await checkBound();
}, 120_000);

test("no sequence of faults lets a deep bucket be spent twice", async () => {
  await checkBound({ plan: DEEP_PLAN });
}, 120_000);

test("the bound fails when each host has the whole rate", async () => {
  await expect(checkBound({ create: createFullRatePerHost })).rejects.toThrow(
    /Property failed/,
  );
});

test("the bound fails when hosts divide the rate by the hosts they see", async () => {
  await expect(checkBound({ create: createRateSplitByAlive })).rejects.toThrow(
    /Property failed/,
  );
});

async function measureRate(
  faults: readonly Fault[],
  ms: number,
): Promise<number> {
  const fleet = createLimitsFleet({ hosts: HOSTS, plan: PLAN, seed: 1 });
  await flood(fleet, 8_000);
  for (const fault of faults) {
    applyFault(fleet, fault);
    await flood(fleet, fault.afterMs);
  }
  const countBefore = fleet.executedStatements.length;
  await flood(fleet, ms);
  fleet.stop();
  return (fleet.executedStatements.length - countBefore) / ms * 1_000;
}

test("a flood gets the whole rate of its plan", async () => {
  expect(await measureRate([], 10_000)).toBeGreaterThan(0.99 * 50);
});

test("the whole rate is served while the platform is down", async () => {
  const down = { kind: "platform_down", afterMs: 30_000, host: 0, other: 0 };
  expect(await measureRate([down as Fault], 10_000)).toBeGreaterThan(0.99 * 50);
});

test("the seats of a dead host are taken over", async () => {
  const kill = { kind: "kill", afterMs: 9_000, host: 0, other: 0 };
  expect(await measureRate([kill as Fault], 10_000)).toBeGreaterThan(0.99 * 50);
});

const LASTING_FAULT: Omit<Fault, "kind"> = {
  afterMs: 20_000,
  host: 0,
  other: 0,
};

test("a seat is not taken from a holder that peers confirm", async () => {
  for (let host = 0; host < HOSTS; host++) {
    const faults = [
      { ...LASTING_FAULT, afterMs: 7_000, kind: "isolate" as const, host },
      // The fair seat count per remaining host rises, so they look for seats.
      {
        ...LASTING_FAULT,
        afterMs: 8_000,
        kind: "kill" as const,
        host: (host + 1) % HOSTS,
      },
    ];
    const worst = await findWorstWindowUnder(faults, { seed: 2 });
    expect(worst.excess).toBeLessThanOrEqual(1e-6);
  }
}, 60_000);

test("two owners never grant more than the limit", async () => {
  const cuts = [1, 2, 3, 4].map((other) => ({
    ...LASTING_FAULT,
    afterMs: other === 4 ? 8_000 : 0,
    kind: "cut" as const,
    other,
  }));
  const worst = await findWorstWindowUnder(cuts, { seed: 3 });
  expect(worst.excess).toBeLessThanOrEqual(1e-6);
}, 60_000);

test("a resumed host does not send with expired rate-limit tokens", async () => {
  const fleet = createLimitsFleet({ hosts: HOSTS, plan: PLAN, seed: 4 });
  for (let count = 0; count < 100; count++) {
    fleet.trySendStatement(0);
    fleet.hosts[0]!.limits.setWaiting(fleet, {
      workspace: WORKSPACE,
      count: count < 99 ? 1 : 3,
    });
    await vi.advanceTimersByTimeAsync(30);
  }
  fleet.freeze(0);
  const countBeforeFreeze = fleet.executedStatements.length;
  await vi.advanceTimersByTimeAsync(2_000);
  const countAfterFreeze = fleet.executedStatements.length;
  fleet.thaw(0);
  await vi.advanceTimersByTimeAsync(60);
  fleet.stop();
  expect({
    inFlight: countAfterFreeze - countBeforeFreeze <= 2,
    afterThaw: fleet.executedStatements.length,
  })
    .toEqual({ inFlight: true, afterThaw: countAfterFreeze });
});
