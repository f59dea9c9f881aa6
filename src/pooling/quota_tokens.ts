/**
 * Arithmetic of quota tokens in large fleets: what an owner grants from the one
 * bucket of a workspace, and what a host asks for, uses and loses.
 */

import { nowMs } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import { createTokenBucket, type TokenBucket } from "./token_bucket.ts";
import type { Quota } from "./types.ts";

/**
 * Validity of a token, from before its request was sent. Tokens in flight add
 * this much of the rate to a window of 5 s, of which a tenth is tolerated: 500
 * ms would use up all of the tolerance.
 */
export const TOKEN_TTL_MS = 400;
/** Time for which a host asks ahead, in milliseconds. */
const AHEAD_MS = 250;
/** Fraction of the tokens to ask ahead below which a host asks for more. */
const REFILL_FRACTION = 0.5;
/** Half-life of the measured demand of a host. */
const DEMAND_HALF_LIFE_MS = 1_000;
/**
 * Fraction of the burst that is kept for statements that wait. Tokens granted
 * ahead may be lost, which a workspace near its quota cannot afford.
 */
const AHEAD_RESERVE_FRACTION = 0.25;
/** Requests of one host for one workspace that may be open at a time. */
const MAX_OPEN_REQUESTS = 4;
/**
 * Longest time by which hosts that are refused together are told to come back
 * one after the other, beyond the next token.
 */
const MAX_SPREAD_MS = 250;
/**
 * Tokens with which a new owner may begin, and the fraction of the burst: half
 * of the tolerated excess that tokens in flight leave. It serves the statements
 * that waited for a new owner.
 */
const TAKEOVER_TOKENS = 8;
const TAKEOVER_BURST_FRACTION = 0.04;
/** Time after the begin of an ownership in which they may be granted. */
const TAKEOVER_MS = 2_000;

/** Tokens that a host asks for. */
export interface TokenRequest {
  /** Tokens for statements that wait. */
  readonly need: number;
  /** Tokens for statements that are expected next. */
  readonly ahead: number;
}

/** Answer of an owner. */
export interface TokenGrant {
  readonly count: number;
  /** Time until the next token if fewer than needed were granted, else 0. */
  readonly retryMs: number;
}

/** The buckets of one owner. */
export interface TokenIssuer {
  /** Grants tokens; they count as used. */
  grant(
    workspace: WorkspaceId,
    options: { readonly quota: Quota; readonly request: TokenRequest },
  ): TokenGrant;
  /** Begins to fill the buckets of a reserve, from a time on. */
  start(since: number): void;
  /** Applies changed quotas; tokens above a lower burst are discarded. */
  setQuotas(quotas: ReadonlyMap<WorkspaceId, Quota>): void;
}

/**
 * Creates buckets that are empty at `since`, when the earlier owner can grant
 * nothing more; without `since` they hold what the tolerance allows, and do not
 * fill. The tolerance may be used if no other owner has used it within a window.
 */
export function createTokenIssuer(
  options: { readonly since?: number; readonly mayUseTolerance: boolean },
): TokenIssuer {
  let since = options.since;
  const buckets = new Map<
    WorkspaceId,
    { readonly bucket: TokenBucket; quota: Quota; dueAt: number }
  >();

  function getEntry(workspace: WorkspaceId, quota: Quota) {
    const known = buckets.get(workspace);
    if (known) {
      return known;
    }
    const size = toSize(quota, since !== undefined);
    const accrued = (size.ratePerS * (nowMs() - (since ?? nowMs()))) / 1_000;
    const isNew = since === undefined || nowMs() - since < TAKEOVER_MS;
    const tolerated = options.mayUseTolerance && isNew
      ? TAKEOVER_TOKENS + TAKEOVER_BURST_FRACTION * quota.burst
      : 0;
    const entry = {
      bucket: createTokenBucket({ ...size, initialTokens: accrued }),
      quota,
      dueAt: -Infinity,
    };
    entry.bucket.add(tolerated);
    buckets.set(workspace, entry);
    return entry;
  }

  return {
    grant(workspace, { quota, request }) {
      const entry = getEntry(workspace, quota);
      const { bucket } = entry;
      const needed = bucket.withdraw(request.need, 0);
      if (needed < request.need) {
        const nextAt = nowMs() + bucket.getWaitMs(0);
        entry.dueAt = Math.min(
          Math.max(nextAt, entry.dueAt + 1_000 / quota.ratePerS),
          nextAt + MAX_SPREAD_MS,
        );
        return { count: needed, retryMs: entry.dueAt - nowMs() };
      }
      const reserve = AHEAD_RESERVE_FRACTION * quota.burst;
      const ahead = bucket.withdraw(request.ahead, reserve);
      return { count: needed + ahead, retryMs: 0 };
    },
    start(startedAt) {
      since = startedAt;
      for (const { bucket, quota } of buckets.values()) {
        const size = toSize(quota, true);
        bucket.resize(size);
        const accrued = (size.ratePerS * (nowMs() - startedAt)) / 1_000;
        bucket.add(Math.min(size.burst, accrued));
      }
    },
    setQuotas(quotas) {
      for (const [workspace, entry] of buckets) {
        const quota = quotas.get(workspace);
        if (quota) {
          entry.quota = quota;
          entry.bucket.resize(toSize(quota, since !== undefined));
        } else {
          buckets.delete(workspace);
        }
      }
    },
  };
}

