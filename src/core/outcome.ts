/** Builds the outcomes of operations that a pool host runs. */

import { type Failure, getErrorAnswer } from "./errors.ts";
import { type SendErr, toFailure } from "./send.ts";
import type { Outcome, Position, RequestFrame, RunRes } from "./types.ts";

/** Retry delay that callers get while a group has no primary. */
export const RETRY_AFTER_MS = 500;

/** Returns the outcome of an operation that succeeded. */
export function done(
  res: Pick<RunRes, "result" | "replayed">,
  options: { readonly floor: Position; readonly isPrimary: boolean },
): Outcome {
  return {
    kind: "done",
    result: res.result,
    floor: options.floor,
    servedBy: options.isPrimary ? "primary" : "replica",
    ...(res.replayed ? { replayed: true } : {}),
  };
}

/** Returns the outcome of an operation that failed. */
export function failed(failure: Failure): Outcome {
  return { kind: "failed", ...failure };
}

/** Returns the failure of a request that the group cannot serve now. */
export function unavailable(): Failure {
  return { error: "unavailable", retryAfterMs: RETRY_AFTER_MS };
}

/**
 * Returns the failure of a request that may have run when it was sent before.
 * Only a target that has recorded the request id can rule that out.
 */
export function toFailureAfterSend(failure: Failure): Failure {
  const { run } = getErrorAnswer(failure.error);
  const isKnownNotRun = failure.error === "cancelled" ||
    failure.error === "request_id_reused";
  return isKnownNotRun || run === "ran"
    ? failure
    : { error: "outcome_unknown", retryAfterMs: RETRY_AFTER_MS };
}

/**
 * Returns the failure of a request that its stopping host no longer waits for.
 * `inFlight` are the unanswered requests of its session, whose transactions are
 * rolled back unless a commit of them is among these.
 */
export function toAbandonedFailure(
  frame: RequestFrame,
  inFlight: Iterable<RequestFrame>,
): Failure {
  const tx = "tx" in frame ? frame.tx : undefined;
  if (tx !== undefined) {
    const isCommitting = [...inFlight].some((other) =>
      other.kind === "end" && other.end === "commit" && other.tx === tx
    );
    return { error: isCommitting ? "outcome_unknown" : "transaction_lost" };
  }
  const hasNoEffect = frame.kind === "read" || frame.kind === "begin";
  return { error: hasNoEffect ? "shutting_down" : "outcome_unknown" };
}

/** Returns true if neither a retry nor another target can change the error. */
export function isFinal(err: SendErr): boolean {
  if (err.kind === "refused") {
    return true;
  }
  return err.err.kind === "statement_failed" || err.err.kind === "cancelled" ||
    err.err.kind === "id_reused";
}

/** Returns true if the statement may have run although no result arrived. */
export function mayHaveRun(err: SendErr): boolean {
  return err.kind === "target" && err.err.kind === "no_answer" && err.err.sent;
}

/**
 * Converts the error of a read. An unanswered read has no effect, so it is
 * `unavailable` instead of `outcome_unknown`.
 */
export function toReadFailure(err: SendErr): Failure {
  const failure = toFailure(err);
  return failure.error === "outcome_unknown" ? unavailable() : failure;
}
