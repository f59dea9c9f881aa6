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
  readonly expiresAt: number;
  /** Time at which every share lent by an earlier holder has expired. */
  readonly usableSince: number;
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
  expiresAt: number;
  renewedAt: number;
  readonly usableSince: number;
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
  const heldLeases = new Map<number, HeldLease>();
  const observedLeases = new Map<number, ObservedLease>();
  const votes = createSeatVotes();
  let stopped = false;
  let isReleasing = false;
  let surplusSince = Infinity;
  let markReady: () => void;
  const readyPromise = new Promise<void>((resolve) => markReady = resolve);

  function isHeld(seat: number): boolean {
    return (heldLeases.get(seat)?.expiresAt ?? 0) > nowMs();
  }

  function observe(object: StoredObject, seat: number): void {
    if (observedLeases.get(seat)?.version === object.version) {
      return;
    }
    const { value } = object;
    const lease = validatePlatformObject(value) && value.kind === "seat"
      ? value
      : undefined;
    observedLeases.set(seat, {
      version: object.version,
      lease,
      observedAt: nowMs(),
    });
  }

  async function putLease(
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
   * Returns true if the observed lease is that of this process. After a put
   * whose answer was lost, this lease is observed with a newer version.
   */
  function isOwnLease(seat: number): boolean {
    return observedLeases.get(seat)?.lease?.incarnation === incarnation;
  }

  async function renew(seat: number): Promise<void> {
    const version = isOwnLease(seat)
      ? observedLeases.get(seat)!.version
      : heldLeases.get(seat)!.version;
    const res = await putLease(seat, { version });
    const lease = heldLeases.get(seat);
    if (!res || !lease) {
      return;
    }
    lease.version = res.version;
    lease.renewedAt = res.sentAt;
    lease.expiresAt = Math.max(lease.expiresAt, res.sentAt + SEAT_LEASE_MS);
  }

  async function take(seat: number): Promise<void> {
    const version = observedLeases.get(seat)?.version ?? 0;
    const isNew = version === 0;
    const res = await putLease(seat, { version });
    if (!res) {
      return;
    }
    heldLeases.set(seat, {
      version: res.version,
      renewedAt: res.sentAt,
      expiresAt: res.sentAt + SEAT_LEASE_MS,
      usableSince: nowMs() + (isNew ? 0 : DELEGATION_MS * CLOCK_DRIFT_FACTOR),
      isNew,
    });
    log("taken", seat);
  }

  function log(event: string, seat: number): void {
    io.log({ component: "seats", event, fields: { seat } });
  }

  /** Returns true if a seat is free or its lease has expired on this clock. */
  function isVacant(seat: number): boolean {
    const observed = observedLeases.get(seat);
    return !observed?.lease?.host || isOwnLease(seat) ||
      nowMs() - observed.observedAt > SEAT_LEASE_MS * CLOCK_DRIFT_FACTOR;
  }

  function mayTakeWithoutVotes(seat: number): boolean {
    const observed = observedLeases.get(seat);
    return !observed?.lease?.host || observed.lease.host === self ||
      nowMs() - observed.observedAt > MAX_UNRENEWED_MS * CLOCK_DRIFT_FACTOR;
  }

  /** Lists held seats that may vote: earlier holders' votes have expired. */
  function listVoters(): number[] {
    return [...heldLeases]
      .filter(([seat, { usableSince }]) =>
        isHeld(seat) && nowMs() > usableSince + VOTE_MS
      )
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

  /** Lists the requested seats that a majority of all seats votes for. */
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
    const overdue = [...heldLeases].filter(([seat, lease]) =>
      isHeld(seat) && sentAt - lease.renewedAt > RENEW_INTERVAL_MS * 2 &&
      sentAt - lease.renewedAt < MAX_UNRENEWED_MS - VOTE_MS
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
    for (const [seat, lease] of overdue) {
      // A lease that expired during the vote is not revived.
      if (agreed.includes(seat) && isHeld(seat)) {
        const expiresAt = sentAt + VOTE_MS / CLOCK_DRIFT_FACTOR;
        lease.expiresAt = Math.max(lease.expiresAt, expiresAt);
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
    return all.filter((seat) => !heldLeases.has(seat) && isVacant(seat));
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
    const { version } = heldLeases.get(seat)!;
    heldLeases.delete(seat);
    log("freed", seat);
    await putLease(seat, { version, isFree: true });
  }

  /**
   * Takes vacant seats up to the fair count. Returns false if the fair count is
   * not reached and seats were vacant.
   */
  async function takeVacant(): Promise<boolean> {
    if (getFairCount() <= heldLeases.size) {
      return true;
    }
    const vacant = await listVacant();
    const shortfall = getFairCount() - heldLeases.size;
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
        version: observedLeases.get(seat)!.version,
      })),
    });
    const taken = candidates.filter((seat) =>
      mayTakeWithoutVotes(seat) || agreed.includes(seat)
    );
    await Promise.all(taken.map(take));
    return heldLeases.size >= getFairCount();
  }

  function dropLapsed(): void {
    for (const seat of [...heldLeases.keys()].filter((seat) => !isHeld(seat))) {
      heldLeases.delete(seat);
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
    const surplus = [...heldLeases.keys()].slice(getFairCount());
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
      await Promise.all([...heldLeases.keys()].map(renew));
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
      return [...heldLeases]
        .map(([seat, { expiresAt, usableSince, isNew }]) => ({
          seat,
          expiresAt,
          usableSince,
          isNew,
        }))
        .filter(({ expiresAt, usableSince }) =>
          expiresAt > now && usableSince <= now
        );
    },
    receive,
    ready: () => readyPromise,
    async release() {
      isReleasing = true;
      await Promise.all([...heldLeases.keys()].map(free));
    },
    stop() {
      stopped = true;
    },
  };
}
