/**
 * Lends quota tokens between hosts: a host whose share is used up asks peers
 * that may have some left. Tokens are given up before they are sent, so a lost
 * message loses tokens and never makes any.
 */

import type { HostId, WorkspaceId } from "../core/ids.ts";
import type { Borrow, Lend } from "../generated/pool_peer.ts";
import type { PoolIo } from "./types.ts";

/** Time for an answer of a peer, in milliseconds: one far round trip. */
const LEND_REPLY_TIMEOUT_MS = 60;
/** Peers that are asked at once. */
const MAX_PEERS_PER_REQUEST = 3;

/** Asks peers for tokens. */
export interface TokenExchange {
  /** Answers a peer that asks for tokens. */
  handleBorrow(from: HostId, msg: Borrow): void;
  /** Takes the tokens that a peer gave up. */
  handleLend(msg: Lend): void;
  /** Resolves with the number of tokens that peers gave up. */
  borrow(workspace: WorkspaceId, count: number): Promise<number>;
}

/** What borrowing needs of the host. */
export interface TokenExchangeOptions {
  listPeers(): readonly HostId[];
  /** Share of a workspace that a host has. */
  getShare(host: HostId, workspace: WorkspaceId): number;
  /** Gives up tokens for a peer. */
  lend(workspace: WorkspaceId, count: number): number;
}

/** Creates the part that borrows and lends. */
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
        resolve(count);
      };
      const timer = setTimeout(() => finish(0), LEND_REPLY_TIMEOUT_MS);
      pending.set(id, finish);
      io.peers.send(peer, { kind: "borrow", id, ...request });
    });
  }

  /** Peers with the largest shares first, in a random order among equals. */
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
    handleBorrow: handleBorrow,
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
