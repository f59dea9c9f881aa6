/** Figures of a run. */

import { findWorstWindows } from "../bound_checker.ts";
import type { Result, RunReport } from "./run.ts";
import type { Scenario } from "./scenarios.ts";

/** What experiments compare. */
export interface Figures {
  /** Share of refused requests that the plan allowed. */
  readonly wrongfulShare: number;
  /** Answered share of the worst workspace that keeps to its plan. */
  readonly worstServed: number;
  /** Largest 99th percentile among those, in milliseconds. */
  readonly worstP99Ms: number;
  readonly answered: number;
  readonly failed: Readonly<Record<string, number>>;
  /** Statements beyond rate and burst in the worst window. */
  readonly worstExcess: number;
  /** Statements sent, for each request that was answered. */
  readonly sendsPerAnswer: number;
  readonly refusalP99Ms: number;
  readonly platformCalls: number;
}

/** Computes the figures of a run. */
export function getFigures(scenario: Scenario, report: RunReport): Figures {
  const { results, ran } = report;
  const plans = new Map<string, { ratePerSecond: number; burst: number }>(
    scenario.deployment.workspaces.map((w) => [w.workspace, w]),
  );
  const floods = scenario.floods ?? [];
  const counted = results.filter((r) => !floods.includes(r.arrival.workspace));
  const byWorkspace = group(counted);
  const windows = findWorstWindows(ran, (workspace) => plans.get(workspace)!);
  const wrongful = [...byWorkspace].map(([workspace, own]) =>
    countWrongful(own, plans.get(workspace)!)
  );
  const answered = results.filter(isDone).length;
  return {
    wrongfulShare: sum(wrongful) / Math.max(1, counted.length),
    worstServed: Math.min(
      ...[...byWorkspace.values()].map((own) =>
        own.filter(isDone).length / own.length
      ),
    ),
    worstP99Ms: Math.max(
      ...[...byWorkspace.values()].map((own) =>
        percentile(own.filter(isDone).map((r) => r.tookMs), 0.99)
      ),
    ),
    answered,
    failed: countFailures(results),
    worstExcess: Math.max(...[...windows.values()].map((w) => w.excess)),
    sendsPerAnswer: report.attempts / Math.max(1, answered),
    refusalP99Ms: percentile(
      results.filter((r) => !isDone(r)).map((r) => r.tookMs),
      0.99,
    ),
    platformCalls: report.platformCalls,
  };
}

function isDone(result: Result): boolean {
  return result.answer?.kind === "done";
}

/** Requests that one bucket for the whole fleet would have let through. */
function countWrongful(
  results: readonly Result[],
  plan: { readonly ratePerSecond: number; readonly burst: number },
): number {
  let used = 0;
  let at = 0;
  let wrongful = 0;
  for (const result of results) {
    const { atMs } = result.arrival;
    used = Math.max(0, used - (atMs - at) * plan.ratePerSecond / 1_000);
    at = atMs;
    if (used + 1 <= plan.burst) {
      used++;
      wrongful += isDone(result) ? 0 : 1;
    }
  }
  return wrongful;
}

function countFailures(results: readonly Result[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { answer } of results.filter((r) => !isDone(r))) {
    const error = answer?.kind === "failed" ? answer.failure.error : "none";
    counts[error] = (counts[error] ?? 0) + 1;
  }
  return counts;
}

function group(results: readonly Result[]): Map<string, Result[]> {
  const groups = new Map<string, Result[]>();
  for (const result of results) {
    const { workspace } = result.arrival;
    groups.set(workspace, [...groups.get(workspace) ?? [], result]);
  }
  return groups;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function percentile(values: readonly number[], part: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(part * (sorted.length - 1))] ?? 0;
}
