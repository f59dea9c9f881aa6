import { expect, test } from "vitest";
import { getBackoffMs } from "../src/core/retry_delay.ts";

test("a backoff doubles with each failure up to its bound", () => {
  const bounds = { minMs: 100, maxMs: 750 };
  const delays = [0, 1, 2, 3, 4, 5_000].map((failures) =>
    getBackoffMs(failures, bounds)
  );
  expect(delays).toEqual([100, 200, 400, 750, 750, 750]);
});