/** A bucket smaller than one token would never grant any. */
function toSize({ ratePerS, burst }: Quota, isFilling: boolean): Quota {
  return { ratePerS: isFilling ? ratePerS : 0, burst: Math.max(1, burst) };
}

/** Tokens and demand of one workspace on one host. */
export interface TokenAccount {
  /** Counts a statement that needs a token. */
  recordDemand(): void;
  tryTake(): boolean;
  /** Adds granted tokens, whose request was first sent at `askedAt`. */
  addGrant(grant: { readonly count: number; readonly askedAt: number }): void;
  /** Notes that the owner has no token before `retryMs` have passed. */
  recordRefusal(retryMs: number): void;
  /** Time for which the owner is not asked, after a refusal; 0 if it may be. */
  getPauseMs(): number;
  /** Returns what to ask for; undefined if nothing. */
  planRequest(state: {
    readonly waiting: number;
    /** Requests without an answer, and the tokens that they ask for. */
    readonly openRequests: number;
    readonly open: TokenRequest;
  }): TokenRequest | undefined;
  /** Discards the tokens, whose age is not known any more. */
  clear(): number;
  /** Returns the tokens that were lost since the last call. */
  takeExpiredCount(): number;
}

/** Creates an account without tokens. */
export function createTokenAccount(): TokenAccount {
  let batches: { count: number; readonly expiresAt: number }[] = [];
  let pausedUntil = -Infinity;
  let demandPerS = 0;
  let demandAt = nowMs();
  let expiredCount = 0;

  function sumTokens(): number {
    return batches.reduce((sum, { count }) => sum + count, 0);
  }

  function removeExpired(): void {
    const now = nowMs();
    const before = sumTokens();
    batches = batches.filter(({ count, expiresAt }) =>
      count > 0 && expiresAt > now
    );
    expiredCount += before - sumTokens();
  }

  function getDemandPerS(): number {
    const elapsedMs = nowMs() - demandAt;
    demandAt = nowMs();
    demandPerS *= 0.5 ** (elapsedMs / DEMAND_HALF_LIFE_MS);
    return demandPerS;
  }

  return {
    recordDemand() {
      getDemandPerS();
      demandPerS += Math.LN2 / (DEMAND_HALF_LIFE_MS / 1_000);
    },
    tryTake() {
      removeExpired();
      const [first] = batches;
      if (first) {
        first.count--;
      }
      return first !== undefined;
    },
    addGrant({ count, askedAt }) {
      batches.push({ count, expiresAt: askedAt + TOKEN_TTL_MS });
      batches.sort((a, b) => a.expiresAt - b.expiresAt);
    },
    recordRefusal(retryMs) {
      pausedUntil = Math.max(pausedUntil, nowMs() + retryMs);
    },
    getPauseMs: () => Math.max(0, pausedUntil - nowMs()),
    planRequest({ waiting, openRequests, open }) {
      removeExpired();
      if (nowMs() < pausedUntil || openRequests >= MAX_OPEN_REQUESTS) {
        return undefined;
      }
      const target = Math.floor((getDemandPerS() * AHEAD_MS) / 1_000);
      const need = Math.max(0, waiting - open.need);
      // Tokens that are asked ahead may be denied, so none counts for a need.
      const spare = sumTokens() + open.ahead;
      const ahead = Math.max(0, target - spare);
      return need > 0 || (target > 0 && spare < target * REFILL_FRACTION)
        ? { need, ahead }
        : undefined;
    },
    clear() {
      const lost = sumTokens();
      batches = [];
      return lost;
    },
    takeExpiredCount() {
      const taken = expiredCount;
      expiredCount = 0;
      return taken;
    },
  };
}
