/** Rate-limit tokens of one workspace that were granted to this host. */

import type { GrantReq, GrantRes } from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { HostId } from "./ids.ts";
import { moveAverage } from "./moving_average.ts";

/** Time of expected demand for which tokens are prefetched. */
const PREFETCH_MS = 250;
/** Interval at which `tick` is called and demand is estimated. */
export const TICK_MS = 100;
const DEMAND_SMOOTHING = 0.4;
/** Minimum fraction of the rate assumed for this host in wait estimates. */
const MIN_RATE_SHARE = 0.25;
const SUSTAINED_SHORTAGE_MS = 1_000;
/** Maximum age of an owner's answer that is used to estimate waits. */
const MAX_ANSWER_AGE_MS = 250;
/** Number of unanswered requests after which an owner gets no more reports. */
const MAX_UNANSWERED_REQUESTS = 3;

/** Permission to send one statement before an expiry time. */
export interface Token {
  /** Must be checked in the same event loop turn as the statement is sent. */
  isValid(): boolean;
  /** Records that the statement has ended or will never be sent. */
  settle(): void;
}

/** Tokens held for a workspace and the accounts with their owners. */
export interface TokenStock {
  tryTake(): Token | undefined;
  setWaiting(waiter: object, count: number): void;
  /**
   * Returns true if more requests wait than tokens are held, and the owner may
   * have tokens by now.
   */
  needsTokens(): boolean;
  /**
   * Returns the token request for an owner; undefined if there is nothing to
   * request or report.
   */
  tryGetRequest(owner: HostId):
    | Omit<GrantReq["wants"][number], "workspace">
    | undefined;
  receive(
    grant: GrantRes["grants"][number],
    options: {
      readonly owner: HostId;
      readonly sentAt: number;
    },
  ): void;
  /** Records that an owner did not answer a request. */
  recordUnanswered(owner: HostId): void;
  /** Resets the account with an owner whose process has restarted. */
  resetTotals(owner: HostId): void;
  /** Lists the owners to which a request or a report is due. */
  listOwners(): HostId[];
  getWaitMs(ahead: number, ratePerMs: number): number;
  getIdleMs(): number;
  /** Returns true if no token is held, in use or still to be reported. */
  isSettled(): boolean;
  /** Updates the estimate of the demand; to be called every `TICK_MS`. */
  tick(): void;
}

interface OwnerAccount {
  received: number;
  settled: number;
  unused: number;
  /** Value of `settled` in the last request and in the last answered one. */
  sentSettled: number;
  acknowledgedSettled: number;
  /** Number of consecutive requests that the owner did not answer. */
  unansweredRequests: number;
}

interface TokenBatch {
  readonly owner: HostId;
  readonly account: OwnerAccount;
  readonly expiresAt: number;
  tokens: number;
}

