/**
 * Reads outside transactions: served by any target that has reached the read
 * floor, or by the primary inside a transaction that confirms its role.
 */

import { nowMs, sleep } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { TargetId } from "../core/ids.ts";
import { beginAtPrimary } from "./begin.ts";
import type { Checkout } from "./dispatch.ts";
import type { AgedPosition } from "./position_history.ts";
import type { PoolFailure } from "./errors.ts";
import { rankReadTargets } from "./ranking.ts";
import type { TargetRecord } from "./types.ts";
import {
  acquireConnection,
  describeReply,
  type ExecutionContext,
  getTimeLeftMs,
  isClean,
  type Outcome,
  prepareConnection,
  recordNoReply,
  recordPrimary,
  recordReply,
  sendWithTimeout,
  type Task,
  type TimedReply,
  toCommand,
  tryGetLoadRefusal,
} from "./execution.ts";

/** Maximum number of attempts for one read, made one after the other. */
const MAX_ATTEMPTS = 5;
/** Minimum time without an answer after which a second target is tried. */
const MIN_HEDGE_DELAY_MS = 250;
/** Multiple of the usual latency after which a second target is tried. */
const HEDGE_LATENCY_FACTOR = 4;
/**
 * Time for a holder that has not been heard from to answer a ping, in
 * milliseconds: a round trip between regions. If it does, the target is silent.
 */
const HOLDER_PING_TIMEOUT_MS = 100;
/** Delay before a read that a busy target refused is retried. */
const BUSY_RETRY_DELAY_MS = 15;

/** Result of one attempt to serve a read. */
type AttemptResult =
  | { readonly kind: "outcome"; readonly outcome: Outcome }
  /** The read was not served; another target may serve it. */
  | {
    readonly kind: "retry";
    readonly reason: string;
    /** Set if a holder refused the read for load. */
    readonly refusal?: PoolFailure;
  };

/** Executes a read outside a transaction for a session. */
export async function executeRead(
  ctx: ExecutionContext,
  task: Task,
): Promise<Outcome> {
  const triedTargets = new Set<TargetId>();
  let reason = "no target tried";
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (getTimeLeftMs(task) <= 0) {
      break;
    }
    const floor = await tryFreshReadFloor(ctx, task);
    const result = floor
      ? await readHedged(ctx, { task, floor, triedTargets })
      : await readAtPrimary(ctx, task);
    if (result.kind === "outcome") {
      return result.outcome;
    }
    reason = result.reason;
    const { refusal } = result;
    if (refusal && floor && !hasCandidate(ctx, { task, floor, triedTargets })) {
      return { kind: "failed", ...refusal };
    }
  }
  // A read has no effects, so the client may safely retry it.
  return { kind: "failed", error: "overloaded", detail: reason };
}

/**
 * Returns the read floor for the task; undefined if only the primary may serve.
 */
function tryReadFloor(
  ctx: ExecutionContext,
  task: Task,
): AgedPosition | undefined {
  const { consistency, service } = task.route;
  return consistency.kind === "primary"
    ? undefined
    : ctx.getPositions(service).tryReadFloor({
      maxStaleMs: consistency.maxStaleMs,
      sessionPosition: consistency.kind === "session"
        ? task.lastCommitPosition
        : undefined,
    });
}

/** As `tryReadFloor`, but asks a peer if no position is recent enough. */
export async function tryFreshReadFloor(
  ctx: ExecutionContext,
  task: Task,
): Promise<AgedPosition | undefined> {
  const floor = tryReadFloor(ctx, task);
  if (floor || task.route.consistency.kind === "primary") {
    return floor;
  }
  await ctx.refreshPosition(task.route.service);
  return tryReadFloor(ctx, task);
}

function hasCandidate(
  ctx: ExecutionContext,
  options: Parameters<typeof rankCandidates>[1],
): boolean {
  return rankCandidates(ctx, options).length > 0;
}

