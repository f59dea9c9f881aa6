/**
 * Patterns: a whole fleet is killed and returns, under its old names or new
 * ones, while the store serves all of its hosts or only one; leases that end
 * soon after their holder; a store that is reached through a peer.
 */

import { afterEach, expect, test, vi } from "vitest";
import { asId } from "../src/core/ids.ts";
import type { Statement } from "../src/pooling/types.ts";
import {
  getOutcome,
  type PoolFleet,
  type PoolFleetOptions,
  startPoolFleet,
} from "./pool_fleet.ts";

/** Time within which service is back, in milliseconds. */
const RECOVERY_MS = 12_000;
/** Least fraction of the statements that must be served after that. */
const MIN_SERVED = 0.9;
const RATE_PER_S = 200;
/** Statements a second that clients send; within the quota. */
const SENT_PER_S = 120;
const MEASURED_MS = 4_000;
/** More than the quota. */
const OVERLOAD_PER_S = 400;
/** Time for which killed hosts are down, in milliseconds. */
const DOWN_MS = 3_000;
const QUOTA_WINDOW_MS = 5_000;
/** Rate and burst in a window, with the tolerance of the fleet's hosts. */
const QUOTA_BOUND = (RATE_PER_S * 5 + RATE_PER_S) * 1.1 + 20;
const READ: Statement = { kind: "run", access: "read", text: "READ k" };

let fleet: PoolFleet;

afterEach(() => fleet.stop());

function startFleet(options: PoolFleetOptions): Promise<PoolFleet> {
  return startPoolFleet({ ratePerS: RATE_PER_S, ...options });
}

/**
 * Sends statements to the ready hosts in turn, as a balancer does; returns the
 * times at which one was admitted, and how many were sent.
 */
async function sendStatements(ms: number, perS: number = SENT_PER_S) {
  const admittedAt: number[] = [];
  const outcomes: string[] = [];
  let turn = 0;
  const sent = (ms / 1_000) * perS;
  for (let n = 0; n < sent; n++) {
    const ready = fleet.listRunning().filter((pooler) => pooler.isReady());
    const pooler = ready[turn++ % ready.length];
    pooler?.openSession({ database: asId("accounts"), key: "key1" }).map(
      (session) =>
        void session.execute(asId(`r${n}`), READ).then((answer) => {
          outcomes.push(getOutcome(answer));
          if (getOutcome(answer) === "done") {
            admittedAt.push(Date.now());
          }
          pooler.closeSession(session);
        }),
    );
    await vi.advanceTimersByTimeAsync(1_000 / perS);
  }
  return { admittedAt, outcomes, sent };
}

async function measureServed(): Promise<number> {
  const { admittedAt, sent } = await sendStatements(MEASURED_MS);
  return admittedAt.length / sent;
}

function listHosts(): number[] {
  return [...fleet.poolers.keys()];
}

// Guards against hosts that can learn the configuration, the targets and their
// shares only from a store that turns them away, though a peer has them.
test("hosts that the store turns away return through one that it serves", async () => {
  fleet = await startFleet({ hosts: 7, maxConnections: 21 });
  await sendStatements(4_000);
  listHosts().forEach(fleet.killHost);
  listHosts().filter((host) => host !== 3).forEach((host) =>
    fleet.hostsWithoutStore.add(`h${host}`)
  );
  listHosts().forEach(fleet.restartHost);
  await sendStatements(RECOVERY_MS);
  expect(fleet.poolers.map((pooler) => pooler.isReady()))
    .toEqual(Array(7).fill(true));
  expect(await measureServed()).toBeGreaterThanOrEqual(MIN_SERVED);
});

// Guards against quota shares that stay with hosts which are gone for longer
// than a fleet has to recover.
test.each([3, 9])(
  "hosts under new names serve what the hosts that are gone did, %i each",
  async (hosts) => {
    fleet = await startFleet({ hosts, maxConnections: 8 * hosts });
    await sendStatements(4_000);
    const gone = listHosts();
    gone.forEach(fleet.killHost);
    gone.forEach(fleet.startHost);
    await sendStatements(RECOVERY_MS);
    expect(await measureServed()).toBeGreaterThanOrEqual(MIN_SERVED);
  },
);

// Guards against a remainder that each expired host keeps, computed from the
// hosts that are left, so that a single one could reclaim nothing.
test("the only host that returns serves what the whole fleet did", async () => {
  fleet = await startFleet({ hosts: 7, maxConnections: 21 });
  await sendStatements(4_000);
  listHosts().forEach(fleet.killHost);
  fleet.restartHost(3);
  await sendStatements(RECOVERY_MS);
  expect(await measureServed()).toBeGreaterThanOrEqual(MIN_SERVED);
});

const RETURN_CASES = ["old", "new"].flatMap((names) =>
  [0, 1, 6].map((away) => ({ names, away }))
);

// Guards against a return that serves only under old names, or only if the
// store serves most hosts, and against shares that two hosts use meanwhile.
test.each(RETURN_CASES)(
  "seven hosts return under $names names, of which the store turns $away away",
  async ({ names, away }) => {
    fleet = await startFleet({ hosts: 7, maxConnections: 60 });
    const before = await sendStatements(4_000, OVERLOAD_PER_S);
    const gone = listHosts();
    gone.forEach(fleet.killHost);
    await vi.advanceTimersByTimeAsync(DOWN_MS);
    const returning = gone.map((host) => names === "old" ? host : host + 7);
    returning.slice(0, away).forEach((host) =>
      fleet.hostsWithoutStore.add(`h${host}`)
    );
    returning.forEach(names === "old" ? fleet.restartHost : fleet.startHost);
    const during = await sendStatements(RECOVERY_MS, OVERLOAD_PER_S);
    const after = await sendStatements(MEASURED_MS, OVERLOAD_PER_S);
    const admittedAt = [before, during, after].flatMap((sent) =>
      sent.admittedAt
    );
    expect(getHighestCount(admittedAt)).toBeLessThanOrEqual(QUOTA_BOUND);
    await sendStatements(MEASURED_MS);
    expect(await measureServed()).toBeGreaterThanOrEqual(MIN_SERVED);
  },
);

/** Returns the highest number of times within one window of the quota. */
function getHighestCount(times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b);
  let first = 0;
  return sorted.reduce((highest, time, index) => {
    while (sorted[first]! <= time - QUOTA_WINDOW_MS) {
      first++;
    }
    return Math.max(highest, index - first + 1);
  }, 0);
}
