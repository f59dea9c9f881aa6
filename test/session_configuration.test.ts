/** Sessions that go on while the configuration changes. */

import { afterEach, expect, test, vi } from "vitest";
import { asId } from "../src/core/ids.ts";
import type { Session } from "../src/pooling/session.ts";
import type { Route } from "../src/pooling/types.ts";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

/** Time for a new configuration to reach the hosts, in milliseconds. */
const IN_FORCE_MS = 100;
const LAG_MS = 1_300;

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Leads the route of a database to a service; the fleet has `ledger` only. */
async function lead(database: string, service: string): Promise<void> {
  const route: Route = {
    database: asId(database),
    service: asId(service),
    consistency: { kind: "session", maxStaleMs: 2_500 },
    statementTimeoutMs: 1_000,
    objectiveMs: 1_000,
    priority: 1,
    isPublic: false,
  };
  fleet.setCatalog({ routes: new Map([[route.database, route]]) });
  await vi.advanceTimersByTimeAsync(IN_FORCE_MS);
}

/** Position that the run of a statement had to see, by its id. */
function tryPositionOf(id: string) {
  return fleet.group.runs.find((ran) => ran.id === id)?.position;
}

async function write(session: Session, texts: readonly string[]) {
  for (const text of texts) {
    expect(getOutcome(await run(session, text))).toBe("done");
  }
}

// Guards against a read floor that is dropped when a route leads elsewhere: the
// next read on the service misses the session's own commit.
test.each([
  { title: "a write", texts: ["WRITE k 1"], readsAway: true },
  {
    title: "a write, and no statement meanwhile",
    texts: ["WRITE k 1"],
    readsAway: false,
  },
  {
    title: "a transaction",
    texts: ["BEGIN", "WRITE k 1", "COMMIT"],
    readsAway: true,
  },
])(
  "a session reads its own commit after its route led to another service: $title",
  async ({ texts, readsAway }) => {
    fleet = await startPoolFleet({ hosts: 3, group: { lagMs: LAG_MS } });
    await lead("accounts", "ledger");
    const session = fleet.openSession("accounts", 2);
    await write(session, texts);
    const { position } = fleet.getTarget("t1").log.at(-1)!;
    await lead("accounts", "archive");
    if (readsAway) {
      expect(getOutcome(await run(session, "READ k"))).not.toBe("done");
    }
    await lead("accounts", "ledger");
    const answer = await run(session, "READ k", { id: "r-back" });
    expect(getOutcome(answer)).toBe("done");
    expect(tryPositionOf("r-back")).toEqual(position);
  },
);
