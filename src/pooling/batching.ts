/**
 * Batching by setup: a connection that becomes free goes to a statement of the
 * workspace that it belongs to before another workspace replaces it, because a
 * new connection costs round trips and a slot of the target.
 */

/**
 * Part of its time that a statement may wait behind later ones of other
 * workspaces; then it takes whatever connection is free.
 */
const URGENT_PART = 0.8;

/** A statement that waits for a connection. */
export interface Waiting {
  /** When it began to wait, on the monotonic clock. */
  readonly since: number;
  /** Latest time at which a connection is of use. */
  readonly until: number;
}

/** One attempt to serve a waiting statement. */
export interface Step<T> {
  readonly waiter: T;
  /** Only an idle connection of its own workspace is to be taken. */
  readonly isOwnOnly: boolean;
}

/** Plans one round; `waiting` is in order of service. */
export type RoundPlan = <T extends Waiting>(
  waiting: readonly T[],
  now: number,
) => readonly Step<T>[];

/** Attempts of one round, in order. */
export const planRound: RoundPlan = <T extends Waiting>(
  waiting: readonly T[],
  now: number,
) => {
  const isUrgent = ({ since, until }: T) =>
    now - since >= (until - since) * URGENT_PART;
  const toStep = (isOwnOnly: boolean) => (waiter: T) => ({ waiter, isOwnOnly });
  return [
    ...waiting.filter(isUrgent).map(toStep(false)),
    ...waiting.map(toStep(true)),
    ...waiting.map(toStep(false)),
  ];
};
