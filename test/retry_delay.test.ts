import { expect, test } from "vitest";
import { getBackoffMs, getRetryAfterMs } from "../src/core/retry_delay.ts";

test("a backoff doubles with each failure up to its bound", () => {
  const bounds = { minMs: 100, maxMs: 750 };
  const delays = [0, 1, 2, 3, 4, 5_000].map((failures) =>
    getBackoffMs(failures, bounds)
  );
  expect(delays).toEqual([100, 200, 400, 750, 750, 750]);
});

test("refused callers are told their wait within bounds, up to half longer", () => {
  const bounds = { minMs: 30, maxMs: 5_000 };
  const getDelays = (random: number) =>
    [0, 100, 101, Infinity].map((waitMs) =>
      getRetryAfterMs(waitMs, { ...bounds, random })
    );
  expect(getDelays(0)).toEqual([30, 100, 101, 5_000]);
  expect(getDelays(0.5)).toEqual([38, 125, 127, 6_250]);
});
