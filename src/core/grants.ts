/** The owner of workspaces: pools the shares lent to it and grants tokens. */

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

/** Longest time that tokens are granted for, in milliseconds. */
export const GRANT_MS = 500;

const COLLECT_INTERVAL_MS = 120;
const COLLECT_TIMEOUT_MS = 400;
const FIRST_COLLECT_WAIT_MS = 120;
const ACTIVE_WINDOW_MS = 500;
const SHORTAGE_WINDOW_MS = 300;
/** Longest time that a statement of a silent host counts as running. */
const MAX_STATEMENT_MS = 10_000;

/** Grants the tokens of the workspaces that other hosts ask this one for. */
export interface Grants extends Stoppable {
  start(): void;
  receive(req: GrantReq): Promise<GrantRes>;
}

/** What grants are made of. */
export interface GrantsOptions {
  readonly incarnation: string;
  /** Hosts that may hold seats. */
  listSeatHosts(): readonly HostId[];
  tryShareSize(workspace: WorkspaceId): ShareSize | undefined;
  /** Asks a host for shares; undefined without an answer. */
  requestShares(
    host: HostId,
    req: DelegateReq,
    timeoutMs: number,
  ): Promise<DelegateRes | undefined>;
}

type Want = GrantReq["wants"][number];

interface Sender {
  granted: number;
  settled: number;
  unused: number;
  seq: number;
  /** When the last of its tokens expires. */
  until: number;
  /** Tokens that it still waits for, since when, and when it last asked. */
  unmetTokens: number;
  unmetSince: number;
  askedAt: number;
}

interface OwnedWorkspace {
  readonly pool: TokenPool;
  readonly senders: Map<string, Sender>;
  size: ShareSize;
  askedAt: number;
  lastShortageAt: number;
  collecting: Promise<void> | undefined;
  /** The last request for shares; answers to earlier ones are dropped. */
  claimSeq: number;
}

/** Creates the owner role of a host. */
export function createGrants(options: GrantsOptions): Grants {
  const { incarnation } = options;
  const ownedWorkspaces = new Map<WorkspaceId, OwnedWorkspace>();
  let timer: NodeJS.Timeout | undefined;
  let seq = 0;

  function getOwnedWorkspace(
    workspace: WorkspaceId,
    size: ShareSize,
  ): OwnedWorkspace {
    const found = ownedWorkspaces.get(workspace);
    if (found) {
      return found;
    }
    const entry: OwnedWorkspace = {
      pool: createTokenPool(() => entry.size),
      senders: new Map(),
      size,
      askedAt: 0,
      lastShortageAt: -Infinity,
      collecting: undefined,
      claimSeq: -1,
    };
    ownedWorkspaces.set(workspace, entry);
    return entry;
  }

  /** Asks the hosts with seats for their shares, or to extend them. */
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
    // An answer to an earlier request may speak of a higher claim.
    if (entry && entry.claimSeq === request.req.seq) {
      const until = request.sentAt + ttlMs;
      entry.pool.setShare(seat, { until, tokens, part });
    }
  }

  async function collectInitial(
    workspace: WorkspaceId,
    entry: OwnedWorkspace,
  ): Promise<void> {
    entry.collecting ??= collect([workspace]).finally(() =>
      entry.collecting = undefined
    );
    // A host that does not answer must not hold up the shares of the others.
    await Promise.race([entry.collecting, sleep(FIRST_COLLECT_WAIT_MS)]);
  }

  /** Counts the statements of hosts that went silent as ended. */
  function dropSilentSenders(entry: OwnedWorkspace): void {
    for (const [key, sender] of entry.senders) {
      if (nowMs() > sender.until + MAX_STATEMENT_MS) {
        const ended = sender.granted - sender.settled;
        entry.pool.settle({ ended, unused: 0 });
        entry.senders.delete(key);
      }
    }
  }

  function collectForActive(): void {
    const now = nowMs();
    for (const [workspace, entry] of ownedWorkspaces) {
      dropSilentSenders(entry);
      if (now - entry.askedAt > ACTIVE_WINDOW_MS && entry.senders.size === 0) {
        ownedWorkspaces.delete(workspace);
      }
    }
    const active = [...ownedWorkspaces]
      .filter(([, entry]) => now - entry.askedAt <= ACTIVE_WINDOW_MS)
      .map(([workspace]) => workspace);
    if (active.length > 0) {
      void collect(active);
    }
  }

  function settle(
    entry: OwnedWorkspace,
    request: { readonly req: GrantReq; readonly want: Want },
  ): Sender | undefined {
    const { req, want } = request;
    dropSilentSenders(entry);
    const isSameOwner = req.owner === incarnation;
    const received = isSameOwner ? want.received : 0;
    const sender = entry.senders.get(req.sender) ??
      {
        granted: received,
        settled: received,
        unused: isSameOwner ? want.unused : 0,
        seq: -1,
        until: nowMs(),
        unmetTokens: 0,
        unmetSince: 0,
        askedAt: 0,
      };
    if (sender.seq >= req.seq) {
      return undefined;
    }
    sender.seq = req.seq;
    entry.senders.set(req.sender, sender);
    // Tokens whose grant did not arrive will never be used.
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

  /** Tokens that hosts wait for which asked before `sender` did. */
  function getReserved(entry: OwnedWorkspace, sender: Sender): number {
    const now = nowMs();
    const since = sender.unmetTokens > 0 ? sender.unmetSince : now;
    return [...entry.senders.values()]
      .filter((other) => now - other.askedAt < SHORTAGE_WINDOW_MS)
      .filter((other) => other !== sender && other.unmetSince < since)
      .reduce((sum, other) => sum + other.unmetTokens, 0);
  }

  function noteUnmet(sender: Sender, amounts: { wanted: number; got: number }) {
    const { wanted, got } = amounts;
    const now = nowMs();
    // One that got something goes to the end of the line.
    sender.unmetSince = sender.unmetTokens === 0 || got > 0
      ? now
      : sender.unmetSince;
    sender.unmetTokens = Math.max(0, wanted - got);
    sender.askedAt = now;
  }

  function grant(
    req: GrantReq,
    context: {
      readonly want: Want;
      readonly entry: OwnedWorkspace;
      readonly sentAt: number;
    },
  ): GrantRes["grants"][number] {
    const { want, entry, sentAt } = context;
    const now = nowMs();
    const sender = entry.senders.get(req.sender);
    const isCurrent = sender?.seq === req.seq;
    // What some host needs now goes before what another may need later.
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
      : { tokens: 0, until: now };
    if (sender && isCurrent) {
      noteUnmet(sender, { wanted: want.tokens, got: granted.tokens });
      sender.granted += granted.tokens;
      sender.until = Math.max(sender.until, granted.until);
    }
    if (granted.tokens < want.tokens) {
      entry.lastShortageAt = now;
    }
    return {
      workspace: want.workspace,
      tokens: granted.tokens,
      // The sender counts from its sending, which was before `sentAt`.
      ttlMs: Math.max(0, granted.until - sentAt) / CLOCK_DRIFT_FACTOR,
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
        entry.askedAt = receivedAt;
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
