/** Tokens of one workspace that this host may send statements with. */

import type { GrantReq, GrantRes } from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { HostId } from "./ids.ts";

/** Demand for which tokens are asked for ahead, in milliseconds. */
const AHEAD_MS = 250;
const TICK_MS = 100;
const DEMAND_WEIGHT = 0.4;
/** Least share of the rate that a host expects to get. */
const MIN_SHARE = 0.25;
const LASTING_MS = 1_000;
/** How long an owner's answer tells what to expect, in milliseconds. */
const ANSWER_AGE_MS = 250;
/** An owner that fails as often is not told of its tokens any more. */
const MAX_FAILURES = 3;

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
  isShort(): boolean;
  /** What to ask an owner for; undefined if there is nothing to say. */
  tryWant(owner: HostId):
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
  noteLost(owner: HostId): void;
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

interface Account {
  received: number;
  settled: number;
  unused: number;
  /** What the owner was told, and what it has answered to. */
  told: number;
  reported: number;
  /** Requests in a row that the owner did not answer. */
  failures: number;
}

interface Batch {
  readonly owner: HostId;
  readonly account: Account;
  readonly until: number;
  tokens: number;
}

/** Creates an empty stock. */
export function createTokenStock(
  options: { getOwner(): HostId },
): TokenStock {
  const accounts = new Map<HostId, Account>();
  const waiting = new Map<object, number>();
  let batches: Batch[] = [];
  let demand = 0;
  let taken = 0;
  let usedAt = nowMs();
  let wanted = 0;
  /** The owner had fewer tokens than were asked for. */
  let isLacking = false;
  let lackingSince = 0;
  let answeredAt = -Infinity;
  let expectedAt = -Infinity;

  function getAccount(owner: HostId): Account {
    const found = accounts.get(owner) ??
      { received: 0, settled: 0, unused: 0, told: 0, reported: 0, failures: 0 };
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

  function getAhead(): number {
    return Math.floor(demand * AHEAD_MS / TICK_MS);
  }

  /** Gives tokens back that others wait for and this host does not need. */
  function giveBack(owner: HostId): void {
    let spare = getHeld() - getWaiting() - Math.floor(demand);
    for (const batch of batches.filter((b) => b.owner === owner)) {
      const back = Math.max(0, Math.min(spare, batch.tokens));
      batch.tokens -= back;
      batch.account.settled += back;
      batch.account.unused += back;
      spare -= back;
    }
  }

  function createToken(batch: Batch): Token {
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
      taken++;
      usedAt = nowMs();
      return createToken(batch);
    },
    setWaiting(waiter, count) {
      if (count > 0) {
        waiting.set(waiter, count);
        usedAt = nowMs();
      } else {
        waiting.delete(waiter);
      }
    },
    isShort: () => getWaiting() > getHeld() && nowMs() >= expectedAt,
    tryWant(owner) {
      const account = getAccount(owner);
      const isOwner = options.getOwner() === owner;
      const spare = getHeld() - getWaiting();
      const tokens = isOwner ? Math.max(0, -spare) : 0;
      const ahead = isOwner ? Math.max(0, getAhead() - Math.max(0, spare)) : 0;
      if (tokens + ahead === 0 && account.settled === account.reported) {
        return undefined;
      }
      const { received, settled, unused } = account;
      account.told = settled;
      wanted = tokens;
      return { tokens, ahead, received, settled, unused };
    },
    receive(grant, { owner, sentAt }) {
      const account = getAccount(owner);
      account.received += grant.tokens;
      account.reported = account.told;
      account.failures = 0;
      if (grant.tokens > 0) {
        const until = sentAt + grant.ttlMs;
        batches.push({ owner, account, until, tokens: grant.tokens });
        batches.sort((a, b) => a.until - b.until);
      }
      if (owner === options.getOwner()) {
        const wasLacking = isLacking;
        answeredAt = nowMs();
        isLacking = grant.tokens < wanted;
        lackingSince = wasLacking ? lackingSince : nowMs();
        expectedAt = isLacking ? nowMs() + grant.waitMs : -Infinity;
      }
      if (grant.recall) {
        giveBack(owner);
      }
    },
    noteLost(owner) {
      const account = getAccount(owner);
      account.failures++;
      if (account.failures >= MAX_FAILURES) {
        account.reported = account.settled;
      }
    },
    resetTotals(owner) {
      accounts.delete(owner);
    },
    listOwners() {
      dropExpired();
      const told = [...accounts]
        .filter(([, account]) => account.settled !== account.reported)
        .map(([owner]) => owner);
      const isWanting = getWaiting() + getAhead() > getHeld();
      return isWanting ? [...told, options.getOwner()] : told;
    },
    getWaitMs(ahead, ratePerMs) {
      const lacking = ahead + 1 - getHeld();
      // An old answer says nothing about the tokens of now.
      const isKnown = isLacking && nowMs() - answeredAt < ANSWER_AGE_MS;
      if (lacking <= 0 || !isKnown) {
        return 0;
      }
      const firstMs = Math.max(0, expectedAt - nowMs());
      // Other hosts share the rate, so this one may get less than the whole.
      const isLasting = nowMs() - lackingSince > LASTING_MS;
      const got = isLasting
        ? Math.max(demand / TICK_MS, ratePerMs * MIN_SHARE)
        : ratePerMs;
      return firstMs + (lacking - 1) / Math.min(ratePerMs, got);
    },
    getIdleMs: () => nowMs() - usedAt,
    isSettled() {
      const held = getHeld();
      return held === 0 &&
        [...accounts.values()].every((account) =>
          account.received === account.settled &&
          account.settled === account.reported
        );
    },
    tick() {
      demand += DEMAND_WEIGHT * (taken - demand);
      taken = 0;
    },
  };
}
