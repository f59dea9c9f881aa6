/**
 * Fleet-wide rate limits of workspaces. Every statement needs a rate-limit
 * token, which this host requests from the host that owns the workspace.
 */

import type {
  DelegateReq,
  DelegateRes,
  GrantReq,
  GrantRes,
  SeatVoteReq,
  SeatVoteRes,
} from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import { createDelegations } from "./delegations.ts";
import { createGrants } from "./grants.ts";
import type { HostId, WorkspaceId } from "./ids.ts";
import { createSeats } from "./seats.ts";
import {
  createTokenStock,
  TICK_MS,
  type Token,
  type TokenStock,
} from "./token_stock.ts";
import { getShareSize, type ShareSize } from "./token_pool.ts";
import type { HostIo, PeerReq, PeerRes, Stoppable } from "./types.ts";

const REQUEST_TIMEOUT_MS = 250;
/** Time for which an owner that did not answer is skipped. */
const OWNER_SUSPECT_MS = 1_000;
/**
 * Idle time after which a stock is removed. By then, the owners have removed
 * their accounts of this sender.
 */
const STOCK_IDLE_MS = 30_000;

/** Peer requests that the limits handle. */
export type LimitsReq = SeatVoteReq | DelegateReq | GrantReq;
/** Responses to `LimitsReq`. */
export type LimitsRes = SeatVoteRes | DelegateRes | GrantRes;

/** Enforces the rate and burst of each workspace across the fleet. */
export interface Limits extends Stoppable {
  start(): void;
  /** Takes a token to send a statement now; undefined if none is held. */
  tryTake(workspace: WorkspaceId): Token | undefined;
  /** Sets the number of requests of a workspace that `waiter` has queued. */
  setWaiting(
    waiter: object,
    options: { readonly workspace: WorkspaceId; readonly count: number },
  ): void;
  /**
   * Estimates the time until a request with `ahead` others before it gets a
   * token, in milliseconds.
   */
  getWaitMs(workspace: WorkspaceId, ahead: number): number;
  /**
   * Adds a listener for workspaces whose tokens may have changed: after each
   * grant, and at every request interval. Returns a function that removes it.
   */
  onChange(listener: (workspace: WorkspaceId) => void): () => void;
  receive(req: LimitsReq): Promise<LimitsRes>;
  /** Resolves when this host has taken the seats that it should hold. */
  ready(): Promise<void>;
  /** Lists the numbers of the seats that this host may use now. */
  listSeats(): number[];
  /** Releases the seats. The host must not send statements afterwards. */
  release(): Promise<void>;
}

/** Dependencies of the limits. */
export interface LimitsOptions {
  readonly self: HostId;
  readonly cfg: Pick<Configuration, "tryAllowance">;
  /** Number of hosts in the settings, including this one. */
  readonly configuredHostCount: number;
  /** Counts the alive hosts, including this one. */
  countAlive(): number;
  /** Lists the candidate owners of a workspace, best first. */
  listOwners(workspace: WorkspaceId): readonly HostId[];
  /** Lists the hosts that may hold seats, best first. */
  listSeatHosts(): readonly HostId[];
  /** Calls a peer; resolves with undefined if it does not answer in time. */
  call(
    host: HostId,
    req: PeerReq,
    options: { readonly timeoutMs: number },
  ): Promise<PeerRes | undefined>;
}

interface OwnerState {
  incarnation: string;
  seq: number;
  isAwaitingAnswer: boolean;
  /** Whether another request is due once the pending one has completed. */
  mustRequestAgain: boolean;
  suspectUntil: number;
}

