/** Assembles a session pool from its components. */

import { assertNever } from "../core/errors.ts";
import type { DomainId, HostId, ServiceId } from "../core/ids.ts";
import type { Result } from "ts-results-es";
import { createEraStore } from "../core/store_era.ts";
import type { PeerInfo, Stoppable, StoredObject } from "../core/types.ts";
import { createAddressBook } from "./address_book.ts";
import { createCatalogHolder } from "./catalog.ts";
import { nowMs } from "../core/clock.ts";
import { createConnectionHolder } from "./connection_holder.ts";
import { createClockJumpDetector } from "./clock_jumps.ts";
import { createDirectory, type DirectoryEvent } from "./directory.ts";
import { createDispatcher } from "./dispatch.ts";
import { POOL_ERRORS, type PoolFailure } from "./errors.ts";
import { createFailoverMonitor } from "./failover_monitor.ts";
import { createFencing } from "./fencing.ts";
import { createLogCopies } from "./log_copies.ts";
import { createStepDownRequests } from "./step_down_requests.ts";
import { createFleet, isSharedKey, LEDGER_KEY } from "./fleet.ts";
import { createForwarder } from "./forwarder.ts";
import { createHolders } from "./holders.ts";
import { createPositionSharing } from "./position_sharing.ts";
import {
  createPositionHistory,
  type PositionHistory,
} from "./position_history.ts";
import { createHealth } from "./health.ts";
import { createPrimaryTracker } from "./primary_tracker.ts";
import { createProbes } from "./probes.ts";
import { createVersionCheck } from "./version_check.ts";
import { createTokenExchange } from "./token_exchange.ts";
import { createQuotas, type Quotas, type QuotaTolerance } from "./quotas.ts";
import {
  openSession,
  type Session,
  type SessionContext,
  type SessionOptions,
} from "./session.ts";
import { createShareSync } from "./share_sync.ts";
import { createStoreAccess } from "./store_access.ts";
import { createStoreFeed } from "./store_feed.ts";
import { createStoreRelay } from "./store_relay.ts";
import { isSameProcess } from "./target_pool.ts";
import type { Catalog, PoolerIo, PoolIo, TargetRecord } from "./types.ts";

/**
 * Interval of all periodic checks, in milliseconds. They share one timer: timers
 * of their own drift apart, and each then wakes the process.
 */
const MAINTENANCE_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;
/**
 * Windows that must lie between two starts of a host before the second may use
 * the quota tolerance. Its tokens are granted and used up to some time after a
 * start, so that one window between the starts would not keep them apart.
 */
const TOLERANCE_START_WINDOWS = 2;
/**
 * Fraction of the time to notice that a watch is dead which one watch may wait;
 * the rest is for the call's own timeout and the next call.
 */
const WATCH_WAIT_FRACTION = 0.6;
/** Longest wait of one watch that the store accepts, in milliseconds. */
const MAX_WATCH_WAIT_MS = 30_000;
/**
 * Minimum interval between two watches of the targets, in milliseconds, and its
 * growth with each host. A change of any target ends the watch of every host,
 * and many targets change together.
 */
const MIN_TARGET_WATCH_INTERVAL_MS = 250;
const TARGET_WATCH_INTERVAL_PER_HOST_MS = 2;
/** Connections to a target of a service without a configured limit. */
const DEFAULT_MAX_CONNECTIONS = 10;

/** Keys and decoders of the stored objects that the pool reads. */
export interface PoolerDecoding {
  readonly catalogPrefix: string;
  readonly catalogKey: string;
  readonly targetPrefix: string;
  tryDecodeCatalog(value: unknown): Catalog | undefined;
  tryDecodeTarget(object: StoredObject): TargetRecord | undefined;
}

/** How soon changes in the store must be in force. */
export interface Freshness {
  /** Time within which an accepted change must be in force, in milliseconds. */
  readonly changeInForceMs: number;
  /**
   * Time after a fault of a host from which that bound holds again, in
   * milliseconds.
   */
  readonly settlingMs: number;
}

