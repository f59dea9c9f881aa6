/**
 * Hands connections to targets out to statements: deadline-aware admission in
 * front of a queue ordered by priority.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import type { ServiceId, TargetId, WorkspaceId } from "../core/ids.ts";
import type { PoolFailure } from "./errors.ts";
import { planRound, type RoundPlan, type Waiting } from "./batching.ts";
import type { Health } from "./health.ts";
import type { ContextNeed } from "./link_context.ts";
import {
  createTargetPool,
  type LinkSource,
  type PooledLink,
  type TargetPool,
} from "./target_pool.ts";
import type { PoolIo, TargetRecord } from "./types.ts";

/** Most statements that wait for a connection on this host. */
const MAX_WAITING = 400;
/** Weight of a new observation in the moving average of hold times. */
const EWMA_WEIGHT = 0.1;
/** Hold time that is assumed before the first one was seen. */
const DEFAULT_HOLD_MS = 40;
/** Least time to come back, in milliseconds: about the work of a statement. */
const MIN_RETRY_AFTER_MS = 25;
/** A refused dial is tried again after this, in milliseconds. */
const DIAL_RETRY_MS = 25;

/** A request for a connection. */
export interface Need {
  readonly service: ServiceId;
  readonly workspace: WorkspaceId | undefined;
  readonly context?: ContextNeed;
  readonly priority: number;
  /** Latest time at which the connection is of use, on the monotonic clock. */
  readonly until: number;
  /** Targets that may serve, best first; looked at again while waiting. */
  rank(): readonly TargetRecord[];
}

/** A connection in use. */
export interface Hold {
  readonly pooled: PooledLink;
  readonly target: TargetRecord;
  /** Gives the connection back; one that is not clean is closed. */
  release(isClean: boolean): void;
}

/** Hands out connections. */
export interface Dispatcher {
  acquire(need: Need): Promise<Result<Hold, PoolFailure>>;
  /** Connections in use at a target, as part of what is allowed. */
  getLoad(target: TargetId): number;
  /** How a connection could be had, for the ranking. */
  tryFindSource(
    target: TargetRecord,
    need: Pick<Need, "workspace" | "context">,
  ): LinkSource | undefined;
  /** Looks again at what waits. */
  pump(): void;
  setCaps(getCap: (target: TargetRecord) => number): void;
  /** Closes all connections to a target that is gone or was replaced. */
  forget(target: TargetId): void;
  close(): void;
}

interface Waiter extends Waiting {
  readonly need: Need;
  settle(result: Result<Hold, PoolFailure>): void;
}

