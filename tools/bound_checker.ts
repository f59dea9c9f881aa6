/**
 * Finds the time window in which a workspace exceeded its rate and burst most.
 * Shares no code with the rate limits under test.
 */

/** Statement that a target executed; `ranAt` is in milliseconds. */
export interface ExecutedStatement {
  readonly workspace: string;
  readonly ranAt: number;
}

/** Rate and burst of a workspace across the whole fleet. */
export interface PlanLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Time window with the largest excess over the limit. */
export interface WorstWindow {
  readonly from: number;
  readonly to: number;
  readonly ran: number;
  /** Statements beyond rate times length plus burst; negative if within. */
  readonly excess: number;
}

/** Finds the worst window among the execution times of statements. */
export function findWorstWindow(
  times: readonly number[],
  limit: PlanLimit,
): WorstWindow {
  const sorted = times.toSorted((a, b) => a - b);
  const ratePerMs = limit.ratePerSecond / 1_000;
  let worst = { from: 0, to: 0, ran: 0, excess: -limit.burst };
  let first = 0;
  sorted.forEach((to, last) => {
    // The excess is largest for the window start with the fewest preceding
    // statements, less those that the rate allowed up to then.
    if (last - ratePerMs * to < first - ratePerMs * sorted[first]!) {
      first = last;
    }
    const from = sorted[first]!;
    const ran = last - first + 1;
    const excess = ran - ratePerMs * (to - from) - limit.burst;
    if (excess > worst.excess) {
      worst = { from, to, ran, excess };
    }
  });
  return worst;
}

/** Finds the worst window of each workspace that executed a statement. */
export function findWorstWindows(
  statements: readonly ExecutedStatement[],
  getLimit: (workspace: string) => PlanLimit,
): Map<string, WorstWindow> {
  const times = new Map<string, number[]>();
  for (const { workspace, ranAt } of statements) {
    const workspaceTimes = times.get(workspace) ?? [];
    workspaceTimes.push(ranAt);
    times.set(workspace, workspaceTimes);
  }
  return new Map(
    [...times].map(([workspace, ranAt]) => [
      workspace,
      findWorstWindow(ranAt, getLimit(workspace)),
    ]),
  );
}
