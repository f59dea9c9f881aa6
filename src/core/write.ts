/** Runs what changes the log at the primary, until its outcome is known. */

import { sendWithAbort } from "./attempt.ts";
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
/** Silence of a primary after which nothing new is sent to it. */
const MAX_PRIMARY_SILENCE_MS = 600;

/** What writing needs of the pool. */
export interface WriteContext extends ReadContext {
  readonly confirmer: Confirmer;
}

/** A primary that may be sent to. */
export interface Primary {
  readonly info: TargetInfo;
  readonly term: number;
}

/** The primary of the newest term, if it is heard of. */
export function tryPrimary(monitor: Monitor): Primary | undefined {
  const { targets, primary, term } = monitor.view();
  const info = targets.find((t) => t.info.target === primary)?.info;
  return info && monitor.getPrimarySilenceMs() < MAX_PRIMARY_SILENCE_MS
    ? { info, term }
    : undefined;
}

/** Whether a primary of `term` can give this host no answer any more. */
export function isTermOver(monitor: Monitor, term: number): boolean {
  return monitor.view().term > term || monitor.isPartitioned() ||
    monitor.isSuspicionDenied();
}

/** Waits until there is a primary; undefined if none can come in time. */
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
 * Runs a request that the target records by its id. It is sent again until a
 * majority holds it, and then runs once however often it was sent.
 */
export async function runAtPrimary(
  ctx: WriteContext,
  options: {
    readonly task: Task;
    readonly buildRequest: (term: number) => RunReq;
  },
): Promise<Outcome> {
  const { monitor, watch, confirmer } = ctx;
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
      at,
      primary: info.target,
      deadline,
    });
    if (await watch.waitFor(confirmation, monitor.isPartitioned)) {
      return done(res.value, { floor: at, isPrimary: true });
    }
    mayHaveExecuted = true;
  }
}

/** What a target answers to a settle request. */
export interface ResolvedOutcome {
  readonly ran: boolean;
  readonly result?: unknown;
}

/** Finds out whether the request `of` ran, and else sees that it never does. */
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
