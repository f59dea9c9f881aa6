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
import type { AgedWait, PriorityWait } from "./wait_reports.ts";
import { getWaitRetryAfterMs } from "./wait_admission.ts";
import type { Health } from "./health.ts";
import type { ColdReservation, ColdTargets } from "./cold_targets.ts";
import type { Forwarder } from "./forwarder.ts";
import { type CapacityLimit, createCapacityLimit } from "./capacity_limit.ts";
import { createSlotLink } from "./slot_link.ts";
import {
  createSlotScheduler,
  type Slot,
  type SlotScheduler,
  type SlotStatement,
} from "./slot_scheduler.ts";
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
  TargetCommand,
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
/**
 * Expected wait for a slot of this host up to which another target is not tried,
 * in milliseconds: a round trip between regions.
 */
const MAX_LOCAL_WAIT_MS = 40;

/**
 * Commands whose service times show the load of a target; the others only
 * change the state of a connection.
 */
const MEASURED_KINDS: ReadonlySet<TargetCommand["kind"]> = new Set([
  "begin",
  "run",
  "execute",
  "commit",
]);

/** Result of a request whose client left; nobody is told. */
const CLIENT_LEFT: PoolFailure = {
  error: "overloaded",
  detail: "the client has left",
};

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
  /**
   * Time by which the statement has to be answered, on the monotonic clock;
   * the deadline by default.
   */
  readonly objectiveAt?: number;
  /** Aborted when the client leaves: the request then loses its place. */
  readonly signal?: AbortSignal | undefined;
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
   * cap, or its statements there as a multiple of its scheduled slots, plus the
   * forwarded ones as a fraction of the target's slots.
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
  /**
   * Returns how long a new statement would wait for a slot of the target, here
   * or at the holder that it would be forwarded to; undefined where slots are
   * not scheduled and without a recent report of the holder.
   */
  tryGetExpectedWait(
    target: TargetRecord,
    request: Pick<ConnectionRequest, "workspace" | "priority">,
  ): AgedWait | undefined;
  /** Whether `tryGetExpectedWait` can know a wait at any target. */
  hasExpectedWaits(): boolean;
  /** Lists a workspace's expected waits for this host's slots at a target. */
  listExpectedWaits(
    target: TargetId,
    workspace: WorkspaceId,
  ): readonly PriorityWait[];
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
  /** Place among the statements that wait for a slot, if it waits for one. */
  place: SlotPlace | undefined;
  settle(result: Result<Checkout, PoolFailure>): void;
}

