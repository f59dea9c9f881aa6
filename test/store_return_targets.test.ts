import { afterEach, expect, test, vi } from "vitest";
import type { ObjectKey } from "../src/core/ids.ts";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

let fleet: PoolFleet;
afterEach(() => fleet.stop());

function countLines(event: string, target?: string): number {
  return fleet.logLines.filter((line) =>
    line.event === event &&
    (target === undefined || line.fields.target === target)
  ).length;
}

/** Returns the store to a copy; some external objects are not written again. */
function returnWithout(
  copy: ReturnType<PoolFleet["store"]["takeCopy"]>,
  isLost: (key: ObjectKey) => boolean,
): void {
  fleet.store.returnTo(copy, {
    isExternal: (key) =>
      !key.startsWith("turmericchute-fleet/") && !isLost(key),
  });
}

// Guards against a target that is dropped because its entry is missing until
// the target has written it again.
test("a target whose entry is missing for a moment after a return stays in use", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  const session = fleet.openSession("orders");
  const entry = fleet.store.get("targets/t1" as ObjectKey);
  fleet.store.remove(entry.key);
  const copy = fleet.store.takeCopy();
  fleet.register("t1");
  await vi.advanceTimersByTimeAsync(5_000);
  fleet.logLines.length = 0;
  returnWithout(copy, (key) => key === entry.key);
  await vi.advanceTimersByTimeAsync(1_500);
  expect(getOutcome(await run(session, "WRITE k 1"))).toBe("done");
  fleet.register("t1");
  await vi.advanceTimersByTimeAsync(5_000);
  expect(countLines("target_gone")).toBe(0);
});

test("a target whose entry stays missing after a return is gone", async () => {
  fleet = await startPoolFleet();
  fleet.store.remove("targets/t3" as ObjectKey);
  const copy = fleet.store.takeCopy();
  fleet.register("t3");
  await vi.advanceTimersByTimeAsync(5_000);
  fleet.logLines.length = 0;
  returnWithout(copy, (key) => key.startsWith("targets/t3"));
  await vi.advanceTimersByTimeAsync(2_100);
  expect(countLines("target_gone", "t3")).toBe(0);
  await vi.advanceTimersByTimeAsync(500);
  expect(countLines("target_gone", "t3")).toBe(1);
});

// Guards against new work for a target that has reported that it is leaving.
test("a restored entry does not undo what a target has reported since", async () => {
  fleet = await startPoolFleet();
  fleet.register("t3", { incarnation: 7, seq: 1 });
  await vi.advanceTimersByTimeAsync(1_000);
  const copy = fleet.store.takeCopy();
  fleet.logLines.length = 0;
  const listDraining = () =>
    fleet.logLines.filter(({ event, fields }) =>
      event === "target_changed" && fields.target === "t3"
    ).map(({ fields }) => fields.isDraining);
  fleet.register("t3", { incarnation: 7, seq: 2, isDraining: true });
  await vi.advanceTimersByTimeAsync(1_000);
  expect(listDraining()).toEqual([true]);
  returnWithout(copy, (key) => key === "targets/t3");
  await vi.advanceTimersByTimeAsync(5_000);
  expect(fleet.store.get("targets/t3" as ObjectKey).value)
    .toMatchObject({ seq: 1, isDraining: false });
  expect(listDraining()).toEqual([true]);
  // Its next process is another matter, and its numbers start anew.
  fleet.register("t3", { incarnation: 8, seq: 1 });
  await vi.advanceTimersByTimeAsync(1_000);
  expect(listDraining()).toEqual([true, false]);
});

// Guards against a deposed primary that is taken for primary again.
test("a restored entry does not undo a change of role", async () => {
  fleet = await startPoolFleet();
  fleet.register("t1", { incarnation: 7, seq: 1, role: "primary" });
  fleet.register("t2", { incarnation: 7, seq: 1, role: "replica" });
  await vi.advanceTimersByTimeAsync(1_000);
  const copy = fleet.store.takeCopy();
  fleet.register("t1", { incarnation: 7, seq: 2, role: "replica" });
  fleet.register("t2", { incarnation: 7, seq: 2, role: "primary" });
  await vi.advanceTimersByTimeAsync(1_000);
  fleet.logLines.length = 0;
  returnWithout(copy, (key) => key.startsWith("targets/"));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(countLines("target_changed")).toBe(0);
  expect(countLines("primary_believed")).toBe(0);
});

test("an older configuration from a return brings no key back", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  const copy = fleet.store.takeCopy();
  fleet.setCatalog({ workspaceByKey: new Map([["key2", "w1" as never]]) });
  await vi.advanceTimersByTimeAsync(1_000);
  returnWithout(copy, (key) => key === "catalog/main");
  await vi.advanceTimersByTimeAsync(5_000);
  for (const pooler of fleet.poolers) {
    const open = (key: string) =>
      pooler.openSession({ database: "orders" as never, key });
    expect(open("key1").isErr()).toBe(true);
    expect(open("key2").isOk()).toBe(true);
  }
  // A newer one is applied, although its revision was given out before.
  fleet.setCatalog();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(fleet.openSession("orders", 1)).toBeDefined();
});
