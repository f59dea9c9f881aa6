import { expect, test } from "vitest";
import { moveAverage } from "../src/core/moving_average.ts";

test("an average moves toward each sample by the weight of the sample", () => {
  const moved = moveAverage(40, { sample: 80, weight: 0.25 });
  expect(moved).toBe(50);
  expect(moveAverage(moved, { sample: 10, weight: 0.25 })).toBe(40);
  expect(moveAverage(40, { sample: 40, weight: 0.25 })).toBe(40);
});
