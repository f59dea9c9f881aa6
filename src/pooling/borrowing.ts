/**
 * Lends quota tokens between hosts: a host whose share is used up asks peers
 * that may have some left. Tokens are given up before they are sent, so a lost
 * message loses tokens and never makes any.
 */

import type { HostId, WorkspaceId } from "../core/ids.ts";
import type { Borrow, Lend } from "../generated/pool_peer.ts";
import type { PoolIo } from "./types.ts";

/** Time for an answer of a peer, in milliseconds: one far round trip. */
const LEND_TIMEOUT_MS = 60;
/** Peers that are asked at once. */
const ASKED_AT_ONCE = 3;

/** Asks peers for tokens. */
export interface Borrowing {
  /** Answers a peer that asks for tokens. */
  serve(from: HostId, msg: Borrow): void;
  /** Takes the tokens that a peer gave up. */
  take(msg: Lend): void;
  /** Resolves with the number of tokens that peers gave up. */
  borrow(workspace: WorkspaceId, count: number): Promise<number>;
}

/** What borrowing needs of the host. */
export interface BorrowingOptions {
  listPeers(): readonly HostId[];
  /** Share of a workspace that a host has. */
  getShare(host: HostId, workspace: WorkspaceId): number;
  /** Gives up tokens for a peer. */
  lend(workspace: WorkspaceId, count: number): number;
}

/** Creates the part that borrows and lends. */
export function createBorrowing(
  io: Pick<PoolIo, "peers" | "metrics" | "random">,
  options: BorrowingOptions,
): Borrowing {
  const pending = new Map<number, (count: number) => void>();
  let nextId = 0;

  function serve(from: HostId, msg: Borrow): void {
    const { id, workspace } = msg;
    const count = options.lend(workspace, msg.count);
    io.peers.send(from, { kind: "lend", id, workspace, count });
  }

  function ask(
    peer: HostId,
    given: { readonly workspace: WorkspaceId; readonly count: number },
  ): Promise<number> {
    const id = nextId++;
    return new Promise((resolve) => {
      const finish = (count: number) => {
        clearTimeout(timer);
        pending.delete(id);
        resolve(count);
      };
      const timer = setTimeout(() => finish(0), LEND_TIMEOUT_MS);
      pending.set(id, finish);
      io.peers.send(peer, { kind: "borrow", id, ...given });
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
    serve,
    take: (msg) => pending.get(msg.id)?.(msg.count),
    async borrow(workspace, count) {
      const asked = rankPeers(workspace).slice(0, ASKED_AT_ONCE);
      const lent = await Promise.all(
        asked.map((peer) => ask(peer, { workspace, count })),
      );
      const sum = lent.reduce((total, one) => total + one, 0);
      io.metrics.add("quota_borrowed_total", sum, { workspace });
      return sum;
    },
  };
}
