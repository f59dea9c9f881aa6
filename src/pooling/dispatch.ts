/**
 * Assigns connections to statements: deadline-aware admission control in front
 * of a queue ordered by priority.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import type { HostId, ServiceId, TargetId, WorkspaceId } from "../core/ids.ts";
import { moveAverage } from "../core/moving_average.ts";
import type { PoolFailure } from "./errors.ts";
import {
  planRound,
  type QueuedRequest,
  type RoundPlanner,
} from "./batching.ts";
import type { Health } from "./health.ts";
import type { ColdReservation, ColdTargets } from "./cold_targets.ts";
import type { Forwarder } from "./forwarder.ts";
import { createLinkContext, type RequiredContext } from "./link_context.ts";
import {
  createTargetPool,
  isSameProcess,
  type LinkSource,
  type PooledLink,
  type TargetPool,
} from "./target_pool.ts";
import type {
  ConnectionAllowance,
  PoolIo,
  TargetLink,
  TargetRecord,
} from "./types.ts";

/** Maximum number of statements on this host that wait for a connection. */
const MAX_QUEUE_LENGTH = 400;
/** Weight of a new sample in the moving average of checkout durations. */
const EWMA_WEIGHT = 0.1;
/** Checkout duration that is assumed until one has been measured. */
const DEFAULT_CHECKOUT_MS = 40;
/**
 * Minimum retry delay for refused clients: about the duration of a statement.
 */
const MIN_RETRY_AFTER_MS = 25;
/** Delay before a failed dial is retried. */
const DIAL_RETRY_MS = 25;

/** Allowance until one is set. */
const DEFAULT_ALLOWANCE: ConnectionAllowance = { cap: 1, idleCap: 1 };

/** A request for a connection. */
export interface ConnectionRequest {
  readonly service: ServiceId;
  readonly workspace: WorkspaceId | undefined;
  readonly context?: RequiredContext;
  readonly priority: number;
  /** Time after which the connection is useless, on the monotonic clock. */
  readonly deadline: number;
  /** Whether only connections of this host may be used. */
  readonly isLocalOnly?: boolean;
  /** Lists eligible targets, best first; evaluated again while waiting. */
  listCandidates(): readonly TargetRecord[];
  /** Returns why no target may serve the request now; undefined by default. */
  tryRefuse?(): PoolFailure | undefined;
  /**
   * Whether the target may still serve the request once its connection is
   * open; true by default.
   */
  isEligible?(target: TargetRecord): boolean;
  /** Whether the request may be forwarded to the host; true by default. */
  mayUseHolder?(host: HostId): boolean;
}

/** A pooled connection in exclusive use by its holder until released. */
export interface Checkout {
  readonly pooled: PooledLink;
  readonly target: TargetRecord;
  /** Returns the connection to the pool, or closes it if it is not clean. */
  release(isClean: boolean): void;
}

