/** Runs what changes the log at the primary, until its outcome is known. */

import { attempt } from "./attempt.ts";
import { nowMs, sleep } from "./clock.ts";
import type { Confirmer } from "./confirm.ts";
import type { ReqId } from "./ids.ts";
import { type Monitor } from "./monitor.ts";
import {
  afterSending,
  done,
  failed,
  isFinal,
  isMaybeRun,
  unavailable,
} from "./outcome.ts";
import type { ReadContext, Task } from "./read.ts";
import { toFailure } from "./send.ts";
import type { Outcome, RunReq, TargetInfo } from "./types.ts";

const RETRY_PAUSE_MS = 25;
/** Silence of a primary after which nothing new is sent to it. */
const HOLD_MS = 600;

/** What writing needs of the pool. */
export interface WriteContext extends ReadContext {
  readonly confirmer: Confirmer;
}

/** A primary that may be sent to. */
export interface Leader {
  readonly info: TargetInfo;
  readonly term: number;
}

/** The primary of the newest term, if it is heard of. */
export function tryLeader(monitor: Monitor): Leader | undefined {
  const { targets, primary, term } = monitor.view();
  const info = targets.find((t) => t.info.target === primary)?.info;
  return info && monitor.getPrimarySilenceMs() < HOLD_MS ? { info, term } : undefined;
}

/** Whether a primary of `term` can give this host no answer any more. */
export function isTermOver(monitor: Monitor, term: number): boolean {
  return monitor.view().term > term || monitor.isPartitioned() ||
    monitor.isSuspicionDenied();
}

/** Waits until there is a primary; undefined if none can come in time. */
export async function untilLeader(
  monitor: Monitor,
  options: {
    readonly deadline: number;
    readonly isUsable?: (leader: Leader) => boolean;
  },
): Promise<Leader | undefined> {
  const { deadline, isUsable = () => true } = options;
  while (nowMs() < deadline && !monitor.isPartitioned() && !monitor.isSuspicionDenied()) {
    const leader = tryLeader(monitor);
    if (leader && isUsable(leader)) {
      return leader;
    }
    await sleep(RETRY_PAUSE_MS);
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
    readonly build: (term: number) => RunReq;
  },
): Promise<Outcome> {
  const { monitor, watch, confirmer } = ctx;
  const { deadline, req } = options.task;
  let maySent = false;
  while (true) {
    const leader = await untilLeader(monitor, { deadline });
    if (!leader) {
      return failed(maySent ? afterSending(unavailable()) : unavailable());
    }
    const { info, term } = leader;
    const res = await attempt(ctx, {
      sending: {
        target: info,
        workspace: req.workspace,
        req: options.build(term),
        deadline,
      },
      isOver: () => isTermOver(monitor, term),
    });
    if (res.isErr()) {
      if (isFinal(res.error)) {
        const failure = toFailure(res.error);
        return failed(maySent ? afterSending(failure) : failure);
      }
      maySent ||= isMaybeRun(res.error);
      await sleep(RETRY_PAUSE_MS);
      continue;
    }
    const { at } = res.value;
    const confirming = confirmer.confirm({
      at,
      primary: info.target,
      deadline,
    });
    if (await watch.waitFor(confirming, monitor.isPartitioned)) {
      return done(res.value, { floor: at, isPrimary: true });
    }
    maySent = true;
  }
}

/** What a target answers to a settle request. */
export interface Settled {
  readonly ran: boolean;
  readonly result?: unknown;
}

/** Finds out whether the request `of` ran, and else sees that it never does. */
export async function settle(
  ctx: WriteContext,
  options: { readonly task: Task; readonly of: ReqId },
): Promise<Outcome> {
  const { workspace } = options.task.req;
  return await runAtPrimary(ctx, {
    task: options.task,
    build: (term) => ({ kind: "settle", workspace, of: options.of, term }),
  });
}
