/** Execution of single statements on acquired connections. */

import type { Result } from "ts-results-es";
import { nowMs, withTimeout } from "../core/clock.ts";
import type { ReqId, ServiceId, TargetId, WorkspaceId } from "../core/ids.ts";
import type { CatalogHolder } from "./catalog.ts";
import type { ClockJumpDetector } from "./clock_jumps.ts";
import type { ColdTargets } from "./cold_targets.ts";
import type { CommitBarrier } from "./commit_barrier.ts";
import type { Directory } from "./directory.ts";
import type { TargetEligibility, TargetUse } from "./target_eligibility.ts";
import type { Checkout, Dispatcher } from "./dispatch.ts";
import type { PoolFailure } from "./errors.ts";
import type { AgedPosition, PositionHistory } from "./position_history.ts";
import type { Forwarder } from "./forwarder.ts";
import type { Health } from "./health.ts";
import type { PrimaryTracker } from "./primary_tracker.ts";
import {
  applyContext,
  getPreparedName,
  type RequiredContext,
} from "./link_context.ts";
import type {
  Access,
  PoolIo,
  Position,
  PreparedStatement,
  Route,
  TargetCommand,
  TargetRecord,
  TargetReply,
  Topology,
} from "./types.ts";

/** Commit that a primary has acknowledged. */
export interface AcknowledgedCommit {
  readonly position: Position;
  readonly primary: TargetId;
  /** Time to wait for a receipt, in milliseconds. */
  readonly timeoutMs: number;
}

/** Receipts of commits, see `createCommitReceipts`. */
export interface CommitReceipts {
  /**
   * Waits until a recorded replica is known to have received the commit, or the
   * store to name it; false if neither is in time.
   */
  waitUntilSafe(
    service: ServiceId,
    commit: AcknowledgedCommit,
  ): Promise<boolean>;
}

/** Dependencies of statement execution. */
export interface ExecutionContext {
  readonly io: PoolIo;
  readonly topology: Topology;
  readonly eligibility: TargetEligibility;
  readonly cold: ColdTargets;
  readonly catalog: CatalogHolder;
  readonly directory: Directory;
  readonly primaries: PrimaryTracker;
  readonly barrier: CommitBarrier;
  readonly receipts: CommitReceipts;
  readonly health: Health;
  readonly forwarder: Forwarder;
  readonly dispatcher: Dispatcher;
  readonly clockJumps: ClockJumpDetector;
  getPositions(service: ServiceId): PositionHistory;
  /** Asks a peer for the position of a primary and waits for the reply. */
  refreshPosition(service: ServiceId): Promise<void>;
}

/** A session's statement to be executed by a target. */
export interface Operation {
  readonly id: ReqId;
  readonly access: Access;
  readonly text: string;
  /** Prepared statement to be executed with `args`, if any. */
  readonly prepared?: {
    readonly statement: PreparedStatement;
    readonly args: string;
  };
}

/** An operation with the session state that it depends on. */
export interface Task {
  readonly operation: Operation;
  readonly route: Route;
  readonly workspace: WorkspaceId;
  readonly context: RequiredContext;
  /** Position of the session's last commit on this service. */
  readonly lastCommitPosition: Position | undefined;
  /** Time at which the statement arrived, on the monotonic clock. */
  readonly startedAt: number;
  /** Aborted when the client leaves. */
  readonly signal?: AbortSignal;
}

/** Outcome of an operation. */
export type Outcome =
  | {
    readonly kind: "done";
    readonly rows: readonly string[];
    readonly signature: string;
    readonly position: Position | undefined;
  }
  | ({ readonly kind: "failed" } & PoolFailure);

/**
 * Fraction of the latency objective that may be spent waiting for a connection.
 */
const MAX_QUEUE_WAIT_FRACTION = 0.5;

/** Targets among which a connection may be chosen. */
export interface TargetChoice {
  readonly use: TargetUse;
  /** Lists the targets, best first; evaluated again while waiting. */
  listCandidates(): readonly TargetRecord[];
}

/** Returns how long a statement may wait for a connection, in milliseconds. */
export function getMaxQueueWaitMs({ objectiveMs }: Route): number {
  return objectiveMs * MAX_QUEUE_WAIT_FRACTION;
}

/**
 * Acquires a connection to one of the candidates, within the queueing limit.
 */