/** Creates the rate limits of a host, including its seats and owner role. */
export function createLimits(io: HostIo, options: LimitsOptions): Limits {
  const { self, cfg } = options;
  const incarnation = `${self}.${io.random().toString(36).slice(2)}`;
  const stocks = new Map<WorkspaceId, TokenStock>();
  const ownerStates = new Map<HostId, OwnerState>();
  const listeners = new Set<(workspace: WorkspaceId) => void>();
  let timer: NodeJS.Timeout | undefined;

  function tryShareSize(workspace: WorkspaceId): ShareSize | undefined {
    const plan = cfg.tryAllowance(workspace);
    return plan && getShareSize(plan);
  }

  const seats = createSeats(io, {
    self,
    incarnation,
    configuredHostCount: options.configuredHostCount,
    countAlive: options.countAlive,
    listSeatHosts: options.listSeatHosts,
    async requestVote(peer, req, timeoutMs) {
      const res = await options.call(peer, req, { timeoutMs });
      return res?.kind === "seat_vote" ? res : undefined;
    },
  });
  const delegations = createDelegations({
    listSeats: seats.list,
    tryShareSize,
  });
  const grants = createGrants({
    incarnation,
    listSeatHosts: options.listSeatHosts,
    tryShareSize,
    async requestShares(host, req, timeoutMs) {
      if (host === self) {
        return delegations.receive(req);
      }
      const res = await options.call(host, req, { timeoutMs });
      return res?.kind === "delegate" ? res : undefined;
    },
  });

  function getOwnerState(owner: HostId): OwnerState {
    const state = ownerStates.get(owner) ?? {
      incarnation: "",
      seq: 0,
      isAwaitingAnswer: false,
      mustRequestAgain: false,
      suspectUntil: -Infinity,
    };
    ownerStates.set(owner, state);
    return state;
  }

  function getOwner(workspace: WorkspaceId): HostId {
    const ranked = options.listOwners(workspace);
    return ranked.find((host) => getOwnerState(host).suspectUntil <= nowMs()) ??
      ranked[0] ?? self;
  }

  function getStock(workspace: WorkspaceId): TokenStock {
    const existing = stocks.get(workspace);
    if (existing) {
      return existing;
    }
    const stock = createTokenStock({ getOwner: () => getOwner(workspace) });
    stocks.set(workspace, stock);
    return stock;
  }

  function notify(workspace: WorkspaceId): void {
    listeners.forEach((listener) => listener(workspace));
  }

  async function callOwner(
    owner: HostId,
    req: GrantReq,
  ): Promise<GrantRes | undefined> {
    if (owner === self) {
      return await grants.receive(req);
    }
    const timeoutMs = REQUEST_TIMEOUT_MS;
    const res = await options.call(owner, req, { timeoutMs });
    return res?.kind === "grant" ? res : undefined;
  }

  function applyGrants(
    owner: HostId,
    answer: { readonly res: GrantRes; readonly sentAt: number },
  ): void {
    const { res, sentAt } = answer;
    const ownerState = getOwnerState(owner);
    if (ownerState.incarnation !== res.owner) {
      ownerState.incarnation = res.owner;
      stocks.forEach((stock) => stock.resetTotals(owner));
    }
    for (const grant of res.grants) {
      getStock(grant.workspace).receive(grant, {
        owner,
        sentAt,
      });
    }
    res.grants.forEach((grant) => notify(grant.workspace));
  }

  /** Sends an owner the pending token requests, one message at a time. */
  async function requestTokens(owner: HostId): Promise<void> {
    const ownerState = getOwnerState(owner);
    if (ownerState.isAwaitingAnswer) {
      ownerState.mustRequestAgain = true;
      return;
    }
    const wants = [...stocks].flatMap(([workspace, stock]) => {
      const want = stock.tryGetRequest(owner);
      return want ? [{ workspace, ...want }] : [];
    });
    if (wants.length === 0) {
      return;
    }
    ownerState.isAwaitingAnswer = true;
    ownerState.mustRequestAgain = false;
    const sentAt = nowMs();
    const req: GrantReq = {
      kind: "grant",
      sender: incarnation,
      owner: ownerState.incarnation,
      seq: ownerState.seq++,
      wants,
    };
    const res = await callOwner(owner, req);
    ownerState.isAwaitingAnswer = false;
    if (res) {
      applyGrants(owner, { res, sentAt });
    } else {
      ownerState.suspectUntil = nowMs() + OWNER_SUSPECT_MS;
      wants.forEach(({ workspace }) => {
        stocks.get(workspace)?.recordUnanswered(owner);
        requestTokensFor(workspace);
      });
    }
    if (ownerState.mustRequestAgain) {
      void requestTokens(owner);
    }
  }

  function requestTokensFor(workspace: WorkspaceId): void {
    void requestTokens(getOwner(workspace));
  }

  function requestAllTokens(): void {
    const owners = new Set<HostId>();
    for (const [workspace, stock] of stocks) {
      stock.tick();
      stock.listOwners().forEach((owner) => owners.add(owner));
      if (stock.getIdleMs() > STOCK_IDLE_MS && stock.isSettled()) {
        stocks.delete(workspace);
      }
    }
    owners.forEach((owner) => void requestTokens(owner));
    stocks.forEach((_, workspace) => notify(workspace));
  }

  return {
    start() {
      seats.start();
      grants.start();
      timer = setInterval(requestAllTokens, TICK_MS);
    },
    tryTake(workspace) {
      return cfg.tryAllowance(workspace) && getStock(workspace).tryTake();
    },
    setWaiting(waiter, { workspace, count }) {
      const stock = getStock(workspace);
      stock.setWaiting(waiter, count);
      if (stock.needsTokens()) {
        requestTokensFor(workspace);
      }
    },
    getWaitMs(workspace, ahead) {
      const plan = cfg.tryAllowance(workspace);
      const perMs = (plan?.ratePerSecond ?? 0) / 1_000;
      return plan ? getStock(workspace).getWaitMs(ahead, perMs) : 0;
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    async receive(req) {
      switch (req.kind) {
        case "seat_vote":
          return seats.receive(req);
        case "delegate":
          return delegations.receive(req);
        case "grant":
          return await grants.receive(req);
      }
    },
    listSeats: () => seats.list().map(({ seat }) => seat),
    ready: seats.ready,
    release: seats.release,
    stop() {
      clearInterval(timer);
      seats.stop();
      grants.stop();
    },
  };
}
