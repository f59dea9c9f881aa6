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

interface Lent {
  readonly owner: string;
  /** Nobody else gets the share before then. */
  readonly until: number;
  /** The tenure of the seat under which the share was lent. */
  readonly since: number;
}

/** Creates delegations with nothing lent. */
export function createDelegations(options: DelegationsOptions): Delegations {
  const lent = new Map<string, Lent>();

  function lend(
    seat: HeldSeat,
    given: { readonly workspace: WorkspaceId; readonly owner: string },
  ): DelegateRes["shares"][number] | undefined {
    const { workspace, owner } = given;
    const size = options.tryShareSize(workspace);
    const key = `${seat.seat}/${workspace}`;
    const found = lent.get(key);
    const last = found?.since === seat.since ? found : undefined;
    const now = nowMs();
    const isLent = last !== undefined && last.until > now;
    if (!size || (isLent && last.owner !== owner)) {
      return undefined;
    }
    const ttlMs = Math.min(DELEGATION_MS, seat.until - now);
    const until = Math.max(last?.until ?? 0, now + ttlMs * CLOCK_DRIFT);
    lent.delete(key);
    lent.set(key, { owner, until, since: seat.since });
    if (isLent) {
      return { workspace, seat: seat.seat, ttlMs };
    }
    // The last owner may have used up the share just before it lapsed.
    const idleSince = last?.until ?? (seat.isNew ? -Infinity : seat.since);
    const idleMs = now - idleSince;
    const tokens = Math.min(size.burst, size.ratePerMs * idleMs);
    return { workspace, seat: seat.seat, ttlMs, tokens };
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
    receive({ owner, workspaces }) {
      const seats = options.listSeats();
      const shares = workspaces.flatMap((workspace) =>
        seats.map((seat) => lend(seat, { workspace, owner }))
      );
      prune();
      return {
        kind: "delegate",
        shares: shares.filter((share) => share !== undefined),
      };
    },
  };
}
