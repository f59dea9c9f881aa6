/** Tokens of one workspace at its owner, backed by the shares lent to it. */

import { nowMs } from "./clock.ts";

/** Number of equal shares that the limits of every workspace are cut into. */
export const SEAT_COUNT = 12;

const MS_PER_SECOND = 1_000;
const ROUNDING = 1e-6;

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
export interface Granted {
  readonly tokens: number;
  readonly until: number;
}

/** A leaky bucket whose size and rate follow the shares that it holds. */
export interface TokenPool {
  /** Holds or extends a share; `tokens` is undefined for an extension. */
  setShare(
    seat: number,
    options: { readonly until: number; readonly tokens: number | undefined },
  ): void;
  /** Grants up to `wanted` tokens for at most `maxTtlMs`. */
  grant(wanted: number, maxTtlMs: number): Granted;
  /** Takes note that granted tokens are of no more use to anyone. */
  settle(tokens: number): void;
  /** Time until `tokens` tokens can be granted if none is taken before. */
  getWaitMs(tokens: number): number;
  hasShares(): boolean;
  readonly outstanding: number;
}

/** Creates a pool without shares; `size` answers the current size of one. */
export function createTokenPool(size: () => ShareSize): TokenPool {
  const shares = new Map<number, number>();
  let used = 0;
  let outstanding = 0;
  let at = nowMs();

  function drain(to: number): void {
    const drained = size().ratePerMs * shares.size * Math.max(0, to - at);
    // A token that is out counts as used until its statement has ended, so
    // that the bound holds where targets run the statements.
    used = Math.max(outstanding, used - drained);
    at = Math.max(at, to);
  }

  function removeShare(seat: number): void {
    shares.delete(seat);
    used = Math.max(outstanding, used - size().burst);
  }

  function advance(): void {
    const now = nowMs();
    const lapsed = [...shares]
      .filter(([, until]) => until <= now)
      .sort((a, b) => a[1] - b[1]);
    for (const [seat, until] of lapsed) {
      drain(until);
      removeShare(seat);
    }
    drain(now);
  }

  function getFree(): number {
    return shares.size * size().burst - used;
  }

  /** The latest end of a grant that the shares of that time still cover. */
  function getGrantEnd(tokens: number, latest: number): number {
    const needed = Math.ceil((outstanding + tokens) / size().burst - ROUNDING);
    const ends = [...shares.values()].sort((a, b) => b - a);
    return Math.min(latest, ends[Math.max(0, needed - 1)] ?? nowMs());
  }

  return {
    setShare(seat, { until, tokens }) {
      advance();
      if (until <= nowMs()) {
        return;
      }
      const held = shares.get(seat);
      if (held !== undefined && tokens === undefined) {
        shares.set(seat, Math.max(held, until));
        return;
      }
      if (held !== undefined) {
        removeShare(seat);
      }
      shares.set(seat, until);
      used += size().burst - (tokens ?? 0);
    },
    grant(wanted, maxTtlMs) {
      advance();
      const free = Math.floor(getFree() + ROUNDING);
      const tokens = Math.max(0, Math.min(wanted, free));
      const until = getGrantEnd(tokens, nowMs() + maxTtlMs);
      used += tokens;
      outstanding += tokens;
      return { tokens, until };
    },
    settle(tokens) {
      advance();
      outstanding -= tokens;
    },
    getWaitMs(tokens) {
      advance();
      const rate = size().ratePerMs * shares.size;
      return Math.max(0, tokens - getFree()) / Math.max(rate, Number.MIN_VALUE);
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