/** Ranks the targets not yet tried for a read with a read floor. */
export function rankCandidates(
  ctx: ExecutionContext,
  options: {
    readonly task: Task;
    readonly floor: AgedPosition;
    readonly triedTargets: ReadonlySet<TargetId>;
  },
): readonly TargetRecord[] {
  const { task, floor, triedTargets } = options;
  const { service } = task.route;
  const targets = ctx.eligibility.listEligible(service, task)
    .filter(({ id }) => !triedTargets.has(id));
  return rankReadTargets(targets, {
    topology: ctx.topology,
    health: ctx.health,
    dispatcher: ctx.dispatcher,
    primary: ctx.primaries.tryPrimary(service),
    floor,
    workspace: task.workspace,
    context: task.context,
    isServed: ctx.cold.isServed,
    mayUseHolder: (host) => ctx.eligibility.mayForwardThrough(host, task),
  });
}

interface FloorRead {
  readonly task: Task;
  readonly floor: AgedPosition;
  readonly triedTargets: Set<TargetId>;
}

/** Sends the read, and hedges it on a second target if no answer comes. */
function readHedged(
  ctx: ExecutionContext,
  options: FloorRead,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    let pendingCount = 1;
    let hedgeTimer: NodeJS.Timeout | undefined;
    let pingTimer: NodeJS.Timeout | undefined;
    const settle = (attempt: AttemptResult) => {
      pendingCount--;
      // Where the client has left, the target may still answer the other read.
      const isGivenUp = options.task.signal?.aborted &&
        attempt.kind === "outcome" && attempt.outcome.kind === "failed";
      if (
        (attempt.kind === "outcome" && !isGivenUp) || pendingCount === 0
      ) {
        clearTimeout(hedgeTimer);
        resolve(attempt);
      }
    };
    const recordSilence = (checkout: Checkout, sentAt: number) => {
      if (!recordNoReply(ctx, checkout, { sentAt })) {
        checkout.pooled.link.pingHolder?.();
        pingTimer = setTimeout(
          () => recordNoReply(ctx, checkout, { sentAt }),
          HOLDER_PING_TIMEOUT_MS,
        );
      }
    };
    void readAboveFloor(ctx, {
      ...options,
      onSent(checkout) {
        const sentAt = nowMs();
        const usualMs = ctx.health.tryLatencyMs(checkout.target.id) ?? 0;
        hedgeTimer = setTimeout(() => {
          recordSilence(checkout, sentAt);
          if (options.task.signal?.aborted) {
            // The refusal of the hedge would replace the answer still to come.
            return;
          }
          ctx.io.log.info("read_hedged", {
            id: options.task.operation.id,
            silent: checkout.target.id,
          });
          pendingCount++;
          void readAboveFloor(ctx, options).then(settle);
        }, Math.max(MIN_HEDGE_DELAY_MS, usualMs * HEDGE_LATENCY_FACTOR));
      },
    }).then((attempt) => {
      // The first target has answered, or is recorded as silent already.
      clearTimeout(pingTimer);
      settle(attempt);
    });
  });
}

async function readAboveFloor(
  ctx: ExecutionContext,
  options: FloorRead & { onSent?(checkout: Checkout): void },
): Promise<AttemptResult> {
  const { task, floor, triedTargets } = options;
  const { context } = task;
  const acquired = await acquireConnection(ctx, task, {
    use: "read",
    listCandidates: () => rankCandidates(ctx, options),
  });
  if (acquired.isErr()) {
    return toFailedResult(acquired.error);
  }
  const checkout = acquired.value;
  triedTargets.add(checkout.target.id);
  options.onSent?.(checkout);
  const timeoutMs = getTimeLeftMs(task);
  const fault = await prepareConnection(checkout, { context, timeoutMs });
  if (fault) {
    checkout.release(false);
    return { kind: "retry", reason: describeReply(fault) };
  }
  const sentAt = nowMs();
  const reply = await sendWithTimeout(
    checkout,
    toCommand(task.operation, { checkout, after: floor.position }),
    getTimeLeftMs(task),
  );
  recordReply(ctx, checkout, { reply, latencyMs: nowMs() - sentAt, floor });
  checkout.release(isClean(reply));
  const attempt = toAttemptResult(reply);
  logRead(ctx, task, { checkout, attempt, floor });
  if (attempt.kind === "retry" && isBusy(reply)) {
    await sleep(BUSY_RETRY_DELAY_MS);
  }
  return attempt;
}

