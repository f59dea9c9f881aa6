/** Pattern: log lines in batches, so that lines do not wake the process. */

import fs from "node:fs";
import { Buffer } from "node:buffer";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createLineLog, type LineLog } from "../src/host/line_log.ts";
import type { MetricsSink } from "../src/core/types.ts";

const METRICS = { count() {}, add() {}, observe() {}, set() {} };

let log: LineLog;
let writes: string[];
beforeEach(() => {
  vi.useFakeTimers();
  writes = [];
  vi.spyOn(fs, "write").mockImplementation(
    ((_fd: number, data: string, ...rest: unknown[]) => {
      writes.push(data);
      const done = rest.pop() as (err: null, bytes: number) => void;
      done(null, Buffer.byteLength(data));
    }) as unknown as typeof fs.write,
  );
  log = createLineLog({ host: "h1" }, {
    metrics: METRICS as unknown as MetricsSink,
  });
});
afterEach(() => {
  vi.restoreAllMocks();
  vi.useRealTimers();
});

test("the lines of a second are written a few times, in order", async () => {
  for (let n = 0; n < 40; n++) {
    log.request("read_answered", { n });
    await vi.advanceTimersByTimeAsync(25);
  }
  await vi.advanceTimersByTimeAsync(200);
  const lines = writes.join("").trim().split("\n").map((line) =>
    JSON.parse(line)
  );
  expect(lines.map(({ n }) => n)).toEqual([...Array(40).keys()]);
  // A line waits for 200 ms at most.
  expect(writes.length).toBeLessThanOrEqual(6);
});

test("a line is written without another one behind it", async () => {
  log.info("started", {});
  await vi.advanceTimersByTimeAsync(200);
  expect(writes.join("")).toContain("started");
});

test("a flush writes what is buffered", async () => {
  log.info("stopping", {});
  await log.flush(100);
  expect(writes.join("")).toContain("stopping");
});
