/**
 * Owner role of a host: pools the shares of the workspaces that it owns, and
 * grants rate-limit tokens from the pools to the hosts that request them.
 */

import type {
  DelegateReq,
  DelegateRes,
  GrantReq,
  GrantRes,
} from "../generated/peer.ts";
import { nowMs, sleep } from "./clock.ts";
import type { HostId, WorkspaceId } from "./ids.ts";
import { CLOCK_DRIFT_FACTOR } from "./seats.ts";
import {
  createTokenPool,
  type ShareSize,
  type TokenPool,
} from "./token_pool.ts";
import type { Stoppable } from "./types.ts";

/** Maximum lifetime of granted tokens, in milliseconds. */
export const GRANT_MS = 500;

const COLLECT_INTERVAL_MS = 120;
const COLLECT_TIMEOUT_MS = 400;
const FIRST_COLLECT_WAIT_MS = 120;
const ACTIVE_WINDOW_MS = 500;
const SHORTAGE_WINDOW_MS = 300;
/** Time after which statements of an unresponsive host count as ended. */
const MAX_STATEMENT_MS = 10_000;

/** Grants tokens of the workspaces that this host owns. */
export interface Grants extends Stoppable {
  start(): void;
  receive(req: GrantReq): Promise<GrantRes>;
}

/** Dependencies of the owner role. */
export interface GrantsOptions {
  readonly incarnation: string;
  /** Lists the hosts that may hold seats. */
  listSeatHosts(): readonly HostId[];
  tryShareSize(workspace: WorkspaceId): ShareSize | undefined;
  /** Requests shares from a host; resolves with undefined without an answer. */
  requestShares(
    host: HostId,
    req: DelegateReq,
    timeoutMs: number,
  ): Promise<DelegateRes | undefined>;
}

/** Request for the tokens of one workspace. */
type TokenRequest = GrantReq["wants"][number];

/** Account of a host process that requests tokens of one workspace. */
interface Sender {
  /** Tokens granted so far, without those whose grant did not arrive. */
  granted: number;
  /** Tokens whose statement ended or that will not be used, so far. */
  settled: number;
  /** Part of `settled` with which no statement was sent. */
  unused: number;
  /** Sequence number of the last accepted request; older ones are ignored. */
  seq: number;
  /** Expiry of the latest tokens granted to this sender. */
  expiresAt: number;
  /**
   * Tokens requested but not granted, the time since which the sender waits
   * for them, and the time of its last request.
   */
  unmetTokens: number;
  unmetSince: number;
  lastRequestedAt: number;
}

interface OwnedWorkspace {
  readonly pool: TokenPool;
  readonly senders: Map<string, Sender>;
  size: ShareSize;
  lastRequestedAt: number;
  lastShortageAt: number;
  collecting: Promise<void> | undefined;
  /** Sequence number of the last request for shares. */
  claimSeq: number;
}