export function acquireConnection(
  ctx: ExecutionContext,
  task: Task,
  { use, listCandidates }: TargetChoice,
): Promise<Result<Checkout, PoolFailure>> {
  const { eligibility } = ctx;
  const { route, workspace, context, startedAt } = task;
  return ctx.dispatcher.acquire({
    service: route.service,
    workspace,
    context,
    priority: route.priority,
    deadline: Math.max(
      startedAt + getMaxQueueWaitMs(route),
      nowMs() + 1,
    ),
    objectiveAt: startedAt + route.objectiveMs,
    signal: task.signal,
    listCandidates,
    tryRefuse: () => eligibility.tryRefuse(task, use),
    isEligible: (target) => eligibility.isEligibleFor(target, task),
    mayUseHolder: (host) => eligibility.mayForwardThrough(host, task),
  });
}

/** Returns the time left until the statement times out, in milliseconds. */
export function getTimeLeftMs(task: Task): number {
  const deadline = task.startedAt + task.route.statementTimeoutMs;
  return Math.max(0, deadline - nowMs());
}

/** Records the position of a target that has proved to be the primary. */
export function recordPrimary(
  ctx: ExecutionContext,
  checkout: Checkout,
  options: { readonly position: Position; readonly sentAt: number },
): void {
  const { service, id } = checkout.target;
  const { position, sentAt: askedAt } = options;
  ctx.primaries.applyEvidence(service, id, {
    kind: "answered",
    term: position.term,
  });
  ctx.getPositions(service).record(position, askedAt);
}

/** A reply to a command, or `silent` if none came in time. */
export type TimedReply = TargetReply | { readonly kind: "silent" };

/** Sends a command and waits at most `timeoutMs` for the reply. */
export function sendWithTimeout(
  checkout: Checkout,
  command: TargetCommand,
  timeoutMs: number,
): Promise<TimedReply> {
  return withTimeout<TimedReply>(checkout.pooled.link.send(command), {
    ms: Math.max(0, timeoutMs),
    fallback: { kind: "silent" },
  });
}

/**
 * Applies the required context to the connection and pipelines the optional
 * follow-up command behind it. Returns the first reply that is not `done`;
 * undefined if all commands succeeded.
 */
export async function prepareConnection(
  checkout: Checkout,
  options: {
    readonly context: RequiredContext;
    readonly followUp?: TargetCommand;
    readonly timeoutMs: number;
  },
): Promise<TimedReply | undefined> {
  const commands = applyContext(checkout.pooled.context, options.context);
  if (options.followUp) {
    commands.push(options.followUp);
  }
  const replies = await Promise.all(
    commands.map((command) =>
      sendWithTimeout(checkout, command, options.timeoutMs)
    ),
  );
  return replies.find((reply) => reply.kind !== "done");
}

/** Creates the command that executes the operation on this connection. */
export function toCommand(
  operation: Operation,
  options: {
    readonly checkout: Checkout;
    readonly after?: Position | undefined;
  },
): TargetCommand {
  const { id, text, prepared } = operation;
  const after = options.after ? { after: options.after } : {};
  if (!prepared) {
    return { kind: "run", id, text, ...after };
  }
  const name = getPreparedName(
    options.checkout.pooled.context,
    prepared.statement,
  );
  return { kind: "execute", id, name, args: prepared.args, ...after };
}

/**
 * Returns the outcome of a commit that a primary acknowledged: in doubt if a
 * failover may discard it, or may have done so.
 */
export async function confirmCommit(
  ctx: ExecutionContext,
  task: Task,
  commit: {
    readonly outcome: Extract<Outcome, { readonly kind: "done" }>;
    readonly primary: TargetId;
  },
): Promise<Outcome> {
  const { service } = task.route;
  const { outcome, primary } = commit;
  const term = outcome.position?.term ?? ctx.primaries.getTerm(service);
  // The barrier is asked last: a later failover counts the copy that received.
  const isSafe = await isCommitSafe(ctx, task, {
    position: outcome.position,
    primary,
  });
  const isOpen = isSafe && await ctx.barrier.waitUntilOpen(service, {
    term,
    timeoutMs: getTimeLeftMs(task),
  });
  if (isOpen) {
    return outcome;
  }
  ctx.io.log.info("commit_withheld", {
    id: task.operation.id,
    workspace: task.workspace,
    service,
    primary,
    term,
    position: outcome.position?.pos,
    isSafe,
    state: ctx.barrier.getState(service, term),
  });
  return {
    kind: "failed",
    error: "in_doubt",
    detail: isSafe
      ? "the primary was replaced without having stepped down"
      : "no recorded replica has confirmed the commit",
  };
}