/**
 * Reads inside a read-write transaction that this host opens and rolls back. A
 * target that is no longer the primary refuses every statement in it.
 */
async function readAtPrimary(
  ctx: ExecutionContext,
  task: Task,
): Promise<AttemptResult> {
  const begun = await beginAtPrimary(ctx, task);
  switch (begun.kind) {
    case "refused":
      return toFailedResult(begun.failure);
    case "fault":
      return { kind: "retry", reason: begun.reason };
    case "begun":
      return await readInTransaction(ctx, task, begun.checkout);
    default:
      return assertNever(begun);
  }
}

async function readInTransaction(
  ctx: ExecutionContext,
  task: Task,
  checkout: Checkout,
): Promise<AttemptResult> {
  const sentAt = nowMs();
  const pendingReply = sendWithTimeout(
    checkout,
    toCommand(task.operation, { checkout }),
    getTimeLeftMs(task),
  );
  const pendingRollback = sendWithTimeout(
    checkout,
    { kind: "rollback" },
    getTimeLeftMs(task),
  );
  const reply = await pendingReply;
  recordReply(ctx, checkout, { reply, latencyMs: nowMs() - sentAt });
  if (reply.kind === "done" && reply.position) {
    recordPrimary(ctx, checkout, { position: reply.position, sentAt });
  }
  void pendingRollback.then((rollbackReply) =>
    checkout.release(reply.kind !== "silent" && isClean(rollbackReply))
  );
  const attempt = toAttemptResult(reply);
  logRead(ctx, task, { checkout, attempt });
  return attempt;
}

function toFailedResult(failure: PoolFailure): AttemptResult {
  return { kind: "outcome", outcome: { kind: "failed", ...failure } };
}

function toAttemptResult(reply: TimedReply): AttemptResult {
  if (reply.kind === "done") {
    const { rows, signature, position } = reply;
    return {
      kind: "outcome",
      outcome: { kind: "done", rows, signature, position },
    };
  }
  if (reply.kind === "error" && reply.code === "malformed") {
    const { detail } = reply;
    return {
      kind: "outcome",
      outcome: { kind: "failed", error: "malformed", detail },
    };
  }
  const refusal = tryGetLoadRefusal(reply);
  return {
    kind: "retry",
    reason: describeReply(reply),
    ...(refusal ? { refusal } : {}),
  };
}

function isBusy(reply: TimedReply): boolean {
  return reply.kind === "error" && reply.code === "busy";
}

function logRead(
  ctx: ExecutionContext,
  task: Task,
  options: {
    readonly checkout: Checkout;
    readonly attempt: AttemptResult;
    readonly floor?: AgedPosition;
  },
): void {
  const { checkout, attempt, floor } = options;
  const fields = {
    id: task.operation.id,
    workspace: task.workspace,
    service: task.route.service,
    target: checkout.target.id,
    floor: floor && `${floor.position.term}.${floor.position.pos}`,
    floorAgeMs: floor && Math.round(floor.ageMs),
    ms: Math.round(nowMs() - task.startedAt),
  };
  if (attempt.kind === "retry") {
    ctx.io.log.info("read_retried", { ...fields, reason: attempt.reason });
  } else {
    ctx.io.log.request("read_answered", {
      ...fields,
      outcome: attempt.outcome.kind,
    });
  }
}
