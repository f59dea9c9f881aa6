/**
 * Hands connections to targets out to statements: deadline-aware admission in
 * front of a queue ordered by priority.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import type { ServiceId, TargetId, WorkspaceId } from "../core/ids.ts";
import type { PoolFailure } from "./errors.ts";
import {
  planRound,
  type QueuedRequest,
  type RoundPlanner,
} from "./batching.ts";
import type { Health } from "./health.ts";
import type { RequiredContext } from "./link_context.ts";
import {
  createTargetPool,
  type LinkSource,
  type PooledLink,
  type TargetPool,
} from "./target_pool.ts";
import type { PoolIo, TargetRecord } from "./types.ts";

/** Most statements that wait for a connection on this host. */
const MAX_QUEUE_LENGTH = 400;
/** Weight of a new observation in the moving average of hold times. */
const EWMA_WEIGHT = 0.1;
/** Hold time that is assumed before the first one was seen. */
const DEFAULT_CHECKOUT_MS = 40;
/** Least time to come back, in milliseconds: about the work of a statement. */
const MIN_RETRY_AFTER_MS = 25;
/** A refused dial is tried again after this, in milliseconds. */
const DIAL_RETRY_MS = 25;

/** A request for a connection. */
export interface ConnectionRequest {
  readonly service: ServiceId;
  readonly workspace: WorkspaceId | undefined;
  readonly context?: RequiredContext;
  readonly priority: number;
  /** Latest time at which the connection is of use, on the monotonic clock. */
  readonly deadline: number;
  /** Targets that may serve, best first; looked at again while waiting. */
  listCandidates(): readonly TargetRecord[];
}

/** A connection in use. */
export interface Checkout {
  readonly pooled: PooledLink;
  readonly target: TargetRecord;
  /** Gives the connection back; one that is not clean is closed. */
  release(isClean: boolean): void;
}

/** Hands out connections. */
export interface Dispatcher {
  acquire(request: ConnectionRequest): Promise<Result<Checkout, PoolFailure>>;
  /** Connections in use at a target, as part of what is allowed. */
  getLoad(target: TargetId): number;
  /** How a connection could be had, for the ranking. */
  tryFindSource(
    target: TargetRecord,
    request: Pick<ConnectionRequest, "workspace" | "context">,
  ): LinkSource | undefined;
  /** Looks again at what waits. */
  serveQueue(): void;
  setCaps(getCap: (target: TargetRecord) => number): void;
  /** Closes all connections to a target that is gone or was replaced. */
  removeTarget(target: TargetId): void;
  close(): void;
}

interface Waiter extends QueuedRequest {
  readonly request: ConnectionRequest;
  settle(result: Result<Checkout, PoolFailure>): void;
}

