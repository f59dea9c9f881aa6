/** Closed list of error kinds with the response for each of them. */

/** Whether a request was executed, as reported to its caller. */
export type ExecutionState = "not_run" | "rolled_back" | "unknown" | "ran";

/** Response to a caller for one error kind. */
export interface ErrorAnswer {
  readonly httpStatus: number;
  readonly run: ExecutionState;
  /** Whether the caller may send the same request again. */
  readonly mayRetry: boolean;
  readonly message: string;
}

/** Responses by error kind. */
export const ERROR_ANSWERS = {
  bad_request: {
    httpStatus: 400,
    run: "not_run",
    mayRetry: false,
    message: "The request is malformed.",
  },
  too_large: {
    httpStatus: 413,
    run: "not_run",
    mayRetry: false,
    message: "The request is larger than the host accepts.",
  },
  unauthenticated: {
    httpStatus: 401,
    run: "not_run",
    mayRetry: false,
    message: "The key is missing, unknown or withdrawn.",
  },
  forbidden: {
    httpStatus: 403,
    run: "not_run",
    mayRetry: false,
    message: "The plan of the workspace does not include the service.",
  },
  token_invalid: {
    httpStatus: 400,
    run: "not_run",
    mayRetry: false,
    message: "The session token is not valid for this workspace and group.",
  },
  rate_limited: {
    httpStatus: 429,
    run: "not_run",
    mayRetry: true,
    message: "The workspace has used the rate and burst of its plan.",
  },
  overloaded: {
    httpStatus: 503,
    run: "not_run",
    mayRetry: true,
    message: "The queue of the database group is full.",
  },
  deadline_exceeded: {
    httpStatus: 504,
    run: "not_run",
    mayRetry: true,
    message: "The deadline passed before the request was sent.",
  },
  unavailable: {
    httpStatus: 503,
    run: "not_run",
    mayRetry: true,
    message: "The database group has no target that can serve the request.",
  },
  configuration_unconfirmed: {
    httpStatus: 503,
    run: "not_run",
    mayRetry: true,
    message: "The host cannot confirm that its configuration is current.",
  },
  shutting_down: {
    httpStatus: 503,
    run: "not_run",
    mayRetry: true,
    message: "The host is stopping; connect to another host.",
  },
  cancelled: {
    httpStatus: 409,
    run: "not_run",
    mayRetry: false,
    message: "The request was cancelled when its outcome was asked for.",
  },
  request_id_reused: {
    httpStatus: 409,
    run: "not_run",
    mayRetry: false,
    message: "The request id was used before with another statement.",
  },
  statement_failed: {
    httpStatus: 422,
    run: "rolled_back",
    mayRetry: false,
    message: "The target refused the statement.",
  },
  transaction_lost: {
    httpStatus: 409,
    run: "rolled_back",
    mayRetry: false,
    message: "The transaction was rolled back.",
  },
  outcome_unknown: {
    httpStatus: 504,
    run: "unknown",
    mayRetry: true,
    message: "The request was sent and no answer came; ask for its outcome.",
  },
  internal: {
    httpStatus: 500,
    run: "unknown",
    mayRetry: false,
    message: "The host failed to handle the request.",
  },
} as const satisfies Readonly<Record<string, ErrorAnswer>>;

/** Kind of an error that is reported to callers. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** Failure of a request with optional details. */
export interface Failure {
  readonly error: ErrorKind;
  readonly detail?: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Returns the response for an error kind. */
export function getErrorAnswer(kind: ErrorKind): ErrorAnswer {
  return ERROR_ANSWERS[kind];
}

/** Fails type checking in a branch that is reachable; throws at run time. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
