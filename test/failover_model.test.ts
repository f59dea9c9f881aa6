import { describe, expect, test } from "vitest";
import { exploreFailover } from "../tools/failover_model/explore.ts";
import {
  FAILOVER_VARIANTS,
  PARTITION,
  SMALL_BOUNDS,
  TWO_HOLDERS,
} from "../tools/failover_model/variants.ts";

describe("the model of the failover", () => {
  test.each([
    { name: "one holder", bounds: SMALL_BOUNDS, states: 6_186 },
    {
      name: "a lost pause",
      bounds: { ...SMALL_BOUNDS, restarts: 1 },
      states: 29_240,
    },
    {
      name: "a copy that leaves",
      bounds: { ...SMALL_BOUNDS, fault: "departure" as const },
      states: 30_466,
    },
    { name: "a partition", bounds: PARTITION, states: 16_246 },
    {
      name: "a silent replica",
      bounds: { ...SMALL_BOUNDS, fault: "silence" as const },
      states: 29_965,
    },
    { name: "two holders", bounds: TWO_HOLDERS, states: 22_587 },
    {
      name: "two holders, and hosts reach the old primary again",
      bounds: { ...TWO_HOLDERS, fault: "reach_returns" as const },
      states: 58_246,
    },
  ])("keeps acknowledged commits in every order of steps: $name", (
    { bounds, states },
  ) => {
    expect(exploreFailover(bounds)).toEqual({
      states,
      isComplete: true,
      violation: undefined,
      steps: [],
    });
  });

  test.each(FAILOVER_VARIANTS)("catches: $name", (variant) => {
    const { bounds, procedure, control, violation } = variant;
    const caught = exploreFailover(bounds, variant);
    expect(caught.violation).toBe(violation);
    expect(caught.steps.length).toBeGreaterThan(0);
    if (control) {
      const { isComplete, steps } = exploreFailover(control.bounds ?? bounds, {
        procedure: control.procedure ?? procedure,
      });
      expect({ isComplete, steps }).toEqual({ isComplete: true, steps: [] });
    }
  });
});
