/** Summarizes the logs of hosts under load: who is refused, where work goes. */

import type { LogLine } from "./explain.ts";

const MS_PER_SECOND = 1_000;

/** Events of a statement that a target has answered. */
const ANSWERED_EVENTS: ReadonlySet<string> = new Set([
  "read_answered",
  "write_answered",
]);

/** Statements with something in common, such as their workspace. */
export interface LoadRow {
  /** Second since the first line, workspace, database, host or target. */
  readonly key: string;
  readonly answered: number;
  /** Refused statements by error. */
  readonly refused: ReadonlyMap<string, number>;
  /** Mean time from arrival to answer in milliseconds; undefined if none. */
  readonly meanMs: number | undefined;
}

/** Summary of the statements in the logs of some hosts. */
export interface LoadReport {
  readonly bySecond: readonly LoadRow[];
  readonly byDatabase: readonly LoadRow[];
  readonly byWorkspace: readonly LoadRow[];
  readonly byHost: readonly LoadRow[];
  readonly byTarget: readonly LoadRow[];
}

interface MutableRow {
  answered: number;
  totalMs: number;
  readonly refused: Map<string, number>;
}

/** Groups the lines about statements in five ways. */
export function summarizeLoad(lines: readonly LogLine[]): LoadReport {
  const statements = lines.filter((line) =>
    ANSWERED_EVENTS.has(line.msg) || line.msg === "statement_refused"
  );
  const startedAt = statements.reduce(
    (earliest, { time }) => Math.min(earliest, time),
    Infinity,
  );
  const byCount = (a: LoadRow, b: LoadRow) =>
    countRefused(b) - countRefused(a) || b.answered - a.answered;
  const groupBy = (getKey: (line: LogLine) => unknown) =>
    groupLines(statements, getKey);
  return {
    bySecond: groupBy(({ time }) =>
      `${Math.floor((time - startedAt) / MS_PER_SECOND)}`
    ).toSorted((a, b) => Number(a.key) - Number(b.key)),
    byDatabase: groupBy(({ database }) => database).toSorted(byCount),
    byWorkspace: groupBy(({ workspace }) => workspace).toSorted(byCount),
    byHost: groupBy(({ host }) => host).toSorted(byCount),
    byTarget: groupBy(({ target }) => target).toSorted(byCount),
  };
}

/** Returns the number of refused statements of a row. */
export function countRefused({ refused }: LoadRow): number {
  return [...refused.values()].reduce((sum, count) => sum + count, 0);
}

/** Groups lines by a key; lines without one are left out. */
function groupLines(
  lines: readonly LogLine[],
  getKey: (line: LogLine) => unknown,
): LoadRow[] {
  const rows = new Map<string, MutableRow>();
  for (const line of lines) {
    const key = getKey(line);
    if (typeof key !== "string") {
      continue;
    }
    const row = rows.get(key) ??
      { answered: 0, totalMs: 0, refused: new Map<string, number>() };
    rows.set(key, row);
    if (line.msg === "statement_refused") {
      const error = `${line.error}`;
      row.refused.set(error, (row.refused.get(error) ?? 0) + 1);
    } else {
      row.answered++;
      row.totalMs += typeof line.ms === "number" ? line.ms : 0;
    }
  }
  return [...rows].map(([key, { answered, totalMs, refused }]) => ({
    key,
    answered,
    refused,
    meanMs: answered > 0 ? totalMs / answered : undefined,
  }));
}
