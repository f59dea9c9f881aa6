/**
 * Votes by which seats are kept or taken while the platform cannot tell. Each
 * seat has one vote, cast by its holder.
 */

import { nowMs } from "./clock.ts";
import type { SeatVersion } from "../generated/peer.ts";

/** How long a vote binds its voter, in milliseconds. */
export const VOTE_MS = 2_000;

interface Promised {
  readonly version: number;
  readonly until: number;
}

/** The votes that this process has given. */
export interface SeatVotes {
  /** Lists the seats whose holder may keep them for `VOTE_MS`. */
  keep(seats: readonly SeatVersion[]): number[];
  /** Lists the seats that may be taken from their holder. */
  take(seats: readonly SeatVersion[]): number[];
}

/** Creates the votes of a process that has given none. */
export function createSeatVotes(): SeatVotes {
  const kept = new Map<number, Promised>();
  const taken = new Map<number, Promised>();

  function vote(
    seats: readonly SeatVersion[],
    maps: { readonly against: Map<number, Promised>; into: typeof kept },
  ): number[] {
    const now = nowMs();
    return seats.filter(({ seat, version }) => {
      const other = maps.against.get(seat);
      if (other && other.until > now && other.version === version) {
        return false;
      }
      maps.into.set(seat, { version, until: now + VOTE_MS });
      return true;
    }).map(({ seat }) => seat);
  }

  return {
    keep: (seats) => vote(seats, { against: taken, into: kept }),
    take: (seats) => vote(seats, { against: kept, into: taken }),
  };
}
