/** Computes the figures of the demo from the request records. */

import type { ErrorKind } from "../src/core/errors.ts";
import { isUnknown } from "./checker.ts";
import type { RequestRecord } from "./load.ts";
import { groupBy } from "./measure/group_by.ts";

const MS_PER_SECOND = 1_000;
/** Time after a partition within which a failover gap may start. */
const GAP_WINDOW_MS = 15_000;

/** Rate and burst of a workspace, for the whole fleet. */
export interface RateLimit {
  readonly workspace: string;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Errors caused by the request itself, not by limits or failures. */
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
 * Counts wrong refusals: requests refused although a token bucket with the rate
 * and burst of their workspace would have admitted them. Every request that was
 * not refused takes a token, and so does every wrong refusal.
 */
export function countRefusedWithinRate(
  records: readonly RequestRecord[],
  limits: readonly RateLimit[],
): number {
  const byWorkspace = groupBy(
    records,
    (record) => record.line.workspace as string,
  );
  return limits.reduce((sum, limit) => {
    const workspaceRecords = byWorkspace.get(limit.workspace) ?? [];
    return sum + countWrongRefusals(workspaceRecords, limit);
  }, 0);
}

function countWrongRefusals(
  records: readonly RequestRecord[],
  limit: RateLimit,
): number {
  let tokens = limit.burst;
  let lastSentAt = 0;
  let wrongRefusals = 0;
  for (const record of records.toSorted((a, b) => a.sentAt - b.sentAt)) {
    const refilled = (record.sentAt - lastSentAt) * limit.ratePerSecond /
      MS_PER_SECOND;
    tokens = Math.min(limit.burst, tokens + refilled);
    lastSentAt = record.sentAt;
    const isWithinLimit = tokens >= 1;
    const isRefused = isRefusedBySystem(record);
    wrongRefusals += isRefused && isWithinLimit ? 1 : 0;
    tokens -= isRefused && !isWithinLimit ? 0 : 1;
  }
  return wrongRefusals;
}

function isRefusedBySystem({ answer }: RequestRecord): boolean {
  return answer?.ok === false && answer.run === "not_run" &&
    !CALLER_ERRORS.has(answer.error);
}

/** Isolation of a primary, with the workspaces that it served. */
export interface Partition {
  /** Wall-clock time, in milliseconds. */
  readonly isolatedAt: number;
  readonly workspaces: ReadonlySet<string>;
}

/**
 * Returns the failover gap: the longest time between two successive answered
 * writes around a partition. Counts only the group's most frequent class of
 * writes. Undefined if none was answered before or none after the partition.
 */
export function tryGetFailoverGapMs(
  records: readonly RequestRecord[],
  partition: Partition,
): number | undefined {
  const writes = records.filter((record) =>
    record.line.access === "write" &&
    partition.workspaces.has(record.line.workspace)
  );
  const byClass = [...groupBy(writes, (record) => record.line.class).values()]
    .sort((a, b) => b.length - a.length);
  const times = (byClass[0] ?? [])
    .filter((record) => record.answer?.ok)
    .map((record) => record.answeredAt)
    .sort((a, b) => a - b);
  const gaps = times.slice(1).flatMap((to, index) => {
    const from = times[index]!;
    const isAround = to >= partition.isolatedAt &&
      from <= partition.isolatedAt + GAP_WINDOW_MS;
    return isAround ? [to - from] : [];
  });
  const hasBothSides = times.some((t) => t < partition.isolatedAt) &&
    gaps.length > 0;
  return hasBothSides ? Math.max(...gaps) : undefined;
}

/** Counts failed requests by error kind; a missing answer is `no_answer`. */
export function countFailures(
  records: readonly RequestRecord[],
): ReadonlyMap<string, number> {
  const failed = records.filter((record) => !record.answer?.ok);
  const byKind = groupBy(
    failed,
    ({ answer }) => answer && !answer.ok ? answer.error : "no_answer",
  );
  return new Map([...byKind].map(([kind, entries]) => [kind, entries.length]));
}

/** Requests of one workspace by outcome. */
export interface WorkspaceCounts {
  readonly workspace: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
}

/** Counts the requests of each workspace by outcome, sorted by workspace. */
export function countByWorkspace(
  records: readonly RequestRecord[],
): WorkspaceCounts[] {
  const byWorkspace = groupBy(
    records,
    (record) => record.line.workspace as string,
  );
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
