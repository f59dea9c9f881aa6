/** Assembles a session pool from its components. */

import { assertNever } from "../core/errors.ts";
import type { DomainId, HostId, ObjectKey, ServiceId } from "../core/ids.ts";
import type { Result } from "ts-results-es";
import { createEraStore } from "../core/store_era.ts";
import type { PeerInfo, Stoppable, StoredObject } from "../core/types.ts";
import { createAddressBook } from "./address_book.ts";
import { createCatalogHolder } from "./catalog.ts";
import { createCommitBarrier } from "./commit_barrier.ts";
import { createCommitReceipts } from "./commit_receipts.ts";
import { nowMs, waitUntil, withTimeout } from "../core/clock.ts";
import { createConnectionHolder } from "./connection_holder.ts";
import { createClockJumpDetector } from "./clock_jumps.ts";
import { createDirectory, type DirectoryEvent } from "./directory.ts";
import { createDispatcher } from "./dispatch.ts";
import { POOL_ERRORS, type PoolFailure } from "./errors.ts";
import { createFailoverMonitor } from "./failover_monitor.ts";
import { createFencing } from "./fencing.ts";
import { createLogCopies } from "./log_copies.ts";
import { createCopyRecords } from "./stored_copies.ts";
import { createStepDownRequests } from "./step_down_requests.ts";
import {
  createFleet,
  isSharedKey,
  LEDGER_KEY,
  SHARED_PREFIX,
} from "./fleet.ts";
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
import { createOwnedQuotas } from "./owned_quotas.ts";
import { createQuotaOwners } from "./quota_owner_sync.ts";
import { createQuotas, type Quotas, type QuotaTolerance } from "./quotas.ts";
import { openSession, type Session, type SessionContext } from "./session.ts";
import type { SessionOptions } from "./session_admission.ts";
import { createShareSync } from "./share_sync.ts";
import { createCountedCalls } from "./store_calls.ts";
import { createStoreAccess } from "./store_access.ts";
import { createStoredFloors } from "./stored_floors.ts";
import { createStoreFeed, type StoreFeed } from "./store_feed.ts";
import { createStoreReaders } from "./store_readers.ts";
import { createStoreRelay } from "./store_relay.ts";
import { type ColdLimit, createColdTargets } from "./cold_targets.ts";
import { createEvacuations } from "./evacuations.ts";
import { createTargetEligibility } from "./target_eligibility.ts";
import { isSameProcess } from "./target_pool.ts";
import type {
  Catalog,
  PoolerIo,
  PoolIo,
  TargetRecord,
  Topology,
} from "./types.ts";

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
 * Part of the time within which a change must be in force that is not spent on
 * the wait of a watch, in milliseconds. The store may leave a watch unanswered;
 * the host then needs the timeout of the call and the delay of its retry.
 */
const WATCH_RECOVERY_MS = 1_800;
/** Shortest wait of a watch, whatever the time for a change to be in force. */
const MIN_WATCH_WAIT_MS = 500;
/** Longest wait of one watch that the store accepts, in milliseconds. */
const MAX_WATCH_WAIT_MS = 30_000;
/**
 * Part of the time for an evacuation to be in force for which transactions may
 * stay open at its targets; most end by themselves in it. The rest is for the
 * news to reach this host.
 */
const EVACUATED_TRANSACTION_FRACTION = 0.2;
/**
 * Minimum interval between two watches of the targets, in milliseconds, and its
 * growth with each host. A change of any target ends the watch of every host,
 * and many targets change together.
 */
const MIN_TARGET_WATCH_INTERVAL_MS = 250;
const TARGET_WATCH_INTERVAL_PER_HOST_MS = 2;
/**
 * Minimum interval between two watches of a reader, in milliseconds: how long a
 * drain or a change of primary may wait behind another change.
 */
const READER_WATCH_INTERVAL_MS = 500;
/**
 * Longest wait at the start for the list of hosts, in milliseconds: a round trip
 * to the store in another region. It tells whether hosts watch through readers.
 */
const HOST_LIST_WAIT_MS = 60;
/**
 * Longest wait for the registrations of other hosts before the first watch in a
 * new deployment, in milliseconds. Hosts that start together find their reader
 * in this time, and their first watches cost the store nothing.
 */
const FIRST_WATCH_WAIT_MS = 500;
/** Connections to a target of a service without a configured limit. */
const DEFAULT_MAX_CONNECTIONS = 10;

