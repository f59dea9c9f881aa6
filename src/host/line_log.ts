/** Structured log lines on standard output, bounded and without blocking. */

import { pino } from "pino";
import { nowMs } from "../core/clock.ts";
import type { MetricsSink } from "../core/types.ts";
import type { LogFields, PoolLog } from "../pooling/types.ts";

/** Lines a second of served requests; they are left out first. */
const REQUEST_LINES_PER_S = 50;
/** Lines a second of everything else, failed requests included. */
const INFO_LINES_PER_S = 300;
/** Buffered bytes beyond which lines are dropped rather than kept. */
const MAX_BUFFER_BYTES = 1_048_576;
/** Time in which lines are counted, in milliseconds, as the limits say. */
const LIMIT_WINDOW_MS = 1_000;

/** A log that can be flushed before the process ends. */
export interface LineLog extends PoolLog {
  flush(): void;
}

/** Creates the log of this host; `bindings` stand in every line. */
export function createLineLog(
  bindings: LogFields,
  options: { readonly metrics: MetricsSink },
): LineLog {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    maxLength: MAX_BUFFER_BYTES,
  });
  destination.on("drop", () => drop("buffer_full"));
  const logger = pino({ base: bindings }, destination);
  const requestLimiter = createLineLimiter(REQUEST_LINES_PER_S);
  const infoLimiter = createLineLimiter(INFO_LINES_PER_S);
  let droppedCount = 0;

  function drop(reason: string): void {
    droppedCount++;
    options.metrics.count("log_lines_dropped_total", { reason });
  }

  function write(event: string, fields: LogFields): void {
    if (droppedCount > 0) {
      logger.info({ ...fields, droppedBefore: droppedCount }, event);
      droppedCount = 0;
      return;
    }
    logger.info(fields, event);
  }

  return {
    info: (event, fields) =>
      infoLimiter.tryTake() ? write(event, fields) : drop("info"),
    request: (event, fields) =>
      requestLimiter.tryTake() ? write(event, fields) : drop("request"),
    flush: () => destination.flush(),
  };
}

/** Lines that may still be written in the current window. */
function createLineLimiter(linesPerS: number): { tryTake(): boolean } {
  let windowStart = nowMs();
  let remaining = linesPerS;
  return {
    tryTake() {
      if (nowMs() - windowStart > LIMIT_WINDOW_MS) {
        windowStart = nowMs();
        remaining = linesPerS;
      }
      remaining--;
      return remaining >= 0;
    },
  };
}
