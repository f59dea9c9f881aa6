/**
 * Lends the rate-limit shares of this host's seats to the owners of workspaces,
 * which pool them and grant tokens.
 */

import type { DelegateReq, DelegateRes } from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { WorkspaceId } from "./ids.ts";
import { CLOCK_DRIFT_FACTOR, DELEGATION_MS, type HeldSeat } from "./seats.ts";
import type { ShareSize } from "./token_pool.ts";

/** Maximum number of stored shares; exceeded while none can be evicted. */
const MAX_LENT_SHARES = 20_000;

/** Shares that this host has lent to owners. */
export interface Delegations {
  /** Lends or extends the claimed shares of every seat that is held now. */
  receive(req: DelegateReq): DelegateRes;
}

/** Dependencies of the delegations. */
export interface DelegationsOptions {
  listSeats(): readonly HeldSeat[];
  tryShareSize(workspace: WorkspaceId): ShareSize | undefined;
}

type Claim = DelegateReq["claims"][number];

interface LentShare {
  readonly owner: string;
  /** Time until which the share is not lent to another owner. */
  readonly expiresAt: number;
  /** Sequence number of the last accepted request; older ones are ignored. */
  readonly seq: number;
  /** Fraction of the burst that counts as used when the loan expires. */
  readonly claimedFraction: number;
  /**
   * `usableSince` of the seat when the share was lent. It differs once this
   * host has lost the seat and taken it again.
   */
  readonly seatUsableSince: number;
}

/** Creates delegations with no shares lent. */
export function createDelegations(options: DelegationsOptions): Delegations {
  const lentShares = new Map<string, LentShare>();

  function tryLend(
    seat: HeldSeat,
    request: { readonly claim: Claim; readonly req: DelegateReq },
  ): DelegateRes["shares"][number] | undefined {
    const { owner, seq } = request.req;
    const { workspace } = request.claim;
    const size = options.tryShareSize(workspace);
    const key = `${seat.seat}/${workspace}`;
    const stored = lentShares.get(key);
    const last = stored?.seatUsableSince === seat.usableSince
      ? stored
      : undefined;
    const now = nowMs();
    const isLent = last !== undefined && last.expiresAt > now;
    const isLentToOther = isLent && last.owner !== owner;
    const isOutdated = last?.owner === owner && last.seq >= seq;
    if (!size || isLentToOther || isOutdated) {
      return undefined;
    }
    const tokens = isLent
      ? undefined
      : getAvailableTokens(seat, { size, last });
    const usedFraction = tokens === undefined ? 0 : 1 - tokens / size.burst;
    const claimedFraction = Math.max(request.claim.part, usedFraction);
    const ttlMs = Math.min(DELEGATION_MS, seat.expiresAt - now);
    const expiresAt = Math.max(
      last?.expiresAt ?? 0,
      now + ttlMs * CLOCK_DRIFT_FACTOR,
    );
    lentShares.delete(key);
    lentShares.set(key, {
      owner,
      expiresAt,
      seq,
      claimedFraction,
      seatUsableSince: seat.usableSince,
    });
    const share = { workspace, seat: seat.seat, ttlMs, part: claimedFraction };
    return tokens === undefined ? share : { ...share, tokens };
  }

  /**
   * Returns the tokens that a share is guaranteed to have, assuming that its
   * previous owner used its whole claim.
   */
  function getAvailableTokens(
    seat: HeldSeat,
    state: { readonly size: ShareSize; readonly last: LentShare | undefined },
  ): number {
    const { size, last } = state;
    const unclaimed = last ? (1 - last.claimedFraction) * size.burst : 0;
    // Without an earlier loan by this host, the tokens depend on the seat: a seat
    // that never had a holder is full, any other starts empty.
    const idleSince = last?.expiresAt ??
      (seat.isNew ? -Infinity : seat.usableSince);
    const idleMs = nowMs() - idleSince;
    return Math.min(size.burst, unclaimed + size.ratePerMs * idleMs);
  }

  /**
   * Evicts the oldest shares above the limit. Stops at the first that may not
   * have refilled yet: without its entry, its tokens could be granted twice.
   */
  function prune(): void {
    for (const [key, { expiresAt }] of lentShares) {
      const workspace = key.slice(key.indexOf("/") + 1) as WorkspaceId;
      const size = options.tryShareSize(workspace);
      const fullMs = size ? size.burst / size.ratePerMs : 0;
      if (lentShares.size <= MAX_LENT_SHARES || expiresAt + fullMs > nowMs()) {
        return;
      }
      lentShares.delete(key);
    }
  }

  return {
    receive(req) {
      const seats = options.listSeats();
      const shares = req.claims.flatMap((claim) =>
        seats.map((seat) => tryLend(seat, { claim, req }))
      );
      prune();
      return {
        kind: "delegate",
        shares: shares.filter((share) => share !== undefined),
      };
    },
  };
}
