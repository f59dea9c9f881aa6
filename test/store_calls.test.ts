/** Failure: calls to the store that grow with the number of hosts. */

import { afterEach, expect, test, vi } from "vitest";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";

/** Priced calls of 76 hosts in 50 s, start included, that are the goal. */
const GOAL_CALLS = 1_000;
const GOAL_HOSTS = 76;
const RUN_MS = 50_000;
/** Time for which `startPoolFleet` runs before it returns. */
const START_MS = 4_000;
/** Price of a call with `staleOk`, in calls. */
const LATE_PRICE = 0.1;

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Priced calls to the store whose name begins like this. */
function getPrice(name = ""): number {
  return [...fleet.counters]
    .filter(([key]) => key.startsWith(`store_calls_total ${name}`))
    .reduce(
      (sum, [key, count]) =>
        sum + count * (key.endsWith(" late") ? LATE_PRICE : 1),
      0,
    );
}

async function startDomains(count: number, hosts: number): Promise<void> {
  const domains = Array.from(
    { length: hosts },
    (_, index) => `d${1 + index % count}`,
  );
  fleet = await startPoolFleet({ hosts, domains });
}

// Heartbeats are as many in smaller fleets, so no smaller one stands for it.
test("calls of a large fleet in 50 s, start included", async () => {
  await startDomains(6, GOAL_HOSTS);
  await vi.advanceTimersByTimeAsync(RUN_MS - START_MS);
  expect(getPrice()).toBeLessThan(GOAL_CALLS);
});

test("watches at rest cost the same with twice the hosts", async () => {
  const prices: number[] = [];
  for (const hosts of [12, 24]) {
    fleet?.stop();
    await startDomains(2, hosts);
    await vi.advanceTimersByTimeAsync(10_000);
    const before = getPrice("watch configuration") +
      getPrice("watch targets");
    await vi.advanceTimersByTimeAsync(20_000);
    prices.push(
      getPrice("watch configuration") + getPrice("watch targets") - before,
    );
  }
  expect(prices[1]).toBeLessThanOrEqual(prices[0]! + 2);
});
