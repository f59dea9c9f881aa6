/** Decides when a primary is replaced and which host performs the failover. */

import { nowMs, sleep } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import { rankNodes } from "../core/hash.ts";
import type { HostId, ServiceId } from "../core/ids.ts";
import { getEra } from "../core/store_era.ts";
import {
  type FailoverCause,
  type FailoverLease,
  getFencingToken,
  type ProvenPrimary,
  tryDecodeFailoverLease,
  tryHigherFloor,
} from "./failover_lease.ts";
import { createFailoverProcedure } from "./failover_procedure.ts";
import type { Fencing } from "./fencing.ts";
import {
  type Fleet,
  getFailoverLeaseKey,
  tryGetLeaseService,
} from "./fleet.ts";
import type { ExecutionContext } from "./execution.ts";
import type { LogCopies } from "./log_copies.ts";

/**
 * Interval between checks, in milliseconds; a fraction of `PRIMARY_TIMEOUT_MS`.
 */
const CHECK_INTERVAL_MS = 100;
/**
 * Time without an answer after which a primary is replaced, in milliseconds.
 */
const PRIMARY_TIMEOUT_MS = 900;
/**
 * Time without a known primary after which a failover starts, in milliseconds.
 */
const NO_PRIMARY_TIMEOUT_MS = 1_200;
/** Time after which another host's lease expires; longer than any failover. */
const LEASE_TIMEOUT_MS = 7_000;
/** Attempts to claim the lease while other hosts change nothing but its floor. */
const MAX_CLAIM_ATTEMPTS = 3;
/** Minimum time between two changes of primary, in milliseconds. */
const FAILOVER_COOLDOWN_MS = 3_000;
/** Delay before an unanswered promotion order is repeated, in milliseconds. */
const PROMOTION_RETRY_MS = 300;
/**
 * Age at which a host claims the lease anew if the stored claim is its own and
 * had no answer, in milliseconds.
 */
const OWN_CLAIM_RETRY_MS = 300;
/**
 * Time after which a paused replica counts as left behind by an unfinished
 * failover, in milliseconds; longer than any failover.
 */
const PAUSED_TIMEOUT_MS = 8_000;
/** As `PAUSED_TIMEOUT_MS`, while no failover is in progress. */
const PAUSED_IDLE_TIMEOUT_MS = 1_000;
/**
 * Longest random delay before a failover, in milliseconds, so that hosts that
 * detect the same fault act one after the other.
 */
const MAX_JITTER_MS = 250;
/** Number of hosts from which only some claim the lease at first. */
const LARGE_FLEET_HOSTS = 24;
/**
 * Number of hosts that claim at first in such a fleet; if two thirds of all are
 * cut off from the store, one of them still reaches it in 11 of 12 cases.
 */
const FIRST_CLAIMANTS = 6;
/**
 * Time after which the others claim as well, in milliseconds: a usual failover
 * is over by then. Each claim that comes too late is a call to the store.
 */
const LATER_CLAIM_DELAY_MS = 2_500;

/**
 * Time after a rise of the store's era for which a host leaves it to the holder
 * of a lost lease to write it back, in milliseconds.
 */
const WRITE_BACK_DELAY_MS = 2_000;

/** A claim of this host that the store has accepted in its current era. */
interface Claim {
  readonly fencingToken: number;
  /** Version of the lease after the last write of this claim. */
  readonly version: number;
}

/** Monitor that replaces failed or leaving primaries. */
export interface FailoverMonitor {
  start(): void;
  /** Starts no failover from now on; the current ones go on. */
  stop(): void;
  /** Whether this host performs a failover. */
  isActive(): boolean;
}

