/**
 * Expected waits that holders report with their replies, by target, workspace
 * and priority. Only recent reports are used: a holder that gets no statements sends
 * none, and its last one would keep statements away from it.
 */

import { nowMs } from "../core/clock.ts";
import type { HostId, TargetId, WorkspaceId } from "../core/ids.ts";

/** Age from which a report is not used, in milliseconds. */
export const MAX_REPORT_AGE_MS = 1_000;
/** Number of reports from which those that are too old are looked for. */
const MIN_CLEANUP_SIZE = 500;

/** Expected wait of a new statement. */
export interface PriorityWait {
  readonly priority: number;
  readonly waitMs: number;
}

/** Expected wait with the age of the report that it comes from. */
export interface AgedWait {
  readonly waitMs: number;
  readonly ageMs: number;
}

/** Statements whose waits are reported together. */
export interface ReportedPath {
  readonly holder: HostId;
  readonly target: TargetId;
  readonly workspace: WorkspaceId | undefined;
}

/** Latest reports of the holders. */
export interface WaitReports {
  /** Records a report; one without waits ends the one before. */
  record(path: ReportedPath, waits: readonly PriorityWait[]): void;
  /** Returns the expected wait; undefined without a recent report. */
  tryGet(path: ReportedPath, priority: number): AgedWait | undefined;
  /** Whether there is no report, not even one that is too old to be used. */
  isEmpty(): boolean;
}

interface Report {
  readonly waits: readonly PriorityWait[];
  readonly at: number;
}

/** Creates an empty set of reports. */
export function createWaitReports(
  { maxAgeMs = MAX_REPORT_AGE_MS }: { readonly maxAgeMs?: number } = {},
): WaitReports {
  const reports = new Map<string, Report>();
  let nextCleanupSize = MIN_CLEANUP_SIZE;

  const toKey = ({ holder, target, workspace }: ReportedPath) =>
    `${target} ${holder} ${workspace ?? ""}`;

  function removeAged(): void {
    for (const [key, { at }] of reports) {
      if (nowMs() - at > maxAgeMs) {
        reports.delete(key);
      }
    }
  }

  return {
    record(path, waits) {
      if (waits.length === 0) {
        reports.delete(toKey(path));
        return;
      }
      reports.set(toKey(path), { waits, at: nowMs() });
      if (reports.size > nextCleanupSize) {
        removeAged();
        nextCleanupSize = Math.max(MIN_CLEANUP_SIZE, 2 * reports.size);
      }
    },
    tryGet(path, priority) {
      const report = reports.get(toKey(path));
      const ageMs = report ? nowMs() - report.at : Infinity;
      if (!report || ageMs > maxAgeMs) {
        return undefined;
      }
      // A priority waits at least as long as any higher one.
      const waitMs = Math.max(
        0,
        ...report.waits.filter((wait) => wait.priority <= priority)
          .map((wait) => wait.waitMs),
      );
      return { waitMs, ageMs };
    },
    isEmpty: () => reports.size === 0,
  };
}
