/** Checks the executed statements against the rates and bursts of plans. */

import { findWorstWindow, type WorstWindow } from "../bound_checker.ts";
import type { History } from "./history.ts";

/** Resolution of the targets' clocks, tolerated when checking the rate. */
const CLOCK_RESOLUTION_MS = 1;
const MS_PER_SECOND = 1_000;

/** Window in which a workspace came closest to, or most exceeded, its limit. */
export interface WorkspaceWindow extends WorstWindow {
  readonly workspace: string;
}

/** Lists the worst window of each workspace that executed a statement. */
export function listWorstWindows(history: History): WorkspaceWindow[] {
  const times = new Map<string, number[]>();
  for (const group of history.groups) {
    const statements = group.targets.flatMap((target) => target.statements);
    for (const { workspace, ranAt } of statements) {
      const workspaceTimes = times.get(workspace) ?? [];
      workspaceTimes.push(ranAt);
      times.set(workspace, workspaceTimes);
    }
  }
  return [...times].flatMap(([workspace, ranAt]) => {
    const plan = history.plans.get(workspace);
    return plan ? [{ workspace, ...findWorstWindow(ranAt, plan) }] : [];
  });
}

/** Counts the workspaces that exceeded rate and burst in some window. */
export function countOverRate(history: History): number {
  return listWorstWindows(history).filter(({ workspace, excess }) => {
    const plan = history.plans.get(workspace)!;
    const slack = plan.ratePerSecond * CLOCK_RESOLUTION_MS / MS_PER_SECOND;
    return excess > slack;
  }).length;
}
