/** Sends control commands to targets, independent of client statements. */

import { nowMs } from "../core/clock.ts";
import type { TargetCommand, TargetRecord, TargetReport } from "./types.ts";
import {
  type ExecutionContext,
  isClean,
  recordReply,
  sendWithTimeout,
} from "./execution.ts";

/** Higher than the priority of any client statement; lower is served first. */
const CONTROL_PRIORITY = -1;
/** Time to check out a connection, in milliseconds. */
const ACQUIRE_TIMEOUT_MS = 400;
/** Time for the reply, in milliseconds. */
const REPLY_TIMEOUT_MS = 500;

/** Commands whose reply is a report. */
export type ControlCommand = Extract<
  TargetCommand,
  { readonly kind: "status" | "pause" | "resume" | "step_down" }
>;

/**
 * Sends a command and applies the target's report to health, primary and
 * positions. Undefined if no report was received.
 */
export async function sendControlCommand(
  ctx: ExecutionContext,
  target: TargetRecord,
  command: ControlCommand,
  options: {
    /** Whether another host may send the command for this one. */
    readonly mayForward?: boolean;
  } = {},
): Promise<TargetReport | undefined> {
  const { service, id } = target;
  const mayAsk = () =>
    command.kind !== "status" || ctx.eligibility.isEligible(target);
  if (!mayAsk()) {
    return undefined;
  }
  const acquired = await ctx.dispatcher.acquire({
    service,
    workspace: undefined,
    priority: CONTROL_PRIORITY,
    deadline: nowMs() + ACQUIRE_TIMEOUT_MS,
    isLocalOnly: !options.mayForward,
    listCandidates: () => mayAsk() ? [target] : [],
    isEligible: mayAsk,
  });
  if (acquired.isErr()) {
    return undefined;
  }
  const checkout = acquired.value;
  const sentAt = nowMs();
  const reply = await sendWithTimeout(checkout, command, REPLY_TIMEOUT_MS);
  // No connection to a target is kept while its registration is lapsed.
  const isRegistered = ctx.directory.tryGet(id) !== undefined;
  checkout.release(isRegistered && isClean(reply));
  const { holder } = checkout.pooled.link;
  const isAnswered = reply.kind === "done" ||
    (reply.kind === "error" && reply.code !== "not_sent" &&
      reply.code !== "target_down");
  if (!isAnswered) {
    recordReply(ctx, checkout, { reply, latencyMs: nowMs() - sentAt });
    return undefined;
  }
  ctx.forwarder.recordPathSuccess(id, holder);
  ctx.health.recordAlive(id);
  const report = ctx.io.dialer.tryParseReport(reply);
  if (!report) {
    return undefined;
  }
  ctx.primaries.applyEvidence(service, id, { kind: "reported", report });
  const isPrimary = report.role === "primary";
  if (isPrimary) {
    ctx.getPositions(service).record(report.position, sentAt);
  }
  ctx.health.recordReport(id, {
    lagMs: report.lagMs,
    isPaused: !isPrimary && report.pausedTerm > 0,
    received: report.position,
  });
  return report;
}
