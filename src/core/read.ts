/** Runs reads on any target whose log has reached the read floor. */

import { sendWithAbort } from "./abortable_send.ts";
import { nowMs, sleep } from "./clock.ts";
import { exceedsPrimaryLog } from "./floors.ts";
import type { Monitor } from "./monitor.ts";
import {
  done,
  failed,
  isFinal,
  toReadFailure,
  unavailable,
} from "./outcome.ts";
import { isAtLeast, maxPosition } from "./position.ts";
import { type SendContext, type SendErr, toFailure } from "./send.ts";
import type {
  ExecOp,
  ExecReq,
  Outcome,
  Position,
  TargetInfo,
  TargetView,
} from "./types.ts";
import type { AnswerWaiter } from "./answer_waiter.ts";

const RETRY_DELAY_MS = 25;

/** Dependencies of reads. */
export interface ReadContext extends SendContext {
  readonly monitor: Monitor;
  readonly answerWaiter: AnswerWaiter;
  /** Preference among replicas; without it, reads start at a random replica. */
  readonly orderReplicas?: OrderReplicas;
}

/** Orders the replicas that may serve a read, most preferred first. */
export type OrderReplicas = (
  replicas: readonly TargetView[],
) => readonly TargetView[];

/** An operation and its deadline on the monotonic clock. */
export interface Task {
  readonly req: ExecReq;
  readonly deadline: number;
}

/** Read operation; with a `tx` it belongs to a transaction. */
export type ReadOp = Extract<ExecOp, { kind: "read" }>;

/** Runs a read and returns a result that reflects at least its read floor. */
export async function read(
  ctx: ReadContext,
  options: { readonly op: ReadOp; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const { workspace } = task.req;
  const { monitor } = ctx;
  const floor = await tryResolveFloor(ctx, options);
  if (!floor) {
    return failed(unavailable());
  }
  // The staleness bound applies at the time of the answer.
  const getRequiredPosition = () => applyStaleBound(monitor, { op, floor });
  let lastFailure = unavailable();
  let isFloorChecked = task.req.floor === undefined;
  while (nowMs() < task.deadline) {
    const candidates = listReadTargets(ctx, getRequiredPosition());
    for (const target of candidates) {
      const res = await sendWithAbort(ctx, {
        request: {
          target,
          workspace,
          req: { kind: "read", workspace, body: op.body },
          deadline: task.deadline,
        },
        shouldAbort: () => monitor.isUnresponsive(target.target),
      });
      if (res.isOk() && isAtLeast(res.value.at, getRequiredPosition())) {
        const isPrimary = monitor.view().primary === target.target;
        return done(res.value, { floor, isPrimary });
      }
      const isLast = target === candidates.at(-1);
      if (res.isErr() && endsRead(res.error, { isLast })) {
        return failed(toFailure(res.error));
      }
      if (res.isErr()) {
        lastFailure = toReadFailure(res.error);
      }
    }
    if (candidates.length === 0 && monitor.isPartitioned()) {
      return failed(unavailable());
    }
    if (candidates.length === 0 && !isFloorChecked) {
      isFloorChecked = true;
      const round = await monitor.tryPollRound();
      if (round && exceedsPrimaryLog(floor, round)) {
        return failed({ error: "token_invalid" });
      }
      isFloorChecked = round?.primaryLogEnd !== undefined;
    }
    await sleep(RETRY_DELAY_MS);
  }
  return failed(lastFailure);
}

/**
 * Returns the session's read floor. Without one, returns a floor within the
 * allowed staleness, or one that covers every write acknowledged so far.
 */
async function tryResolveFloor(
  ctx: ReadContext,
  options: { readonly op: ReadOp; readonly task: Task },
): Promise<Position | undefined> {
  const { op, task } = options;
  const { monitor, answerWaiter } = ctx;
  const knownFloor = task.req.floor ??
    (op.maxStaleMs && monitor.tryStaleFloor(op.maxStaleMs));
  if (knownFloor) {
    return knownFloor;
  }
  const shouldAbort = () => monitor.isPartitioned() || nowMs() >= task.deadline;
  while (!shouldAbort()) {
    const round = await answerWaiter.waitFor(
      monitor.tryPollRound(),
      shouldAbort,
    );
    if (round) {
      return round.floor;
    }
    await sleep(RETRY_DELAY_MS);
  }
  return undefined;
}

function applyStaleBound(
  monitor: Monitor,
  options: { readonly op: ReadOp; readonly floor: Position },
): Position {
  const staleFloor = options.op.maxStaleMs === undefined
    ? undefined
    : monitor.tryStaleFloor(options.op.maxStaleMs);
  return staleFloor ? maxPosition(staleFloor, options.floor) : options.floor;
}

/** Lists the targets that may serve a read, most preferred first. */
function listReadTargets(ctx: ReadContext, required: Position): TargetInfo[] {
  const { monitor } = ctx;
  const isUsable = (target: TargetView) =>
    !target.info.leaving && target.status !== undefined &&
    !monitor.isUnresponsive(target.info.target) &&
    isAtLeast(target.status.logEnd, required);
  const usable = monitor.view().targets.filter(isUsable);
  const replicas = usable.filter((t) => t.status?.role === "replica");
  const ordered = ctx.orderReplicas?.(replicas) ??
    rotateRandomly(ctx, replicas);
  const primaries = usable.filter((t) => t.status?.role === "primary");
  return [...ordered, ...primaries].map((target) => target.info);
}

function rotateRandomly(
  ctx: ReadContext,
  replicas: readonly TargetView[],
): TargetView[] {
  const start = Math.floor(ctx.io.random() * replicas.length);
  return [...replicas.slice(start), ...replicas.slice(0, start)];
}

/**
 * Returns true if the read fails with this error. An overloaded target is
 * skipped while other candidates remain.
 */
function endsRead(
  err: SendErr,
  { isLast }: { readonly isLast: boolean },
): boolean {
  const isBusy = err.kind === "refused" && err.failure.error === "overloaded";
  return isFinal(err) && (isLast || !isBusy);
}
