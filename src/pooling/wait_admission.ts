/**
 * Admission at the entry host by the waits that holders expect: a statement
 * that would probably not get a slot in time is refused before it is forwarded
 * and before it uses a token of its quota.
 */

import { getRetryAfterMs } from "../core/retry_delay.ts";
import type { AgedWait } from "./wait_reports.ts";

/**
 * Fraction of the statements that are admitted whatever the expected wait: their
 * replies bring new reports. Without them, all hosts would refuse until the
 * report is too old, and then all admit at once.
 */
const MIN_ADMITTED_FRACTION = 0.1;
/** Bounds of the retry delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 25;
const MAX_RETRY_AFTER_MS = 5_000;
/**
 * Factor on the retry delay for each step of priority, so that the statements of
 * higher priorities come back first.
 */
const PRIORITY_DELAY_FACTOR = 1.5;

/** Decision on a statement. */
export type WaitDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly wait: AgedWait };

/**
 * Decides on a statement from the expected wait at each target that could run
 * it; undefined where no recent report is known. Of the statements that expect
 * to wait `n` times as long as they may, each host refuses all but one in `n` at
 * random, so that hosts with the same report together admit what can be served.
 */
export function decideByWait(
  waits: readonly (AgedWait | undefined)[],
  options: {
    /** Time for which the statement may wait, in milliseconds. */
    readonly leftMs: number;
    random(): number;
  },
): WaitDecision {
  let shortest: AgedWait | undefined;
  for (const wait of waits) {
    if (!wait) {
      return { kind: "admitted" };
    }
    shortest = !shortest || wait.waitMs < shortest.waitMs ? wait : shortest;
  }
  if (!shortest || shortest.waitMs <= options.leftMs) {
    return { kind: "admitted" };
  }
  const admittedFraction = Math.max(
    MIN_ADMITTED_FRACTION,
    options.leftMs / shortest.waitMs,
  );
  return options.random() < admittedFraction
    ? { kind: "admitted" }
    : { kind: "refused", wait: shortest };
}

/**
 * Returns the retry delay of a refused statement: the time by which its expected
 * wait exceeds what it may wait, longer for lower priorities. Returns are spread
 * over as long as the delay.
 */
export function getWaitRetryAfterMs(options: {
  readonly waitMs: number;
  readonly leftMs: number;
  readonly priority: number;
  random(): number;
}): number {
  const { waitMs, leftMs, priority, random } = options;
  const excessMs = Math.max(MIN_RETRY_AFTER_MS, waitMs - Math.max(0, leftMs));
  const spreadMs = excessMs * (1 + random());
  return getRetryAfterMs(
    spreadMs * PRIORITY_DELAY_FACTOR ** Math.min(priority, 3),
    {
      minMs: MIN_RETRY_AFTER_MS,
      maxMs: MAX_RETRY_AFTER_MS,
      random: random(),
    },
  );
}
