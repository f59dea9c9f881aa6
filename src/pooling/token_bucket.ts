/** Token bucket whose rate and burst follow this host's share of a quota. */

import { nowMs } from "../core/clock.ts";

/** Time for which borrowed tokens may exceed the burst of the bucket. */
const BORROWED_TTL_MS = 300;

/** Refill rate and capacity of a bucket. */
export interface BucketSize {
  readonly ratePerS: number;
  readonly burst: number;
}

/** Token bucket of one workspace on this host. */
export interface TokenBucket {
  tryTake(): boolean;
  /**
   * Returns the time until a token is available behind `ahead` other waiters;
   * infinite if the bucket itself will never hold one.
   */
  getWaitMs(ahead: number): number;
  /** Changes the size; excess tokens are discarded, and none are added. */
  resize(size: BucketSize): void;
  /** Adds borrowed tokens; any above the burst expire if not used soon. */
  add(count: number): void;
  /**
   * Removes up to `count` tokens but keeps `reserve`; returns the number
   * removed.
   */
  withdraw(count: number, reserve: number): number;
}

/** Creates a bucket; its initial tokens are limited to its burst. */
export function createTokenBucket(
  options: BucketSize & { readonly initialTokens: number },
): TokenBucket {
  let size: BucketSize = options;
  let tokenCount = Math.min(options.initialTokens, options.burst);
  let refilledAt = nowMs();
  let borrowedAt = -Infinity;

  function refill(): void {
    const now = nowMs();
    const added = ((now - refilledAt) / 1_000) * size.ratePerS;
    // Borrowed tokens expire, so that they cannot accumulate above the burst.
    const isBorrowed = now - borrowedAt < BORROWED_TTL_MS;
    const capacity = isBorrowed ? Math.max(size.burst, tokenCount) : size.burst;
    tokenCount = Math.min(capacity, tokenCount + added);
    refilledAt = now;
  }

  return {
    tryTake() {
      refill();
      if (tokenCount < 1) {
        return false;
      }
      tokenCount--;
      return true;
    },
    getWaitMs(ahead) {
      refill();
      const missing = ahead + 1 - tokenCount;
      return missing <= 0
        ? 0
        : size.ratePerS > 0 && size.burst >= 1
        ? (missing / size.ratePerS) * 1_000
        : Infinity;
    },
    resize(nextSize) {
      refill();
      size = nextSize;
      tokenCount = Math.min(tokenCount, nextSize.burst);
    },
    add(count) {
      refill();
      if (count > 0) {
        borrowedAt = nowMs();
        tokenCount += count;
      }
    },
    withdraw(count, reserve) {
      refill();
      const withdrawnCount = Math.max(
        0,
        Math.min(count, Math.floor(tokenCount - reserve)),
      );
      tokenCount -= withdrawnCount;
      return withdrawnCount;
    },
  };
}
