/**
 * Batching by setup: a connection that becomes free goes to a statement of the
 * workspace that it belongs to before another workspace replaces it, because a
 * new connection costs round trips and a slot of the target.
 */

/**
 * Part of its time that a statement may wait behind later ones of other
 * workspaces; then it takes whatever connection is free.
 */
const URGENT_FRACTION = 0.8;

/** A statement that waits for a connection. */
export interface QueuedRequest {
  /** When it began to wait, on the monotonic clock. */
  readonly since: number;
  /** Latest time at which a connection is of use. */
  readonly deadline: number;
}

/** One attempt to serve a waiting statement. */
export interface ServeAttempt<T> {
  readonly waiter: T;
  /** Only an idle connection of its own workspace is to be taken. */
  readonly isOwnWorkspaceOnly: boolean;
}

/** Plans one round; `waiting` is in order of service. */
export type RoundPlanner = <T extends QueuedRequest>(
  waiting: readonly T[],
  now: number,
) => readonly ServeAttempt<T>[];

/** Attempts of one round, in order. */
export const planRound: RoundPlanner = <T extends QueuedRequest>(
  waiting: readonly T[],
  now: number,
) => {
  const isUrgent = ({ since, deadline: until }: T) =>
    now - since >= (until - since) * URGENT_FRACTION;
  const toAttempt = (isOwnWorkspaceOnly: boolean) => (waiter: T) => ({
    waiter,
    isOwnWorkspaceOnly: isOwnWorkspaceOnly,
  });
  return [
    ...waiting.filter(isUrgent).map(toAttempt(false)),
    ...waiting.map(toAttempt(true)),
    ...waiting.map(toAttempt(false)),
  ];
};