/** Creates the monitor of all services in the catalog. */
export function createFailoverMonitor(
  ctx: ExecutionContext,
  options: {
    readonly self: HostId;
    readonly fleet: Fleet;
    readonly copies: LogCopies;
    readonly fencing: Fencing;
  },
): FailoverMonitor {
  const { self, fleet, copies, fencing } = options;
  const { store } = ctx.io;
  const activeServices = new Set<ServiceId>();
  const promotedAt = new Map<ServiceId, number>();
  const claims = new Map<ServiceId, Claim>();
  /** Newest lease seen of each service, by fencing token, in any era. */
  const newestLeases = new Map<ServiceId, FailoverLease>();
  /** Times at which claims began or ended last, as the store told. */
  const claimChangedAt = new Map<ServiceId, number>();
  const writingBack = new Set<ServiceId>();
  const createdAt = nowMs();
  let eraRoseAt = -Infinity;
  const failoverProcedure = createFailoverProcedure(ctx, {
    self,
    copies,
    fencing,
    updateLease,
    tryLastPrimary,
    isClaimCurrent: (service, { fencingToken }) =>
      claims.get(service)?.fencingToken === fencingToken,
  });
  let timer: NodeJS.Timeout | undefined;
  let lastCheckAt = nowMs();

  fleet.onChange((key) => {
    const service = tryGetLeaseService(key);
    const lease = tryDecodeFailoverLease(fleet.tryGet(key)?.value);
    if (service && lease) {
      recordClaimChange(service, lease);
      recordLease(service, lease);
    }
  });
  store.eras?.onRise(() => {
    eraRoseAt = nowMs();
    for (const [service, { fencingToken }] of claims) {
      ctx.io.log.info("lease_given_up", { service, fencingToken });
      ctx.io.metrics.count("store_era_losses_total", { kind: "lease" });
    }
    claims.clear();
  });

  /** Notes the time of a change of the lease other than of its floor. */
  function recordClaimChange(service: ServiceId, lease: FailoverLease): void {
    const { floor: _, ...claim } = lease;
    const { floor: __, ...earlier } = newestLeases.get(service) ?? {};
    // A lease that nobody has claimed yet only records a floor.
    const isClaim = !(lease.isDone && lease.fencingToken === 0) &&
      JSON.stringify(claim) !== JSON.stringify(earlier);
    if (isClaim) {
      claimChangedAt.set(service, nowMs());
    }
  }

  /** Records a lease, unless it is older than one that this host has seen. */
  function recordLease(service: ServiceId, lease: FailoverLease): void {
    const newest = newestLeases.get(service);
    // With the same token, a restored lease may lack later changes, and one that
    // another host has written back lacks what only the holder knows.
    const isNewer = !newest || lease.fencingToken > newest.fencingToken ||
      (lease.fencingToken === newest.fencingToken &&
        lease.era === getEra(store) &&
        (newest.holder !== self || !isWaitingAfterReturn()));
    if (isNewer) {
      setNewestLease(service, lease);
    }
  }

  function setNewestLease(service: ServiceId, lease: FailoverLease): void {
    newestLeases.set(service, lease);
    ctx.barrier.applyLease(service, lease);
  }

  /**
   * Whether a holder of a claim that the store has lost may still act. A claim
   * is over within `LEASE_TIMEOUT_MS`.
   */
  function isWaitingAfterReturn(): boolean {
    const isRecentlyCreated = nowMs() - createdAt < LEASE_TIMEOUT_MS;
    return nowMs() - eraRoseAt < LEASE_TIMEOUT_MS ||
      // A host that started after the return has not seen the rise.
      (isRecentlyCreated && fleet.hasStoreReturned());
  }

  /** Writes a lease that the store has lost back to it. */
  function writeBackLease(service: ServiceId): void {
    const newest = newestLeases.get(service);
    if (!newest || !isWaitingAfterReturn() || !fleet.isLoaded()) {
      return;
    }
    const known = fleet.tryGet(getFailoverLeaseKey(service));
    const stored = tryDecodeFailoverLease(known?.value);
    const isHolder = newest.holder === self;
    const isLost = (stored?.fencingToken ?? 0) < newest.fencingToken
      ? isHolder || newest.openTarget !== undefined
      : stored?.fencingToken === newest.fencingToken && isHolder &&
        (stored.openTarget !== newest.openTarget ||
          stored.era !== getEra(store));
    const delayMs = isHolder ? 0 : WRITE_BACK_DELAY_MS;
    if (isLost && !writingBack.has(service) && nowMs() - eraRoseAt >= delayMs) {
      writingBack.add(service);
      const floor = tryHigherFloor(newest, stored);
      const written = floor ? { ...newest, floor } : newest;
      void tryPutLease(service, written, known?.version ?? 0)
        .then((version) =>
          ctx.io.log.info("lease_written_back", {
            service,
            openTarget: newest.openTarget,
            fencingToken: newest.fencingToken,
            isAccepted: version !== undefined,
          })
        ).finally(() => writingBack.delete(service));
    }
  }

  /** Returns the reason to replace the primary; undefined if there is none. */
  function tryGetCause(service: ServiceId): FailoverCause | undefined {
    const primary = ctx.primaries.tryPrimary(service);
    if (primary === undefined) {
      return ctx.primaries.getTimeSinceChangeMs(service) > NO_PRIMARY_TIMEOUT_MS
        ? "leaderless"
        : undefined;
    }
    const target = ctx.directory.tryGet(primary);
    if (!target) {
      return "gone";
    }
    if (ctx.eligibility.isEvacuated(target)) {
      // No target of the domain is asked, so its silence says nothing.
      return ctx.directory.list(service).some(ctx.eligibility.mayLead)
        ? "evacuated"
        : undefined;
    }
    if (ctx.health.getFailingMs(primary) > PRIMARY_TIMEOUT_MS) {
      return "silent";
    }
    if (target.isDraining) {
      return "leaving";
    }
    const lease = tryDecodeFailoverLease(
      fleet.tryGet(getFailoverLeaseKey(service))?.value,
    );
    const limitMs = lease && !lease.isDone
      ? PAUSED_TIMEOUT_MS
      : PAUSED_IDLE_TIMEOUT_MS;
    const targets = ctx.directory.list(service);
    const isLeftPaused = targets.some((target) =>
      ctx.eligibility.isEligible(target) &&
      ctx.health.getPausedMs(target.id) > limitMs
    );
    // No host sees whether a replica in an evacuated domain is paused.
    const isLeftOpen = lease?.isDone === false &&
      targets.some(ctx.eligibility.isEvacuated);
    const isLeftWithheld =
      ctx.barrier.getPendingMs(service) > PAUSED_TIMEOUT_MS;
    return isLeftPaused || isLeftOpen || isLeftWithheld
      ? "left_paused"
      : undefined;
  }

  function checkServices(): void {
    const wasSuspended = nowMs() - lastCheckAt > 5 * CHECK_INTERVAL_MS;
    lastCheckAt = nowMs();
    copies.updateFloors();
    if (wasSuspended) {
      // The process was suspended; targets that look silent may have answered.
      return;
    }
    for (const service of ctx.catalog.tryGet()?.services.keys() ?? []) {
      writeBackLease(service);
      const isCoolingDown = nowMs() - (promotedAt.get(service) ?? -Infinity) <
        FAILOVER_COOLDOWN_MS;
      const cause = activeServices.has(service) || isCoolingDown
        ? undefined
        : tryGetCause(service);
      if (cause && !isPremature(service, cause) && isLeaseFree(service)) {
        activeServices.add(service);
        void runFailover(service, cause).finally(() =>
          activeServices.delete(service)
        );
      }
    }
  }

  /**
   * Whether the failover would have to count the copies of the log while some
   * of them may not have registered yet. An unfinished one may go on.
   */
  function isPremature(service: ServiceId, cause: FailoverCause): boolean {
    const lease = newestLeases.get(service);
    const isUnfinished = lease?.openTarget !== undefined ||
      lease?.lastPrimary !== undefined;
    return !isUnfinished && isPrimarySilent(service, cause) &&
      ctx.directory.getSettlingMs() > 0;
  }

  /** Whether the primary is not expected to step down. */
  function isPrimarySilent(service: ServiceId, cause: FailoverCause): boolean {
    switch (cause) {
      case "silent":
      case "leaderless":
        return true;
      case "gone": {
        // It may run, and have lost no more than its registration.
        const primary = ctx.primaries.tryPrimary(service);
        return primary === undefined || ctx.health.isSuspect(primary);
      }
      case "leaving":
      case "evacuated":
      case "left_paused":
        return false;
      default:
        return assertNever(cause);
    }
  }

  /**
   * Whether this host may claim the lease: there is none yet, or the last one
   * has timed out, or its failover ended long enough ago. After a return of the
   * store the last one may be unknown.
   */
  function isLeaseFree(service: ServiceId): boolean {
    if (isWaitingAfterReturn() || !fleet.isLoaded()) {
      return false;
    }
    const key = getFailoverLeaseKey(service);
    const lease = tryDecodeFailoverLease(fleet.tryGet(key)?.value);
    if (!lease) {
      return true;
    }
    const cooldownMs = lease.openTarget === undefined
      ? FAILOVER_COOLDOWN_MS
      : PROMOTION_RETRY_MS;
    return nowMs() - (claimChangedAt.get(service) ?? -Infinity) >
      (lease.isDone
        ? cooldownMs
        : isOwnUnansweredClaim(service)
        ? OWN_CLAIM_RETRY_MS
        : LEASE_TIMEOUT_MS);
  }

  /**
   * Whether the stored lease is a claim of this host, or of an earlier process
   * on it, on which it does not act: the store accepted it without an answer.
   */
  function isOwnUnansweredClaim(service: ServiceId): boolean {
    const known = fleet.tryGet(getFailoverLeaseKey(service));
    const lease = tryDecodeFailoverLease(known?.value);
    return lease?.holder === self && !lease.isDone &&
      claims.get(service)?.version !== known?.version;
  }

  /**
   * Returns the last primary that the lease names. A lease of another era may be
   * a restored one, which lacks later orders.
   */
  function tryLastPrimary(
    service: ServiceId,
    lease: FailoverLease | undefined,
  ): ProvenPrimary | undefined {
    const { primaries } = ctx;
    const named = lease?.lastPrimary;
    if (
      !named || lease.openTarget !== undefined || lease.era !== getEra(store)
    ) {
      return undefined;
    }
    const believed = primaries.tryPrimary(service) ?? named.target;
    return believed === named.target &&
        named.term >= primaries.getTerm(service) &&
        copies.tryGet(named.target)?.incarnation === named.incarnation
      ? named
      : undefined;
  }

  /**
   * Claims the lease. A floor that was recorded meanwhile does not count as a
   * claim of another host.
   */
  async function claimLease(
    service: ServiceId,
    cause: FailoverCause,
  ): Promise<FailoverLease | undefined> {
    const key = getFailoverLeaseKey(service);
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt++) {
      const version = fleet.tryGet(key)?.version;
      const claimed = await tryClaimLease(service);
      if (claimed) {
        return claimed;
      }
      const isConflict = fleet.tryGet(key)?.version !== version;
      if (!isConflict || !isLeaseFree(service)) {
        break;
      }
    }
    ctx.io.log.info("failover_not_claimed", { service, cause });
    return undefined;
  }

  async function tryClaimLease(
    service: ServiceId,
  ): Promise<FailoverLease | undefined> {
    const key = getFailoverLeaseKey(service);
    const known = fleet.tryGet(key);
    const previous = newestLeases.get(service);
    const lastPrimary = tryLastPrimary(service, previous);
    const floor = tryHigherFloor(
      previous,
      tryDecodeFailoverLease(known?.value),
    );
    const claimed: FailoverLease = {
      holder: self,
      fencingToken: previous?.fencingToken ?? 0,
      era: getEra(store),
      isDone: false,
      ...(previous?.openTarget === undefined
        ? {}
        : { openTarget: previous.openTarget }),
      ...(previous?.hasUnansweredOrder === true
        ? { hasUnansweredOrder: true }
        : {}),
      ...(lastPrimary ? { lastPrimary } : {}),
      ...(previous?.minTerm === undefined ? {} : { minTerm: previous.minTerm }),
      ...(floor ? { floor } : {}),
    };
    const version = await tryPutLease(service, claimed, known?.version ?? 0);
    if (version === undefined) {
      return undefined;
    }
    const fencingToken = getFencingToken(version, getEra(store));
    claims.set(service, { fencingToken, version });
    return { ...claimed, fencingToken };
  }

  /**
   * Writes the lease and returns its version; undefined if another host changed
   * it or the store failed.
   */
  async function tryPutLease(
    service: ServiceId,
    lease: FailoverLease,
    ifVersion: number,
  ): Promise<number | undefined> {
    const key = getFailoverLeaseKey(service);
    const value: FailoverLease = { ...lease, era: getEra(store) };
    const res = await store.put(key, value, { ifVersion });
    if (res.isOk()) {
      fleet.applyObject(res.value);
      return res.value.version;
    }
    if (res.error.kind === "conflict") {
      fleet.applyObject(res.error.current);
    }
    return undefined;
  }

  /**
   * Keeps what only this host knows of a claim that the store has lost, to be
   * written back.
   */
  function keepOutcome(service: ServiceId, lease: FailoverLease): void {
    if (newestLeases.get(service)?.fencingToken === lease.fencingToken) {
      setNewestLease(service, { ...lease, isDone: true });
    }
  }

  /** Writes the lease if this claim still holds it; false otherwise. */
  async function updateLease(
    service: ServiceId,
    lease: FailoverLease,
  ): Promise<boolean> {
    const { fencingToken } = lease;
    const claim = claims.get(service);
    if (claim?.fencingToken !== fencingToken) {
      keepOutcome(service, lease);
      return false;
    }
    const known = fleet.tryGet(getFailoverLeaseKey(service));
    const current = tryDecodeFailoverLease(known?.value);
    // A write whose response was lost has changed the version as well.
    const isOwnWrite = current?.holder === self &&
      current.fencingToken === fencingToken;
    const version = await tryPutLease(
      service,
      lease,
      known && isOwnWrite ? known.version : claim.version,
    );
    if (claims.get(service) !== claim) {
      keepOutcome(service, lease);
      return false;
    }
    if (version === undefined) {
      return false;
    }
    claims.set(service, { fencingToken, version });
    setNewestLease(service, lease);
    return true;
  }

  /** Whether this host is one of those that claim the lease at first. */
  function isFirstClaimant(service: ServiceId): boolean {
    const hosts = [self, ...fleet.listPeers()];
    return hosts.length < LARGE_FLEET_HOSTS ||
      rankNodes(service, hosts).slice(0, FIRST_CLAIMANTS).includes(self);
  }

  async function runFailover(
    service: ServiceId,
    cause: FailoverCause,
  ): Promise<void> {
    const delayMs = isFirstClaimant(service) ? 0 : LATER_CLAIM_DELAY_MS;
    await sleep(delayMs + ctx.io.random() * MAX_JITTER_MS);
    if (
      tryGetCause(service) !== cause || isPremature(service, cause) ||
      !isLeaseFree(service)
    ) {
      return;
    }
    const lease = await claimLease(service, cause);
    if (!lease) {
      return;
    }
    const startedAt = nowMs();
    ctx.io.log.info("failover_started", {
      service,
      cause,
      oldPrimary: ctx.primaries.tryPrimary(service),
      fencingToken: lease.fencingToken,
    });
    const result = await failoverProcedure.run(service, { cause, lease });
    ctx.io.log.info("failover_ended", {
      service,
      cause,
      result,
      primary: ctx.primaries.tryPrimary(service),
      ms: Math.round(nowMs() - startedAt),
    });
    ctx.io.metrics.count("promotions_total", { group: service, cause, result });
    if (result === "promoted") {
      promotedAt.set(service, nowMs());
    }
  }

  return {
    start() {
      lastCheckAt = nowMs();
      timer = setInterval(checkServices, CHECK_INTERVAL_MS);
    },
    isActive: () => activeServices.size > 0,
    stop: () => clearInterval(timer),
  };
}