/** Creates a dispatcher without connections. */
export function createDispatcher(
  io: PoolIo,
  options: {
    readonly health: Health;
    /** Name under which connections without a workspace are opened. */
    getOwnWorkspace(): WorkspaceId | undefined;
    /** Order in which waiting statements are served; batched by default. */
    readonly plan?: RoundPlan;
  },
): Dispatcher {
  const { health, plan = planRound } = options;
  const pools = new Map<TargetId, TargetPool>();
  const waiting: Waiter[] = [];
  const holdMs = new Map<ServiceId, number>();
  let getCap: (target: TargetRecord) => number = () => 1;
  let isPumping = false;

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
  function createHold(
    pool: TargetPool,
    { pooled, since }: { readonly pooled: PooledLink; readonly since: number },
  ): Hold {
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
        const previous = holdMs.get(target.service) ?? DEFAULT_HOLD_MS;
        holdMs.set(
          target.service,
          previous + EWMA_WEIGHT * (nowMs() - since - previous),
        );
        pool.release(pooled, isClean);
        pump();
        pool.closeIfSurplus(pooled);
      },
    };
  }

  /** Starts to serve a waiter; false if nothing is free for it. */
  function tryServe(
    waiter: Waiter,
    { isOwnOnly }: { readonly isOwnOnly: boolean } = { isOwnOnly: false },
  ): boolean {
    const { need } = waiter;
    for (const target of need.rank()) {
      const pool = getPool(target);
      const option = pool.tryFindSource({
        workspace: need.workspace,
        context: need.context,
      });
      if (!option) {
        continue;
      }
      if (option.kind === "idle") {
        const { pooled } = option;
        pool.markBusy(pooled);
        waiter.settle(Ok(createHold(pool, { pooled, since: nowMs() })));
        return true;
      }
      if (isOwnOnly) {
        continue;
      }
      const workspace = need.workspace ?? options.getOwnWorkspace();
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
    given: {
      readonly pool: TargetPool;
      readonly workspace: WorkspaceId;
      readonly replaced?: PooledLink;
    },
  ): Promise<void> {
    const { pool, workspace, replaced } = given;
    const since = nowMs();
    const dialed = await pool.dial(workspace, replaced);
    if (dialed.isOk()) {
      waiter.settle(Ok(createHold(pool, { pooled: dialed.value, since })));
      return;
    }
    if (dialed.error.code !== "too_many_connections") {
      health.noteFailure(pool.target.id);
    }
    if (nowMs() + DIAL_RETRY_MS >= waiter.need.until) {
      waiter.settle(Err(refuse(waiter.need)));
      return;
    }
    setTimeout(() => {
      if (!tryServe(waiter)) {
        enqueue(waiter);
      }
    }, DIAL_RETRY_MS);
  }

  function enqueue(waiter: Waiter): void {
    const { priority } = waiter.need;
    let index = waiting.length;
    while (index > 0) {
      const before = waiting[index - 1]!;
      const isBehind = before.need.priority < priority ||
        (before.need.priority === priority && before.since <= waiter.since);
      if (isBehind) {
        break;
      }
      index--;
    }
    waiting.splice(index, 0, waiter);
  }

  /** Expected wait of a further statement of the service. */
  function getExpectedMs(need: Need): number {
    const ahead =
      waiting.filter((waiter) =>
        waiter.need.service === need.service &&
        waiter.need.priority <= need.priority
      ).length;
    const links = need.rank().reduce(
      (sum, target) => sum + Math.max(1, getCap(target)),
      0,
    );
    const each = holdMs.get(need.service) ?? DEFAULT_HOLD_MS;
    return links === 0 ? Infinity : ((ahead + 1) * each) / links;
  }

  function refuse(need: Need): PoolFailure {
    const isLeaderless = need.rank().length === 0;
    const expectedMs = getExpectedMs(need);
    const retryAfterMs = Number.isFinite(expectedMs)
      ? Math.max(MIN_RETRY_AFTER_MS, expectedMs) * (1 + io.random())
      : undefined;
    return {
      error: isLeaderless ? "no_primary" : "overloaded",
      detail: `${waiting.length} statements wait`,
      ...(retryAfterMs ? { retryAfterMs: Math.ceil(retryAfterMs) } : {}),
    };
  }

  function pump(): void {
    if (isPumping) {
      return;
    }
    isPumping = true;
    for (const { waiter, isOwnOnly } of plan(waiting, nowMs())) {
      const index = waiting.indexOf(waiter);
      if (index >= 0 && tryServe(waiter, { isOwnOnly })) {
        const still = waiting.indexOf(waiter);
        if (still >= 0) {
          waiting.splice(still, 1);
        }
      }
    }
    isPumping = false;
  }

  function acquire(need: Need): Promise<Result<Hold, PoolFailure>> {
    const since = nowMs();
    return new Promise((resolve) => {
      let isSettled = false;
      const waiter: Waiter = {
        need,
        since,
        until: need.until,
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
          const index = waiting.indexOf(waiter);
          if (index >= 0) {
            waiting.splice(index, 1);
          }
          io.metrics.observe("queue_ms", nowMs() - since, {
            service: need.service,
          });
          resolve(result);
        },
      };
      const leftMs = need.until - since;
      const timer = setTimeout(
        () => waiter.settle(Err(refuse(need))),
        Math.max(0, leftMs),
      );
      if (tryServe(waiter)) {
        return;
      }
      if (waiting.length >= MAX_WAITING) {
        waiter.settle(Err(refuse(need)));
        return;
      }
      const expectedMs = getExpectedMs(need);
      if (Number.isFinite(expectedMs) && expectedMs > leftMs) {
        waiter.settle(Err(refuse(need)));
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
    tryFindSource: (target, need) =>
      getPool(target).tryFindSource({
        workspace: need.workspace,
        context: need.context,
      }),
    pump,
    setCaps(next) {
      getCap = next;
      for (const pool of pools.values()) {
        pool.setCap(getCap(pool.target));
      }
      pump();
    },
    forget(target) {
      pools.get(target)?.close();
      pools.delete(target);
      health.forget(target);
    },
    close() {
      for (const waiter of [...waiting]) {
        waiter.settle(Err({ error: "stopping" }));
      }
      pools.forEach((pool) => pool.close());
    },
  };
}
