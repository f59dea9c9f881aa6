import { expect, test } from "vitest";
import { STABLE_MS } from "../tools/soak/bounds.ts";
import { type Fault, planFaults } from "../tools/soak/schedule.ts";

const PLANNED: readonly Fault["kind"][] = [
  "stop",
  "reload",
  "configure",
  "split",
];

function plan(seed: number) {
  return planFaults({
    seed,
    durationMs: 120_000,
    hosts: 5,
    groups: 3,
    targetsPerGroup: 3,
  });
}

test("a seed gives the same faults each time, and another seed other ones", () => {
  expect(plan(1)).toEqual(plan(1));
  expect(plan(1)).not.toEqual(plan(2));
});

test("stops happen with no disruption for as long as lost answers need", () => {
  for (let seed = 1; seed <= 50; seed++) {
    const faults = plan(seed);
    const disruptedAt = faults
      .filter(({ fault }) => !PLANNED.includes(fault.kind))
      .map(({ atMs, fault }) => atMs + ("ms" in fault ? fault.ms : 0));
    const calmStops = faults.filter(({ atMs, fault }) =>
      fault.kind === "stop" &&
      !disruptedAt.some((at) => at > atMs - STABLE_MS && at < atMs + STABLE_MS)
    );
    expect(calmStops.length).toBeGreaterThanOrEqual(2);
  }
});

test("every kind of fault is drawn", () => {
  const kinds = new Set<string>();
  for (let seed = 1; seed <= 50; seed++) {
    plan(seed).forEach(({ fault }) => kinds.add(fault.kind));
  }
  expect([...kinds].sort()).toMatchInlineSnapshot(`
    [
      "configure",
      "freeze",
      "kill",
      "link",
      "primary_dark",
      "reload",
      "split",
      "stop",
      "store_down",
      "store_slow",
      "target",
    ]
  `);
});
