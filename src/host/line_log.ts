/** Writes rate-limited, structured log lines to stdout without blocking. */

import { pino } from "pino";
import { nowMs, withTimeout } from "../core/clock.ts";
import type { MetricsSink } from "../core/types.ts";
import type { LogFields, PoolLog } from "../pooling/types.ts";

/** Limit for lines about served requests, which are dropped first. */
const REQUEST_LINES_PER_S = 50;
/** Limit for all other lines, including failed requests. */
const INFO_LINES_PER_S = 300;
/** Limit on buffered output, beyond which lines are dropped. */
const MAX_BUFFER_BYTES = 1_048_576;
/** Window in which lines are counted; the limits are per second. */
const LIMIT_WINDOW_MS = 1_000;

/** Log that can be flushed before the process exits. */
export interface LineLog extends PoolLog {
  /** Resolves once the buffered lines are written, or after `timeoutMs`. */
  flush(timeoutMs: number): Promise<void>;
  /** Writes the buffered lines while the process ends on an exception. */
  flushSync(): void;
}

/** Creates the log of this host; every line contains `bindings`. */
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
    flush: (timeoutMs) =>
      withTimeout(
        new Promise<void>((resolve) => destination.flush(() => resolve())),
        { ms: timeoutMs, fallback: undefined },
      ),
    flushSync: () => destination.flushSync(),
  };
}

/** Limits the number of lines in each window. */
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
