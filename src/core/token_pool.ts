/** Tokens of one workspace at its owner, backed by the shares lent to it. */

import { nowMs } from "./clock.ts";

/** Number of equal shares that the limits of every workspace are cut into. */
export const SEAT_COUNT = 12;

const MS_PER_SECOND = 1_000;
const ROUNDING_TOLERANCE = 1e-6;
/** Use until the next claim that a claim allows for, in milliseconds. */
const CLAIM_LOOKAHEAD_MS = 800;

/** Rate and burst of one share. */
export interface ShareSize {
  readonly ratePerMs: number;
  readonly burst: number;
}

/** Cuts the limits of a plan into the shares of the seats. */
export function getShareSize(
  plan: { readonly ratePerSecond: number; readonly burst: number },
): ShareSize {
  return {
    ratePerMs: plan.ratePerSecond / MS_PER_SECOND / SEAT_COUNT,
    burst: plan.burst / SEAT_COUNT,
  };
}

/** Tokens that were granted, and until when they may be used. */
export interface TokenGrant {
  readonly tokens: number;
  readonly until: number;
}

/** What a seat lends of its share. */
export interface ShareOffer {
  readonly until: number;
  readonly tokens: number | undefined;
  /** Part of the share's burst that the seat counts as used when it lapses. */
  readonly part: number;
}

interface Share {
  until: number;
  part: number;
}

/** A leaky bucket whose size and rate follow the shares that it holds. */
export interface TokenPool {
  /** Holds or extends a share; `tokens` is undefined for an extension. */
  setShare(seat: number, options: ShareOffer): void;
  /**
   * Limits what may be used of each share until the next claim, so that the
   * rest is not lost with this owner; gives the part of the burst.
   */
  claimBurst(): number;
  /** Whether `tokens` could be granted after another claim. */
  needsLargerClaim(tokens: number): boolean;
  /** Grants up to `count` tokens, leaving `reserved` ones for others. */
  grant(
    count: number,
    options: { readonly maxTtlMs: number; readonly reserved: number },
  ): TokenGrant;
  /**
   * Takes note that the statements of `ended` tokens have ended, and puts back
   * `unused` tokens that nobody can send with any more.
   */
  settle(tokens: { readonly ended: number; readonly unused: number }): void;
  /** Tokens that may go to requests that are only expected. */
  getSpareTokens(): number;
  /** Time until `tokens` tokens can be granted if none is taken before. */
  getWaitMs(tokens: number): number;
  hasShares(): boolean;
  readonly outstanding: number;
}

/** Creates a pool without shares; `size` answers the current size of one. */
export function createTokenPool(size: () => ShareSize): TokenPool {
  const shares = new Map<number, Share>();
  let requestedTokens = 0;
  let used = 0;
  let outstanding = 0;
  let drainedAt = nowMs();

  function drain(until: number): void {
    const drained = size().ratePerMs * shares.size *
      Math.max(0, until - drainedAt);
    // A token that is out counts as used until its statement has ended, so
    // that the bound holds where targets run the statements.
    used = Math.max(outstanding, used - drained);
    drainedAt = Math.max(drainedAt, until);
  }

  function removeShare(seat: number): void {
    const part = shares.get(seat)?.part ?? 0;
    shares.delete(seat);
    used = Math.max(outstanding, used - part * size().burst);
  }

  function advance(): void {
    const now = nowMs();
    const lapsed = [...shares]
      .filter(([, { until }]) => until <= now)
      .sort((a, b) => a[1].until - b[1].until);
    for (const [seat, { until }] of lapsed) {
      drain(until);
      removeShare(seat);
    }
    drain(now);
  }

  function getCapacity(): number {
    return shares.size * size().burst;
  }

  /** What is claimed, with no share counted for more than `part`. */
  function getClaimedTokens(part = 1): number {
    return [...shares.values()].reduce(
      (sum, share) => sum + Math.min(part, share.part) * size().burst,
      0,
    );
  }

  /** The latest end of a grant that the shares of that time still cover. */
  function getGrantEnd(tokens: number, latestEnd: number): number {
    let needed = outstanding + tokens - ROUNDING_TOLERANCE;
    const sorted = [...shares.values()].sort((a, b) => b.until - a.until);
    for (const { until, part } of sorted) {
      needed -= part * size().burst;
      if (needed <= 0) {
        return Math.min(latestEnd, until);
      }
    }
    return nowMs();
  }

  return {
    setShare(seat, { until, tokens, part }) {
      advance();
      if (until <= nowMs()) {
        return;
      }
      const held = shares.get(seat);
      if (held && tokens === undefined) {
        held.until = Math.max(held.until, until);
        held.part = part;
        return;
      }
      if (held) {
        removeShare(seat);
      }
      shares.set(seat, { until, part });
      used += tokens === undefined
        ? part * size().burst
        : size().burst - tokens;
    },
    claimBurst() {
      advance();
      const ahead = size().ratePerMs * shares.size * CLAIM_LOOKAHEAD_MS;
      const part = Math.min(
        1,
        (used + ahead + requestedTokens) / getCapacity(),
      );
      requestedTokens = 0;
      // The seats may take the claim without our hearing of it, so that it
      // binds from its sending; a claim below what is used must not be made.
      if (!(part < 1) || getClaimedTokens(part) < used) {
        return 1;
      }
      shares.forEach((share) => share.part = Math.min(share.part, part));
      return part;
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
      const until = getGrantEnd(tokens, nowMs() + maxTtlMs);
      used += tokens;
      outstanding += tokens;
      return { tokens, until };
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