/** Creates an empty stock. */
export function createTokenStock(
  options: { getOwner(): HostId },
): TokenStock {
  const accounts = new Map<HostId, OwnerAccount>();
  const waiting = new Map<object, number>();
  let batches: TokenBatch[] = [];
  let demandPerTick = 0;
  let takenThisTick = 0;
  let lastUsedAt = nowMs();
  let requestedTokens = 0;
  /** True if the owner granted fewer tokens than requested for waiters. */
  let hasShortage = false;
  let shortageSince = 0;
  let answeredAt = -Infinity;
  let nextTokenAt = -Infinity;

  function getAccount(owner: HostId): OwnerAccount {
    const account = accounts.get(owner) ??
      {
        received: 0,
        settled: 0,
        unused: 0,
        sentSettled: 0,
        acknowledgedSettled: 0,
        unansweredRequests: 0,
      };
    accounts.set(owner, account);
    return account;
  }

  function dropExpired(): void {
    const now = nowMs();
    for (const batch of batches.filter((b) => b.expiresAt <= now)) {
      batch.account.settled += batch.tokens;
      batch.account.unused += batch.tokens;
      batch.tokens = 0;
    }
    batches = batches.filter((batch) => batch.tokens > 0);
  }

  function getHeldTokens(): number {
    dropExpired();
    return batches.reduce((sum, batch) => sum + batch.tokens, 0);
  }

  function getWaitingCount(): number {
    return [...waiting.values()].reduce((sum, count) => sum + count, 0);
  }

  function getPrefetchCount(): number {
    return Math.floor(demandPerTick * PREFETCH_MS / TICK_MS);
  }

  /** Returns tokens that this host does not need while other hosts wait. */
  function returnSpareTokens(owner: HostId): void {
    let spare = getHeldTokens() - getWaitingCount() - Math.floor(demandPerTick);
    for (const batch of batches.filter((b) => b.owner === owner)) {
      const returned = Math.max(0, Math.min(spare, batch.tokens));
      batch.tokens -= returned;
      batch.account.settled += returned;
      batch.account.unused += returned;
      spare -= returned;
    }
  }

  function createToken(batch: TokenBatch): Token {
    const { account, expiresAt } = batch;
    let isInUse = true;
    return {
      isValid: () => isInUse && nowMs() < expiresAt,
      settle() {
        account.settled += isInUse ? 1 : 0;
        isInUse = false;
      },
    };
  }

  return {
    tryTake() {
      dropExpired();
      const batch = batches[0];
      if (!batch) {
        return undefined;
      }
      batch.tokens--;
      takenThisTick++;
      lastUsedAt = nowMs();
      return createToken(batch);
    },
    setWaiting(waiter, count) {
      if (count > 0) {
        waiting.set(waiter, count);
        lastUsedAt = nowMs();
      } else {
        waiting.delete(waiter);
      }
    },
    needsTokens: () =>
      getWaitingCount() > getHeldTokens() && nowMs() >= nextTokenAt,
    tryGetRequest(owner) {
      const account = getAccount(owner);
      const isOwner = options.getOwner() === owner;
      const spare = getHeldTokens() - getWaitingCount();
      const tokens = isOwner ? Math.max(0, -spare) : 0;
      const ahead = isOwner
        ? Math.max(0, getPrefetchCount() - Math.max(0, spare))
        : 0;
      if (
        tokens + ahead === 0 && account.settled === account.acknowledgedSettled
      ) {
        return undefined;
      }
      const { received, settled, unused } = account;
      account.sentSettled = settled;
      requestedTokens = tokens;
      return { tokens, ahead, received, settled, unused };
    },
    receive(grant, { owner, sentAt }) {
      const account = getAccount(owner);
      account.received += grant.tokens;
      account.acknowledgedSettled = account.sentSettled;
      account.unansweredRequests = 0;
      if (grant.tokens > 0) {
        const expiresAt = sentAt + grant.ttlMs;
        batches.push({ owner, account, expiresAt, tokens: grant.tokens });
        batches.sort((a, b) => a.expiresAt - b.expiresAt);
      }
      if (owner === options.getOwner()) {
        const hadShortage = hasShortage;
        answeredAt = nowMs();
        hasShortage = grant.tokens < requestedTokens;
        shortageSince = hadShortage ? shortageSince : nowMs();
        nextTokenAt = hasShortage ? nowMs() + grant.waitMs : -Infinity;
      }
      if (grant.recall) {
        returnSpareTokens(owner);
      }
    },
    recordUnanswered(owner) {
      const account = getAccount(owner);
      account.unansweredRequests++;
      if (account.unansweredRequests >= MAX_UNANSWERED_REQUESTS) {
        account.acknowledgedSettled = account.settled;
      }
    },
    resetTotals(owner) {
      accounts.delete(owner);
    },
    listOwners() {
      dropExpired();
      const ownersToNotify = [...accounts]
        .filter(([, account]) =>
          account.settled !== account.acknowledgedSettled
        )
        .map(([owner]) => owner);
      const needsMore =
        getWaitingCount() + getPrefetchCount() > getHeldTokens();
      return needsMore
        ? [...ownersToNotify, options.getOwner()]
        : ownersToNotify;
    },
    getWaitMs(ahead, ratePerMs) {
      const missing = ahead + 1 - getHeldTokens();
      // An old answer does not tell which tokens are available now.
      const isKnown = hasShortage && nowMs() - answeredAt < MAX_ANSWER_AGE_MS;
      if (missing <= 0 || !isKnown) {
        return 0;
      }
      const firstTokenMs = Math.max(0, nextTokenAt - nowMs());
      // Other hosts use the same rate, so this host may get only part of it.
      const isSustained = nowMs() - shortageSince > SUSTAINED_SHORTAGE_MS;
      const expectedRatePerMs = isSustained
        ? Math.max(demandPerTick / TICK_MS, ratePerMs * MIN_RATE_SHARE)
        : ratePerMs;
      return firstTokenMs +
        (missing - 1) / Math.min(ratePerMs, expectedRatePerMs);
    },
    getIdleMs: () => nowMs() - lastUsedAt,
    isSettled() {
      const heldTokens = getHeldTokens();
      return heldTokens === 0 &&
        [...accounts.values()].every((account) =>
          account.received === account.settled &&
          account.settled === account.acknowledgedSettled
        );
    },
    tick() {
      demandPerTick = moveAverage(demandPerTick, {
        sample: takenThisTick,
        weight: DEMAND_SMOOTHING,
      });
      takenThisTick = 0;
    },
  };
}
