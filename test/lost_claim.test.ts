/** Failovers whose claim in the store is accepted without an answer. */

import { afterEach, expect, test, vi } from "vitest";
import { asId } from "../src/core/ids.ts";
import { getFailoverLeaseKey } from "../src/pooling/fleet.ts";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

/** Time within which a change of primary is to be over, from CONTRIBUTING.md. */
const FAILOVER_TIME_MS = 7_000;
const STEP_MS = 50;
const LEASE_KEY = getFailoverLeaseKey(asId("ledger"));

let fleet: PoolFleet;
afterEach(() => fleet.stop());

function listLines(event: string) {
  return fleet.logLines.filter((line) => line.event === event);
}

/**
 * Makes the primary unresponsive and loses the answers to the first writes of
 * the lease; returns the time until another target leads.
 */
async function replacePrimary(lostAnswers: number): Promise<number> {
  const [old] = fleet.group.targets;
  let left = lostAnswers;
  fleet.storeFaults.isAnswerLost = (_host, key) =>
    key === LEASE_KEY && left-- > 0;
  old!.faults.isUnresponsive = true;
  let elapsedMs = 0;
  while (
    !fleet.group.targets.some((target) =>
      target !== old && target.role === "primary"
    )
  ) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
    elapsedMs += STEP_MS;
    expect(elapsedMs).toBeLessThan(60_000);
  }
  return elapsedMs;
}

test.each([[3, 1], [3, 2], [9, 1]])(
  "with %i hosts and %i lost answers to claims no token is ordered under twice, and the failover ends",
  async (hosts, lostAnswers) => {
    fleet = await startPoolFleet({ hosts });
    await replacePrimary(lostAnswers);
    expect(listLines("failover_not_claimed")).toHaveLength(lostAnswers);
    const tokens = listLines("promotion_ordered")
      .map(({ fields }) => fields.fencingToken);
    expect(tokens).toEqual([...new Set(tokens)]);
    fleet.register("t2", { role: "primary" });
    await vi.advanceTimersByTimeAsync(3_000);
    const session = fleet.openSession("orders");
    expect(getOutcome(await run(session, "WRITE k 1"))).toBe("done");
  },
);

test("a failover whose claim got no answer is over in time", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  expect(await replacePrimary(1)).toBeLessThanOrEqual(FAILOVER_TIME_MS);
});
