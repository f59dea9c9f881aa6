/**
 * Leases on numbered seats, kept as objects of the platform. Each seat stands
 * for an equal share of the rate and burst of every workspace.
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

/** Time that a lease holds after its renewal was sent, in milliseconds. */
export const SEAT_LEASE_MS = 5_000;
/** Longest time that a share of a seat is lent for, in milliseconds. */
export const DELEGATION_MS = 600;
/** Allows for clocks that run at different speeds. */
export const CLOCK_DRIFT_FACTOR = 1.02;

const RENEW_INTERVAL_MS = 1_500;
/** Time until a host that lost a seat to another one tries again. */
const CONTENTION_RETRY_MS = 300;
/** Time for which a quota must have lasted before seats above it are freed. */
const SURPLUS_DELAY_MS = 10_000;
/** Longest wait for all other hosts before the first seat is taken. */
const START_MAJORITY_WAIT_MS = 1_000;
/** Longest wait for most of them. */
const START_MAX_WAIT_MS = 3_000;
const START_POLL_INTERVAL_MS = 50;
const KEEP_INTERVAL_MS = 500;
/** The longest time that seats are kept without the platform. */
const MAX_UNRENEWED_MS = 3_600_000;
const VOTE_TIMEOUT_MS = 400;
const MAJORITY = Math.floor(SEAT_COUNT / 2) + 1;

/** A seat that this process may use now. */
export interface HeldSeat {
  readonly seat: number;
  /** The lease lapses then, on this process's monotonic clock. */
  readonly until: number;
  /** Since when every share that an earlier holder lent has lapsed. */
  readonly since: number;
  /** Nobody held the seat before, so that its shares are full. */
  readonly isNew: boolean;
}

/** The seats of this host. */
export interface Seats extends Stoppable {
  start(): void;
  /** Seats whose lease is in force at this moment. */
  list(): HeldSeat[];
  receive(req: SeatVoteReq): SeatVoteRes;
  /** Resolves when there is no seat left that this host should take. */
  ready(): Promise<void>;
  /** Frees the seats so that other hosts can take them at once. */
  release(): Promise<void>;
}

/** What seats are made of. */
export interface SeatsOptions {
  readonly self: HostId;
  readonly incarnation: string;
  /** Number of hosts in the settings, this one included. */
  readonly configuredHostCount: number;
  /** Hosts that are alive, this one included. */
  countAlive(): number;
  /** Hosts that may hold seats, best first. */
  listSeatHosts(): readonly HostId[];
  /** Asks a peer to vote; undefined without an answer. */
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
  /** When this version was first seen. */
  readonly observedAt: number;
}

/** Creates the seats of a host that holds none yet. */
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

  /** A change whose answer was lost shows as our own lease of a new version. */
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

  /** Whether a seat is free, or its lease has lapsed on our clock. */
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

  /** Seats that may vote: promises of an earlier holder have ended. */
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

  /** Lists the seats that holders of a majority of seats agree on. */
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

  /** Keeps the seats that the platform did not let us renew in time. */
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
      // A lease that lapsed while the votes came in is not revived.
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
   * Seats that this host should hold. The quotas add up to the seats, so that
   * no death frees too many and no host looks for more than there are.
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

  /** Takes vacant seats up to the fair count; false if some are still left. */
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

  /** A host that starts alone would take more seats than it should. */
  async function waitForPeers(): Promise<void> {
    const startedAt = nowMs();
    function hasEnoughPeers(): boolean {
      const alive = options.countAlive();
      const ms = nowMs() - startedAt;
      // Settings that name no peer leave it to the registrations to find them.
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

  /** Seats above the quota, once the quota has lasted. */
  function listSurplus(): number[] {
    const surplus = [...held.keys()].slice(getFairCount());
    if (surplus.length === 0) {
      surplusSince = Infinity;
      return [];
    }
    surplusSince = Math.min(surplusSince, nowMs());
    // A freed seat starts empty, so a host that just restarts costs nothing.
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
