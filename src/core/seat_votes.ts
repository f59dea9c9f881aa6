/**
 * Votes on extending or taking over seat leases, used when the platform cannot
 * be reached to renew a lease. Each seat has one vote, cast by its holder.
 */

import { nowMs } from "./clock.ts";
import type { SeatVersion } from "../generated/peer.ts";

/** Time for which a vote binds its voter, in milliseconds. */
export const VOTE_MS = 2_000;

interface CastVote {
  readonly version: number;
  readonly expiresAt: number;
}

/** Votes that this process has cast. */
export interface SeatVotes {
  /**
   * Votes for the holders of `seats` to keep them for `VOTE_MS`. Returns the
   * seats on which no vote to take the same version is in force.
   */
  voteToKeep(seats: readonly SeatVersion[]): number[];
  /**
   * Votes for taking `seats` from their holders. Returns the seats on which no
   * vote to keep the same version is in force.
   */
  voteToTake(seats: readonly SeatVersion[]): number[];
}

/** Creates the vote record of a process that has cast no votes. */
export function createSeatVotes(): SeatVotes {
  const keepVotes = new Map<number, CastVote>();
  const takeVotes = new Map<number, CastVote>();

  function castVotes(
    seats: readonly SeatVersion[],
    votes: {
      readonly conflicting: Map<number, CastVote>;
      cast: typeof keepVotes;
    },
  ): number[] {
    const now = nowMs();
    return seats.filter(({ seat, version }) => {
      const other = votes.conflicting.get(seat);
      if (other && other.expiresAt > now && other.version === version) {
        return false;
      }
      votes.cast.set(seat, { version, expiresAt: now + VOTE_MS });
      return true;
    }).map(({ seat }) => seat);
  }

  return {
    voteToKeep: (seats) =>
      castVotes(seats, { conflicting: takeVotes, cast: keepVotes }),
    voteToTake: (seats) =>
      castVotes(seats, { conflicting: keepVotes, cast: takeVotes }),
  };
}
