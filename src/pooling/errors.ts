/** The closed set of errors with which a statement or session can fail. */

/**
 * Effects of a failed operation that persist: `nothing` if it has none,
 * `unknown` if no answer arrived, `maybe` if the target ran the statement and
 * reported a failure.
 */
export type RetainedEffects = "nothing" | "unknown" | "maybe";

/** Description of an error kind. */
export interface PoolErrInfo {
  /** Whether any effect of the operation may persist. */
  readonly keeps: RetainedEffects;
  readonly message: string;
}

/** All error kinds with their effect on the operation and their message. */
export const POOL_ERRORS = {
  overloaded: {
    keeps: "nothing",
    message: "no target can take the statement in time",
  },
  over_quota: {
    keeps: "nothing",
    message: "the workspace has used its rate and burst",
  },
  not_ready: {
    keeps: "nothing",
    message: "the host has no configuration yet",
  },
  stopping: {
    keeps: "nothing",
    message: "the host is stopping; connect again",
  },
  no_primary: {
    keeps: "nothing",
    message: "the service has no primary at the moment",
  },
  aborted: {
    keeps: "nothing",
    message: "the transaction was rolled back",
  },
  in_doubt: {
    keeps: "unknown",
    message: "the statement was sent and no answer came",
  },
  failed: { keeps: "maybe", message: "the target failed the statement" },
  unknown_database: {
    keeps: "nothing",
    message: "no route leads to this database",
  },
  unauthenticated: {
    keeps: "nothing",
    message: "the key is unknown or withdrawn",
  },
  unknown_statement: {
    keeps: "nothing",
    message: "no statement was prepared under this name",
  },
  malformed: { keeps: "nothing", message: "the statement is not valid here" },
} as const satisfies Readonly<Record<string, PoolErrInfo>>;

/** Kind of error that is reported to a session. */
export type PoolErrKind = keyof typeof POOL_ERRORS;

/** A failure of an operation. */
export interface PoolFailure {
  readonly error: PoolErrKind;
  readonly detail?: string;
  /** Delay after which the client may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}
