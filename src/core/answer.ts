/** Last request phase: converts an answer to the frame sent to the caller. */

import { type ExecutionState, getErrorAnswer } from "./errors.ts";
import type { Answer } from "./types.ts";

/** Frame of an answer, successful or failed. */
export type AnswerFrame =
  | {
    readonly id: string;
    readonly ok: true;
    readonly result: unknown;
    readonly token: string;
    readonly servedBy: "primary" | "replica";
    readonly replayed?: true;
  }
  | {
    readonly id: string;
    readonly ok: false;
    readonly error: string;
    readonly run: ExecutionState;
    readonly message: string;
    readonly retryAfterMs?: number;
    readonly token: string;
  };

/** Builds the frame of an answer; error codes get their run state and text. */
export function toFrame(answer: Answer): AnswerFrame {
  if (answer.kind === "done") {
    const { id, result, token, servedBy, replayed } = answer;
    const frame = { id, ok: true, result, token, servedBy } as const;
    return replayed ? { ...frame, replayed } : frame;
  }
  const { error, detail, retryAfterMs } = answer.failure;
  const { run, message } = getErrorAnswer(error);
  return {
    id: answer.id,
    ok: false,
    error,
    run,
    message: detail ? `${message} ${detail}` : message,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    token: answer.token,
  };
}