interface SlotPlace {
  readonly target: TargetRecord;
  readonly scheduler: SlotScheduler;
  readonly statement: SlotStatement;
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
      | "isForwarded"
      | "tryOpenLink"
      | "tryGetWait"
      | "hasWaits"
      | "recordPathFailure"
    >;
    /** Limits of cold targets; none by default. */
    readonly cold?: Pick<ColdTargets, "tryReserve" | "recordGiven">;
    /** Order in which queued requests are served; batched by default. */
    readonly plan?: RoundPlanner;
    /**
     * Returns how many statements this host may run at once at a target whose
     * slots are scheduled; undefined for other targets and by default.
     */
    tryGetSlotBudget?(target: TargetRecord): number | undefined;
  },
): Dispatcher {
  const { health, forwarder, cold, plan = planRound } = options;
  const pools = new Map<TargetId, TargetPool>();
  const queue: Waiter[] = [];
  /** Requests without a result: queued, dialing, or about to dial again. */
  const waiters = new Set<Waiter>();
  const averageCheckoutMs = new Map<ServiceId, number>();
  const schedulers = new Map<TargetId, SlotScheduler>();
  const capacities = new Map<TargetId, CapacityLimit>();
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

  /**
   * Returns the scheduler of a target whose slots are scheduled; undefined if
   * they are not, or for a command of the proxy itself, which has no workspace
   * and must not wait behind statements.
   */
  function tryGetScheduler(
    target: TargetRecord,
    { workspace }: Pick<ConnectionRequest, "workspace">,
  ): SlotScheduler | undefined {
    if (
      workspace === undefined ||
      options.tryGetSlotBudget?.(target) === undefined
    ) {
      return undefined;
    }
    const scheduler = schedulers.get(target.id) ?? createScheduler(target);
    schedulers.set(target.id, scheduler);
    return scheduler;
  }

  /** Creates the scheduler of a target with the limit that it learns. */
  function createScheduler({ id }: TargetRecord): SlotScheduler {
    let loggedLimit: number | undefined;
    const capacity = createCapacityLimit({
      getMax: () => tryGetBudgetOf(id) ?? Infinity,
      onChange({ reason, ratio, limit }) {
        // A limit that moves between two values within a slot is not logged.
        if (limit !== loggedLimit || reason === "not_caused_by_load") {
          loggedLimit = limit;
          io.log.info("capacity_changed", {
            target: id,
            reason,
            ratio: Math.round(ratio * 100) / 100,
            limit,
          });
        }
      },
    });
    capacities.set(id, capacity);
    return createSlotScheduler(capacity);
  }

  function tryGetBudgetOf(target: TargetId): number | undefined {
    const pool = pools.get(target);
    return pool && options.tryGetSlotBudget?.(pool.target);
  }

  /** Lets the statements of a transaction on this connection take slots. */
  function createScheduledLink(
    link: TargetLink,
    { slot, waiter, scheduler }: {
      readonly slot: Slot;
      readonly waiter: Waiter;
      readonly scheduler: SlotScheduler;
    },
  ): ReturnType<typeof createSlotLink> {
    const { request } = waiter;
    return createSlotLink(link, {
      slot,
      onServed(kind, { ms, isInTransaction }) {
        const { inUse, waiting } = scheduler.getLoad();
        if (MEASURED_KINDS.has(kind)) {
          capacities.get(link.target.id)?.record({
            kind: `${kind} ${request.priority} ${isInTransaction}`,
            ms,
            inUse,
            isQueued: waiting > 0,
          });
        }
      },
      requestSlot(onGranted) {
        const statement: SlotStatement = {
          workspace: request.workspace!,
          priority: request.priority,
          isInTransaction: true,
          objectiveAt: request.deadline,
          hasConnection: () => true,
          tryStart(granted) {
            onGranted(granted);
            return true;
          },
        };
        scheduler.enter(statement);
        return () => scheduler.leave(statement);
      },
    });
  }

  /** Creates a checkout; `since` is when the connection was taken or dialed. */
  function createCheckout(
    pool: TargetPool,
    { pooled, since, reservation, scheduled }: {
      readonly pooled: PooledLink;
      readonly since: number;
      readonly reservation: ColdReservation | undefined;
      readonly scheduled?: {
        readonly slot: Slot;
        readonly waiter: Waiter;
        readonly scheduler: SlotScheduler;
      };
    },
  ): Checkout {
    const { target } = pool;
    pooled.onStatement = reservation?.recordSent;
    const slotLink = scheduled &&
      createScheduledLink(pooled.link, scheduled);
    let isReleased = false;
    return {
      pooled: slotLink ? { ...pooled, link: slotLink.link } : pooled,
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
        slotLink?.release();
        serveFreed(target.id);
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
    let firstScheduled: TargetRecord | undefined;
    for (const target of request.listCandidates()) {
      const forwarded = request.isLocalOnly
        ? undefined
        : forwarder?.tryOpenLink(target, request);
      if (forwarded) {
        waiter.settle(Ok(createForwardedCheckout(target, forwarded)));
        return true;
      }
      const scheduler = tryGetScheduler(target, request);
      if (scheduler) {
        firstScheduled ??= target;
        if (getSlotWaitMs(scheduler, request) <= MAX_LOCAL_WAIT_MS) {
          recordAdmission(scheduler, request, true);
          enterScheduler(waiter, target, scheduler);
          return true;
        }
        continue;
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
    const scheduler = firstScheduled &&
      tryGetScheduler(firstScheduled, request);
    if (firstScheduled && scheduler) {
      enterOrRefuse(waiter, firstScheduled, scheduler);
      return true;
    }
    return false;
  }

  function getSlotWaitMs(
    scheduler: SlotScheduler,
    { workspace, priority }: ConnectionRequest,
  ): number {
    return workspace === undefined
      ? 0
      : scheduler.getExpectedWaitMs({ workspace, priority });
  }

  function recordAdmission(
    scheduler: SlotScheduler,
    { workspace, priority }: ConnectionRequest,
    isAdmitted: boolean,
  ): void {
    if (workspace !== undefined) {
      scheduler.recordAdmission({ workspace, priority }, isAdmitted);
    }
  }

  function enterOrRefuse(
    waiter: Waiter,
    target: TargetRecord,
    scheduler: SlotScheduler,
  ): void {
    const { request } = waiter;
    const expectedWaitMs = getSlotWaitMs(scheduler, request);
    const isFull = scheduler.getLoad().waiting >= MAX_QUEUE_LENGTH;
    const isAdmitted = !isFull &&
      expectedWaitMs <= request.deadline - nowMs();
    recordAdmission(scheduler, request, isAdmitted);
    if (isAdmitted) {
      enterScheduler(waiter, target, scheduler);
      return;
    }
    const reason = isFull ? "queue_full" : "expected_wait";
    waiter.settle(
      Err(createSlotRefusal(request, { target, scheduler, reason })),
    );
  }

  function createSlotRefusal(
    request: ConnectionRequest,
    { target, scheduler, reason }: {
      readonly target: TargetRecord;
      readonly scheduler: SlotScheduler;
      readonly reason: "queue_full" | "expected_wait" | "waited";
    },
  ): PoolFailure {
    const { workspace, service, priority } = request;
    const expectedWaitMs = getSlotWaitMs(scheduler, request);
    const load = scheduler.getLoad();
    io.metrics.count("slot_refusals_total", { reason });
    io.log.info("slot_refused", {
      workspace,
      service,
      target: target.id,
      priority,
      reason,
      expectedWaitMs: Math.round(expectedWaitMs),
      leftMs: Math.round(request.deadline - nowMs()),
      ...load,
    });
    const retryAfterMs = getWaitRetryAfterMs({
      waitMs: expectedWaitMs,
      leftMs: request.deadline - nowMs(),
      priority,
      random: io.random,
    });
    return {
      error: request.listCandidates().length === 0
        ? "no_primary"
        : "overloaded",
      detail: `${load.waiting} statements wait for ${load.limit} slots`,
      retryAfterMs,
    };
  }

  /** Lets a statement wait for a slot of the target, or starts it. */
  function enterScheduler(
    waiter: Waiter,
    target: TargetRecord,
    scheduler: SlotScheduler,
  ): void {
    const { request } = waiter;
    const { workspace, context } = request;
    const index = queue.indexOf(waiter);
    if (index >= 0) {
      queue.splice(index, 1);
    }
    const requirement = { workspace, context };
    const statement: SlotStatement = {
      workspace: workspace!,
      priority: request.priority,
      isInTransaction: false,
      objectiveAt: request.objectiveAt ?? request.deadline,
      hasConnection: () =>
        pools.get(target.id)?.tryFindSource(requirement)?.kind === "idle",
      tryStart(slot) {
        const pool = getPool(target);
        const source = isCandidate(request, target)
          ? pool.tryFindSource(requirement)
          : undefined;
        const reservation = source && cold?.tryReserve(target);
        if (!source || (cold && !reservation)) {
          return false;
        }
        waiter.place = undefined;
        const scheduled = { slot, waiter, scheduler };
        if (source.kind === "idle") {
          const { pooled } = source;
          pool.markBusy(pooled);
          waiter.settle(
            Ok(
              createCheckout(pool, {
                pooled,
                since: nowMs(),
                reservation,
                scheduled,
              }),
            ),
          );
        } else {
          void dial(waiter, {
            pool,
            workspace: workspace!,
            reservation,
            scheduled,
            ...(source.kind === "replace" ? { replaced: source.pooled } : {}),
          });
        }
        return true;
      },
    };
    waiter.place = { target, scheduler, statement };
    scheduler.enter(statement);
  }

  function isCandidate(
    { listCandidates }: ConnectionRequest,
    target: TargetRecord,
  ): boolean {
    return listCandidates().some((candidate) =>
      candidate.id === target.id && isSameProcess(candidate, target)
    );
  }

  /** Moves the statements that wait for a slot of a target they may not use. */
  function moveMisplaced(): void {
    for (const waiter of [...waiters]) {
      const { place, request } = waiter;
      if (place && !isCandidate(request, place.target)) {
        waiter.place = undefined;
        place.scheduler.leave(place.statement);
        if (!tryServe(waiter)) {
          enqueue(waiter);
        }
      }
    }
  }

  /** Serves statements after a connection to the target has become free. */
  function serveFreed(target: TargetId): void {
    schedulers.get(target)?.serve();
    if (queue.length > 0) {
      serveQueued();
    }
  }

  async function dial(
    waiter: Waiter,
    dialOptions: {
      readonly pool: TargetPool;
      readonly workspace: WorkspaceId;
      readonly reservation: ColdReservation | undefined;
      readonly replaced?: PooledLink;
      readonly scheduled?: {
        readonly slot: Slot;
        readonly waiter: Waiter;
        readonly scheduler: SlotScheduler;
      };
    },
  ): Promise<void> {
    const { pool, workspace, reservation, replaced, scheduled } = dialOptions;
    const since = nowMs();
    const dialed = await pool.dial(workspace, replaced);
    if (dialed.isOk() && waiter.request.isEligible?.(pool.target) === false) {
      createCheckout(pool, { pooled: dialed.value, since, reservation })
        .release(true);
      scheduled?.slot.release(false);
      if (waiters.has(waiter) && !tryServe(waiter)) {
        enqueue(waiter);
      }
      return;
    }
    if (dialed.isOk()) {
      const pooled = dialed.value;
      waiter.settle(
        Ok(
          createCheckout(pool, {
            pooled,
            since,
            reservation,
            ...(scheduled ? { scheduled } : {}),
          }),
        ),
      );
      return;
    }
    scheduled?.slot.release();
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
    moveMisplaced();
    schedulers.forEach(checkScheduler);
    serveQueued();
  }

  function checkScheduler(scheduler: SlotScheduler, target: TargetId): void {
    scheduler.serve();
    const { inUse, waiting, limit } = scheduler.getLoad();
    if (inUse + waiting === 0 && !pools.has(target)) {
      schedulers.delete(target);
      capacities.delete(target);
    }
    io.metrics.set("slots_in_use", inUse, { target });
    if (Number.isFinite(limit)) {
      io.metrics.set("slot_limit", limit, { target });
    }
  }

  function serveQueued(): void {
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
    const { signal } = request;
    if (signal?.aborted) {
      return Promise.resolve(Err(CLIENT_LEFT));
    }
    const since = nowMs();
    return new Promise((resolve) => {
      const waiter: Waiter = {
        request,
        since,
        deadline: request.deadline,
        place: undefined,
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
          signal?.removeEventListener("abort", giveUp);
          waiter.place?.scheduler.leave(waiter.place.statement, {
            isTooLate: nowMs() >= request.deadline,
          });
          waiter.place = undefined;
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
          if (options.tryGetSlotBudget && request.workspace !== undefined) {
            io.metrics.observe("slot_wait_ms", nowMs() - since, {
              priority: String(request.priority),
            });
          }
          resolve(result);
        },
      };
      const giveUp = () => {
        if (waiter.place) {
          io.metrics.count("slot_refusals_total", { reason: "client_left" });
        }
        waiter.settle(Err(CLIENT_LEFT));
      };
      signal?.addEventListener("abort", giveUp);
      waiters.add(waiter);
      const remainingMs = request.deadline - since;
      const timer = setTimeout(
        () =>
          waiter.settle(
            Err(
              waiter.place
                ? createSlotRefusal(request, {
                  ...waiter.place,
                  reason: "waited",
                })
                : createRefusal(request),
            ),
          ),
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
      const slotLoad = schedulers.get(id)?.getLoad();
      const connectionLoad = pool
        ? pool.countBusy() / getAllowance(pool.target).cap
        : 0;
      const ownLoad = slotLoad
        ? (slotLoad.inUse + slotLoad.waiting) / slotLoad.limit
        : connectionLoad;
      return ownLoad + (forwardedCounts.get(id) ?? 0) / Math.max(1, slots);
    },
    tryFindSource: (target, { workspace, context, mayUseHolder }) =>
      forwarder?.isForwarded(target, { workspace, mayUseHolder })
        ? { kind: "forward" }
        : getPool(target).tryFindSource({ workspace, context }),
    tryGetExpectedWait(target, request) {
      const { workspace, priority } = request;
      if (forwarder?.isForwarded(target, request)) {
        return forwarder.tryGetWait(target, request);
      }
      const scheduler = tryGetScheduler(target, request);
      return scheduler && workspace !== undefined
        ? {
          waitMs: scheduler.getExpectedWaitMs({ workspace, priority }),
          ageMs: 0,
        }
        : undefined;
    },
    hasExpectedWaits: () =>
      schedulers.size > 0 || forwarder?.hasWaits() === true,
    listExpectedWaits: (target, workspace) =>
      schedulers.get(target)?.listExpectedWaits(workspace) ?? [],
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
      schedulers.get(target)?.serve();
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
