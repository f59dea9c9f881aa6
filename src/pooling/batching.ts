/**
 * Setup-aware batching of the connection queue: a connection that becomes idle
 * serves waiting statements of its own workspace before it is replaced for
 * another workspace, because a new connection costs round trips and a slot of
 * the target.
 */

/**
 * Fraction of its allowed wait after which a statement is urgent: later
 * statements of other workspaces no longer pass it, and it takes any
 * connection.
 */
const URGENT_FRACTION = 0.8;

/** A statement that waits for a connection. */
export interface QueuedRequest {
  /** Start of the wait, on the monotonic clock. */
  readonly since: number;
  /** Time after which a connection is useless, on the monotonic clock. */
  readonly deadline: number;
}

/** One attempt to serve a waiting statement. */
export interface ServeAttempt<T> {
  readonly waiter: T;
  /** Whether only an idle connection of its own workspace may be used. */
  readonly isOwnWorkspaceOnly: boolean;
}

/**
 * Returns the attempts of one round in the order in which they are made;
 * `waiting` is in queue order.
 */
export type RoundPlanner = <T extends QueuedRequest>(
  waiting: readonly T[],
  now: number,
) => readonly ServeAttempt<T>[];

/**
 * Plans three passes: urgent statements on any connection, all statements on
 * idle connections of their own workspace, all statements on any connection.
 */
export const planRound: RoundPlanner = <T extends QueuedRequest>(
  waiting: readonly T[],
  now: number,
) => {
  const isUrgent = ({ since, deadline }: T) =>
    now - since >= (deadline - since) * URGENT_FRACTION;
  const toAttempt = (isOwnWorkspaceOnly: boolean) => (waiter: T) => ({
    waiter,
    isOwnWorkspaceOnly,
  });
  return [
    ...waiting.filter(isUrgent).map(toAttempt(false)),
    ...waiting.map(toAttempt(true)),
    ...waiting.map(toAttempt(false)),
  ];
};
