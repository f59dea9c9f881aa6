/** Pattern: the store loses the registrations of live targets in an outage. */

import { afterEach, expect, test, vi } from "vitest";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

let fleet: PoolFleet;
afterEach(() => fleet.stop());

// A watch that waits longer than the outage returns the lapses as if the store
// had always answered.
test("targets whose registrations lapse together are used until they renew", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("orders");
  fleet.deregister(...["t1", "t2", "t3"]);
  await vi.advanceTimersByTimeAsync(500);
  expect(getOutcome(await run(session, "WRITE k 1"))).toBe("done");
  ["t1", "t2", "t3"].forEach((id) => fleet.register(id));
  await vi.advanceTimersByTimeAsync(5_000);
  expect(getOutcome(await run(session, "WRITE k 2"))).toBe("done");
});

test("targets that do not renew their registrations are gone after the grace", async () => {
  fleet = await startPoolFleet();
  const session = fleet.openSession("orders");
  fleet.deregister(...["t1", "t2", "t3"]);
  await vi.advanceTimersByTimeAsync(2_500);
  expect(getOutcome(await run(session, "WRITE k 1"))).not.toBe("done");
});
