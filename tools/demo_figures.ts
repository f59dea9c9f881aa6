/** Works the figures of the demo out of what callers were told. */

import type { ErrorKind } from "../src/core/errors.ts";
import { isUnknown } from "./checker.ts";
import type { Told } from "./load.ts";
import { groupBy } from "./measure/group_by.ts";

const MS_PER_SECOND = 1_000;
/** Time after a cut in which its gap is looked for, in milliseconds. */
const GAP_WINDOW_MS = 15_000;

/** Rate and burst of a workspace over the whole fleet. */
export interface RateLimit {
  readonly workspace: string;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Errors by which a caller is told that its own request was wrong. */
const CALLER_ERRORS: ReadonlySet<string> = new Set<ErrorKind>([
  "bad_request",
  "too_large",
  "unauthenticated",
  "forbidden",
  "token_invalid",
  "cancelled",
  "request_id_reused",
  "statement_failed",
]);

/**
 * Counts the requests that were refused although a bucket with the rate and
 * burst of their workspace, which pays for every request that was let in,
 * would have admitted them.
 */
export function countRefusedWithinRate(
  told: readonly Told[],
  limits: readonly RateLimit[],
): number {
  const byWorkspace = groupBy(told, (entry) => entry.line.workspace as string);
  return limits.reduce((sum, limit) => {
    const calls = byWorkspace.get(limit.workspace) ?? [];
    return sum + countWithin(calls, limit);
  }, 0);
}

function countWithin(calls: readonly Told[], limit: RateLimit): number {
  let tokens = limit.burst;
  let at = 0;
  let wrongful = 0;
  for (const entry of calls.toSorted((a, b) => a.sentAt - b.sentAt)) {
    const earned = (entry.sentAt - at) * limit.ratePerSecond / MS_PER_SECOND;
    tokens = Math.min(limit.burst, tokens + earned);
    at = entry.sentAt;
    const isWithin = tokens >= 1;
    const isRefused = isRefusedBySystem(entry);
    wrongful += isRefused && isWithin ? 1 : 0;
    tokens -= isRefused && !isWithin ? 0 : 1;
  }
  return wrongful;
}

function isRefusedBySystem({ answer }: Told): boolean {
  return answer?.ok === false && answer.run === "not_run" &&
    !CALLER_ERRORS.has(answer.error);
}

/** A primary that was cut off, with the workspaces that it served. */
export interface Cut {
  /** Wall clock, in milliseconds. */
  readonly at: number;
  readonly workspaces: ReadonlySet<string>;
}

/**
 * The gap in service of a cut: the longest time around it between two answered
 * writes of the most frequent class of the group, or undefined when no write
 * was answered on one side of it.
 */
export function tryGetFailoverGapMs(
  told: readonly Told[],
  cut: Cut,
): number | undefined {
  const writes = told.filter((entry) =>
    entry.line.access === "write" && cut.workspaces.has(entry.line.workspace)
  );
  const byClass = [...groupBy(writes, (entry) => entry.line.class).values()]
    .sort((a, b) => b.length - a.length);
  const times = (byClass[0] ?? [])
    .filter((entry) => entry.answer?.ok)
    .map((entry) => entry.answeredAt)
    .sort((a, b) => a - b);
  const gaps = times.slice(1).flatMap((until, index) => {
    const from = times[index]!;
    const isAround = until >= cut.at && from <= cut.at + GAP_WINDOW_MS;
    return isAround ? [until - from] : [];
  });
  const isBothSides = times.some((t) => t < cut.at) && gaps.length > 0;
  return isBothSides ? Math.max(...gaps) : undefined;
}

/** Counts failures by their kind; no answer at all counts as `no_answer`. */
export function countFailures(
  told: readonly Told[],
): ReadonlyMap<string, number> {
  const failed = told.filter((entry) => !entry.answer?.ok);
  const byKind = groupBy(
    failed,
    ({ answer }) => answer && !answer.ok ? answer.error : "no_answer",
  );
  return new Map([...byKind].map(([kind, entries]) => [kind, entries.length]));
}

/** What one workspace got. */
export interface Served {
  readonly workspace: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
}

/** Counts what each workspace sent and got. */
export function listServed(told: readonly Told[]): Served[] {
  const byWorkspace = groupBy(told, (entry) => entry.line.workspace as string);
  return [...byWorkspace].sort(([a], [b]) => a.localeCompare(b))
    .map(([workspace, entries]) => {
      const answered = entries.filter((e) => e.answer?.ok).length;
      const unknown = entries.filter(isUnknown).length;
      const sent = entries.length;
      return {
        workspace,
        sent,
        answered,
        refused: sent - answered - unknown,
        unknown,
      };
    });
}
