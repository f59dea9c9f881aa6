/**
 * Limits the statements of cold targets: those that have just started and those
 * of a domain whose evacuation has ended. The limit is one for the whole fleet;
 * each host that may have connections to the target has a share of it. Pattern:
 * slow start.
 */

import { nowMs } from "../core/clock.ts";
import { rankNodes } from "../core/hash.ts";
import type { HostId, ServiceId, TargetId } from "../core/ids.ts";
import type { Holders } from "./holders.ts";
import type {
  ColdPolicy,
  EvacuationView,
  PoolIo,
  TargetRecord,
} from "./types.ts";

/**
 * Time for which a statement counts, in milliseconds: the second of the limit
 * and the time by which a connection delays some statements more than others.
 */
const WINDOW_MS = 1_100;
/**
 * Parts of the limit for the holders of a target together, for their spares, and
 * for all hosts where each has connections of its own. The rest is for a host
 * that has become holder in the view of some hosts only.
 */
const HOLDERS_PART = 0.6;
const SPARES_PART = 0.2;
const ALL_HOSTS_PART = 0.8;
/** Number of holders that `Holders.list` names before the spares. */
const HOLDERS_PER_TARGET = 3;
/**
 * Largest difference between the clocks of a target and of this host that is
 * reckoned with, in milliseconds. An older registration may tell how long the
 * target was cold when it was written.
 */
const CLOCK_TOLERANCE_MS = 10_000;
/**
 * Least incarnation that is taken for the start time of a process, in Unix
 * milliseconds; others are only numbers.
 */
const MIN_START_TIME = 1e12;
const MS_PER_SECOND = 1_000;

/** Limit of the statements of a cold target in one second. */
export interface ColdLimit {
  /** Multiple of the service's rate for cold targets. */
  readonly factor: number;
  /** Statements in addition. */
  readonly statements: number;
}

/** Place of one statement or transaction within the limit. */
export interface ColdReservation {
  /** Records that a statement was sent. */
  recordSent(): void;
  /** Frees the place if no statement was sent. */
  release(): void;
}

/** Limits of cold targets. */
export interface ColdTargets {
  isCold(target: TargetRecord): boolean;
  /** Logs which of the targets have become cold or warm; call it periodically. */
  check(targets: readonly TargetRecord[]): void;
  /**
   * Reserves a place for new work over this host's own connections; undefined
   * if the target may get none now.
   */
  tryReserve(target: TargetRecord): ColdReservation | undefined;
  /** Records work that this host has given to the target on any path. */
  recordGiven(target: TargetRecord): void;
  /**
   * Whether this host has given the target its part of the work already, so
   * that a read better goes to another target.
   */
  isServed(target: TargetRecord): boolean;
}

interface Sent {
  /** Times of the statements in the window, oldest first. */
  times: number[];
  /** Reservations without a statement so far. */
  reservedCount: number;
}

/** Registration that tells for how long its target is cold. */
interface Announcement {
  readonly incarnation: number;
  readonly seq: number | undefined;
  readonly coldLeftMs: number;
  readonly seenAt: number;
}

const UNLIMITED: ColdReservation = { recordSent() {}, release() {} };

/** Dependencies of the limits. */
export interface ColdTargetsOptions {
  readonly self: HostId;
  readonly limit: ColdLimit | undefined;
  tryGetPolicy(service: ServiceId): ColdPolicy | undefined;
  readonly evacuations: Pick<EvacuationView, "tryGetEndedMs">;
  readonly holders: Pick<Holders, "list" | "isHolder">;
  /** Lists all hosts that may have connections, with this host. */
  listHosts(): readonly HostId[];
  /** Whether peers may have given this host's share to another one. */
  isShareExpired(): boolean;
}

