/** Enforces this host's share of each workspace's quota. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs, sleep } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import { getRetryAfterMs } from "../core/retry_delay.ts";
import type { PoolFailure } from "./errors.ts";
import { type Demand, FULL_SHARE } from "./share_ledger.ts";
import { createTokenBucket, type TokenBucket } from "./token_bucket.ts";
import type { Quota } from "./types.ts";

/** Half-life of the exponentially decaying demand. */
const DEMAND_HALF_LIFE_MS = 5_000;
/** Factor by which the reported demand exceeds the measured one. */
const DEMAND_HEADROOM_FACTOR = 1.2;
/** Delay before peers that had no tokens to lend are asked again. */
const BORROW_RETRY_DELAY_MS = 30;
/**
 * Consecutive rounds without tokens after which the quota counts as used up.
 */
const MAX_EMPTY_ROUNDS = 2;
/** Time for which peers are not asked once the quota counts as used up. */
const BORROW_PAUSE_MS = 200;
/**
 * Bounds of the retry delay: one round of requests to peers, and the window
 * over which quotas are measured.
 */
const MIN_RETRY_AFTER_MS = 30;
const MAX_RETRY_AFTER_MS = 5_000;

/** Quota enforcement on this host. */
export interface Quotas {
  /**
   * Takes a rate-limit token; waits up to `maxWaitMs` if one may become
   * available in that time.
   */
  takeToken(
    workspace: WorkspaceId,
    options: { readonly maxWaitMs: number },
  ): Promise<Result<void, PoolFailure>>;
  /** Deducts up to `count` tokens for a peer; returns the number deducted. */
  lend(workspace: WorkspaceId, count: number): number;
  /** Sets this host's share of a workspace's quota, in ten-thousandths. */
  setShare(workspace: WorkspaceId, share: number): void;
  setQuotas(quotas: ReadonlyMap<WorkspaceId, Quota>): void;
  /** Returns the share that recent operations need, by workspace. */
  listDemand(): ReadonlyMap<WorkspaceId, Demand>;
  /** Refuses all that wait for a token, and later ones, as `stopping`. */
  close(): void;
}

/** Tolerated excess over a quota within a window, across the whole fleet. */
export interface QuotaTolerance {
  readonly windowS: number;
  /** Tolerated excess as a fraction of what the quota allows in the window. */
  readonly part: number;
  /** Operations tolerated in addition to that fraction. */
  readonly operations: number;
}

/** Dependencies of the quotas. */
export interface QuotaOptions {
  readonly tolerance: QuotaTolerance;
  /** Whether no earlier process of this host can have used it within a window. */
  isToleranceUnused(): boolean;
  /** Time since this process started, in milliseconds. */
  getUptimeMs(): number;
  random(): number;
  /** Reduces the shares of this host if it may not use them any more. */
  checkLease(): void;
  /** Requests tokens from peers; resolves with the number received. */
  borrow(workspace: WorkspaceId, count: number): Promise<number>;
}

interface Waiter {
  readonly deadline: number;
  settle(result: Result<void, PoolFailure>): void;
}

interface QuotaState {
  readonly workspace: WorkspaceId;
  quota: Quota;
  share: number;
  hasReceivedShare: boolean;
  readonly bucket: TokenBucket;
  readonly waiters: Waiter[];
  timer: NodeJS.Timeout | undefined;
  isBorrowing: boolean;
  borrowPausedUntil: number;
  /** Consecutive rounds in which peers had no tokens to lend. */
  emptyRounds: number;
  /** Exponentially decaying rate of operations per second. */
  demandPerS: number;
  demandAt: number;
}

/**
 * Creates an empty set of quotas; workspaces without a quota are not limited.
 */