/** Settings of a session pool. */
export interface PoolerOptions {
  readonly host: HostId;
  readonly domain: DomainId;
  /** Address at which this host receives messages of its peers. */
  readonly peerAddress: string;
  readonly regions: ReadonlyMap<DomainId, string>;
  readonly quotaTolerance: QuotaTolerance;
  readonly freshness: Freshness;
  readonly decoding: PoolerDecoding;
}

/** A running session pool. */
export interface Pooler extends Stoppable {
  start(): void;
  /** Whether configuration, targets and quota shares are loaded. */
  isReady(): boolean;
  openSession(options: SessionOptions): Result<Session, PoolFailure>;
  /** Releases a session that its client or this host ended. */
  closeSession(session: Session): void;
  countSessions(): number;
  /** Registers a callback for changes that may withdraw keys or routes. */
  onCatalogChange(listener: () => void): void;
  /**
   * Refuses new sessions and operations as `stopping`. Open transactions go on.
   */
  closeAdmission(): void;
  /** Aborts open transactions as soon as none of their statements is at work. */
  abortTransactionsWhenIdle(): void;
  /**
   * Announces that this host is leaving, and leaves later failovers to other
   * hosts. It keeps its shares of quotas until its heartbeat expires.
   */
  leave(): Promise<void>;
  /** Number of channels on which this host serves other hosts. */
  countForwardedChannels(): number;
  /** Whether this host is replacing a primary. */
  isReplacingPrimary(): boolean;
}

