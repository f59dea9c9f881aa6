/** Sends a statement and gives it up once no answer can come any more. */

import { Err, type Result } from "ts-results-es";
import { send, type SendContext, type SendErr, type Sending } from "./send.ts";
import type { RunRes } from "./types.ts";
import type { AnswerWaiter } from "./watch.ts";

/**
 * Resolves with the result of a sending, or fails once `isOver` holds. What
 * still waits for a slot or a connection then is never sent.
 */
export async function attempt(
  ctx: SendContext & { readonly watch: AnswerWaiter },
  options: {
    readonly sending: Omit<Sending, "tryStart">;
    readonly isOver: () => boolean;
  },
): Promise<Result<RunRes, SendErr>> {
  let isSent = false;
  let isAbandoned = false;
  function tryStart(): boolean {
    isSent = !isAbandoned;
    return isSent;
  }
  const sending = send(ctx, { ...options.sending, tryStart });
  const res = await ctx.watch.waitFor(sending, options.isOver);
  if (res) {
    return res;
  }
  isAbandoned = true;
  const kind = isSent ? "no_answer" : "unreachable";
  return Err({ kind: "target", err: { kind, sent: isSent } });
}
