/**
 * Finds the window in which a workspace ran most beyond its rate and burst.
 * Shares no code with the limits of the system.
 */

/** A statement that a target ran; the time is in milliseconds. */
export interface ExecutedStatement {
  readonly workspace: string;
  readonly ranAt: number;
}

/** Rate and burst that a workspace may use over the whole fleet. */
export interface PlanLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** The worst window of a workspace. */
export interface WorstWindow {
  readonly from: number;
  readonly to: number;
  readonly ran: number;
  /** Statements beyond rate times length plus burst; negative when within. */
  readonly excess: number;
}

/** Finds the worst window among the times at which statements ran. */
export function findWorstWindow(
  times: readonly number[],
  limit: PlanLimit,
): WorstWindow {
  const sorted = times.toSorted((a, b) => a - b);
  const ratePerMs = limit.ratePerSecond / 1_000;
  let worst = { from: 0, to: 0, ran: 0, excess: -limit.burst };
  let first = 0;
  sorted.forEach((to, last) => {
    // The best start of a window is the one with the fewest statements before
    // it, after allowing for the rate.
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

/** Finds the worst window of each workspace that ran anything. */
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