/** Creates a session pool whose I/O all goes through `poolerIo`. */
export function createPooler(
  poolerIo: PoolerIo,
  options: PoolerOptions,
): Pooler {
  const { decoding } = options;
  const addresses = createAddressBook(poolerIo);
  const storeAccess = createStoreAccess(poolerIo, {
    self: options.host,
    direct: poolerIo.storeCalls,
    probeKey: LEDGER_KEY,
    listPeers: () => [
      ...new Set([...fleet.listPeers(), ...addresses.listIntroduced()]),
    ],
    listUnheard: () => fleet.listUnheard(),
    onDirect: addresses.clearIntroduced,
  });
  const storeRelay = createStoreRelay(poolerIo, {
    calls: poolerIo.storeCalls,
    isDirect: () => storeAccess.getPath() === "direct",
    isWritable: isSharedKey,
  });
  const io: PoolIo = { ...poolerIo, store: createEraStore(storeAccess.calls) };
  const clockJumps = createClockJumpDetector();
  clockJumps.onJump((driftMs) => {
    io.log.info("clock_jumped", { driftMs });
    storeAccess.forgetAnswers();
    void fleet.sendHeartbeat();
  });
  io.store.eras?.onRise(({ era, previous }) => {
    io.log.info("store_era_changed", { era, previous });
    io.metrics.count("store_era_changes_total", {});
  });
  const catalog = createCatalogHolder(io, {
    tryDecode: decoding.tryDecodeCatalog,
    isConfirmed: (version) => versionCheck.isConfirmed(version),
  });
  const directory = createDirectory(io, {
    tryDecode: decoding.tryDecodeTarget,
    isStoreUnreachable: () => targetFeed.isUnreachable(),
  });
  const primaries = createPrimaryTracker(io);
  const health = createHealth();
  const quotas: Quotas = createQuotas({
    random: io.random,
    checkLease() {
      // A process that was suspended may take tokens before its timers run.
      clockJumps.getEpoch();
      shares.checkOwnLease();
    },
    tolerance: options.quotaTolerance,
    isToleranceUnused: () =>
      fleet.getTimeSincePreviousStartMs() >
        TOLERANCE_START_WINDOWS * options.quotaTolerance.windowS *
          MS_PER_SECOND,
    // The monotonic clock begins with the process.
    getUptimeMs: nowMs,
    borrow: (workspace, count) => tokenExchange.borrow(workspace, count),
  });
  const topology = { domain: options.domain, regions: options.regions };
  const holders = createHolders({
    self: options.host,
    topology,
    listHosts: () => fleet.listPlacedHosts(),
    countConnectedHosts: () => fleet.countConnectedHosts(),
    countWorkspaces: () => catalog.tryGet()?.quotas.size ?? 0,
    getMaxConnections: (service) =>
      catalog.tryGet()?.services.get(service)?.maxConnections ??
        DEFAULT_MAX_CONNECTIONS,
  });
  const forwarder = createForwarder(io, {
    self: options.host,
    holders,
    health,
  });
  const dispatcher = createDispatcher(io, {
    health,
    forwarder,
    getDefaultWorkspace: () => catalog.tryGet()?.quotas.keys().next().value,
  });
  const fleet = createFleet(io, {
    self: options.host,
    peerAddress: options.peerAddress,
    domain: options.domain,
    isStoreLostBy: storeAccess.isLostBy,
    setAddresses: addresses.setRegistered,
  });
  const versionCheck = createVersionCheck(io, {
    isFleetLoaded: fleet.isLoaded,
    listPeers: fleet.listPeers,
    getVersion: () => catalog.tryGet()?.version,
  });
  const positionsByService = new Map<ServiceId, PositionHistory>();
  const sessions = new Set<Session>();
  let isAdmissionOpen = true;
  let isLeaving = false;
  let abortsIdleTransactions = false;

  function getPositions(service: ServiceId): PositionHistory {
    const positions = positionsByService.get(service) ??
      createPositionHistory(clockJumps);
    positionsByService.set(service, positions);
    return positions;
  }

  const ctx: SessionContext = {
    io,
    topology,
    catalog,
    directory,
    primaries,
    health,
    forwarder,
    dispatcher,
    clockJumps,
    quotas,
    getPositions,
    refreshPosition: (service) => positionSharing.refreshPosition(service),
    isAdmissionOpen: () => isAdmissionOpen,
  };
  const shares = createShareSync(io, {
    self: options.host,
    fleet,
    quotas,
    clockJumps,
  });
  const tokenExchange = createTokenExchange(io, {
    listPeers: fleet.listPeers,
    getShare: shares.getShare,
    lend: quotas.lend,
  });
  const positionSharing = createPositionSharing(io, {
    self: options.host,
    listPeers: fleet.listPeers,
    getPositions,
    onPrimaryAnswered(service, at) {
      const primary = primaries.tryPrimary(service);
      if (primary && nowMs() - at < health.getFailingMs(primary)) {
        health.recordAlive(primary);
      }
    },
  });
  const copies = createLogCopies(io.log, {
    directory,
    primaries,
    health,
    tryPosition: (service) => getPositions(service).tryLatest(),
    requestPosition: (service) => getPositions(service).recordUse(),
  });
  const stepDownRequests = createStepDownRequests(ctx, {
    copies,
    listPeers: fleet.listPossiblyRunning,
  });
  const fencing = createFencing(ctx, {
    copies,
    requests: stepDownRequests,
    async listRegistered(service) {
      const listed = await io.store.list(decoding.targetPrefix);
      return listed.isErr()
        ? undefined
        : listed.value.objects.flatMap((object) => {
          const target = decoding.tryDecodeTarget(object);
          return target?.service === service ? [target] : [];
        });
    },
  });
  const connectionHolder = createConnectionHolder(ctx);
  io.streams.onAccept((from, stream) => {
    const holder = connectionHolder.accept(from, stream);
    return {
      ...holder,
      onMessage: (msg) =>
        msg.kind === "store_call"
          ? storeRelay.serve(from, stream, msg)
          : holder.onMessage(msg),
    };
  });
  io.peers.onIntroduction((host, address) => {
    // The list of a host that the store serves is up to date.
    const isAccepted = host !== options.host &&
      storeAccess.getPath() !== "direct";
    if (isAccepted) {
      addresses.addIntroduced(host, address);
    }
    return isAccepted;
  });
  io.peers.onMessage((from, msg) => {
    switch (msg.kind) {
      case "borrow":
        return tokenExchange.handleBorrow(from, msg);
      case "lend":
        return tokenExchange.handleLend(msg);
      case "ask_floor":
        return positionSharing.handleRequest(from, msg);
      case "tell_floor":
        return positionSharing.handleReply(msg);
      case "ask_step_down":
        return void stepDownRequests.handleRequest(from, msg);
      case "tell_step_down":
        return stepDownRequests.handleReply(from, msg);
      case "ask_version":
        return versionCheck.handleRequest(from, msg);
      case "tell_version":
        return versionCheck.handleReply(from, msg);
      case "ask_store":
        return storeAccess.handleAsk(from, msg);
      case "tell_store":
        return storeAccess.handleTell(from, msg);
      default:
        return assertNever(msg);
    }
  });
  const probes = createProbes(ctx, {
    sharing: positionSharing,
    countHosts: fleet.countHosts,
    holders,
  });
  const failover = createFailoverMonitor(ctx, {
    self: options.host,
    fleet,
    copies,
    fencing,
  });
  // A connection that fails silently counts as a fault of the host.
  const watchWaitMs = Math.min(
    MAX_WATCH_WAIT_MS,
    WATCH_WAIT_FRACTION *
      (options.freshness.changeInForceMs + options.freshness.settlingMs),
  );
  const catalogFeed = createStoreFeed(io, {
    prefix: decoding.catalogPrefix,
    waitMs: watchWaitMs,
    handlers: {
      onList: (objects) => objects.forEach(applyCatalogObject),
      onChanges: (changed) => changed.forEach(applyCatalogObject),
    },
  });
  const targetFeed = createStoreFeed(io, {
    prefix: decoding.targetPrefix,
    waitMs: watchWaitMs,
    getMinWatchIntervalMs: () =>
      Math.max(
        MIN_TARGET_WATCH_INTERVAL_MS,
        TARGET_WATCH_INTERVAL_PER_HOST_MS * fleet.countHosts(),
      ),
    handlers: {
      onList: directory.replaceAll,
      onChanges: directory.applyObjects,
      onReconnected: directory.recordStoreReconnected,
    },
  });
  let timer: NodeJS.Timeout | undefined;
  /** What this host lacked at the last check; empty if it was ready. */
  let loggedMissing: string | undefined;

  /** Lists what this host lacks to serve clients. */
  function listMissing(): readonly string[] {
    return [
      { part: "configuration", isThere: catalog.tryGetConfirmed() },
      { part: "targets", isThere: directory.size > 0 },
      { part: "shares", isThere: shares.isReady() },
    ].filter(({ isThere }) => !isThere).map(({ part }) => part);
  }

  function logReadiness(): void {
    const missing = listMissing().join(",");
    if (missing !== loggedMissing) {
      loggedMissing = missing;
      io.log.info(missing ? "host_not_ready" : "host_ready", {
        ...(missing ? { missing } : {}),
        hosts: fleet.countHosts(),
      });
    }
  }

  function applyCatalogObject(object: StoredObject): void {
    if (object.key === decoding.catalogKey && object.version > 0) {
      catalog.update(object);
    }
  }

  catalog.onChange((next) => {
    quotas.setQuotas(next.quotas);
    updateAllowances();
  });
  fleet.onChange(updateAllowancesOnHostChange);
  primaries.onChange(() => dispatcher.serveQueue());
  directory.onChange(applyDirectoryEvent);

  /** Hosts for which the allowances were computed. */
  let placedHosts: readonly PeerInfo[] = [];
  let connectedHostCount = 0;

  function updateAllowances(): void {
    placedHosts = fleet.listPlacedHosts();
    connectedHostCount = fleet.countConnectedHosts();
    dispatcher.setAllowances((target) => {
      const allowance = holders.getAllowance(target);
      // Other hosts take over what this host does not use any more.
      return isLeaving ? { ...allowance, idleCap: 0 } : allowance;
    });
  }

  function updateAllowancesOnHostChange(): void {
    if (
      fleet.listPlacedHosts() !== placedHosts ||
      fleet.countConnectedHosts() !== connectedHostCount
    ) {
      updateAllowances();
    }
  }

  function applyDirectoryEvent(event: DirectoryEvent): void {
    const { kind, target } = event;
    const { service, id } = target;
    switch (kind) {
      case "gone":
        dispatcher.removeTarget(id);
        forwarder.removeTarget(id);
        return;
      case "changed":
        if (!isSameProcess(target, event.previous)) {
          dispatcher.removeTarget(id);
        }
        if (target.role !== event.previous.role) {
          const evidence = target.role === "primary"
            ? "turned_primary"
            : "denied";
          primaries.applyEvidence(service, id, { kind: evidence });
        }
        break;
      case "found":
        if (target.role === "primary") {
          primaries.applyEvidence(service, id, { kind: "registered" });
        }
        break;
      default:
        return assertNever(kind);
    }
    dispatcher.serveQueue();
  }

  function abortIdleTransactions(): void {
    const limitMs = catalog.tryGet()?.transactionIdleMs;
    const options = abortsIdleTransactions
      ? { idleMs: 0, reason: POOL_ERRORS.stopping.message }
      : limitMs !== undefined && {
        idleMs: limitMs,
        reason: `no statement for ${limitMs} ms`,
      };
    if (options) {
      sessions.forEach((session) => session.abortIdleTransaction(options));
    }
  }

  function runMaintenance(): void {
    clockJumps.getEpoch();
    storeAccess.check();
    shares.checkLeases();
    forwarder.checkStreams();
    versionCheck.checkLater();
    directory.removeExpired();
    // A target that is no longer suspect may serve waiting requests.
    dispatcher.serveQueue();
    abortIdleTransactions();
    updateAllowancesOnHostChange();
    probes.probeDueTargets();
    logReadiness();
    io.metrics.set("sessions", sessions.size, {});
    io.metrics.set("ready", loggedMissing === "" ? 1 : 0, {});
  }

  return {
    start() {
      catalogFeed.start();
      targetFeed.start();
      fleet.start();
      versionCheck.start();
      shares.start();
      failover.start();
      timer = setInterval(runMaintenance, MAINTENANCE_INTERVAL_MS);
    },
    isReady: () => listMissing().length === 0,
    openSession(sessionOptions) {
      const opened = openSession(ctx, sessionOptions);
      return opened.map((session) => {
        sessions.add(session);
        return session;
      });
    },
    closeSession(session) {
      session.close();
      sessions.delete(session);
    },
    countSessions: () => sessions.size,
    onCatalogChange: (listener) => catalog.onChange(listener),
    closeAdmission() {
      isAdmissionOpen = false;
      connectionHolder.closeAdmission();
    },
    abortTransactionsWhenIdle() {
      abortsIdleTransactions = true;
      abortIdleTransactions();
      connectionHolder.abortTransactionsWhenIdle();
    },
    countForwardedChannels: connectionHolder.countChannels,
    leave() {
      failover.stop();
      connectionHolder.announceLeaving();
      isLeaving = true;
      updateAllowances();
      return fleet.leave();
    },
    isReplacingPrimary: failover.isActive,
    stop() {
      isAdmissionOpen = false;
      clearInterval(timer);
      failover.stop();
      shares.stop();
      versionCheck.stop();
      fleet.stop();
      catalogFeed.stop();
      targetFeed.stop();
      sessions.forEach((session) =>
        session.abort(POOL_ERRORS.stopping.message)
      );
      quotas.close();
      dispatcher.close();
      forwarder.stop();
      connectionHolder.stop();
      storeAccess.stop();
    },
  };
}
