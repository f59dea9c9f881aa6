/** The closed list of ways in which a statement of a session fails. */

/** What a client may conclude about the operation. */
export type RetainedEffects = "nothing" | "unknown" | "maybe";

/** How an error kind is explained. */
export interface PoolErrInfo {
  /** Whether anything of the operation is kept. */
  readonly keeps: RetainedEffects;
  readonly message: string;
}

/** Every error kind with what it says about the operation. */
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

/** Every kind of error that a session can be told of. */
export type PoolErrKind = keyof typeof POOL_ERRORS;

/** A failure with what adds to its kind. */
export interface PoolFailure {
  readonly error: PoolErrKind;
  readonly detail?: string;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs?: number;
}
