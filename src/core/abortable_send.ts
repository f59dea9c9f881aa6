/** Sends a statement and aborts once no answer can arrive. */

import { Err, type Result } from "ts-results-es";
import {
  send,
  type SendContext,
  type SendErr,
  type StatementRequest,
} from "./send.ts";
import type { RunRes } from "./types.ts";
import type { AnswerWaiter } from "./answer_waiter.ts";

/**
 * Sends a statement and resolves with its result, or with an error as soon as
 * `shouldAbort` returns true: `no_answer` if the statement was already sent,
 * `unreachable` if it was still waiting for a slot or a connection. In the
 * second case it is never sent.
 */
export async function sendWithAbort(
  ctx: SendContext & { readonly answerWaiter: AnswerWaiter },
  options: {
    readonly request: Omit<StatementRequest, "tryStart">;
    readonly shouldAbort: () => boolean;
  },
): Promise<Result<RunRes, SendErr>> {
  let isSent = false;
  let isAborted = false;
  function tryStart(): boolean {
    isSent = !isAborted;
    return isSent;
  }
  const pending = send(ctx, { ...options.request, tryStart });
  const res = await ctx.answerWaiter.waitFor(pending, options.shouldAbort);
  if (res) {
    return res;
  }
  isAborted = true;
  const kind = isSent ? "no_answer" : "unreachable";
  return Err({ kind: "target", err: { kind, sent: isSent } });
}
