/**
 * Votes by which seats are kept or taken while the platform cannot tell. Each
 * seat has one vote, cast by its holder.
 */

import { nowMs } from "./clock.ts";
import type { SeatVersion } from "../generated/peer.ts";

/** How long a vote binds its voter, in milliseconds. */
export const VOTE_MS = 2_000;

interface CastVote {
  readonly version: number;
  readonly until: number;
}

/** The votes that this process has given. */
export interface SeatVotes {
  /** Lists the seats whose holder may keep them for `VOTE_MS`. */
  voteToKeep(seats: readonly SeatVersion[]): number[];
  /** Lists the seats that may be taken from their holder. */
  voteToTake(seats: readonly SeatVersion[]): number[];
}

/** Creates the votes of a process that has given none. */
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
      if (other && other.until > now && other.version === version) {
        return false;
      }
      votes.cast.set(seat, { version, until: now + VOTE_MS });
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