/** Creates a dispatcher without connections. */
export function createDispatcher(
  io: PoolIo,
  options: {
    readonly health: Health;
    /** Name under which connections without a workspace are opened. */
    getDefaultWorkspace(): WorkspaceId | undefined;
    /** Order in which waiting statements are served; batched by default. */
    readonly plan?: RoundPlanner;
  },
): Dispatcher {
  const { health, plan = planRound } = options;
  const pools = new Map<TargetId, TargetPool>();
  const queue: Waiter[] = [];
  const averageCheckoutMs = new Map<ServiceId, number>();
  let getCap: (target: TargetRecord) => number = () => 1;
  let isServing = false;

  function getPool(target: TargetRecord): TargetPool {
    const found = pools.get(target.id);
    if (found && found.target.incarnation === target.incarnation) {
      return found;
    }
    found?.close();
    const pool = createTargetPool(io, { target, health });
    pool.setCap(getCap(target));
    pools.set(target.id, pool);
    return pool;
  }

  /** A hold from `since` on, when the connection was taken or dialed. */
  function createCheckout(
    pool: TargetPool,
    { pooled, since }: { readonly pooled: PooledLink; readonly since: number },
  ): Checkout {
    const { target } = pool;
    let isReleased = false;
    return {
      pooled,
      target,
      release(isClean) {
        if (isReleased) {
          return;
        }
        isReleased = true;
        const previous = averageCheckoutMs.get(target.service) ??
          DEFAULT_CHECKOUT_MS;
        averageCheckoutMs.set(
          target.service,
          previous + EWMA_WEIGHT * (nowMs() - since - previous),
        );
        pool.release(pooled, isClean);
        serveQueue();
        pool.closeIfSurplus(pooled);
      },
    };
  }

  /** Starts to serve a waiter; false if nothing is free for it. */
  function tryServe(
    waiter: Waiter,
    { isOwnOnly: isOwnWorkspaceOnly }: { readonly isOwnOnly: boolean } = {
      isOwnOnly: false,
    },
  ): boolean {
    const { request: request } = waiter;
    for (const target of request.listCandidates()) {
      const pool = getPool(target);
      const option = pool.tryFindSource({
        workspace: request.workspace,
        context: request.context,
      });
      if (!option) {
        continue;
      }
      if (option.kind === "idle") {
        const { pooled } = option;
        pool.markBusy(pooled);
        waiter.settle(Ok(createCheckout(pool, { pooled, since: nowMs() })));
        return true;
      }
      if (isOwnWorkspaceOnly) {
        continue;
      }
      const workspace = request.workspace ?? options.getDefaultWorkspace();
      if (workspace === undefined) {
        continue;
      }
      void dial(waiter, {
        pool,
        workspace,
        ...(option.kind === "replace" ? { replaced: option.pooled } : {}),
      });
      return true;
    }
    return false;
  }

  async function dial(
    waiter: Waiter,
    dialOptions: {
      readonly pool: TargetPool;
      readonly workspace: WorkspaceId;
      readonly replaced?: PooledLink;
    },
  ): Promise<void> {
    const { pool, workspace, replaced } = dialOptions;
    const since = nowMs();
    const dialed = await pool.dial(workspace, replaced);
    if (dialed.isOk()) {
      waiter.settle(Ok(createCheckout(pool, { pooled: dialed.value, since })));
      return;
    }
    if (dialed.error.code !== "too_many_connections") {
      health.recordFailure(pool.target.id);
    }
    if (nowMs() + DIAL_RETRY_MS >= waiter.request.deadline) {
      waiter.settle(Err(createRefusal(waiter.request)));
      return;
    }
    setTimeout(() => {
      if (!tryServe(waiter)) {
        enqueue(waiter);
      }
    }, DIAL_RETRY_MS);
  }

  function enqueue(waiter: Waiter): void {
    const { priority } = waiter.request;
    let index = queue.length;
    while (index > 0) {
      const ahead = queue[index - 1]!;
      const isBehind = ahead.request.priority < priority ||
        (ahead.request.priority === priority && ahead.since <= waiter.since);
      if (isBehind) {
        break;
      }
      index--;
    }
    queue.splice(index, 0, waiter);
  }

  /** Expected wait of a further statement of the service. */
  function getExpectedWaitMs(request: ConnectionRequest): number {
    const aheadCount =
      queue.filter((waiter) =>
        waiter.request.service === request.service &&
        waiter.request.priority <= request.priority
      ).length;
    const connectionCount = request.listCandidates().reduce(
      (sum, target) => sum + Math.max(1, getCap(target)),
      0,
    );
    const averageMs = averageCheckoutMs.get(request.service) ??
      DEFAULT_CHECKOUT_MS;
    return connectionCount === 0
      ? Infinity
      : ((aheadCount + 1) * averageMs) / connectionCount;
  }

  function createRefusal(request: ConnectionRequest): PoolFailure {
    const hasNoCandidate = request.listCandidates().length === 0;
    const expectedWaitMs = getExpectedWaitMs(request);
    const retryAfterMs = Number.isFinite(expectedWaitMs)
      ? Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs) * (1 + io.random())
      : undefined;
    return {
      error: hasNoCandidate ? "no_primary" : "overloaded",
      detail: `${queue.length} statements wait`,
      ...(retryAfterMs ? { retryAfterMs: Math.ceil(retryAfterMs) } : {}),
    };
  }

  function serveQueue(): void {
    if (isServing) {
      return;
    }
    isServing = true;
    for (
      const { waiter, isOwnWorkspaceOnly: isOwnOnly } of plan(queue, nowMs())
    ) {
      const index = queue.indexOf(waiter);
      if (index >= 0 && tryServe(waiter, { isOwnOnly })) {
        const remainingIndex = queue.indexOf(waiter);
        if (remainingIndex >= 0) {
          queue.splice(remainingIndex, 1);
        }
      }
    }
    isServing = false;
  }

  function acquire(
    request: ConnectionRequest,
  ): Promise<Result<Checkout, PoolFailure>> {
    const since = nowMs();
    return new Promise((resolve) => {
      let isSettled = false;
      const waiter: Waiter = {
        request: request,
        since,
        deadline: request.deadline,
        settle(result) {
          if (isSettled) {
            // The statement gave up while its connection was being opened.
            if (result.isOk()) {
              result.value.release(true);
            }
            return;
          }
          isSettled = true;
          clearTimeout(timer);
          const index = queue.indexOf(waiter);
          if (index >= 0) {
            queue.splice(index, 1);
          }
          io.metrics.observe("queue_ms", nowMs() - since, {
            service: request.service,
          });
          resolve(result);
        },
      };
      const remainingMs = request.deadline - since;
      const timer = setTimeout(
        () => waiter.settle(Err(createRefusal(request))),
        Math.max(0, remainingMs),
      );
      if (tryServe(waiter)) {
        return;
      }
      if (queue.length >= MAX_QUEUE_LENGTH) {
        waiter.settle(Err(createRefusal(request)));
        return;
      }
      const expectedWaitMs = getExpectedWaitMs(request);
      if (Number.isFinite(expectedWaitMs) && expectedWaitMs > remainingMs) {
        waiter.settle(Err(createRefusal(request)));
        return;
      }
      enqueue(waiter);
    });
  }

  return {
    acquire,
    getLoad(target) {
      const pool = pools.get(target);
      return pool ? pool.countBusy() / Math.max(1, getCap(pool.target)) : 0;
    },
    tryFindSource: (target, request) =>
      getPool(target).tryFindSource({
        workspace: request.workspace,
        context: request.context,
      }),
    serveQueue: serveQueue,
    setCaps(nextCap) {
      getCap = nextCap;
      for (const pool of pools.values()) {
        pool.setCap(getCap(pool.target));
      }
      serveQueue();
    },
    removeTarget(target) {
      pools.get(target)?.close();
      pools.delete(target);
      health.removeTarget(target);
    },
    close() {
      for (const waiter of [...queue]) {
        waiter.settle(Err({ error: "stopping" }));
      }
      pools.forEach((pool) => pool.close());
    },
  };
}
