/** Builds the outcomes of operations at a pool. */

import { type Failure, getErrorAnswer } from "./errors.ts";
import { type SendErr, toFailure } from "./send.ts";
import type { Outcome, Position, RunRes } from "./types.ts";

/** When to come back while a group has no primary, in milliseconds. */
export const RETRY_AFTER_MS = 500;

/** The outcome of an operation that ran. */
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

/** The outcome of an operation that failed. */
export function failed(failure: Failure): Outcome {
  return { kind: "failed", ...failure };
}

/** The group cannot serve the request now. */
export function unavailable(): Failure {
  return { error: "unavailable", retryAfterMs: RETRY_AFTER_MS };
}

/**
 * The failure of a request of which an earlier sending may have run. Only a
 * target that has recorded the id can rule that out.
 */
export function toFailureAfterSend(failure: Failure): Failure {
  const { run } = getErrorAnswer(failure.error);
  const isKnownNotRun = failure.error === "cancelled" ||
    failure.error === "request_id_reused";
  return isKnownNotRun || run === "ran"
    ? failure
    : { error: "outcome_unknown", retryAfterMs: RETRY_AFTER_MS };
}

/** Whether another target or another sending would be answered alike. */
export function isFinal(err: SendErr): boolean {
  if (err.kind === "refused") {
    return true;
  }
  return err.err.kind === "statement_failed" || err.err.kind === "cancelled" ||
    err.err.kind === "id_reused";
}

/** Whether the statement may have run although no result came. */
export function mayHaveRun(err: SendErr): boolean {
  return err.kind === "target" && err.err.kind === "no_answer" && err.err.sent;
}

/** A read that was sent and not answered has changed nothing. */
export function toReadFailure(err: SendErr): Failure {
  const failure = toFailure(err);
  return failure.error === "outcome_unknown" ? unavailable() : failure;
}
