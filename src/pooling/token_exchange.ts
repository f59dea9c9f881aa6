/**
 * Exchange of quota tokens between hosts: a host that has used up its share
 * requests tokens from peers. The lender deducts tokens before it sends them,
 * so a lost message can destroy tokens but never duplicate them.
 */

import type { HostId, WorkspaceId } from "../core/ids.ts";
import type { Borrow, Lend } from "../generated/pool_peer.ts";
import type { PoolIo } from "./types.ts";

/** Time that a peer has to answer: one round trip between regions. */
const LEND_REPLY_TIMEOUT_MS = 60;
/** Number of peers that are asked concurrently. */
const MAX_PEERS_PER_REQUEST = 3;

/** Borrows quota tokens from peers and lends quota tokens to them. */
export interface TokenExchange {
  /** Answers a peer's request for tokens. */
  handleBorrow(from: HostId, msg: Borrow): void;
  /** Handles a peer's answer to a request of this host. */
  handleLend(msg: Lend): void;
  /** Requests quota tokens from peers; resolves with the number received. */
  borrow(workspace: WorkspaceId, count: number): Promise<number>;
}

/** Dependencies of a token exchange. */
export interface TokenExchangeOptions {
  listPeers(): readonly HostId[];
  /** Returns a host's share of the workspace's quota. */
  getShare(host: HostId, workspace: WorkspaceId): number;
  /** Deducts up to `count` tokens for a peer; returns the number deducted. */
  lend(workspace: WorkspaceId, count: number): number;
}

/** Creates a token exchange without pending requests. */
export function createTokenExchange(
  io: Pick<PoolIo, "peers" | "metrics" | "random">,
  options: TokenExchangeOptions,
): TokenExchange {
  const pending = new Map<number, (count: number) => void>();
  let nextId = 0;

  function handleBorrow(from: HostId, msg: Borrow): void {
    const { id, workspace } = msg;
    const count = options.lend(workspace, msg.count);
    io.peers.send(from, { kind: "lend", id, workspace, count });
  }

  function requestTokens(
    peer: HostId,
    request: { readonly workspace: WorkspaceId; readonly count: number },
  ): Promise<number> {
    const id = nextId++;
    return new Promise((resolve) => {
      const finish = (count: number) => {
        clearTimeout(timer);
        pending.delete(id);
        // More would be tokens that no host has given up.
        resolve(Math.min(count, request.count));
      };
      const timer = setTimeout(() => finish(0), LEND_REPLY_TIMEOUT_MS);
      pending.set(id, finish);
      io.peers.send(peer, { kind: "borrow", id, ...request });
    });
  }

  /**
   * Lists peers by descending share, with random variation among similar ones.
   */
  function rankPeers(workspace: WorkspaceId): HostId[] {
    return options.listPeers()
      .map((peer) => ({
        peer,
        weight: options.getShare(peer, workspace) * (0.5 + io.random()),
      }))
      .sort((a, b) => b.weight - a.weight)
      .map(({ peer }) => peer);
  }

  return {
    handleBorrow,
    handleLend: (msg) => pending.get(msg.id)?.(msg.count),
    async borrow(workspace, count) {
      const candidates = rankPeers(workspace).slice(0, MAX_PEERS_PER_REQUEST);
      const counts = await Promise.all(
        candidates.map((peer) => requestTokens(peer, { workspace, count })),
      );
      const borrowedCount = counts.reduce(
        (total, lentCount) => total + lentCount,
        0,
      );
      io.metrics.add("quota_borrowed_total", borrowedCount, { workspace });
      return borrowedCount;
    },
  };
}
