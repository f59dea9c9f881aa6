/**
 * Leases on numbered seats, stored as objects in the platform. Each seat holds
 * an equal share of the rate and burst of every workspace.
 */

import type { SeatVoteReq, SeatVoteRes } from "../generated/peer.ts";
import type { SeatLease } from "../generated/objects.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";
import { nowMs, sleep } from "./clock.ts";
import type { HostId } from "./ids.ts";
import { getSeatKey, SEATS_PREFIX } from "./object_keys.ts";
import { createSeatVotes, VOTE_MS } from "./seat_votes.ts";
import { SEAT_COUNT } from "./token_pool.ts";
import type { HostIo, Stoppable, StoredObject } from "./types.ts";

/** Duration of a lease from the send time of its renewal, in milliseconds. */
export const SEAT_LEASE_MS = 5_000;
/** Maximum time for which a seat's share is lent, in milliseconds. */
export const DELEGATION_MS = 600;
/** Tolerance for different clock rates of hosts. */
export const CLOCK_DRIFT_FACTOR = 1.02;

const RENEW_INTERVAL_MS = 1_500;
/** Time after which a host that lost a seat to another host retries. */
const CONTENTION_RETRY_MS = 300;
/** Time for which a host must exceed its fair count before it frees seats. */
const SURPLUS_DELAY_MS = 10_000;
/** Time after which the first seats are taken if most hosts are alive. */
const START_MAJORITY_WAIT_MS = 1_000;
/** Time after which the first seats are taken however few hosts are alive. */
const START_MAX_WAIT_MS = 3_000;
const START_POLL_INTERVAL_MS = 50;
const KEEP_INTERVAL_MS = 500;
/** Maximum time for which votes extend a lease that is not renewed. */
const MAX_UNRENEWED_MS = 3_600_000;
const VOTE_TIMEOUT_MS = 400;
const MAJORITY = Math.floor(SEAT_COUNT / 2) + 1;

/** A seat that this process may use now. */
export interface HeldSeat {
  readonly seat: number;
  /** Expiry of the lease on the monotonic clock of this process. */
  readonly until: number;
  /** Time at which every share lent by an earlier holder has expired. */
  readonly since: number;
  /** True if the seat never had a holder, so that its shares are full. */
  readonly isNew: boolean;
}

/** Seat leases of this host. */
export interface Seats extends Stoppable {
  start(): void;
  /** Lists the seats that may be used now. */
  list(): HeldSeat[];
  receive(req: SeatVoteReq): SeatVoteRes;
  /** Resolves when this host holds its fair count or no seat is vacant. */
  ready(): Promise<void>;
  /** Frees all seats so that other hosts can take them immediately. */
  release(): Promise<void>;
}

/** Dependencies of the seats. */
export interface SeatsOptions {
  readonly self: HostId;
  readonly incarnation: string;
  /** Number of hosts in the settings, including this one. */
  readonly configuredHostCount: number;
  /** Counts the alive hosts, including this one. */
  countAlive(): number;
  /** Lists the hosts that may hold seats, best first. */
  listSeatHosts(): readonly HostId[];
  /** Asks a peer to vote; resolves with undefined without an answer. */
  requestVote(
    peer: HostId,
    req: SeatVoteReq,
    timeoutMs: number,
  ): Promise<SeatVoteRes | undefined>;
}

interface HeldLease {
  version: number;
  until: number;
  renewedAt: number;
  readonly since: number;
  readonly isNew: boolean;
}

interface ObservedLease {
  readonly version: number;
  readonly lease: SeatLease | undefined;
  /** Time at which this version was first observed. */
  readonly observedAt: number;
}