/** Creates the limits; without `limit`, no target is limited. */
export function createColdTargets(
  io: Pick<PoolIo, "log" | "metrics">,
  options: ColdTargetsOptions,
): ColdTargets {
  const { self, limit, holders } = options;
  const sentByTarget = new Map<TargetId, Sent>();
  const announcements = new Map<TargetId, Announcement>();
  /** Targets that were cold at the last check. */
  let checkedCold: ReadonlySet<TargetId> = new Set();
  /** Times until which this host has given targets their part of the work. */
  const servedUntil = new Map<TargetId, number>();

  /** Returns the time left as of the first sight of the registration. */
  function getAnnouncedMs(
    target: TargetRecord,
    { durationMs }: ColdPolicy,
  ): number {
    const { id, incarnation, seq, coldLeftMs } = target;
    if (coldLeftMs === undefined) {
      return 0;
    }
    const known = announcements.get(id);
    const isSame = known?.incarnation === incarnation && known.seq === seq &&
      known.coldLeftMs === coldLeftMs;
    const seenAt = isSame ? known.seenAt : nowMs();
    if (!isSame) {
      announcements.set(id, { incarnation, seq, coldLeftMs, seenAt });
    }
    const sinceStartMs = incarnation >= MIN_START_TIME
      ? Date.now() - incarnation
      : 0;
    return sinceStartMs > durationMs + CLOCK_TOLERANCE_MS
      ? 0
      : seenAt + coldLeftMs - nowMs();
  }

  /** Returns the policy if the target is cold. */
  function tryGetColdPolicy(target: TargetRecord): ColdPolicy | undefined {
    const policy = limit && options.tryGetPolicy(target.service);
    if (!policy) {
      return undefined;
    }
    const endedMs = options.evacuations.tryGetEndedMs(target.domain);
    const isReturning = endedMs !== undefined && endedMs < policy.durationMs;
    return isReturning || getAnnouncedMs(target, policy) > 0
      ? policy
      : undefined;
  }

  /** Returns how many statements this host may send within the window. */
  function getShare(target: TargetRecord, { ratePerS }: ColdPolicy): number {
    if (options.isShareExpired()) {
      return 0;
    }
    const total = ratePerS * limit!.factor + limit!.statements;
    const listed = holders.list(target, undefined);
    if (listed.length === 1) {
      return listed[0] === self ? getDirectShare(target, total) : 0;
    }
    const holderCount = Math.min(HOLDERS_PER_TARGET, listed.length);
    if (holders.isHolder(target)) {
      return Math.floor(total * HOLDERS_PART / holderCount);
    }
    return listed.includes(self)
      ? Math.floor(total * SPARES_PART / (listed.length - holderCount))
      : 0;
  }

  /** Returns the share where every host has connections of its own. */
  function getDirectShare(target: TargetRecord, total: number): number {
    const hosts = options.listHosts();
    const part = total * ALL_HOSTS_PART;
    const share = Math.floor(part / hosts.length);
    if (share > 0) {
      return share;
    }
    const rank = rankNodes(target.id, [...hosts]).indexOf(self);
    return rank < Math.floor(part) ? 1 : 0;
  }

  function getSent(id: TargetId): Sent {
    const sent = sentByTarget.get(id) ?? { times: [], reservedCount: 0 };
    sentByTarget.set(id, sent);
    const start = nowMs() - WINDOW_MS;
    const first = sent.times.findIndex((time) => time > start);
    sent.times = first < 0 ? [] : sent.times.slice(first);
    return sent;
  }

  return {
    isCold: (target) => tryGetColdPolicy(target) !== undefined,
    check(targets) {
      const cold = new Set<TargetId>();
      for (const target of targets) {
        const policy = tryGetColdPolicy(target);
        if (policy) {
          cold.add(target.id);
        }
        if (checkedCold.has(target.id) !== (policy !== undefined)) {
          io.log.info(policy ? "target_cold" : "target_warm", {
            target: target.id,
            service: target.service,
            share: policy && getShare(target, policy),
          });
        }
      }
      checkedCold = cold;
      io.metrics.set("cold_targets", cold.size, {});
    },
    tryReserve(target) {
      const policy = tryGetColdPolicy(target);
      if (!policy) {
        return UNLIMITED;
      }
      const sent = getSent(target.id);
      if (sent.times.length + sent.reservedCount >= getShare(target, policy)) {
        return undefined;
      }
      sent.reservedCount++;
      let isOpen = true;
      const release = () => {
        if (isOpen) {
          isOpen = false;
          sent.reservedCount--;
        }
      };
      return {
        release,
        // What follows in a transaction counts, but is not held back.
        recordSent() {
          release();
          sent.times.push(nowMs());
        },
      };
    },
    recordGiven(target) {
      const policy = tryGetColdPolicy(target);
      if (policy) {
        const intervalMs = options.listHosts().length * MS_PER_SECOND /
          policy.ratePerS;
        servedUntil.set(target.id, nowMs() + intervalMs);
      }
    },
    isServed: (target) =>
      nowMs() < (servedUntil.get(target.id) ?? -Infinity) &&
      tryGetColdPolicy(target) !== undefined,
  };
}
