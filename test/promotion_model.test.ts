import { describe, expect, test } from "vitest";
import { explore } from "../tools/model.ts";
import { VARIANTS } from "../tools/model_variants.ts";

describe("the model of a group", () => {
  test("keeps acknowledged writes in every order of steps", () => {
    const bounds = {
      targets: 3,
      coordinators: 2,
      writes: 1,
      maxTerm: 2,
      maxStates: 100_000,
    };
    expect(explore(bounds)).toEqual({
      states: 2_365,
      isComplete: true,
      violation: undefined,
    });
  });

  test.each(VARIANTS)("catches: $name", ({ bounds, decisions }) => {
    expect(explore(bounds, decisions).violation).toBeDefined();
  });
});
