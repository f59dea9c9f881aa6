/**
 * Pool of the rate-limit tokens of one workspace at its owner: a leaky bucket
 * backed by the shares lent to the owner.
 */

import { nowMs } from "./clock.ts";

/** Number of seats, and of equal shares of the limits of each workspace. */
export const SEAT_COUNT = 12;

const MS_PER_SECOND = 1_000;
const ROUNDING_TOLERANCE = 1e-6;
/** Time for which a claim covers the expected use of tokens. */
const CLAIM_LOOKAHEAD_MS = 800;

/** Rate and burst of one share. */
export interface ShareSize {
  readonly ratePerMs: number;
  readonly burst: number;
}

/** Returns the rate and burst of one seat's share of a plan. */
export function getShareSize(
  plan: { readonly ratePerSecond: number; readonly burst: number },
): ShareSize {
  return {
    ratePerMs: plan.ratePerSecond / MS_PER_SECOND / SEAT_COUNT,
    burst: plan.burst / SEAT_COUNT,
  };
}

/** Granted tokens and their expiry. */
export interface TokenGrant {
  readonly tokens: number;
  readonly expiresAt: number;
}

/** Loan of a seat's share to the owner. */
export interface ShareOffer {
  readonly expiresAt: number;
  /** Tokens in the share; undefined if the loan extends an earlier one. */
  readonly tokens: number | undefined;
  /** Fraction of the burst that the seat counts as used when the loan ends. */
  readonly claimedFraction: number;
}

interface Share {
  expiresAt: number;
  claimedFraction: number;
}

/** Leaky bucket whose capacity and rate are those of the shares it holds. */
export interface TokenPool {
  /** Adds or extends a share; `tokens` is undefined for an extension. */
  setShare(seat: number, options: ShareOffer): void;
  /**
   * Limits the use of each share until the next claim, so that the remainder is
   * not lost if this owner fails. Returns the fraction of the burst claimed.
   */
  claimBurst(): number;
  /**
   * Returns true if `tokens` can only be granted after a larger claim; if so,
   * the next claim includes them.
   */
  needsLargerClaim(tokens: number): boolean;
  /** Grants up to `count` tokens and leaves `reserved` tokens for others. */
  grant(
    count: number,
    options: { readonly maxTtlMs: number; readonly reserved: number },
  ): TokenGrant;
  /**
   * Records that the statements of `ended` tokens have ended, and returns
   * `unused` tokens, which can no longer be used to send, to the pool.
   */
  settle(tokens: { readonly ended: number; readonly unused: number }): void;
  /** Returns the tokens available to expected rather than waiting requests. */
  getSpareTokens(): number;
  /**
   * Returns the time until `tokens` tokens can be granted, in milliseconds,
   * provided that no others are granted before.
   */
  getWaitMs(tokens: number): number;
  hasShares(): boolean;
  /** Granted tokens whose statements have not ended. */
  readonly outstanding: number;
}

/** Creates an empty pool; `size` returns the current size of a share. */
export function createTokenPool(size: () => ShareSize): TokenPool {
  const shares = new Map<number, Share>();
  let requestedTokens = 0;
  let used = 0;
  let outstanding = 0;
  let drainedAt = nowMs();

  function drain(time: number): void {
    const drained = size().ratePerMs * shares.size *
      Math.max(0, time - drainedAt);
    // A granted token counts as used until its statement has ended, so that the
    // rate limit also holds for the times at which targets run the statements.
    used = Math.max(outstanding, used - drained);
    drainedAt = Math.max(drainedAt, time);
  }

  function removeShare(seat: number): void {
    const claimedFraction = shares.get(seat)?.claimedFraction ?? 0;
    shares.delete(seat);
    used = Math.max(outstanding, used - claimedFraction * size().burst);
  }

  function advance(): void {
    const now = nowMs();
    const lapsed = [...shares]
      .filter(([, { expiresAt }]) => expiresAt <= now)
      .sort((a, b) => a[1].expiresAt - b[1].expiresAt);
    for (const [seat, { expiresAt }] of lapsed) {
      drain(expiresAt);
      removeShare(seat);
    }
    drain(now);
  }

  function getCapacity(): number {
    return shares.size * size().burst;
  }

  /** Returns the claimed tokens, at most a fraction `maxFraction` per share. */
  function getClaimedTokens(maxFraction = 1): number {
    return [...shares.values()].reduce(
      (sum, share) =>
        sum + Math.min(maxFraction, share.claimedFraction) * size().burst,
      0,
    );
  }

  /** Returns the latest time up to which the shares cover a grant. */
  function getGrantEnd(tokens: number, latestEnd: number): number {
    let needed = outstanding + tokens - ROUNDING_TOLERANCE;
    const sorted = [...shares.values()].sort((a, b) =>
      b.expiresAt - a.expiresAt
    );
    for (const { expiresAt, claimedFraction } of sorted) {
      needed -= claimedFraction * size().burst;
      if (needed <= 0) {
        return Math.min(latestEnd, expiresAt);
      }
    }
    return nowMs();
  }

  return {
    setShare(seat, { expiresAt, tokens, claimedFraction }) {
      advance();
      if (expiresAt <= nowMs()) {
        return;
      }
      const existing = shares.get(seat);
      if (existing && tokens === undefined) {
        existing.expiresAt = Math.max(existing.expiresAt, expiresAt);
        existing.claimedFraction = claimedFraction;
        return;
      }
      if (existing) {
        removeShare(seat);
      }
      shares.set(seat, { expiresAt, claimedFraction });
      used += tokens === undefined
        ? claimedFraction * size().burst
        : size().burst - tokens;
    },
    claimBurst() {
      advance();
      const ahead = size().ratePerMs * shares.size * CLAIM_LOOKAHEAD_MS;
      const fraction = Math.min(
        1,
        (used + ahead + requestedTokens) / getCapacity(),
      );
      requestedTokens = 0;
      // Seats may accept the claim although their answer is lost, so the claim
      // is binding once sent and must not be lower than the tokens in use.
      if (!(fraction < 1) || getClaimedTokens(fraction) < used) {
        return 1;
      }
      shares.forEach((share) =>
        share.claimedFraction = Math.min(share.claimedFraction, fraction)
      );
      return fraction;
    },
    needsLargerClaim(tokens) {
      advance();
      const isShort = used + tokens > getClaimedTokens() + ROUNDING_TOLERANCE &&
        getClaimedTokens() < getCapacity() - ROUNDING_TOLERANCE;
      requestedTokens = isShort
        ? Math.max(requestedTokens, tokens)
        : requestedTokens;
      return isShort;
    },
    grant(count, { maxTtlMs, reserved }) {
      advance();
      const free = Math.floor(
        getClaimedTokens() - used - reserved + ROUNDING_TOLERANCE,
      );
      const tokens = Math.max(0, Math.min(count, free));
      const expiresAt = getGrantEnd(tokens, nowMs() + maxTtlMs);
      used += tokens;
      outstanding += tokens;
      return { tokens, expiresAt };
    },
    settle({ ended, unused }) {
      advance();
      outstanding -= ended + unused;
      used = Math.max(outstanding, used - unused);
    },
    getSpareTokens() {
      advance();
      return getCapacity() / 2 - used;
    },
    getWaitMs(tokens) {
      advance();
      if (shares.size === 0) {
        return 0;
      }
      const rate = size().ratePerMs * shares.size;
      return Math.max(0, used + tokens - getCapacity()) / rate;
    },
    hasShares() {
      advance();
      return shares.size > 0;
    },
    get outstanding() {
      return outstanding;
    },
  };
}
