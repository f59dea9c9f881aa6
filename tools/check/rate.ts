/** Finds the worst window of each workspace against its rate and burst. */

import type { CheckedPlan, History } from "./history.ts";

/** Stated resolution of the targets' clock, in milliseconds. */
const CLOCK_RESOLUTION_MS = 1;
const MS_PER_SECOND = 1_000;

/** The window in which a workspace came closest to, or over, its limit. */
export interface WorstWindow {
  readonly workspace: string;
  readonly statements: number;
  readonly windowMs: number;
  /** Statements beyond rate × window + burst; below 0 is room left. */
  readonly excess: number;
}

/** The worst window of each workspace that ran anything. */
export function listWorstWindows(history: History): WorstWindow[] {
  const times = new Map<string, number[]>();
  for (const group of history.groups) {
    for (const { workspace, ranAt } of group.targets.flatMap(listStatements)) {
      const found = times.get(workspace) ?? [];
      found.push(ranAt);
      times.set(workspace, found);
    }
  }
  return [...times].flatMap(([workspace, ranAt]) => {
    const plan = history.plans.get(workspace);
    const worst = plan && findWorst(ranAt.sort((a, b) => a - b), plan);
    return worst ? [{ workspace, ...worst }] : [];
  });
}

function listStatements(
  target: History["groups"][number]["targets"][number],
) {
  return target.statements;
}

/** Counts the workspaces that got more than rate and burst in some window. */
export function countOverRate(history: History): number {
  return listWorstWindows(history).filter(({ workspace, excess }) => {
    const plan = history.plans.get(workspace)!;
    const slack = plan.ratePerSecond * CLOCK_RESOLUTION_MS / MS_PER_SECOND;
    return excess > slack;
  }).length;
}

/**
 * Walks the sorted times once. The worst window that ends at a statement begins
 * at the statement where `rate × time − statements before it` is largest.
 */
function findWorst(
  ranAt: readonly number[],
  plan: CheckedPlan,
): Omit<WorstWindow, "workspace"> | undefined {
  const ratePerMs = plan.ratePerSecond / MS_PER_SECOND;
  let first = 0;
  let worst: Omit<WorstWindow, "workspace"> | undefined;
  for (let last = 0; last < ranAt.length; last++) {
    const score = (index: number) => ratePerMs * ranAt[index]! - index;
    if (score(last) > score(first)) {
      first = last;
    }
    const statements = last - first + 1;
    const windowMs = ranAt[last]! - ranAt[first]!;
    const excess = statements - ratePerMs * windowMs - plan.burst;
    if (!worst || excess > worst.excess) {
      worst = { statements, windowMs, excess };
    }
  }
  return worst;
}