/** Creates the seat leases of a host that holds no seat yet. */
export function createSeats(io: HostIo, options: SeatsOptions): Seats {
  const { self, incarnation } = options;
  const held = new Map<number, HeldLease>();
  const observed = new Map<number, ObservedLease>();
  const votes = createSeatVotes();
  let stopped = false;
  let isReleasing = false;
  let surplusSince = Infinity;
  let markReady: () => void;
  const readyPromise = new Promise<void>((resolve) => markReady = resolve);

  function isHeld(seat: number): boolean {
    return (held.get(seat)?.until ?? 0) > nowMs();
  }

  function observe(object: StoredObject, seat: number): void {
    if (observed.get(seat)?.version === object.version) {
      return;
    }
    const { value } = object;
    const lease = validatePlatformObject(value) && value.kind === "seat"
      ? value
      : undefined;
    observed.set(seat, { version: object.version, lease, observedAt: nowMs() });
  }

  async function put(
    seat: number,
    options: { readonly version: number; readonly isFree?: boolean },
  ): Promise<
    { readonly sentAt: number; readonly version: number } | undefined
  > {
    const sentAt = nowMs();
    const lease: SeatLease = options.isFree
      ? { kind: "seat", seat }
      : { kind: "seat", seat, host: self, incarnation };
    const key = getSeatKey(seat);
    const res = await io.platform.put(key, lease, {
      ifVersion: options.version,
    });
    if (res.isOk()) {
      observe(res.value, seat);
      return { sentAt, version: res.value.version };
    }
    if (res.error.kind === "conflict") {
      observe(res.error.current, seat);
    }
    return undefined;
  }

  /**
   * Tells whether the observed lease is that of this process. After a put whose
   * answer was lost, this lease shows up with a newer version.
   */
  function isOwnLease(seat: number): boolean {
    return observed.get(seat)?.lease?.incarnation === incarnation;
  }

  async function renew(seat: number): Promise<void> {
    const version = isOwnLease(seat)
      ? observed.get(seat)!.version
      : held.get(seat)!.version;
    const res = await put(seat, { version });
    const holding = held.get(seat);
    if (!res || !holding) {
      return;
    }
    holding.version = res.version;
    holding.renewedAt = res.sentAt;
    holding.until = Math.max(holding.until, res.sentAt + SEAT_LEASE_MS);
  }

  async function take(seat: number): Promise<void> {
    const version = observed.get(seat)?.version ?? 0;
    const isNew = version === 0;
    const res = await put(seat, { version });
    if (!res) {
      return;
    }
    held.set(seat, {
      version: res.version,
      renewedAt: res.sentAt,
      until: res.sentAt + SEAT_LEASE_MS,
      since: nowMs() + (isNew ? 0 : DELEGATION_MS * CLOCK_DRIFT_FACTOR),
      isNew,
    });
    log("taken", seat);
  }

  function log(event: string, seat: number): void {
    io.log({ component: "seats", event, fields: { seat } });
  }

  /** Tells whether a seat is free or its lease has expired on this clock. */
  function isVacant(seat: number): boolean {
    const found = observed.get(seat);
    return !found?.lease?.host || isOwnLease(seat) ||
      nowMs() - found.observedAt > SEAT_LEASE_MS * CLOCK_DRIFT_FACTOR;
  }

  function mayTakeWithoutVotes(seat: number): boolean {
    const found = observed.get(seat);
    return !found?.lease?.host || found.lease.host === self ||
      nowMs() - found.observedAt > MAX_UNRENEWED_MS * CLOCK_DRIFT_FACTOR;
  }

  /** Lists the seats that may vote: votes of an earlier holder have expired. */
  function listVoters(): number[] {
    return [...held]
      .filter(([seat, { since }]) => isHeld(seat) && nowMs() > since + VOTE_MS)
      .map(([seat]) => seat);
  }

  function receive(req: SeatVoteReq): SeatVoteRes {
    const voters = listVoters();
    const agreed = voters.length === 0
      ? []
      : req.ask === "keep"
      ? votes.voteToKeep(req.seats)
      : votes.voteToTake(req.seats);
    return { kind: "seat_vote", voters, agreed };
  }

  /** Lists the seats that get the votes of a majority of all seats. */
  async function collectVotes(req: SeatVoteReq): Promise<number[]> {
    const answers = await Promise.all(
      options.listSeatHosts().map((host) =>
        host === self
          ? receive(req)
          : options.requestVote(host, req, VOTE_TIMEOUT_MS)
      ),
    );
    return req.seats.map(({ seat }) => seat).filter((seat) => {
      const voters = answers
        .filter((res) => res?.agreed.includes(seat))
        .flatMap((res) => res!.voters);
      return new Set(voters).size >= MAJORITY;
    });
  }

  /** Extends leases by vote if the platform did not renew them in time. */
  async function keepByVotes(): Promise<void> {
    const sentAt = nowMs();
    const overdue = [...held].filter(([seat, holding]) =>
      isHeld(seat) && sentAt - holding.renewedAt > RENEW_INTERVAL_MS * 2 &&
      sentAt - holding.renewedAt < MAX_UNRENEWED_MS - VOTE_MS
    );
    if (overdue.length === 0) {
      return;
    }
    const seats = overdue.map(([seat, { version }]) => ({ seat, version }));
    const agreed = await collectVotes({
      kind: "seat_vote",
      ask: "keep",
      seats,
    });
    for (const [seat, holding] of overdue) {
      // A lease that expired during the vote is not revived.
      if (agreed.includes(seat) && isHeld(seat)) {
        const until = sentAt + VOTE_MS / CLOCK_DRIFT_FACTOR;
        holding.until = Math.max(holding.until, until);
      }
    }
  }

  async function listVacant(): Promise<number[]> {
    const res = await io.platform.list(SEATS_PREFIX);
    if (res.isErr()) {
      return [];
    }
    for (const object of res.value.objects) {
      observe(object, Number(object.key.slice(SEATS_PREFIX.length)));
    }
    const all = Array.from({ length: SEAT_COUNT }, (_, seat) => seat);
    return all.filter((seat) => !held.has(seat) && isVacant(seat));
  }

  /**
   * Returns the number of seats that this host should hold. The counts of all
   * hosts add up to `SEAT_COUNT`, so that the failure of a host vacates few
   * seats and no host looks for more seats than exist.
   */
  function getFairCount(): number {
    const rank = options.listSeatHosts().indexOf(self);
    if (rank < 0) {
      return 0;
    }
    const hosts = options.countAlive();
    const remainder = SEAT_COUNT % hosts;
    return Math.floor(SEAT_COUNT / hosts) + (rank < remainder ? 1 : 0);
  }

  async function free(seat: number): Promise<void> {
    const { version } = held.get(seat)!;
    held.delete(seat);
    log("freed", seat);
    await put(seat, { version, isFree: true });
  }

  /**
   * Takes vacant seats up to the fair count. Returns false if the fair count is
   * not reached and seats were vacant.
   */
  async function takeVacant(): Promise<boolean> {
    if (getFairCount() <= held.size) {
      return true;
    }
    const vacant = await listVacant();
    const shortfall = getFairCount() - held.size;
    if (vacant.length === 0) {
      return true;
    }
    const start = Math.floor(io.random() * vacant.length);
    const candidates = [...vacant.slice(start), ...vacant.slice(0, start)]
      .slice(0, shortfall);
    const contested = candidates.filter((seat) => !mayTakeWithoutVotes(seat));
    const agreed = contested.length === 0 ? [] : await collectVotes({
      kind: "seat_vote",
      ask: "take",
      seats: contested.map((seat) => ({
        seat,
        version: observed.get(seat)!.version,
      })),
    });
    const taken = candidates.filter((seat) =>
      mayTakeWithoutVotes(seat) || agreed.includes(seat)
    );
    await Promise.all(taken.map(take));
    return held.size >= getFairCount();
  }

  function dropLapsed(): void {
    for (const seat of [...held.keys()].filter((seat) => !isHeld(seat))) {
      held.delete(seat);
      log("lapsed", seat);
    }
  }

  /** Waits for other hosts, as a lone host would take more than its share. */
  async function waitForPeers(): Promise<void> {
    const startedAt = nowMs();
    function hasEnoughPeers(): boolean {
      const alive = options.countAlive();
      const ms = nowMs() - startedAt;
      // If the settings list no peers, hosts are discovered by registration.
      const isComplete = options.configuredHostCount > 1 &&
        alive >= options.configuredHostCount;
      return isComplete || ms > START_MAX_WAIT_MS ||
        (ms > START_MAJORITY_WAIT_MS &&
          alive > options.configuredHostCount / 2);
    }
    while (!hasEnoughPeers()) {
      await sleep(START_POLL_INTERVAL_MS);
    }
  }

  /** Lists the seats in excess of the fair count after `SURPLUS_DELAY_MS`. */
  function listSurplus(): number[] {
    const surplus = [...held.keys()].slice(getFairCount());
    if (surplus.length === 0) {
      surplusSince = Infinity;
      return [];
    }
    surplusSince = Math.min(surplusSince, nowMs());
    // A freed seat has empty shares at its next holder. The delay avoids this
    // loss when a host only restarts.
    return nowMs() - surplusSince > SURPLUS_DELAY_MS ? surplus : [];
  }

  async function renewRepeatedly(): Promise<void> {
    await waitForPeers();
    let pauseMs = CONTENTION_RETRY_MS / 2;
    while (!stopped && !isReleasing) {
      dropLapsed();
      await Promise.all(listSurplus().map(free));
      await Promise.all([...held.keys()].map(renew));
      const isSettled = isReleasing || await takeVacant();
      if (isSettled) {
        markReady();
      }
      pauseMs = isSettled
        ? RENEW_INTERVAL_MS
        : Math.min(RENEW_INTERVAL_MS, pauseMs * 2);
      await sleep(pauseMs * (0.9 + 0.2 * io.random()));
    }
  }

  async function keepRepeatedly(): Promise<void> {
    while (!stopped) {
      await keepByVotes();
      await sleep(KEEP_INTERVAL_MS);
    }
  }

  return {
    start() {
      void renewRepeatedly();
      void keepRepeatedly();
    },
    list() {
      const now = nowMs();
      return [...held]
        .map(([seat, { until, since, isNew }]) => ({
          seat,
          until,
          since,
          isNew,
        }))
        .filter(({ until, since }) => until > now && since <= now);
    },
    receive,
    ready: () => readyPromise,
    async release() {
      isReleasing = true;
      await Promise.all([...held.keys()].map(free));
    },
    stop() {
      stopped = true;
    },
  };
}
