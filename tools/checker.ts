/**
 * Compares what callers were told with what the targets hold. Shares no code
 * with the decisions of the system.
 */

import type { Told } from "./load.ts";

/** A log entry as a target shows it. */
export interface ShownEntry {
  readonly term: number;
  readonly workspace?: string;
  readonly id?: string;
  readonly cancelled?: boolean;
  readonly ranAt: number;
  readonly changes: readonly ShownChange[];
}

/** A change of a row as a target shows it. */
export interface ShownChange {
  readonly op: "put" | "add";
  readonly key: string;
  readonly value?: unknown;
  readonly amount?: number;
}

/** What the checker found. */
export interface Findings {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly outcomeUnknown: number;
  readonly lost: number;
  readonly doubled: number;
  readonly staleReads: number;
  readonly wrongWorkspace: number;
  readonly replicaReadShare: number;
}

/** Checks the answers against the final log of each group's primary. */
export function check(
  told: readonly Told[],
  logs: readonly (readonly ShownEntry[])[],
): Findings {
  const runs = countRuns(logs);
  const reads = told.filter((t) => t.line.access === "read" && t.answer?.ok);
  const unique = told.filter((t) => t.line.unrepeatable);
  const replicaReads = reads.filter((t) =>
    t.answer?.ok && t.answer.servedBy === "replica"
  );
  return {
    sent: told.length,
    answered: told.filter((t) => t.answer?.ok).length,
    refused: told.filter((t) => t.answer?.ok === false && !isUnknown(t)).length,
    outcomeUnknown: told.filter(isUnknown).length,
    lost: unique.filter((t) => t.answer?.ok && !runs.has(runKey(t))).length,
    doubled: [...runs.values()].filter((count) => count > 1).length,
    staleReads: countStaleReads(told),
    wrongWorkspace: countWrongWorkspace(told, logs),
    replicaReadShare: reads.length ? replicaReads.length / reads.length : 0,
  };
}

function isUnknown(told: Told): boolean {
  return !told.answer || (!told.answer.ok && told.answer.run === "unknown");
}

function runKey(told: Told): string {
  return `${told.line.workspace}/${told.id}`;
}

/** How often each request id stands in the logs. */
function countRuns(
  logs: readonly (readonly ShownEntry[])[],
): Map<string, number> {
  const runs = new Map<string, number>();
  for (const entry of logs.flat()) {
    if (entry.id && !entry.cancelled) {
      const key = `${entry.workspace}/${entry.id}`;
      runs.set(key, (runs.get(key) ?? 0) + 1);
    }
  }
  return runs;
}

/**
 * Counts reads that miss the session's own last acknowledged put of the row.
 * Rows are written by one session only, so the read must give just that value
 * unless a later put of unknown outcome lies between.
 */
function countStaleReads(told: readonly Told[]): number {
  const rows = new Map<string, unknown[]>();
  let stale = 0;
  for (const entry of told.toSorted((a, b) => a.sentAt - b.sentAt)) {
    const body = entry.line.body as {
      readonly op: string;
      readonly key: string;
      readonly value?: unknown;
    };
    const row = `${entry.line.session}/${body.key}`;
    if (body.op === "put") {
      const mayRun = entry.answer?.ok || isUnknown(entry);
      const before = entry.answer?.ok ? [] : rows.get(row) ?? [null];
      rows.set(row, mayRun ? [...before, body.value] : before);
    } else if (body.op === "get" && entry.answer?.ok && rows.has(row)) {
      stale += rows.get(row)!.includes(entry.answer.result) ? 0 : 1;
    }
  }
  return stale;
}

/** Counts unique writes that ran for another workspace than their caller's. */
function countWrongWorkspace(
  told: readonly Told[],
  logs: readonly (readonly ShownEntry[])[],
): number {
  const owners = new Map(told.map((t) => [t.id as string, t.line.workspace]));
  return logs.flat().filter((entry) =>
    entry.id !== undefined && owners.get(entry.id) !== entry.workspace
  ).length;
}