/** Whether no failover can discard the commit, if the service has replicas. */
async function isCommitSafe(
  ctx: ExecutionContext,
  task: Task,
  { position, primary }: {
    readonly position: Position | undefined;
    readonly primary: TargetId;
  },
): Promise<boolean> {
  const { service } = task.route;
  const { syncReplicas = 0 } = ctx.catalog.tryGet()?.services.get(service) ??
    {};
  return syncReplicas === 0 ||
    (position !== undefined &&
      await ctx.receipts.waitUntilSafe(service, {
        position,
        primary,
        timeoutMs: getTimeLeftMs(task),
      }));
}

/**
 * Chooses the primary as the only candidate, or no target while the primary is
 * suspect or may be replaced: a write that has not been sent can still be
 * refused as not run.
 */
export function choosePrimary(
  ctx: ExecutionContext,
  scope: Pick<Task, "route" | "workspace">,
): TargetChoice {
  return {
    use: "primary",
    listCandidates() {
      const { service } = scope.route;
      const id = ctx.primaries.tryPrimary(service);
      const target = id && ctx.directory.tryGet(id);
      return target && ctx.eligibility.isEligibleFor(target, scope) &&
          !ctx.health.isSuspect(target.id) &&
          ctx.barrier.getState(service, ctx.primaries.getTerm(service)) !==
            "pending"
        ? [target]
        : [];
    },
  };
}

/**
 * Records what a reply reveals about the target's health, position and role.
 */
export function recordReply(
  ctx: ExecutionContext,
  checkout: Checkout,
  options: {
    readonly reply: TimedReply;
    readonly latencyMs: number;
    /** Read floor that the command carried. */
    readonly floor?: AgedPosition | undefined;
  },
): void {
  const { reply, latencyMs, floor } = options;
  const { id } = checkout.target;
  switch (reply.kind) {
    case "done":
      ctx.forwarder.recordPathSuccess(id, checkout.pooled.link.holder);
      ctx.health.recordSuccess(id, {
        latencyMs,
        position: reply.position,
      });
      return;
    case "error":
      if (reply.code === "lagging") {
        ctx.health.recordLagging(id, floor?.ageMs ?? 0);
      } else if (reply.code === "target_down") {
        ctx.health.recordDown(id);
      } else if (reply.code === "read_only") {
        ctx.primaries.applyEvidence(checkout.target.service, id, {
          kind: "denied",
        });
      }
      return;
    case "lost":
    case "silent":
      recordNoReply(ctx, checkout, { sentAt: nowMs() - latencyMs });
      return;
  }
}

/**
 * Records that a command got no reply. It is the target's failure only if the
 * holder was heard from since; else the link to the holder may have failed, as
 * in a network partition between hosts. Returns whether a failure was recorded.
 */
export function recordNoReply(
  ctx: ExecutionContext,
  checkout: Checkout,
  { sentAt }: { readonly sentAt: number },
): boolean {
  const { link } = checkout.pooled;
  const isHolderAlive = link.wasHolderHeardAfter?.(sentAt) ?? true;
  if (isHolderAlive) {
    ctx.forwarder.recordPathFailure(checkout.target.id, link.holder);
    ctx.health.recordFailure(checkout.target.id);
  }
  return isHolderAlive;
}

/** Returns the failure to tell if a holder refused a command for load. */
export function tryGetLoadRefusal(reply: TimedReply): PoolFailure | undefined {
  return reply.kind === "error" && reply.retryAfterMs !== undefined
    ? {
      error: "overloaded",
      detail: reply.detail,
      retryAfterMs: Math.ceil(reply.retryAfterMs),
    }
    : undefined;
}

/** Whether the connection may be reused by another session after this reply. */
export function isClean(reply: TimedReply): boolean {
  return (reply.kind === "done" || reply.kind === "error") &&
    reply.state === "idle";
}

/** Describes a reply for logs and clients. */
export function describeReply(reply: TimedReply): string {
  switch (reply.kind) {
    case "done":
      return "done";
    case "error":
      return `the target answered ${reply.code}`;
    case "lost":
      return `the connection to the target was lost: ${reply.detail}`;
    case "silent":
      return "the target did not answer in time";
  }
}
