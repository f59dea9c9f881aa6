/** Runs writes at the primary and retries until their outcome is known. */

import { sendWithAbort } from "./abortable_send.ts";
import { nowMs, sleep } from "./clock.ts";
import type { Confirmer } from "./confirm.ts";
import type { ReqId } from "./ids.ts";
import { type Monitor } from "./monitor.ts";
import {
  done,
  failed,
  isFinal,
  mayHaveRun,
  toFailureAfterSend,
  unavailable,
} from "./outcome.ts";
import type { ReadContext, Task } from "./read.ts";
import { toFailure } from "./send.ts";
import type { Outcome, RunReq, TargetInfo } from "./types.ts";

const RETRY_DELAY_MS = 25;
/** Nothing new is sent to a primary that has not reported for this time. */
const MAX_PRIMARY_REPORT_AGE_MS = 600;

/** Dependencies of writes. */
export interface WriteContext extends ReadContext {
  readonly confirmer: Confirmer;
}

/** Responsive primary with its term. */
export interface Primary {
  readonly info: TargetInfo;
  readonly term: number;
}

/** Returns the primary of the newest term if it has reported recently. */
export function tryPrimary(monitor: Monitor): Primary | undefined {
  const { targets, primary, term } = monitor.view();
  const info = targets.find((t) => t.info.target === primary)?.info;
  return info && monitor.getPrimaryReportAgeMs() < MAX_PRIMARY_REPORT_AGE_MS
    ? { info, term }
    : undefined;
}

/** Returns true if no answer from a primary of `term` can reach this host. */
export function isTermOver(monitor: Monitor, term: number): boolean {
  return monitor.view().term > term || monitor.isPartitioned() ||
    monitor.isSuspicionDenied();
}

/** Waits for a usable primary; undefined if none can appear in time. */
export async function waitForPrimary(
  monitor: Monitor,
  options: {
    readonly deadline: number;
    readonly isUsable?: (primary: Primary) => boolean;
  },
): Promise<Primary | undefined> {
  const { deadline, isUsable = () => true } = options;
  while (
    nowMs() < deadline && !monitor.isPartitioned() &&
    !monitor.isSuspicionDenied()
  ) {
    const primary = tryPrimary(monitor);
    if (primary && isUsable(primary)) {
      return primary;
    }
    await sleep(RETRY_DELAY_MS);
  }
  return undefined;
}

/**
 * Runs a request that targets record by its id. The request is resent until a
 * majority stores it, and runs once however often it is sent.
 */
export async function runAtPrimary(
  ctx: WriteContext,
  options: {
    readonly task: Task;
    readonly buildRequest: (term: number) => RunReq;
  },
): Promise<Outcome> {
  const { monitor, answerWaiter, confirmer } = ctx;
  const { deadline, req } = options.task;
  let mayHaveExecuted = false;
  while (true) {
    const primary = await waitForPrimary(monitor, { deadline });
    if (!primary) {
      return failed(
        mayHaveExecuted ? toFailureAfterSend(unavailable()) : unavailable(),
      );
    }
    const { info, term } = primary;
    const res = await sendWithAbort(ctx, {
      request: {
        target: info,
        workspace: req.workspace,
        req: options.buildRequest(term),
        deadline,
      },
      shouldAbort: () => isTermOver(monitor, term),
    });
    if (res.isErr()) {
      if (isFinal(res.error)) {
        const failure = toFailure(res.error);
        return failed(mayHaveExecuted ? toFailureAfterSend(failure) : failure);
      }
      mayHaveExecuted ||= mayHaveRun(res.error);
      await sleep(RETRY_DELAY_MS);
      continue;
    }
    const { at } = res.value;
    const confirmation = confirmer.confirm({
      position: at,
      primary: info.target,
      deadline,
    });
    if (await answerWaiter.waitFor(confirmation, monitor.isPartitioned)) {
      return done(res.value, { floor: at, isPrimary: true });
    }
    mayHaveExecuted = true;
  }
}

/** Result of a `settle` request to a target. */
export interface ResolvedOutcome {
  readonly ran: boolean;
  readonly result?: unknown;
}

/** Finds out whether the request `of` ran; if not, prevents it from running. */
export async function resolveOutcome(
  ctx: WriteContext,
  options: { readonly task: Task; readonly of: ReqId },
): Promise<Outcome> {
  const { workspace } = options.task.req;
  return await runAtPrimary(ctx, {
    task: options.task,
    buildRequest: (term) => ({
      kind: "settle",
      workspace,
      of: options.of,
      term,
    }),
  });
}
