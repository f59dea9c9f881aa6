/** Commands to targets beside the statements of clients. */

import { nowMs } from "../core/clock.ts";
import type { TargetCommand, TargetRecord, TargetReport } from "./types.ts";
import { type ExecutionContext, isClean, sendWithTimeout } from "./work.ts";

/** Before every statement of a client. */
const CONTROL_PRIORITY = -1;
/** Time to get a connection, in milliseconds. */
const ACQUIRE_TIMEOUT_MS = 400;
/** Time for an answer, in milliseconds. */
const REPLY_TIMEOUT_MS = 500;

/** Commands that are answered with a report. */
export type ControlCommand = Extract<
  TargetCommand,
  { readonly kind: "status" | "pause" | "resume" | "step_down" }
>;

/** Sends a command and takes what the report tells. */
export async function sendControlCommand(
  ctx: ExecutionContext,
  target: TargetRecord,
  command: ControlCommand,
): Promise<TargetReport | undefined> {
  const { service, id } = target;
  const acquired = await ctx.dispatcher.acquire({
    service,
    workspace: undefined,
    priority: CONTROL_PRIORITY,
    deadline: nowMs() + ACQUIRE_TIMEOUT_MS,
    listCandidates: () => [target],
  });
  if (acquired.isErr()) {
    return undefined;
  }
  const hold = acquired.value;
  const sentAt = nowMs();
  const reply = await sendWithTimeout(hold, command, REPLY_TIMEOUT_MS);
  hold.release(isClean(reply));
  if (reply.kind === "lost" || reply.kind === "silent") {
    ctx.health.recordFailure(id);
    return undefined;
  }
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
  });
  return report;
}
