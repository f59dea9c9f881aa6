/** Commands to targets beside the statements of clients. */

import { nowMs } from "../core/clock.ts";
import type { TargetCommand, TargetRecord, TargetReport } from "./types.ts";
import { isClean, sendTimed, type WorkContext } from "./work.ts";

/** Before every statement of a client. */
const CONTROL_PRIORITY = -1;
/** Time to get a connection, in milliseconds. */
const ACQUIRE_MS = 400;
/** Time for an answer, in milliseconds. */
const REPLY_MS = 500;

/** Commands that are answered with a report. */
export type ControlCommand = Extract<
  TargetCommand,
  { readonly kind: "status" | "pause" | "resume" | "step_down" }
>;

/** Sends a command and takes what the report tells. */
export async function control(
  ctx: WorkContext,
  target: TargetRecord,
  command: ControlCommand,
): Promise<TargetReport | undefined> {
  const { service, id } = target;
  const acquired = await ctx.dispatcher.acquire({
    service,
    workspace: undefined,
    priority: CONTROL_PRIORITY,
    until: nowMs() + ACQUIRE_MS,
    rank: () => [target],
  });
  if (acquired.isErr()) {
    return undefined;
  }
  const hold = acquired.value;
  const askedAt = nowMs();
  const reply = await sendTimed(hold, command, REPLY_MS);
  hold.release(isClean(reply));
  if (reply.kind === "lost" || reply.kind === "silent") {
    ctx.health.noteFailure(id);
    return undefined;
  }
  ctx.health.noteAlive(id);
  const report = ctx.io.dialer.tryReport(reply);
  if (!report) {
    return undefined;
  }
  ctx.leaders.note(service, id, { kind: "reported", report });
  const isPrimary = report.role === "primary";
  if (isPrimary) {
    ctx.getFloors(service).note(report.position, askedAt);
  }
  ctx.health.noteReport(id, {
    lagMs: report.lagMs,
    isPaused: !isPrimary && report.pausedTerm > 0,
  });
  return report;
}