/** Creates the owner role of a host that owns no workspaces yet. */
export function createGrants(options: GrantsOptions): Grants {
  const { incarnation } = options;
  const ownedWorkspaces = new Map<WorkspaceId, OwnedWorkspace>();
  let timer: NodeJS.Timeout | undefined;
  let seq = 0;

  function getOwnedWorkspace(
    workspace: WorkspaceId,
    size: ShareSize,
  ): OwnedWorkspace {
    const existing = ownedWorkspaces.get(workspace);
    if (existing) {
      return existing;
    }
    const entry: OwnedWorkspace = {
      pool: createTokenPool(() => entry.size),
      senders: new Map(),
      size,
      lastRequestedAt: 0,
      lastShortageAt: -Infinity,
      collecting: undefined,
      claimSeq: -1,
    };
    ownedWorkspaces.set(workspace, entry);
    return entry;
  }

  /** Requests or extends the shares of all seats for the given workspaces. */
  async function collect(workspaces: readonly WorkspaceId[]): Promise<void> {
    const entries = workspaces.map((workspace) =>
      ownedWorkspaces.get(workspace)!
    );
    const claims = workspaces.map((workspace, index) => ({
      workspace,
      part: entries[index]!.pool.claimBurst(),
    }));
    const req: DelegateReq = {
      kind: "delegate",
      owner: incarnation,
      seq: seq++,
      claims,
    };
    entries.forEach((entry) => entry.claimSeq = req.seq);
    const hosts = options.listSeatHosts();
    await Promise.all(hosts.map(async (host) => {
      const sentAt = nowMs();
      const res = await options.requestShares(host, req, COLLECT_TIMEOUT_MS);
      res?.shares.forEach((share) => applyShare(share, { req, sentAt }));
    }));
  }

  function applyShare(
    share: DelegateRes["shares"][number],
    request: { readonly req: DelegateReq; readonly sentAt: number },
  ): void {
    const { workspace, seat, ttlMs, tokens, part } = share;
    const entry = ownedWorkspaces.get(workspace);
    // Answers to earlier requests are dropped: their claim may be higher.
    if (entry && entry.claimSeq === request.req.seq) {
      const expiresAt = request.sentAt + ttlMs;
      entry.pool.setShare(seat, { expiresAt, tokens, claimedFraction: part });
    }
  }

  async function collectInitial(
    workspace: WorkspaceId,
    entry: OwnedWorkspace,
  ): Promise<void> {
    entry.collecting ??= collect([workspace]).finally(() =>
      entry.collecting = undefined
    );
    // One unresponsive host must not delay the shares of the others.
    await Promise.race([entry.collecting, sleep(FIRST_COLLECT_WAIT_MS)]);
  }

  /** Removes unresponsive senders and counts their statements as ended. */
  function dropUnresponsiveSenders(entry: OwnedWorkspace): void {
    for (const [key, sender] of entry.senders) {
      if (nowMs() > sender.expiresAt + MAX_STATEMENT_MS) {
        const ended = sender.granted - sender.settled;
        entry.pool.settle({ ended, unused: 0 });
        entry.senders.delete(key);
      }
    }
  }

  function collectForActive(): void {
    const now = nowMs();
    for (const [workspace, entry] of ownedWorkspaces) {
      dropUnresponsiveSenders(entry);
      if (
        now - entry.lastRequestedAt > ACTIVE_WINDOW_MS &&
        entry.senders.size === 0
      ) {
        ownedWorkspaces.delete(workspace);
      }
    }
    const active = [...ownedWorkspaces]
      .filter(([, entry]) => now - entry.lastRequestedAt <= ACTIVE_WINDOW_MS)
      .map(([workspace]) => workspace);
    if (active.length > 0) {
      void collect(active);
    }
  }

  function settle(
    entry: OwnedWorkspace,
    request: { readonly req: GrantReq; readonly want: TokenRequest },
  ): Sender | undefined {
    const { req, want } = request;
    dropUnresponsiveSenders(entry);
    const isSameOwner = req.owner === incarnation;
    const received = isSameOwner ? want.received : 0;
    const sender = entry.senders.get(req.sender) ??
      {
        granted: received,
        settled: received,
        unused: isSameOwner ? want.unused : 0,
        seq: -1,
        expiresAt: nowMs(),
        unmetTokens: 0,
        unmetSince: 0,
        lastRequestedAt: 0,
      };
    if (sender.seq >= req.seq) {
      return undefined;
    }
    sender.seq = req.seq;
    entry.senders.set(req.sender, sender);
    // Tokens in a grant that did not arrive will never be used.
    const undelivered = Math.max(0, sender.granted - received);
    const ended = Math.max(
      0,
      (isSameOwner ? want.settled : 0) - sender.settled,
    );
    const unused = Math.min(
      ended,
      Math.max(0, (isSameOwner ? want.unused : 0) - sender.unused),
    );
    const sent = ended - unused;
    entry.pool.settle({ ended: sent, unused: undelivered + unused });
    sender.granted -= undelivered;
    sender.settled += ended;
    sender.unused += unused;
    return sender;
  }

  /** Returns the tokens reserved for hosts that have waited for longer. */
  function getReserved(entry: OwnedWorkspace, sender: Sender): number {
    const now = nowMs();
    const since = sender.unmetTokens > 0 ? sender.unmetSince : now;
    return [...entry.senders.values()]
      .filter((other) => now - other.lastRequestedAt < SHORTAGE_WINDOW_MS)
      .filter((other) => other !== sender && other.unmetSince < since)
      .reduce((sum, other) => sum + other.unmetTokens, 0);
  }

  function recordUnmet(
    sender: Sender,
    amounts: { wanted: number; granted: number },
  ) {
    const { wanted, granted } = amounts;
    const now = nowMs();
    // A sender that was granted a token goes to the end of the queue.
    sender.unmetSince = sender.unmetTokens === 0 || granted > 0
      ? now
      : sender.unmetSince;
    sender.unmetTokens = Math.max(0, wanted - granted);
    sender.lastRequestedAt = now;
  }

  function grant(
    req: GrantReq,
    context: {
      readonly want: TokenRequest;
      readonly entry: OwnedWorkspace;
      readonly sentAt: number;
    },
  ): GrantRes["grants"][number] {
    const { want, entry, sentAt } = context;
    const now = nowMs();
    const sender = entry.senders.get(req.sender);
    const isCurrent = sender?.seq === req.seq;
    // Waiting requests have priority over expected ones.
    const spare = Math.max(
      0,
      Math.floor(entry.pool.getSpareTokens()) - want.tokens,
    );
    const wanted = want.tokens + Math.min(want.ahead, spare);
    const granted = sender && isCurrent
      ? entry.pool.grant(wanted, {
        maxTtlMs: GRANT_MS,
        reserved: getReserved(entry, sender),
      })
      : { tokens: 0, expiresAt: now };
    if (sender && isCurrent) {
      recordUnmet(sender, { wanted: want.tokens, granted: granted.tokens });
      sender.granted += granted.tokens;
      sender.expiresAt = Math.max(sender.expiresAt, granted.expiresAt);
    }
    if (granted.tokens < want.tokens) {
      entry.lastShortageAt = now;
    }
    return {
      workspace: want.workspace,
      tokens: granted.tokens,
      // The sender counts the TTL from its send time, which precedes `sentAt`.
      ttlMs: Math.max(0, granted.expiresAt - sentAt) / CLOCK_DRIFT_FACTOR,
      waitMs: entry.pool.hasShares()
        ? entry.pool.getWaitMs(1)
        : COLLECT_INTERVAL_MS + COLLECT_TIMEOUT_MS / 2,
      recall: now - entry.lastShortageAt < SHORTAGE_WINDOW_MS,
    };
  }

  return {
    start() {
      timer = setInterval(collectForActive, COLLECT_INTERVAL_MS);
    },
    async receive(req) {
      const receivedAt = nowMs();
      const entries = req.wants.flatMap((want) => {
        const size = options.tryShareSize(want.workspace);
        if (!size) {
          return [];
        }
        const entry = getOwnedWorkspace(want.workspace, size);
        entry.size = size;
        entry.lastRequestedAt = receivedAt;
        return settle(entry, { req, want }) ? [{ want, entry }] : [];
      });
      const missing = entries.filter(({ want, entry }) =>
        want.tokens + want.ahead > 0 &&
        (!entry.pool.hasShares() || entry.pool.needsLargerClaim(want.tokens))
      );
      await Promise.all(
        missing.map(({ want, entry }) => collectInitial(want.workspace, entry)),
      );
      return {
        kind: "grant",
        owner: incarnation,
        grants: entries.map(({ want, entry }) =>
          grant(req, { want, entry, sentAt: receivedAt })
        ),
      };
    },
    stop() {
      clearInterval(timer);
    },
  };
}