/** Keys and decoders of the stored objects that the pool reads. */
export interface PoolerDecoding {
  readonly catalogPrefix: string;
  readonly catalogKey: string;
  readonly targetPrefix: string;
  readonly evacuationPrefix: string;
  tryDecodeCatalog(value: unknown): Catalog | undefined;
  tryDecodeTarget(object: StoredObject): TargetRecord | undefined;
  /** Returns the domain that an object evacuates; undefined if none. */
  tryDecodeEvacuation(key: ObjectKey): DomainId | undefined;
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
  /**
   * Time within which an accepted evacuation must be in force, in
   * milliseconds; undefined if the deployment has no evacuations.
   */
  readonly evacuationInForceMs?: number | undefined;
}

/** Settings of a session pool. */
export interface PoolerOptions {
  readonly host: HostId;
  readonly domain: DomainId;
  /** Address at which this host receives messages of its peers. */
  readonly peerAddress: string;
  readonly regions: ReadonlyMap<DomainId, string>;
  readonly quotaTolerance: QuotaTolerance;
  /**
   * Whether holders schedule the slots of their targets; no by default. Dividing
   * a target's slots among its holders costs throughput.
   */
  readonly schedulesSlots?: boolean | undefined;
  /** Limit of cold targets; undefined if the deployment has none. */
  readonly coldLimit?: ColdLimit | undefined;
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
  const { evacuationInForceMs } = options.freshness;
  const addresses = createAddressBook(poolerIo);
  const storeCalls = createCountedCalls(poolerIo, {
    calls: poolerIo.storeCalls,
    prefixes: decoding,
  });
  const storeAccess = createStoreAccess(poolerIo, {
    self: options.host,
    direct: storeCalls,
    probeKey: LEDGER_KEY,
    listPeers: () => [
      ...new Set([...fleet.listPeers(), ...addresses.listIntroduced()]),
    ],
    listUnheard: () => fleet.listUnheard(),
    onDirect() {
      addresses.clearIntroduced();
      directory.recordStoreAnswering();
    },
  });
  const storeRelay = createStoreRelay(poolerIo, {
    calls: storeCalls,
    isDirect: () => storeAccess.getPath() === "direct",
    isWritable: isSharedKey,
  });
  const storeReaders = createStoreReaders(poolerIo, {
    self: options.host,
    prefixes: [
      {
        prefix: decoding.catalogPrefix,
        mayBeLate: false,
        getMinWatchIntervalMs: () => READER_WATCH_INTERVAL_MS,
      },
      {
        prefix: decoding.targetPrefix,
        mayBeLate: false,
        getMinWatchIntervalMs: () => READER_WATCH_INTERVAL_MS,
      },
      {
        prefix: SHARED_PREFIX,
        mayBeLate: true,
        getMinWatchIntervalMs: () => fleet.getMinWatchIntervalMs(),
      },
      ...(evacuationInForceMs === undefined ? [] : [{
        prefix: decoding.evacuationPrefix,
        mayBeLate: false,
        getMinWatchIntervalMs: () => READER_WATCH_INTERVAL_MS,
      }]),
    ],
    listReaders: () => fleet.listStoreReaders(),
    tryGetEra: () => io.store.eras?.tryGet(),
    watchDirectly: storeAccess.watchDirectly,
    watchAlone: storeAccess.calls.watch,
    getPath: storeAccess.getPath,
  });
  const io: PoolIo = {
    ...poolerIo,
    store: createEraStore({ ...storeAccess.calls, watch: storeReaders.watch }),
  };
  const clockJumps = createClockJumpDetector();
  clockJumps.onJump((driftMs) => {
    io.log.info("clock_jumped", { driftMs });
    storeAccess.forgetAnswers();
    storeReaders.distrustAges();
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
  const sharedQuotas: Quotas = createQuotas({
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
  const ownedQuotas = createOwnedQuotas(io, {
    self: options.host,
    checkClock: () => void clockJumps.getEpoch(),
    listOwners: (partition) => quotaOwners.listOwners(partition),
    grantLocally: (workspace, request) => quotaOwners.grant(workspace, request),
  });
  const isOwned = () => shares.tryIsOwned() === true;
  const quotas: Pick<Quotas, "takeToken"> = {
    takeToken: (workspace, limits) =>
      (isOwned() ? ownedQuotas : sharedQuotas).takeToken(workspace, limits),
  };
  const evacuations = createEvacuations(io, {
    isEnabled: evacuationInForceMs !== undefined,
    tryDecode: decoding.tryDecodeEvacuation,
    returnGraceMs: options.freshness.settlingMs,
  });
  const topology: Topology = {
    domain: options.domain,
    regions: options.regions,
    evacuations,
  };
  const eligibility = createTargetEligibility({
    topology,
    directory,
    primaries,
    tryGetCatalog: catalog.tryGet,
    listHosts: () => fleet.listPlacedHosts(),
    transactionGraceMs: EVACUATED_TRANSACTION_FRACTION *
      (evacuationInForceMs ?? 0),
    io,
  });
  const holders = createHolders({
    self: options.host,
    topology,
    listHosts: () => fleet.listPlacedHosts(),
    countConnectedHosts: () => fleet.countConnectedHosts(),
    countWorkspaces: () => catalog.tryGet()?.quotas.size ?? 0,
    getMaxConnections: (service) =>
      catalog.tryGet()?.services.get(service)?.maxConnections ??
        DEFAULT_MAX_CONNECTIONS,
    isScheduled: () => options.schedulesSlots === true,
  });
  const cold = createColdTargets(io, {
    self: options.host,
    limit: options.coldLimit,
    tryGetPolicy: (service) => catalog.tryGet()?.services.get(service)?.cold,
    evacuations,
    holders,
    listHosts: () => fleet.listPlacedHosts().map(({ host }) => host),
    isShareExpired: () => fleet.isOwnHeartbeatExpired(),
  });
  const forwarder = createForwarder(io, {
    self: options.host,
    holders,
    health,
  });
  const dispatcher = createDispatcher(io, {
    health,
    forwarder,
    tryGetSlotBudget: holders.tryGetSlotBudget,
    cold,
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
    listEvacuations: evacuations.listDeviations,
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
    eligibility,
    cold,
    catalog,
    directory,
    primaries,
    barrier: createCommitBarrier(io.log),
    receipts: {
      waitUntilSafe: (service, commit) =>
        receipts.waitUntilSafe(service, commit),
    },
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
    quotas: sharedQuotas,
    clockJumps,
  });
  const quotaOwners = createQuotaOwners(io, {
    self: options.host,
    domain: options.domain,
    fleet,
    clockJumps,
    isOwned,
    isStoreLost: () => storeAccess.getPath() === "none",
    onRedirect: ownedQuotas.handleRedirect,
    onOwnerChange: ownedQuotas.recordOwner,
  });
  clockJumps.onJump(() => {
    quotaOwners.recordSuspension();
    ownedQuotas.recordSuspension();
  });
  const tokenExchange = createTokenExchange(io, {
    listPeers: fleet.listPeers,
    getShare: shares.getShare,
    lend: sharedQuotas.lend,
  });
  const positionSharing = createPositionSharing(io, {
    self: options.host,
    listPeers: fleet.listPeers,
    listPlacedHosts: fleet.listPlacedHosts,
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
    areHostsHeard: fleet.areHostsHeard,
  });
  const copyRecords = createCopyRecords(io, {
    self: options.host,
    fleet,
    directory,
    copies,
  });
  const receipts = createCommitReceipts(ctx, {
    listRecorded: copyRecords.listDelivered,
    floors: createStoredFloors(io, { self: options.host, fleet }),
  });
  const stepDownRequests = createStepDownRequests(ctx, {
    copies,
    listPeers: fleet.listPossiblyRunning,
  });
  const fencing = createFencing(ctx, {
    copies,
    requests: stepDownRequests,
    async listRegistered(service) {
      const [listed, isRecordRead] = await Promise.all([
        io.store.list(decoding.targetPrefix),
        copyRecords.refresh(service),
      ]);
      return listed.isErr() || !isRecordRead
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
      onMessage(msg) {
        switch (msg.kind) {
          case "store_call":
            return void storeRelay.serve(from, stream, msg);
          case "reader_watch":
          case "reader_ask":
            return storeReaders.serve(stream, msg);
          default:
            return holder.onMessage(msg);
        }
      },
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
      case "ask_floors":
        return positionSharing.handleRelayRequest(from, msg);
      case "tell_floors":
        return positionSharing.handleRelayReply(msg);
      case "ask_step_down":
        return void stepDownRequests.handleRequest(from, msg);
      case "tell_step_down":
        return stepDownRequests.handleReply(from, msg);
      case "ask_version":
        return versionCheck.handleRequest(from, msg);
      case "tell_version":
        if (versionCheck.handleReply(from, msg) && evacuationFeed) {
          evacuations.applyDeviations(msg.evacuations ?? []);
        }
        return;
      case "ask_store":
        return storeAccess.handleAsk(from, msg);
      case "tell_store":
        return storeAccess.handleTell(from, msg);
      case "tell_tokens":
        return ownedQuotas.handleTokens(from, msg);
      case "ask_tokens":
      case "tell_owner":
      case "ask_lease":
      case "tell_lease":
      case "ask_vote":
      case "tell_vote":
      case "release_quota":
        return quotaOwners.handleMessage(from, msg);
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
  const getWatchWaitMs = (inForceMs: number) =>
    Math.min(
      MAX_WATCH_WAIT_MS,
      Math.max(MIN_WATCH_WAIT_MS, inForceMs - WATCH_RECOVERY_MS),
    );
  const watchWaitMs = getWatchWaitMs(options.freshness.changeInForceMs);
  const hasReader = () => fleet.listStoreReaders().length > 0;
  const feedOptions = {
    waitMs: watchWaitMs,
    mayListLate: hasReader,
    async waitBeforeFirstWatch() {
      if (fleet.isFirstHost()) {
        await waitUntil(hasReader, FIRST_WATCH_WAIT_MS);
      }
    },
  };
  const catalogFeed = createStoreFeed(io, {
    ...feedOptions,
    prefix: decoding.catalogPrefix,
    handlers: {
      onList: (objects) => objects.forEach(applyCatalogObject),
      onChanges: (changed) => changed.forEach(applyCatalogObject),
    },
  });
  const targetFeed = createStoreFeed(io, {
    ...feedOptions,
    prefix: decoding.targetPrefix,
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
  const evacuationFeed = evacuationInForceMs === undefined
    ? undefined
    : createStoreFeed(io, {
      prefix: decoding.evacuationPrefix,
      waitMs: getWatchWaitMs(evacuationInForceMs),
      handlers: evacuations.handlers,
    });

  const feeds = new Map<string, StoreFeed>([
    [decoding.catalogPrefix, catalogFeed],
    [decoding.targetPrefix, targetFeed],
    ...(evacuationFeed
      ? [[decoding.evacuationPrefix, evacuationFeed] as const]
      : []),
  ]);

  async function startFeeds(): Promise<void> {
    await withTimeout(fleet.whenListed, {
      ms: HOST_LIST_WAIT_MS,
      fallback: undefined,
    });
    feeds.forEach((feed) => feed.start());
  }

  let timer: NodeJS.Timeout | undefined;
  /** What this host lacked at the last check; empty if it was ready. */
  let loggedMissing: string | undefined;

  function isQuotaReady(): boolean {
    return isOwned() ? quotaOwners.isReady() : shares.isReady();
  }

  /** Lists what this host lacks to serve clients. */
  function listMissing(): readonly string[] {
    return [
      { part: "configuration", isThere: catalog.tryGetConfirmed() },
      { part: "targets", isThere: directory.size > 0 },
      { part: "shares", isThere: isQuotaReady() },
      {
        part: "evacuations",
        isThere: evacuations.isKnown(),
      },
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
    sharedQuotas.setQuotas(next.quotas);
    ownedQuotas.setQuotas(next.quotas);
    quotaOwners.setQuotas(next.quotas);
    updateAllowances();
    dispatcher.refuseWaiting();
  });
  fleet.onChange(updateAllowancesOnHostChange);
  primaries.onChange(() => {
    dispatcher.refuseWaiting();
    dispatcher.serveQueue();
  });
  directory.onChange(applyDirectoryEvent);
  evacuations.onChange((domain) => {
    listTargets()
      .filter((target) => target.domain === domain)
      // Closes idle connections. What is known of its health will be outdated.
      .forEach(({ id }) => dispatcher.removeTarget(id));
    dispatcher.refuseWaiting();
    dispatcher.serveQueue();
  });

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

  function listTargets(): readonly TargetRecord[] {
    return [...catalog.tryGet()?.services.keys() ?? []]
      .flatMap(directory.list);
  }

  function checkEvacuations(): void {
    evacuations.check();
    if (evacuations.listDomains().length > 0) {
      sessions.forEach((session) => session.abortEvacuatedTransaction());
      connectionHolder.abortEvacuatedTransactions();
    }
  }

  function runMaintenance(): void {
    clockJumps.getEpoch();
    if (evacuationFeed) {
      checkEvacuations();
    }
    if (options.coldLimit) {
      cold.check(listTargets());
    }
    storeAccess.check();
    storeReaders.check();
    shares.checkLeases();
    quotaOwners.check();
    forwarder.checkStreams();
    versionCheck.checkLater();
    directory.removeExpired();
    copyRecords.check();
    // A target that is no longer suspect may serve waiting requests.
    dispatcher.serveQueue();
    abortIdleTransactions();
    updateAllowancesOnHostChange();
    probes.probeDueTargets();
    logReadiness();
    for (const [prefix, feed] of feeds) {
      io.metrics.set("store_age_ms", Math.round(feed.getAgeMs()), { prefix });
    }
    io.metrics.set("sessions", sessions.size, {});
    io.metrics.set("ready", loggedMissing === "" ? 1 : 0, {});
  }

  return {
    start() {
      fleet.start();
      void startFeeds();
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
      quotaOwners.leave();
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
      feeds.forEach((feed) => feed.stop());
      sessions.forEach((session) =>
        session.abort(POOL_ERRORS.stopping.message)
      );
      sharedQuotas.close();
      ownedQuotas.close();
      dispatcher.close();
      forwarder.stop();
      connectionHolder.stop();
      storeReaders.stop();
      storeAccess.stop();
    },
  };
}
