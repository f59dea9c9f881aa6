/** A token bucket whose rate and size follow a share of a quota. */

import { nowMs } from "../core/clock.ts";

/** Time for which borrowed tokens may stand above the burst. */
const BORROWED_MS = 300;

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
  give(count: number, reserve: number): number;
}

/** Creates a bucket with `initial` tokens. */
export function createTokenBucket(
  given: BucketSize & { readonly initial: number },
): TokenBucket {
  let size: BucketSize = given;
  let level = Math.min(given.initial, given.burst);
  let filledAt = nowMs();
  let borrowedAt = -Infinity;

  function fill(): void {
    const now = nowMs();
    const added = ((now - filledAt) / 1_000) * size.ratePerS;
    // What peers gave up is used soon or lost, so that it never piles up.
    const isBorrowed = now - borrowedAt < BORROWED_MS;
    const room = isBorrowed ? Math.max(size.burst, level) : size.burst;
    level = Math.min(room, level + added);
    filledAt = now;
  }

  return {
    tryTake() {
      fill();
      if (level < 1) {
        return false;
      }
      level--;
      return true;
    },
    getWaitMs(ahead) {
      fill();
      const missing = ahead + 1 - level;
      return missing <= 0
        ? 0
        : size.ratePerS > 0 && size.burst >= 1
        ? (missing / size.ratePerS) * 1_000
        : Infinity;
    },
    resize(next) {
      fill();
      size = next;
      level = Math.min(level, next.burst);
    },
    add(count) {
      fill();
      if (count > 0) {
        borrowedAt = nowMs();
        level += count;
      }
    },
    give(count, reserve) {
      fill();
      const given = Math.max(0, Math.min(count, Math.floor(level - reserve)));
      level -= given;
      return given;
    },
  };
}
