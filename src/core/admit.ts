/** Second request phase: checks the workspace's plan and finds the group. */

import { Err, Ok, type Result } from "ts-results-es";
import type { Configuration } from "./configuration.ts";
import type { RequestFrame } from "./types.ts";
import type { Failure } from "./errors.ts";
import type { Session } from "./session.ts";
import type { Admitted, ExecOp } from "./types.ts";

/** Dependencies of admission. */
export interface AdmitContext {
  readonly cfg: Configuration;
}

/** A request to admit, with its session and deadline. */
export interface AdmissionRequest {
  readonly session: Session;
  readonly frame: RequestFrame;
  readonly op: ExecOp;
  readonly deadline: number;
}

/**
 * Admits a request if the plan of its workspace allows the service. Rate
 * limits are not checked here but at the pool host, before each statement.
 */
export function admit(
  ctx: AdmitContext,
  request: AdmissionRequest,
): Result<Admitted, Failure> {
  const { session, frame, op, deadline } = request;
  const { workspace } = session;
  const allowance = ctx.cfg.tryAllowance(workspace)?.services
    .find((service) => service.service === frame.service);
  const group = allowance && ctx.cfg.tryGroupFor({
    service: frame.service,
    workspace,
  });
  if (!group) {
    return Err({ error: "forbidden" });
  }
  const staleRule = allowance.staleReads
    ?.find((rule) => op.kind === "read" && rule.class === op.class);
  return Ok({
    workspace,
    group,
    op: op.kind === "read" && staleRule
      ? { ...op, maxStaleMs: staleRule.maxStaleMs }
      : op,
    session: session.id,
    floor: session.floors.get(group.group),
    deadline,
  });
}
