/** Lends the shares of this host's seats to the owners of workspaces. */

import type { DelegateReq, DelegateRes } from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { WorkspaceId } from "./ids.ts";
import { CLOCK_DRIFT, DELEGATION_MS, type HeldSeat } from "./seats.ts";
import type { ShareSize } from "./token_pool.ts";

const MAX_ENTRIES = 20_000;

/** The shares that this host has lent. */
export interface Delegations {
  receive(req: DelegateReq): DelegateRes;
}

/** What delegations are made of. */
export interface DelegationsOptions {
  listSeats(): readonly HeldSeat[];
  tryShareSize(workspace: WorkspaceId): ShareSize | undefined;
}

type Claim = DelegateReq["claims"][number];

interface Lent {
  readonly owner: string;
  /** Nobody else gets the share before then. */
  readonly until: number;
  /** The last request that was taken; older ones arrive late. */
  readonly seq: number;
  /** Part of the burst that counts as used when the share lapses. */
  readonly part: number;
  /** The tenure of the seat under which the share was lent. */
  readonly since: number;
}

/** Creates delegations with nothing lent. */
export function createDelegations(options: DelegationsOptions): Delegations {
  const lent = new Map<string, Lent>();

  function lend(
    seat: HeldSeat,
    given: { readonly claim: Claim; readonly req: DelegateReq },
  ): DelegateRes["shares"][number] | undefined {
    const { owner, seq } = given.req;
    const { workspace } = given.claim;
    const size = options.tryShareSize(workspace);
    const key = `${seat.seat}/${workspace}`;
    const found = lent.get(key);
    const last = found?.since === seat.since ? found : undefined;
    const now = nowMs();
    const isLent = last !== undefined && last.until > now;
    const isOther = isLent && last.owner !== owner;
    const isLate = last?.owner === owner && last.seq >= seq;
    if (!size || isOther || isLate) {
      return undefined;
    }
    const tokens = isLent ? undefined : getTokens(seat, { size, last });
    const usedPart = tokens === undefined ? 0 : 1 - tokens / size.burst;
    const part = Math.max(given.claim.part, usedPart);
    const ttlMs = Math.min(DELEGATION_MS, seat.until - now);
    const until = Math.max(last?.until ?? 0, now + ttlMs * CLOCK_DRIFT);
    lent.delete(key);
    lent.set(key, { owner, until, seq, part, since: seat.since });
    const share = { workspace, seat: seat.seat, ttlMs, part };
    return tokens === undefined ? share : { ...share, tokens };
  }

  /** What a share surely has, whatever its last owner did with its claim. */
  function getTokens(
    seat: HeldSeat,
    given: { readonly size: ShareSize; readonly last: Lent | undefined },
  ): number {
    const { size, last } = given;
    const left = last ? (1 - last.part) * size.burst : 0;
    const idleSince = last?.until ?? (seat.isNew ? -Infinity : seat.since);
    const idleMs = nowMs() - idleSince;
    return Math.min(size.burst, left + size.ratePerMs * idleMs);
  }

  /** Forgets the oldest shares that are full again by now. */
  function prune(): void {
    for (const [key, { until }] of lent) {
      const workspace = key.slice(key.indexOf("/") + 1) as WorkspaceId;
      const size = options.tryShareSize(workspace);
      const fullMs = size ? size.burst / size.ratePerMs : 0;
      if (lent.size <= MAX_ENTRIES || until + fullMs > nowMs()) {
        return;
      }
      lent.delete(key);
    }
  }

  return {
    receive(req) {
      const seats = options.listSeats();
      const shares = req.claims.flatMap((claim) =>
        seats.map((seat) => lend(seat, { claim, req }))
      );
      prune();
      return {
        kind: "delegate",
        shares: shares.filter((share) => share !== undefined),
      };
    },
  };
}
