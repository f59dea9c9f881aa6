/** A token bucket whose rate and size follow a share of a quota. */

import { nowMs } from "../core/clock.ts";

/** Time for which borrowed tokens may stand above the burst. */
const BORROWED_TTL_MS = 300;

/** Rate and size of a bucket. */
export interface BucketSize {
  readonly ratePerS: number;
  readonly burst: number;
}

/** A bucket of one workspace on this host. */
export interface TokenBucket {
  tryTake(): boolean;
  /** Time until a token is there for one that `ahead` others precede. */
  getWaitMs(ahead: number): number;
  /** A smaller bucket loses what does not fit; a larger one starts no fuller. */
  resize(size: BucketSize): void;
  /** Adds tokens that a peer gave up; what does not fit is lost. */
  add(count: number): void;
  /** Gives up at most `count` tokens, keeping `reserve`. */
  withdraw(count: number, reserve: number): number;
}

/** Creates a bucket with `initial` tokens. */
export function createTokenBucket(
  options: BucketSize & { readonly initial: number },
): TokenBucket {
  let size: BucketSize = options;
  let tokenCount = Math.min(options.initial, options.burst);
  let refilledAt = nowMs();
  let borrowedAt = -Infinity;

  function refill(): void {
    const now = nowMs();
    const added = ((now - refilledAt) / 1_000) * size.ratePerS;
    // What peers gave up is used soon or lost, so that it never piles up.
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