export function createQuotas(options: QuotaOptions): Quotas {
  const entries = new Map<WorkspaceId, QuotaState>();
  let isClosed = false;

  function decayDemand(entry: QuotaState): number {
    const elapsed = nowMs() - entry.demandAt;
    entry.demandAt = nowMs();
    entry.demandPerS *= 0.5 ** (elapsed / DEMAND_HALF_LIFE_MS);
    return entry.demandPerS;
  }

  function resizeBucket(entry: QuotaState): void {
    const fraction = entry.share / FULL_SHARE;
    entry.bucket.resize({
      ratePerS: entry.quota.ratePerS * fraction,
      burst: entry.quota.burst * fraction,
    });
    serveWaiters(entry);
  }

  /**
   * Returns the tokens that come with the first share of this process. No one
   * has used what its share has accrued since the process started. The usage
   * of the host's previous process is unknown, so any further tokens are
   * charged to the tolerance, at most once per window.
   */
  function getInitialTokens(entry: QuotaState): number {
    const { windowS, part, operations } = options.tolerance;
    const { ratePerS, burst } = entry.quota;
    const accrued = Math.min(burst, (ratePerS * options.getUptimeMs()) / 1_000);
    const tolerated = options.isToleranceUnused()
      ? part * (ratePerS * windowS + burst) + operations
      : 0;
    return (accrued + tolerated) * (entry.share / FULL_SHARE);
  }

  function createRefusal(entry: QuotaState, waitMs: number): Err<PoolFailure> {
    const retryAfterMs = getRetryAfterMs(waitMs, {
      minMs: MIN_RETRY_AFTER_MS,
      maxMs: MAX_RETRY_AFTER_MS,
      random: options.random(),
    });
    const peerStatus = nowMs() < entry.borrowPausedUntil
      ? "have none"
      : "were asked";
    return Err({
      error: "over_quota",
      detail: `share ${entry.share} of ${FULL_SHARE}, next token in ${
        Number.isFinite(waitMs) ? `${Math.round(waitMs)} ms` : "peers only"
      }, peers ${peerStatus}`,
      retryAfterMs,
    });
  }

  /**
   * Serves waiters in order and refuses those whose token would come too late.
   */
  function serveWaiters(entry: QuotaState): void {
    const { waiters, bucket } = entry;
    while (waiters.length > 0 && bucket.tryTake()) {
      waiters.shift()!.settle(Ok(undefined));
    }
    refuseLateWaiters(entry);
    clearTimeout(entry.timer);
    if (waiters.length === 0) {
      return;
    }
    const nextMs = Math.min(
      bucket.getWaitMs(0),
      Math.min(...waiters.map(({ deadline }) => deadline)) - nowMs(),
    );
    entry.timer = setTimeout(
      () => serveWaiters(entry),
      Math.max(1, Math.ceil(nextMs)),
    );
  }

  function refuseLateWaiters(entry: QuotaState): void {
    const { waiters, bucket } = entry;
    for (let ahead = waiters.length - 1; ahead >= 0; ahead--) {
      // While peers are being asked, a borrowed token may arrive earlier than
      // the local bucket refills.
      const waitMs = entry.isBorrowing ? 0 : bucket.getWaitMs(ahead);
      if (nowMs() + waitMs >= waiters[ahead]!.deadline) {
        waiters.splice(ahead, 1)[0]!
          .settle(createRefusal(entry, bucket.getWaitMs(ahead)));
      }
    }
  }

  async function borrow(entry: QuotaState): Promise<void> {
    if (entry.isBorrowing || nowMs() < entry.borrowPausedUntil) {
      return;
    }
    entry.isBorrowing = true;
    entry.emptyRounds = 0;
    while (entry.waiters.length > 0 && entry.emptyRounds < MAX_EMPTY_ROUNDS) {
      const count = entry.waiters.length;
      const borrowedCount = await options.borrow(entry.workspace, count);
      entry.bucket.add(borrowedCount);
      serveWaiters(entry);
      if (borrowedCount === 0) {
        entry.emptyRounds++;
        await sleep(BORROW_RETRY_DELAY_MS);
      } else {
        entry.emptyRounds = 0;
      }
    }
    entry.isBorrowing = false;
    if (entry.emptyRounds > 0) {
      entry.borrowPausedUntil = nowMs() + BORROW_PAUSE_MS;
    }
    serveWaiters(entry);
  }

  function createEntry(workspace: WorkspaceId, quota: Quota): QuotaState {
    return {
      workspace,
      quota,
      share: 0,
      hasReceivedShare: false,
      bucket: createTokenBucket({ ratePerS: 0, burst: 0, initialTokens: 0 }),
      waiters: [],
      timer: undefined,
      isBorrowing: false,
      borrowPausedUntil: -Infinity,
      emptyRounds: 0,
      demandPerS: 0,
      demandAt: nowMs(),
    };
  }

  return {
    takeToken(workspace, { maxWaitMs }) {
      if (isClosed) {
        return Promise.resolve(Err({ error: "stopping" }));
      }
      const entry = entries.get(workspace);
      if (!entry) {
        return Promise.resolve(Ok(undefined));
      }
      options.checkLease();
      decayDemand(entry);
      entry.demandPerS += Math.LN2 / (DEMAND_HALF_LIFE_MS / 1_000);
      if (entry.waiters.length === 0 && entry.bucket.tryTake()) {
        return Promise.resolve(Ok(undefined));
      }
      return new Promise((resolve) => {
        const deadline = nowMs() + maxWaitMs;
        entry.waiters.push({ deadline, settle: resolve });
        void borrow(entry);
        serveWaiters(entry);
      });
    },
    lend(workspace, count) {
      options.checkLease();
      const entry = entries.get(workspace);
      return entry ? entry.bucket.withdraw(count, entry.waiters.length) : 0;
    },
    setShare(workspace, share) {
      const entry = entries.get(workspace);
      if (entry && entry.share !== share) {
        const isFirst = !entry.hasReceivedShare;
        entry.hasReceivedShare = true;
        entry.share = share;
        resizeBucket(entry);
        if (isFirst) {
          entry.bucket.add(getInitialTokens(entry));
          serveWaiters(entry);
        }
      }
    },
    setQuotas(quotas) {
      for (const [workspace, entry] of entries) {
        if (!quotas.has(workspace)) {
          entry.waiters.splice(0).forEach(({ settle }) =>
            settle(createRefusal(entry, 0))
          );
          clearTimeout(entry.timer);
          entries.delete(workspace);
        }
      }
      for (const [workspace, quota] of quotas) {
        const entry = entries.get(workspace) ?? createEntry(workspace, quota);
        entries.set(workspace, entry);
        entry.quota = quota;
        resizeBucket(entry);
      }
    },
    listDemand() {
      const demand = new Map<WorkspaceId, Demand>();
      for (const [workspace, entry] of entries) {
        const fraction = (decayDemand(entry) * DEMAND_HEADROOM_FACTOR) /
          Math.max(1e-9, entry.quota.ratePerS);
        const { burst } = entry.quota;
        demand.set(workspace, {
          share: Math.min(1, fraction) * FULL_SHARE,
          burst,
        });
      }
      return demand;
    },
    close() {
      isClosed = true;
      for (const entry of entries.values()) {
        clearTimeout(entry.timer);
        entry.waiters.splice(0).forEach(({ settle }) =>
          settle(Err({ error: "stopping" }))
        );
      }
    },
  };
}
