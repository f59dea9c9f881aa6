/** Computes the figures of an experiment run. */

import { findWorstWindows } from "../bound_checker.ts";
import type { RequestResult, RunReport } from "./run.ts";
import type { Scenario } from "./scenarios.ts";

/** Figures that experiments compare. */
export interface Figures {
  /**
   * Requests within the plan that were not answered, as a fraction of all
   * requests. Workspaces that exceed their plans are not counted.
   */
  readonly wrongfulRefusalFraction: number;
  /** Lowest fraction of answered requests of a workspace within its plan. */
  readonly worstAnsweredFraction: number;
  /** Highest 99th percentile of latency among the same workspaces. */
  readonly worstP99Ms: number;
  readonly answered: number;
  readonly failed: Readonly<Record<string, number>>;
  /** Statements in excess of rate and burst in the worst time window. */
  readonly worstExcess: number;
  /** Statements sent to targets per answered request. */
  readonly statementsPerAnswer: number;
  readonly refusalP99Ms: number;
  readonly platformCalls: number;
}

/** Computes the figures from the report of a run. */
export function getFigures(scenario: Scenario, report: RunReport): Figures {
  const { results, executed } = report;
  const plans = new Map<string, { ratePerSecond: number; burst: number }>(
    scenario.deployment.workspaces.map((w) => [w.workspace, w]),
  );
  const flooders = scenario.flooders ?? [];
  const counted = results.filter((r) =>
    !flooders.includes(r.arrival.workspace)
  );
  const byWorkspace = groupByWorkspace(counted);
  const windows = findWorstWindows(
    executed,
    (workspace) => plans.get(workspace)!,
  );
  const wrongful = [...byWorkspace].map(([workspace, workspaceResults]) =>
    countWrongfulRefusals(workspaceResults, plans.get(workspace)!)
  );
  const answered = results.filter(isAnswered).length;
  return {
    wrongfulRefusalFraction: sum(wrongful) / Math.max(1, counted.length),
    worstAnsweredFraction: Math.min(
      ...[...byWorkspace.values()].map((workspaceResults) =>
        workspaceResults.filter(isAnswered).length / workspaceResults.length
      ),
    ),
    worstP99Ms: Math.max(
      ...[...byWorkspace.values()].map((workspaceResults) =>
        percentile(
          workspaceResults.filter(isAnswered).map((r) => r.elapsedMs),
          0.99,
        )
      ),
    ),
    answered,
    failed: countFailures(results),
    worstExcess: Math.max(...[...windows.values()].map((w) => w.excess)),
    statementsPerAnswer: report.attempts / Math.max(1, answered),
    refusalP99Ms: percentile(
      results.filter((r) => !isAnswered(r)).map((r) => r.elapsedMs),
      0.99,
    ),
    platformCalls: report.platformCalls,
  };
}

function isAnswered(result: RequestResult): boolean {
  return result.answer?.kind === "done";
}

/**
 * Counts the requests that were not answered although a single token bucket for
 * the whole fleet would have admitted them.
 */
function countWrongfulRefusals(
  results: readonly RequestResult[],
  plan: { readonly ratePerSecond: number; readonly burst: number },
): number {
  let used = 0;
  let lastAtMs = 0;
  let wrongful = 0;
  for (const result of results) {
    const { atMs } = result.arrival;
    used = Math.max(0, used - (atMs - lastAtMs) * plan.ratePerSecond / 1_000);
    lastAtMs = atMs;
    if (used + 1 <= plan.burst) {
      used++;
      wrongful += isAnswered(result) ? 0 : 1;
    }
  }
  return wrongful;
}

function countFailures(
  results: readonly RequestResult[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { answer } of results.filter((r) => !isAnswered(r))) {
    const error = answer?.kind === "failed" ? answer.failure.error : "none";
    counts[error] = (counts[error] ?? 0) + 1;
  }
  return counts;
}

function groupByWorkspace(
  results: readonly RequestResult[],
): Map<string, RequestResult[]> {
  const groups = new Map<string, RequestResult[]>();
  for (const result of results) {
    const { workspace } = result.arrival;
    groups.set(workspace, [...groups.get(workspace) ?? [], result]);
  }
  return groups;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0;
}
