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
const WINDOW_MS = 1_000;

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
  const request = createBudget(REQUEST_LINES_PER_S);
  const info = createBudget(INFO_LINES_PER_S);
  let dropped = 0;

  function drop(reason: string): void {
    dropped++;
    options.metrics.count("log_lines_dropped_total", { reason });
  }

  function write(event: string, fields: LogFields): void {
    if (dropped > 0) {
      logger.info({ ...fields, droppedBefore: dropped }, event);
      dropped = 0;
      return;
    }
    logger.info(fields, event);
  }

  return {
    info: (event, fields) =>
      info.tryTake() ? write(event, fields) : drop("info"),
    request: (event, fields) =>
      request.tryTake() ? write(event, fields) : drop("request"),
    flush: () => destination.flush(),
  };
}

/** Lines that may still be written in the current window. */
function createBudget(linesPerS: number): { tryTake(): boolean } {
  let windowAt = nowMs();
  let left = linesPerS;
  return {
    tryTake() {
      if (nowMs() - windowAt > WINDOW_MS) {
        windowAt = nowMs();
        left = linesPerS;
      }
      left--;
      return left >= 0;
    },
  };
}
