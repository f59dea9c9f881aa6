/** Runs reads on any target that is as fresh as the reader needs. */

import { attempt } from "./attempt.ts";
import { nowMs, sleep } from "./clock.ts";
import { isBeyond } from "./floors.ts";
import type { Monitor } from "./monitor.ts";
import { done, failed, isFinal, readFailure, unavailable } from "./outcome.ts";
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
import type { AnswerWaiter } from "./watch.ts";

const RETRY_PAUSE_MS = 25;

/** What reading needs of the pool. */
export interface ReadContext extends SendContext {
  readonly monitor: Monitor;
  readonly watch: AnswerWaiter;
  /** Without it reads are spread at random. */
  readonly orderReplicas?: OrderReplicas;
}

/** Orders the replicas that may serve a read, best first. */
export type OrderReplicas = (
  replicas: readonly TargetView[],
) => readonly TargetView[];

/** An operation with the time by which it is answered. */
export interface Task {
  readonly req: ExecReq;
  readonly deadline: number;
}

/** A read outside of transactions. */
export type ReadOp = Extract<ExecOp, { kind: "read" }>;

/** Serves one read, never older than its floor. */
export async function read(
  ctx: ReadContext,
  options: { readonly op: ReadOp; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const { workspace } = task.req;
  const { monitor } = ctx;
  const floor = await tryFloor(ctx, options);
  if (!floor) {
    return failed(unavailable());
  }
  // What a read may be stale by is measured when it is answered.
  const getNeeded = () => withStaleFloor(monitor, { op, floor });
  let last = unavailable();
  let isFloorChecked = task.req.floor === undefined;
  while (nowMs() < task.deadline) {
    const readers = listReaders(ctx, getNeeded());
    for (const target of readers) {
      const res = await attempt(ctx, {
        sending: {
          target,
          workspace,
          req: { kind: "read", workspace, body: op.body },
          deadline: task.deadline,
        },
        isOver: () => monitor.isUnresponsive(target.target),
      });
      if (res.isOk() && isAtLeast(res.value.at, getNeeded())) {
        const isPrimary = monitor.view().primary === target.target;
        return done(res.value, { floor, isPrimary });
      }
      const isLast = target === readers.at(-1);
      if (res.isErr() && isFinalAt(res.error, { isLast })) {
        return failed(toFailure(res.error));
      }
      if (res.isErr()) {
        last = readFailure(res.error);
      }
    }
    if (readers.length === 0 && monitor.isPartitioned()) {
      return failed(unavailable());
    }
    if (readers.length === 0 && !isFloorChecked) {
      isFloorChecked = true;
      const round = await monitor.tryPollRound();
      if (round && isBeyond(floor, round)) {
        return failed({ error: "token_invalid" });
      }
      isFloorChecked = round?.primaryEnd !== undefined;
    }
    await sleep(RETRY_PAUSE_MS);
  }
  return failed(last);
}

/** The floor of the session, or one that covers all that it may have seen. */
async function tryFloor(
  ctx: ReadContext,
  options: { readonly op: ReadOp; readonly task: Task },
): Promise<Position | undefined> {
  const { op, task } = options;
  const { monitor, watch } = ctx;
  const known = task.req.floor ??
    (op.maxStaleMs && monitor.tryStaleFloor(op.maxStaleMs));
  if (known) {
    return known;
  }
  const isOver = () => monitor.isPartitioned() || nowMs() >= task.deadline;
  while (!isOver()) {
    const round = await watch.waitFor(monitor.tryPollRound(), isOver);
    if (round) {
      return round.floor;
    }
    await sleep(RETRY_PAUSE_MS);
  }
  return undefined;
}

function withStaleFloor(
  monitor: Monitor,
  given: { readonly op: ReadOp; readonly floor: Position },
): Position {
  const stale = given.op.maxStaleMs === undefined
    ? undefined
    : monitor.tryStaleFloor(given.op.maxStaleMs);
  return stale ? maxPosition(stale, given.floor) : given.floor;
}

/** Targets that may serve a read, best first. */
function listReaders(ctx: ReadContext, needed: Position): TargetInfo[] {
  const { monitor } = ctx;
  const isUsable = (target: TargetView) =>
    !target.info.leaving && target.status !== undefined &&
    !monitor.isUnresponsive(target.info.target) &&
    isAtLeast(target.status.logEnd, needed);
  const fresh = monitor.view().targets.filter(isUsable);
  const replicas = fresh.filter((t) => t.status?.role === "replica");
  const ordered = ctx.orderReplicas?.(replicas) ?? rotate(ctx, replicas);
  const primaries = fresh.filter((t) => t.status?.role === "primary");
  return [...ordered, ...primaries].map((target) => target.info);
}

function rotate(
  ctx: ReadContext,
  replicas: readonly TargetView[],
): TargetView[] {
  const start = Math.floor(ctx.io.random() * replicas.length);
  return [...replicas.slice(start), ...replicas.slice(0, start)];
}

/** A target that is busy leaves the read to the others. */
function isFinalAt(
  err: SendErr,
  { isLast }: { readonly isLast: boolean },
): boolean {
  const isBusy = err.kind === "refused" && err.failure.error === "overloaded";
  return isFinal(err) && (isLast || !isBusy);
}
