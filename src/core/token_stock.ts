/** Tokens of one workspace that this host may send statements with. */

import type { GrantReq, GrantRes } from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { HostId } from "./ids.ts";

/** Demand for which tokens are asked for ahead, in milliseconds. */
const PREFETCH_MS = 250;
const TICK_MS = 100;
const DEMAND_SMOOTHING = 0.4;
/** Least share of the rate that a host expects to get. */
const MIN_RATE_SHARE = 0.25;
const SUSTAINED_SHORTAGE_MS = 1_000;
/** How long an owner's answer tells what to expect, in milliseconds. */
const MAX_ANSWER_AGE_MS = 250;
/** An owner that fails as often is not told of its tokens any more. */
const MAX_UNANSWERED_REQUESTS = 3;

/** The right to send one statement, until it expires. */
export interface Token {
  /** To be asked right before the sending, in the same turn of the loop. */
  isValid(): boolean;
  /** The statement has ended, or will never be sent. */
  settle(): void;
}

/** Tokens held, and what is known of their owner. */
export interface TokenStock {
  tryTake(): Token | undefined;
  setWaiting(waiter: object, count: number): void;
  /** More requests wait than tokens are held, and asking may help now. */
  needsTokens(): boolean;
  /** What to ask an owner for; undefined if there is nothing to say. */
  tryGetRequest(owner: HostId):
    | Omit<GrantReq["wants"][number], "workspace">
    | undefined;
  receive(
    grant: GrantRes["grants"][number],
    options: {
      readonly owner: HostId;
      readonly incarnation: string;
      readonly sentAt: number;
    },
  ): void;
  /** The owner did not answer. */
  recordUnanswered(owner: HostId): void;
  /** Another process of the owner has begun. */
  resetTotals(owner: HostId): void;
  /** Owners that are to be asked or told something. */
  listOwners(): HostId[];
  getWaitMs(ahead: number, ratePerMs: number): number;
  getIdleMs(): number;
  /** No token is held, running or still to be reported. */
  isSettled(): boolean;
  tick(): void;
}

interface OwnerAccount {
  received: number;
  settled: number;
  unused: number;
  /** What the owner was told, and what it has answered to. */
  sentSettled: number;
  acknowledgedSettled: number;
  /** Requests in a row that the owner did not answer. */
  unansweredRequests: number;
}

interface TokenBatch {
  readonly owner: HostId;
  readonly account: OwnerAccount;
  readonly until: number;
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
  /** The owner had fewer tokens than were asked for. */
  let hasShortage = false;
  let shortageSince = 0;
  let answeredAt = -Infinity;
  let nextTokenAt = -Infinity;

  function getAccount(owner: HostId): OwnerAccount {
    const found = accounts.get(owner) ??
      {
        received: 0,
        settled: 0,
        unused: 0,
        sentSettled: 0,
        acknowledgedSettled: 0,
        unansweredRequests: 0,
      };
    accounts.set(owner, found);
    return found;
  }

  function dropExpired(): void {
    const now = nowMs();
    for (const batch of batches.filter((b) => b.until <= now)) {
      batch.account.settled += batch.tokens;
      batch.account.unused += batch.tokens;
      batch.tokens = 0;
    }
    batches = batches.filter((batch) => batch.tokens > 0);
  }

  function getHeld(): number {
    dropExpired();
    return batches.reduce((sum, batch) => sum + batch.tokens, 0);
  }

  function getWaiting(): number {
    return [...waiting.values()].reduce((sum, count) => sum + count, 0);
  }

  function getPrefetchCount(): number {
    return Math.floor(demandPerTick * PREFETCH_MS / TICK_MS);
  }

  /** Gives tokens back that others wait for and this host does not need. */
  function returnSpareTokens(owner: HostId): void {
    let spare = getHeld() - getWaiting() - Math.floor(demandPerTick);
    for (const batch of batches.filter((b) => b.owner === owner)) {
      const returned = Math.max(0, Math.min(spare, batch.tokens));
      batch.tokens -= returned;
      batch.account.settled += returned;
      batch.account.unused += returned;
      spare -= returned;
    }
  }

  function createToken(batch: TokenBatch): Token {
    const { account, until } = batch;
    let isOpen = true;
    return {
      isValid: () => isOpen && nowMs() < until,
      settle() {
        account.settled += isOpen ? 1 : 0;
        isOpen = false;
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
    needsTokens: () => getWaiting() > getHeld() && nowMs() >= nextTokenAt,
    tryGetRequest(owner) {
      const account = getAccount(owner);
      const isOwner = options.getOwner() === owner;
      const spare = getHeld() - getWaiting();
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
        const until = sentAt + grant.ttlMs;
        batches.push({ owner, account, until, tokens: grant.tokens });
        batches.sort((a, b) => a.until - b.until);
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
      const needsMore = getWaiting() + getPrefetchCount() > getHeld();
      return needsMore
        ? [...ownersToNotify, options.getOwner()]
        : ownersToNotify;
    },
    getWaitMs(ahead, ratePerMs) {
      const missing = ahead + 1 - getHeld();
      // An old answer says nothing about the tokens of now.
      const isKnown = hasShortage && nowMs() - answeredAt < MAX_ANSWER_AGE_MS;
      if (missing <= 0 || !isKnown) {
        return 0;
      }
      const firstTokenMs = Math.max(0, nextTokenAt - nowMs());
      // Other hosts share the rate, so this one may get less than the whole.
      const isSustained = nowMs() - shortageSince > SUSTAINED_SHORTAGE_MS;
      const expectedRatePerMs = isSustained
        ? Math.max(demandPerTick / TICK_MS, ratePerMs * MIN_RATE_SHARE)
        : ratePerMs;
      return firstTokenMs +
        (missing - 1) / Math.min(ratePerMs, expectedRatePerMs);
    },
    getIdleMs: () => nowMs() - lastUsedAt,
    isSettled() {
      const held = getHeld();
      return held === 0 &&
        [...accounts.values()].every((account) =>
          account.received === account.settled &&
          account.settled === account.acknowledgedSettled
        );
    },
    tick() {
      demandPerTick += DEMAND_SMOOTHING * (takenThisTick - demandPerTick);
      takenThisTick = 0;
    },
  };
}
