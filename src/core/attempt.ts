/** Sends a statement and gives it up once no answer can come any more. */

import { Err, type Result } from "ts-results-es";
import {
  send,
  type SendContext,
  type SendErr,
  type StatementRequest,
} from "./send.ts";
import type { RunRes } from "./types.ts";
import type { AnswerWaiter } from "./watch.ts";

/**
 * Resolves with the result of a sending, or fails once `isOver` holds. What
 * still waits for a slot or a connection then is never sent.
 */
export async function sendWithAbort(
  ctx: SendContext & { readonly watch: AnswerWaiter },
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
  const res = await ctx.watch.waitFor(pending, options.shouldAbort);
  if (res) {
    return res;
  }
  isAborted = true;
  const kind = isSent ? "no_answer" : "unreachable";
  return Err({ kind: "target", err: { kind, sent: isSent } });
}
