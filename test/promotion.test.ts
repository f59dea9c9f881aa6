import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { rankNodes } from "../src/core/hash.ts";
import type { GroupInfo } from "../src/core/types.ts";
import type { TargetNode } from "../standins/target_node.ts";
import {
  putFrame,
  resultOf,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";

let fleet: TestFleet;

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet();
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

/** Goal for the gap in service of a killed or cut primary. */
const GAP_GOAL_MS = 3_000;

/** The group that keeps the rows of the first workspace. */
function getGroup(): GroupInfo {
  const workspace = fleet.deployment.workspaces[0]!.workspace;
  const names = fleet.groups.map((group) => group.group);
  const first = rankNodes(workspace, names)[0];
  return fleet.groups.find((group) => group.group === first)!;
}

function listTargets(): TargetNode[] {
  return getGroup().targets.map((info) => fleet.getTarget(info.target));
}

function listPrimaries(): TargetNode[] {
  const all = listTargets().map((target) => target.core.status());
  const term = Math.max(...all.map((status) => status.term));
  return listTargets().filter((target) => {
    const status = target.core.status();
    return status.role === "primary" && status.term === term;
  });
}

/** Time until a write is answered as done. */
async function measureWrite(host: string, key: string): Promise<number> {
  const startedAt = Date.now();
  const session = fleet.open(host);
  resultOf(await settle(session.request(putFrame(key, "placed"))));
  return Date.now() - startedAt;
}

test("a cut primary is replaced and rejoins as a replica", async () => {
  const [old] = listTargets();
  await measureWrite("h1", "before");
  old!.faults = { cutFrom: ["*"] };
  expect(await measureWrite("h1", "after")).toBeLessThan(GAP_GOAL_MS);
  const [primary] = listPrimaries();
  expect(primary).not.toBe(old);
  old!.faults = {};
  await vi.advanceTimersByTimeAsync(2_000);
  expect(old!.core.status()).toMatchObject({
    role: "replica",
    following: primary!.core.status().target,
    logEnd: primary!.core.status().logEnd,
  });
});
