/** Files and the summary of a run. */

import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Violation } from "./checkers.ts";
import { isSuccess, tryGetErrorCode } from "./history.ts";
import type { SoakEvent, SoakRun } from "./run.ts";
import type { SoakPlan } from "./schedule.ts";

/** Violations that the summary explains; it counts the others. */
const MAX_EXPLAINED = 3;
/** Events and log lines around a violation. */
const MAX_AROUND = 6;
const AROUND_MS = 8_000;
const MAX_LINE_LENGTH = 200;
const MS_PER_SECOND = 1_000;

/** Writes the plan, the schedule, the history and the violations. */
export function writeRun(directory: string, { plan, run, violations }: {
  readonly plan: SoakPlan;
  readonly run: SoakRun;
  readonly violations: readonly Violation[];
}): void {
  const write = (name: string, value: unknown) =>
    writeFileSync(join(directory, name), JSON.stringify(value, toPlain, 1));
  write("plan.json", plan);
  write("schedule.json", run.schedule);
  write("events.json", run.events);
  write("violations.json", violations);
  write("history.json", run.history);
}

function toPlain(_key: string, value: unknown): unknown {
  return value instanceof Map ? Object.fromEntries(value) : value;
}

/** Figures of a run, one line each. */
export function summarize(run: SoakRun): readonly string[] {
  const { statements, promotions, stalls } = run.history;
  const answered = statements.filter(isSuccess).length;
  const cut =
    statements.filter(({ isComplete, isAbandoned }) =>
      !isComplete && !isAbandoned
    ).length;
  const errors = countBy(statements.flatMap((entry) => {
    const code = tryGetErrorCode(entry);
    return code ? [code] : [];
  }));
  const stalledMs = stalls.reduce((sum, { from, to }) => sum + to - from, 0);
  return [
    `statements: ${statements.length}, answered ${answered}, ` +
    `connection ended before the answer ${cut}`,
    `errors: ${formatCounts(errors)}`,
    `faults: ${
      formatCounts(countBy(run.schedule.map(({ fault }) => fault.kind)))
    }`,
    `promotions: ${
      promotions.filter(({ isAccepted }) => isAccepted).length
    }; hosts stalled for ${Math.round(stalledMs)} ms`,
  ];
}

function countBy(values: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  values.forEach((value) => counts.set(value, (counts.get(value) ?? 0) + 1));
  return counts;
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name} ${count}`).sort()
    .join(", ") || "none";
}

/** Explains the first violations: what broke which rule, and around it. */
export function explain(
  violations: readonly Violation[],
  { directory, run }: { readonly directory: string; readonly run: SoakRun },
): readonly string[] {
  const counts = countBy(violations.map(({ rule }) => rule));
  return [
    `rules broken: ${formatCounts(counts)}`,
    ...violations.slice(0, MAX_EXPLAINED).flatMap((violation) => [
      `${violation.rule} ${violation.subject}: ${violation.detail}`,
      ...listEventsAround(run.events, violation.at),
      ...listLogLines(run, { directory, violation }),
    ]),
  ];
}

function listEventsAround(events: readonly SoakEvent[], at: number): string[] {
  return events
    .filter((event) => event.at <= at && event.at > at - AROUND_MS)
    .slice(-MAX_AROUND)
    .map((event) =>
      `  ${
        ((at - event.at) / MS_PER_SECOND).toFixed(3)
      } s before: ${event.text}`
    );
}

/** Lists what the host of a statement logged about it. */
function listLogLines(
  run: SoakRun,
  { directory, violation }: {
    readonly directory: string;
    readonly violation: Violation;
  },
): string[] {
  const { subject } = violation;
  const host = run.history.statements.find(({ id }) => id === subject)?.host;
  if (!host) {
    return [];
  }
  return readFileSync(join(directory, `${host}.log`), "utf8").split("\n")
    .filter((line) => line.includes(`"${subject}"`))
    .slice(0, MAX_AROUND)
    .map((line) => `  ${host}: ${line.slice(0, MAX_LINE_LENGTH)}`);
}