/** Assigns connections to requests. */
export interface Dispatcher {
  acquire(request: ConnectionRequest): Promise<Result<Checkout, PoolFailure>>;
  /**
   * Returns this host's connections in use at a target, as a fraction of its
   * cap, plus the forwarded ones as a fraction of the target's slots.
   */
  getLoad(target: TargetRecord): number;
  /** Returns how a connection could be obtained now; used for ranking. */
  tryFindSource(
    target: TargetRecord,
    request: Pick<
      ConnectionRequest,
      "workspace" | "context" | "mayUseHolder"
    >,
  ): LinkSource | { readonly kind: "forward" } | undefined;
  /** Serves the queued requests that can get a connection now. */
  serveQueue(): void;
  /** Refuses the waiting requests that no target may serve any more. */
  refuseWaiting(): void;
  /** Sets how many connections this host may have to each target. */
  setAllowances(
    getAllowance: (target: TargetRecord) => ConnectionAllowance,
  ): void;
  /**
   * Stops the use of a target whose record is gone or names another process.
   * Connections at work stay until they are released, or until a request names
   * another process of the target.
   */
  removeTarget(target: TargetId): void;
  /** Closes all connections; all requests fail with `stopping` from then on. */
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
    /**
     * Workspace under which connections are opened for requests without one.
     */
    getDefaultWorkspace(): WorkspaceId | undefined;
    /** Provides connections that other hosts hold; none by default. */
    readonly forwarder?: Pick<
      Forwarder,
      "isForwarded" | "tryOpenLink" | "recordPathFailure"
    >;
    /** Limits of cold targets; none by default. */
    readonly cold?: Pick<ColdTargets, "tryReserve" | "recordGiven">;
    /** Order in which queued requests are served; batched by default. */
    readonly plan?: RoundPlanner;
  },
): Dispatcher {
  const { health, forwarder, cold, plan = planRound } = options;
  const pools = new Map<TargetId, TargetPool>();
  const queue: Waiter[] = [];
  /** Requests without a result: queued, dialing, or about to dial again. */
  const waiters = new Set<Waiter>();
  const averageCheckoutMs = new Map<ServiceId, number>();
  let getAllowance: (target: TargetRecord) => ConnectionAllowance = () =>
    DEFAULT_ALLOWANCE;
  /** Number of forwarded checkouts at each target. */
  const forwardedCounts = new Map<TargetId, number>();
  let isServing = false;
  let isClosed = false;

  function getPool(target: TargetRecord): TargetPool {
    const existing = pools.get(target.id);
    if (existing && isSameProcess(existing.target, target)) {
      existing.restore();
      return existing;
    }
    existing?.close();
    const pool = createTargetPool(io, { target, health });
    pool.setAllowance(getAllowance(target));
    pools.set(target.id, pool);
    return pool;
  }

  function dropIfAbandoned(pool: TargetPool): void {
    if (pool.isAbandoned() && pools.get(pool.target.id) === pool) {
      pools.delete(pool.target.id);
    }
  }

  /** Creates a checkout; `since` is when the connection was taken or dialed. */
  function createCheckout(
    pool: TargetPool,
    { pooled, since, reservation }: {
      readonly pooled: PooledLink;
      readonly since: number;
      readonly reservation: ColdReservation | undefined;
    },
  ): Checkout {
    const { target } = pool;
    pooled.onStatement = reservation?.recordSent;
    let isReleased = false;
    return {
      pooled,
      target,
      release(isClean) {
        if (isReleased) {
          return;
        }
        isReleased = true;
        pooled.onStatement = undefined;
        reservation?.release();
        const previous = averageCheckoutMs.get(target.service) ??
          DEFAULT_CHECKOUT_MS;
        averageCheckoutMs.set(
          target.service,
          moveAverage(previous, {
            sample: nowMs() - since,
            weight: EWMA_WEIGHT,
          }),
        );
        pool.release(pooled, isClean);
        dropIfAbandoned(pool);
        serveQueue();
        pool.closeIfSurplus(pooled);
      },
    };
  }

  /** Creates a checkout of a connection that another host holds. */
  function createForwardedCheckout(
    target: TargetRecord,
    link: TargetLink,
  ): Checkout {
    const { id } = target;
    forwardedCounts.set(id, (forwardedCounts.get(id) ?? 0) + 1);
    let isReleased = false;
    return {
      pooled: {
        link,
        context: createLinkContext(),
        usedAt: nowMs(),
        isBusy: true,
      },
      target,
      release() {
        if (!isReleased) {
          isReleased = true;
          forwardedCounts.set(id, (forwardedCounts.get(id) ?? 1) - 1);
          link.close();
        }
      },
    };
  }

  /**
   * Gives the waiter an idle connection or starts to dial one; returns false if
   * neither is possible.
   */
  function tryServe(
    waiter: Waiter,
    { isOwnWorkspaceOnly }: { readonly isOwnWorkspaceOnly: boolean } = {
      isOwnWorkspaceOnly: false,
    },
  ): boolean {
    const { request } = waiter;
    for (const target of request.listCandidates()) {
      const forwarded = request.isLocalOnly
        ? undefined
        : forwarder?.tryOpenLink(target, request);
      if (forwarded) {
        waiter.settle(Ok(createForwardedCheckout(target, forwarded)));
        return true;
      }
      const pool = getPool(target);
      const source = pool.tryFindSource({
        workspace: request.workspace,
        context: request.context,
      });
      if (!source) {
        continue;
      }
      if (source.kind !== "idle" && isOwnWorkspaceOnly) {
        continue;
      }
      const workspace = request.workspace ?? options.getDefaultWorkspace();
      if (source.kind !== "idle" && workspace === undefined) {
        continue;
      }
      // Requests without a workspace run no statements.
      const reservation = request.workspace && cold?.tryReserve(target);
      if (request.workspace && cold && !reservation) {
        continue;
      }
      if (source.kind === "idle") {
        const { pooled } = source;
        pool.markBusy(pooled);
        waiter.settle(
          Ok(createCheckout(pool, { pooled, since: nowMs(), reservation })),
        );
        return true;
      }
      void dial(waiter, {
        pool,
        workspace: workspace!,
        reservation,
        ...(source.kind === "replace" ? { replaced: source.pooled } : {}),
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
      readonly reservation: ColdReservation | undefined;
      readonly replaced?: PooledLink;
    },
  ): Promise<void> {
    const { pool, workspace, reservation, replaced } = dialOptions;
    const since = nowMs();
    const dialed = await pool.dial(workspace, replaced);
    if (dialed.isOk() && waiter.request.isEligible?.(pool.target) === false) {
      createCheckout(pool, { pooled: dialed.value, since, reservation })
        .release(true);
      if (waiters.has(waiter) && !tryServe(waiter)) {
        enqueue(waiter);
      }
      return;
    }
    if (dialed.isOk()) {
      waiter.settle(
        Ok(createCheckout(pool, { pooled: dialed.value, since, reservation })),
      );
      return;
    }
    reservation?.release();
    dropIfAbandoned(pool);
    if (isClosed) {
      return;
    }
    if (dialed.error.code !== "too_many_connections") {
      forwarder?.recordPathFailure(pool.target.id);
      health.recordFailure(pool.target.id);
    }
    if (nowMs() + DIAL_RETRY_MS >= waiter.request.deadline) {
      waiter.settle(Err(createRefusal(waiter.request)));
      return;
    }
    setTimeout(() => {
      if (waiters.has(waiter) && !tryServe(waiter)) {
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

  /** Estimates how long a further statement of the service would wait. */
  function getExpectedWaitMs(request: ConnectionRequest): number {
    const aheadCount =
      queue.filter((waiter) =>
        waiter.request.service === request.service &&
        waiter.request.priority <= request.priority
      ).length;
    const connectionCount = request.listCandidates().reduce(
      (sum, target) => sum + getAllowance(target).cap,
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
      const { waiter, isOwnWorkspaceOnly } of plan(queue, nowMs())
    ) {
      const index = queue.indexOf(waiter);
      if (index >= 0 && tryServe(waiter, { isOwnWorkspaceOnly })) {
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
    if (isClosed) {
      return Promise.resolve(Err({ error: "stopping" }));
    }
    const refusal = request.tryRefuse?.();
    if (refusal) {
      return Promise.resolve(Err(refusal));
    }
    const since = nowMs();
    return new Promise((resolve) => {
      const waiter: Waiter = {
        request,
        since,
        deadline: request.deadline,
        settle(result) {
          if (!waiters.delete(waiter)) {
            // The request timed out while its connection was being opened, or
            // the dispatcher was closed.
            if (result.isOk()) {
              result.value.release(true);
            }
            return;
          }
          clearTimeout(timer);
          const index = queue.indexOf(waiter);
          if (index >= 0) {
            queue.splice(index, 1);
          }
          if (request.workspace) {
            result.map(({ target }) => cold?.recordGiven(target));
          }
          io.metrics.observe("queue_ms", nowMs() - since, {
            service: request.service,
          });
          resolve(result);
        },
      };
      waiters.add(waiter);
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
    getLoad({ id, slots }) {
      const pool = pools.get(id);
      const ownLoad = pool
        ? pool.countBusy() / getAllowance(pool.target).cap
        : 0;
      return ownLoad + (forwardedCounts.get(id) ?? 0) / Math.max(1, slots);
    },
    tryFindSource: (target, { workspace, context, mayUseHolder }) =>
      forwarder?.isForwarded(target, { workspace, mayUseHolder })
        ? { kind: "forward" }
        : getPool(target).tryFindSource({ workspace, context }),
    serveQueue,
    refuseWaiting() {
      for (const waiter of [...waiters]) {
        const refusal = waiter.request.tryRefuse?.();
        if (refusal) {
          waiter.settle(Err(refusal));
        }
      }
    },
    setAllowances(nextAllowance) {
      getAllowance = nextAllowance;
      for (const pool of pools.values()) {
        pool.setAllowance(getAllowance(pool.target));
      }
      serveQueue();
    },
    removeTarget(target) {
      const pool = pools.get(target);
      if (pool) {
        pool.retire();
        dropIfAbandoned(pool);
      }
      health.removeTarget(target);
    },
    close() {
      isClosed = true;
      for (const waiter of [...waiters]) {
        waiter.settle(Err({ error: "stopping" }));
      }
      pools.forEach((pool) => pool.close());
    },
  };
}
