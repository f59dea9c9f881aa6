/** Refusal of statements at the entry host by the waits that holders report. */

import type { WorkspaceId } from "../core/ids.ts";
import type { PoolFailure } from "./errors.ts";
import {
  choosePrimary,
  type ExecutionContext,
  getMaxQueueWaitMs,
} from "./execution.ts";
import type { Route } from "./types.ts";
import { decideByWait, getWaitRetryAfterMs } from "./wait_admission.ts";

/**
 * Returns the refusal of a new statement or transaction that would probably not
 * get a slot in time at any target that could run it.
 */
export function tryRefuseByWait(
  ctx: ExecutionContext,
  options: {
    readonly route: Route;
    readonly workspace: WorkspaceId;
    /** Whether only the primary may run it. */
    readonly needsPrimary: boolean;
  },
): PoolFailure | undefined {
  if (!ctx.dispatcher.hasExpectedWaits()) {
    return undefined;
  }
  const { route, workspace } = options;
  const { service, priority } = route;
  const mayUseReplicas = !options.needsPrimary &&
    route.consistency.kind !== "primary";
  const scope = { route, workspace };
  const targets = mayUseReplicas
    ? ctx.eligibility.listEligible(service, scope)
    : choosePrimary(ctx, scope).listCandidates();
  const waits = targets.map((target) =>
    ctx.dispatcher.tryGetExpectedWait(target, { workspace, priority })
  );
  const leftMs = getMaxQueueWaitMs(route);
  const decision = decideByWait(waits, { leftMs, random: ctx.io.random });
  if (decision.kind === "admitted") {
    return undefined;
  }
  const { waitMs, ageMs } = decision.wait;
  const retryAfterMs = getWaitRetryAfterMs({
    waitMs,
    leftMs,
    priority,
    random: ctx.io.random,
  });
  ctx.io.metrics.count("slot_refusals_total", { reason: "reported_wait" });
  ctx.io.log.info("slot_refused", {
    workspace,
    service,
    priority,
    reason: "reported_wait",
    expectedWaitMs: Math.round(waitMs),
    reportAgeMs: Math.round(ageMs),
    leftMs: Math.round(leftMs),
    targets: targets.length,
  });
  return {
    error: "overloaded",
    detail: `a wait of ${Math.round(waitMs)} ms for a slot is expected`,
    retryAfterMs,
  };
}
