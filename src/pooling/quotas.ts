/** Counts operations against this host's share of each workspace's quota. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs, sleep } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import type { PoolFailure } from "./errors.ts";
import { type Demand, FULL_SHARE } from "./share_ledger.ts";
import { createTokenBucket, type TokenBucket } from "./token_bucket.ts";
import type { Quota } from "./types.ts";

/** Half-life of the measured demand, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 5_000;
/** Headroom over the measured demand. */
const DEMAND_HEADROOM_FACTOR = 1.2;
/** Pause before peers are asked again that had nothing to lend. */
const BORROW_RETRY_DELAY_MS = 30;
/** Rounds without a token after which the quota counts as used up. */
const MAX_EMPTY_ROUNDS = 2;
/** Then peers are not asked for this long, in milliseconds. */
const BORROW_PAUSE_MS = 200;
/**
 * Least and most time to come back, in milliseconds: a round of asking peers,
 * and the window in which quotas are counted.
 */
const MIN_RETRY_AFTER_MS = 30;
const MAX_RETRY_AFTER_MS = 5_000;

/** Quotas on this host. */
export interface Quotas {
  /** Takes a token, waiting for it if it comes within `maxWaitMs`. */
  take(
    workspace: WorkspaceId,
    options: { readonly maxWaitMs: number },
  ): Promise<Result<void, PoolFailure>>;
  /** Gives up tokens for a peer; the number given. */
  lend(workspace: WorkspaceId, count: number): number;
  /** Sets this host's share of a workspace, in ten-thousandths. */
  setShare(workspace: WorkspaceId, share: number): void;
  setQuotas(quotas: ReadonlyMap<WorkspaceId, Quota>): void;
  /** What the operations of the last seconds need, by workspace. */
  listDemand(): ReadonlyMap<WorkspaceId, Demand>;
}

/** How far a quota may be exceeded within a window, over the whole fleet. */
export interface QuotaTolerance {
  readonly windowS: number;
  /** Part of what the quota allows in the window. */
  readonly part: number;
  /** Operations beside that part. */
  readonly operations: number;
}

/** What quotas need of the outside. */
export interface QuotaOptions {
  readonly tolerance: QuotaTolerance;
  /** Whether no process of this host started in the window before this one. */
  isToleranceUnused(): boolean;
  random(): number;
  /** Asks peers for tokens; resolves with how many they gave up. */
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
  /** Rounds in a row in which peers had nothing to lend. */
  emptyRounds: number;
  /** Operations a second, decaying. */
  demandPerS: number;
  demandAt: number;
}

/** Creates counters without quotas; unknown workspaces are not limited. */
export function createQuotas(options: QuotaOptions): Quotas {
  const entries = new Map<WorkspaceId, QuotaState>();

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
   * Tokens that the first share of this process starts with. It does not know
   * what its predecessor has used, so they come out of the tolerance, and only
   * once in a window.
   */
  function getInitialTokens(entry: QuotaState): number {
    if (!options.isToleranceUnused()) {
      return 0;
    }
    const { windowS, part, operations } = options.tolerance;
    const { ratePerS, burst } = entry.quota;
    const tolerated = part * (ratePerS * windowS + burst) + operations;
    return tolerated * (entry.share / FULL_SHARE);
  }

  function createRefusal(entry: QuotaState, waitMs: number): Err<PoolFailure> {
    const boundedMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, waitMs),
    );
    const retryAfterMs = Math.ceil(boundedMs * (1 + options.random() / 2));
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

  /** Serves waiters in order, and refuses those whose token comes too late. */
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
      Math.min(...waiters.map(({ deadline: until }) => until)) - nowMs(),
    );
    entry.timer = setTimeout(
      () => serveWaiters(entry),
      Math.max(1, Math.ceil(nextMs)),
    );
  }

  function refuseLateWaiters(entry: QuotaState): void {
    const { waiters, bucket } = entry;
    for (let ahead = waiters.length - 1; ahead >= 0; ahead--) {
      // While peers are asked, a token may come before the own share has it.
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
      bucket: createTokenBucket({ ratePerS: 0, burst: 0, initial: 0 }),
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
    take(workspace, { maxWaitMs }) {
      const entry = entries.get(workspace);
      if (!entry) {
        return Promise.resolve(Ok(undefined));
      }
      decayDemand(entry);
      entry.demandPerS += Math.LN2 / (DEMAND_HALF_LIFE_MS / 1_000);
      if (entry.waiters.length === 0 && entry.bucket.tryTake()) {
        return Promise.resolve(Ok(undefined));
      }
      return new Promise((resolve) => {
        const until = nowMs() + maxWaitMs;
        entry.waiters.push({ deadline: until, settle: resolve });
        void borrow(entry);
        serveWaiters(entry);
      });
    },
    lend(workspace, count) {
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
  };
}
