/** Objects that hosts share in the store: hosts, quota shares, leases. */

import { nowMs, sleep } from "../core/clock.ts";
import {
  asId,
  type DomainId,
  type HostId,
  type ObjectKey,
  type ServiceId,
} from "../core/ids.ts";
import { getEra } from "../core/store_era.ts";
import type { PeerInfo, Stoppable, StoredObject } from "../core/types.ts";
import { rankNodes } from "../core/hash.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import { createStoreFeed, type StoreFeed } from "./store_feed.ts";
import type { PoolIo } from "./types.ts";

const OBJECT_KIND = "turmericchute-fleet";
/** Prefix of the objects that hosts share. */
export const SHARED_PREFIX = `${OBJECT_KIND}/`;
const HOST_PREFIX = `${OBJECT_KIND}/host.`;
const LEASE_PREFIX = `${OBJECT_KIND}/duty.`;
const COPIES_PREFIX = `${OBJECT_KIND}/copies.`;
/** Whether the object is one of those that hosts share. */
export function isSharedKey(key: ObjectKey): boolean {
  return key.startsWith(SHARED_PREFIX);
}
/** Key of the object that names the owner of a partition of the quotas. */
export function getQuotaOwnerKey(partition: number): ObjectKey {
  return asId<ObjectKey>(`${OBJECT_KIND}/quota.${partition}`);
}
/** Key of the quota share ledger. */
export const LEDGER_KEY = asId<ObjectKey>(`${OBJECT_KIND}/shares`);

/**
 * Interval between the heartbeats of a host in a small fleet, in milliseconds.
 * Every host receives every heartbeat through its watch of the store. What a
 * lost host held is used again after `PEER_TIMEOUT_INTERVALS`.
 */
const HEARTBEAT_INTERVAL_MS = 2_000;
/**
 * Number of registrations from which the interval grows, so that the number of
 * heartbeats stays the same. A fleet that was replaced has twice as many
 * registrations as hosts until the old ones are gone.
 */
const SMALL_FLEET_REGISTRATIONS = 20;
/**
 * Number of registrations from which the interval grows further where hosts
 * watch through readers, up to twice as long. Heartbeats are then the dearest
 * calls, and a lost host has a small part of what all have. At the number of
 * registrations at which readers begin in six domains, the interval grows by
 * less than a third, so that hosts which count differently for a moment still
 * agree that a host gives its shares up before its peers reclaim them.
 */
const READER_FLEET_REGISTRATIONS = 30;
const MAX_READER_FLEET_FACTOR = 2;
/** Heartbeat intervals without a heartbeat after which a peer has expired. */
const PEER_TIMEOUT_INTERVALS = 4;
/** Heartbeat intervals after which a peer's next heartbeat is overdue. */
const OVERDUE_INTERVALS = 1.5;
/**
 * Heartbeat intervals for which a host may use its quota shares while the store
 * accepts no heartbeat; less than `PEER_TIMEOUT_INTERVALS`, so that the host
 * stops before its peers reclaim the shares.
 */
const SELF_TIMEOUT_INTERVALS = 3;
/**
 * The same while no known host reaches the store, so that none can reclaim the
 * shares.
 */
const OUTAGE_TIMEOUT_INTERVALS = 15;
/**
 * Heartbeat intervals without an answer of the store beyond which the time is
 * not counted against peers: their heartbeats may be in the next answer.
 */
const MAX_COUNTED_GAP_INTERVALS = 1.5;
/**
 * Time for which a host that leaves may still have connections to targets, in
 * milliseconds; longer than the grace period of a stop.
 */
const LEAVING_TIMEOUT_MS = 10_000;
/**
 * Number of heartbeats without an answer that are remembered; the store may
 * execute them seconds later.
 */
const MAX_UNANSWERED_HEARTBEATS = 16;
/**
 * Time without the store after which a host does not act on the objects that it
 * has read before, in milliseconds; longer than most partitions.
 */
const RECORD_TIMEOUT_MS = 240_000;
/**
 * Time after which a silent host counts as one that does not, in milliseconds:
 * a quarter more, for delays and clocks that differ in speed.
 */
const SILENT_HOST_TIMEOUT_MS = 300_000;
/** Delay before a failed heartbeat is retried, in milliseconds. */
const HEARTBEAT_RETRY_MS = 400;
/**
 * Time for which the list of peers is cached, in milliseconds. Every request
 * may read the list, and a heartbeat takes tens of seconds to expire.
 */
const PEER_LIST_TTL_MS = 100;
/** Growth of that time with each registered host, in milliseconds. */
const PEER_LIST_TTL_PER_HOST_MS = 5;
/** Longest wait of one watch, in milliseconds; no object here is urgent. */
const WATCH_WAIT_MS = 10_000;
/**
 * Minimum interval between two watches, in milliseconds per registered host.
 * Every change ends the watch of every host, so the number of watches grows
 * with the square of the fleet size unless changes are batched.
 */
const WATCH_INTERVAL_PER_HOST_MS = 25;

/**
 * Number of hosts in a failure domain from which one of them watches the store
 * for the others. With fewer, the reader and its stand-by would be a third of
 * all hosts and more, and save little.
 */
const MIN_HOSTS_WITH_READER = 6;
/**
 * Number of hosts that may be readers, the best first. Besides the reader and
 * its stand-by there are some for the time in which lost hosts are listed.
 */
const MAX_READERS = 6;

/** Key of the failover lease of a service. */
export function getFailoverLeaseKey(service: string): ObjectKey {
  return asId<ObjectKey>(LEASE_PREFIX + service);
}

/** Service of a failover lease; undefined if the key is of another object. */
export function tryGetLeaseService(key: ObjectKey): ServiceId | undefined {
  return tryGetService(key, LEASE_PREFIX);
}

/** Key of the record of the copies of a service's log. */
export function getCopiesKey(service: ServiceId): ObjectKey {
  return asId<ObjectKey>(COPIES_PREFIX + service);
}

/** Service of a record of copies; undefined if the key is of another object. */
export function tryGetCopiesService(key: ObjectKey): ServiceId | undefined {
  return tryGetService(key, COPIES_PREFIX);
}

function tryGetService(key: ObjectKey, prefix: string): ServiceId | undefined {
  return key.startsWith(prefix)
    ? asId<ServiceId>(key.slice(prefix.length))
    : undefined;
}

/** Registration of a host. */
interface HostRecord {
  /** Start time of the process, in Unix milliseconds. */
  readonly incarnation: number;
  /** Number of the heartbeat; -1 once the host is leaving. */
  readonly beat: number;
  /** Address at which the host receives datagrams of its peers. */
  readonly peers: string;
  /** Failure domain of the host. */
  readonly domain: DomainId;
  /** Era of the store in which the process started; 0 if it has none. */
  readonly firstEra: number;
  /** Whether the process answers watches of other hosts. */
  readonly readsStore: boolean;
  /** Era of the store that the process knew at the heartbeat. */
  readonly era: number;
}

/** Record as decoded; fields that the writer did not know are missing. */
type StoredHostRecord =
  & Pick<HostRecord, "incarnation" | "beat">
  & Partial<HostRecord>;

interface ObservedVersion {
  readonly version: number;
  /** Time of the observation, on the monotonic clock. */
  readonly observedAt: number;
  /** Value of the counted time at the observation, in milliseconds. */
  readonly countedAt: number;
  /** Whether it was there when this process first listed the objects. */
  readonly isFromFirstList: boolean;
}

/** Other hosts, as computed from the heartbeats. */
interface Peers {
  readonly computedAt: number;
  /** Hosts with an unexpired heartbeat that have not left. */
  readonly hosts: readonly HostId[];
  /** These hosts and this host itself, with their failure domains. */
  readonly placed: readonly PeerInfo[];
  /** Hosts that have left and may still be finishing their stop. */
  readonly stopping: readonly HostId[];
  /** Hosts of this failure domain that may read the store for the others. */
  readonly readers: readonly HostId[];
}

const NO_PEERS: Peers = {
  computedAt: -Infinity,
  hosts: [],
  placed: [],
  stopping: [],
  readers: [],
};

/** Local copy of the objects that hosts share in the store. */
export interface Fleet extends Stoppable {
  start(): void;
  /** Minimum interval between two watches of the objects, in milliseconds. */
  getMinWatchIntervalMs(): number;
  /** Returns an object that was read in the current era of the store. */
  tryGet(key: ObjectKey): StoredObject | undefined;
  /** Applies an object that a conditional update returned. */
  applyObject(object: StoredObject): void;
  /** Time since the last observed change of the object, in milliseconds. */
  getAgeMs(key: ObjectKey): number;
  /** Number of hosts with an unexpired heartbeat, including this host. */
  countHosts(): number;
  /** As `countHosts`, with hosts that may still be finishing their stop. */
  countConnectedHosts(): number;
  /** Other registered hosts whose heartbeat has expired. */
  listExpiredHosts(): readonly HostId[];
  /**
   * Other hosts that have not left, and whose heartbeat is overdue or was not
   * seen by this process.
   */
  listUnheard(): readonly HostId[];
  /**
   * Whether the heartbeat of each other host that may be running was seen in
   * time. A host that has been silent for minutes acts on nothing that the
   * store told it before, see `isRecordUsable`.
   */
  areHostsHeard(): boolean;
  /**
   * Whether this host may still act on what it has last read here: it has read
   * lately, or no host reaches the store, so that none can change anything.
   */
  isRecordUsable(): boolean;
  /** Other hosts that have left and whose stop is over. */
  listLeftHosts(): readonly HostId[];
  /**
   * Reads the registrations of these hosts again, as a watch may be late; false
   * if the store did not answer.
   */
  refreshHosts(hosts: readonly HostId[]): Promise<boolean>;
  /** Other hosts with an unexpired heartbeat that have not left. */
  listPeers(): readonly HostId[];
  /** Other hosts that may be running, also leaving and expired ones. */
  listPossiblyRunning(): readonly HostId[];
  /**
   * These hosts and this host itself, with their failure domains; the same
   * array until it changes.
   */
  listPlacedHosts(): readonly PeerInfo[];
  /**
   * Hosts of this failure domain that may read the store for the others, the
   * best first; empty if there are few hosts, and each reads for itself.
   */
  listStoreReaders(): readonly HostId[];
  /**
   * Whether the store has accepted no heartbeat of this host in time, so that
   * peers may reclaim its shares.
   */
  isOwnHeartbeatExpired(): boolean;
  /**
   * Time without an accepted heartbeat after which `isOwnHeartbeatExpired`, in
   * milliseconds; the same on every host.
   */
  getOwnTimeoutMs(): number;
  /**
   * Records that the monotonic clock stood still for this time, as during a
   * suspension. Negative if the wall clock was set back.
   */
  recordSuspension(ms: number): void;
  /** Sends a heartbeat and schedules the next one. */
  sendHeartbeat(): Promise<void>;
  /** Resolves when the objects have been listed for the first time. */
  readonly whenListed: Promise<void>;
  /** Whether no other host was registered when this process started. */
  isFirstHost(): boolean;
  /** Whether the objects were listed in the current era of the store. */
  isLoaded(): boolean;
  /**
   * Whether the store has returned to an earlier copy since this host or a
   * registered one has started.
   */
  hasStoreReturned(): boolean;
  /**
   * Time between the start of this process and the start of the previous one
   * on this host, in milliseconds of wall-clock time; infinite if there was
   * none.
   */
  getTimeSincePreviousStartMs(): number;
  onChange(listener: (key: ObjectKey) => void): void;
  /**
   * Calls the listener with each object that the watch delivers, also if a call
   * has returned it before. All changes before that of the object have been
   * applied by then.
   */
  onDelivered(listener: (object: StoredObject) => void): void;
  /**
   * Whether each registered host that was heard from within `withinMs` and has
   * not left knows the era of the store.
   */
  isEraKnownToAll(withinMs: number): boolean;
  /** Start of this process, in Unix milliseconds. */
  readonly incarnation: number;
  /** Start of the process that is registered under a host's name. */
  tryGetIncarnation(host: HostId): number | undefined;
  /** Marks this host as leaving, so that peers no longer count it. */
  leave(): Promise<void>;
}

/** Creates an empty copy; `start` begins to watch the store. */
export function createFleet(
  io: PoolIo,
  options: {
    readonly self: HostId;
    readonly peerAddress: string;
    readonly domain: DomainId;
    /**
     * Whether each of these hosts has said lately that it does not reach the
     * store, and no other host that it does.
     */
    isStoreLostBy(hosts: readonly HostId[]): boolean;
    /** Sets the addresses of the other registered hosts. */
    setAddresses(addresses: ReadonlyMap<HostId, string>): void;
  },
): Fleet {
  const { self } = options;
  const ownKey = asId<ObjectKey>(HOST_PREFIX + self);
  const incarnation = Date.now();
  const objects = new Map<ObjectKey, StoredObject>();
  const observed = new Map<ObjectKey, ObservedVersion>();
  const hosts = new Set<ObjectKey>();
  /** Keys of objects whose version is of an older era of the store. */
  const outdated = new Set<ObjectKey>();
  let cachedPeers = NO_PEERS;
  /** Whether hosts watch through readers; undefined until it is computed. */
  let cachedHasReaders: boolean | undefined;
  const listeners = new Set<(key: ObjectKey) => void>();
  const deliveryListeners = new Set<(object: StoredObject) => void>();
  let hasStarted = false;
  let isFirstHost = false;
  let resolveListed = () => {};
  const whenListed = new Promise<void>((resolve) => {
    resolveListed = resolve;
  });
  let firstEra = 0;
  let isLoaded = false;
  let isSendingHeartbeat = false;
  let previousStartAt = -Infinity;
  let isLeaving = false;
  let isStopped = false;
  let nextBeat = 0;
  let heartbeatAcceptedAt = -Infinity;
  /** Times at which the last heartbeats were sent, by their number. */
  const sentAtByBeat = new Map<number, number>();
  let storeAnsweredAt = nowMs();
  /** Time in which heartbeats of peers could be observed. */
  let countedMs = 0;
  let timer: NodeJS.Timeout | undefined;

  const feed: StoreFeed = createStoreFeed(io, {
    prefix: SHARED_PREFIX,
    waitMs: WATCH_WAIT_MS,
    // Updates are conditional, so stale data causes at most a conflict.
    mayBeLate: true,
    getMinWatchIntervalMs,
    handlers: {
      onList(listed) {
        recordAnswer();
        const isFirstOfEra = !isLoaded;
        isLoaded = true;
        const keys = new Set(listed.map(({ key }) => key));
        // The registration of a live host may be lost with an older era. The
        // host registers again, and if it does not, its heartbeat expires.
        const removed = [...objects.keys()].filter((key) =>
          !keys.has(key) && !(isFirstOfEra && key.startsWith(HOST_PREFIX))
        ).map((key) => ({ key, version: 0, value: undefined }));
        applyDelivered([...removed, ...listed]);
        if (!hasStarted) {
          hasStarted = true;
          firstEra = getEra(io.store);
          previousStartAt = tryGetRecord(ownKey)?.incarnation ?? -Infinity;
          isFirstHost = [...hosts].every((key) => key === ownKey);
          resolveListed();
        }
        if (isFirstOfEra) {
          void sendHeartbeat();
        }
      },
      onChanges(changed) {
        recordAnswer();
        applyDelivered(changed);
      },
    },
  });

  io.store.eras?.onRise(() => {
    isLoaded = false;
    objects.forEach((_, key) => outdated.add(key));
    io.log.info("shared_objects_outdated", { objects: objects.size });
    io.metrics.add("store_era_losses_total", objects.size, { kind: "object" });
  });

  function getMinWatchIntervalMs(): number {
    return WATCH_INTERVAL_PER_HOST_MS * hosts.size;
  }

  /** Returns a host's record; undefined if there is no valid one. */
  function tryGetRecord(key: ObjectKey): StoredHostRecord | undefined {
    return tryDecodeHostRecord(objects.get(key)?.value);
  }

  /** Notes which heartbeat of this process the store has accepted last. */
  function recordOwnHeartbeat(record: StoredHostRecord | undefined): void {
    const sentAt = record?.incarnation === incarnation
      ? sentAtByBeat.get(record.beat)
      : undefined;
    heartbeatAcceptedAt = Math.max(heartbeatAcceptedAt, sentAt ?? -Infinity);
  }

  /** Copies an object; false if the copy is as new already, or invalid. */
  function copyObject(object: StoredObject): boolean {
    const { key, version } = object;
    const known = objects.get(key);
    const isOutdated = outdated.delete(key);
    if (known && !isOutdated && version !== 0 && version <= known.version) {
      return false;
    }
    if (key === ownKey) {
      recordOwnHeartbeat(tryDecodeHostRecord(object.value));
    }
    const isInvalid = version !== 0 && key.startsWith(HOST_PREFIX) &&
      (key === HOST_PREFIX || !tryDecodeHostRecord(object.value));
    if (isInvalid) {
      io.log.info("host_record_invalid", { key, version });
    }
    if (version === 0) {
      objects.delete(key);
      observed.delete(key);
    } else if (isInvalid) {
      // An invalid record does not replace a valid one.
      objects.set(key, { ...object, value: known?.value });
      if (!hosts.has(key)) {
        return false;
      }
    } else if (known && isOutdated && isOlderHeartbeat(object, known)) {
      // What this host has seen of a peer is newer than the restored record.
      objects.set(key, { ...object, value: known.value });
    } else {
      objects.set(key, object);
      observed.set(key, {
        version,
        observedAt: nowMs(),
        countedAt: countedMs,
        isFromFirstList: !hasStarted,
      });
    }
    if (key.startsWith(HOST_PREFIX) && hosts.has(key) === (version === 0)) {
      const event = version === 0 ? "host_left" : "host_seen";
      io.log.info(event, { peer: toHost(key) });
    }
    if (key.startsWith(HOST_PREFIX)) {
      if (version === 0) {
        hosts.delete(key);
      } else {
        hosts.add(key);
      }
    }
    return true;
  }

  /** Applies objects that arrived together; peers are computed once for all. */
  function applyObjects(arrived: readonly StoredObject[]): void {
    const changed = arrived.filter(copyObject);
    if (changed.some(({ key }) => key.startsWith(HOST_PREFIX))) {
      cachedPeers = { ...cachedPeers, computedAt: -Infinity };
      cachedHasReaders = undefined;
      options.setAddresses(listAddresses());
    }
    for (const { key } of changed) {
      listeners.forEach((listener) => listener(key));
    }
  }

  function applyDelivered(arrived: readonly StoredObject[]): void {
    applyObjects(arrived);
    for (const object of arrived) {
      deliveryListeners.forEach((listener) => listener(object));
    }
  }

  function applyObject(object: StoredObject): void {
    applyObjects([object]);
  }

  function hasStoreReturned(): boolean {
    return firstEra !== getEra(io.store) || [...hosts].some((key) => {
      const era = tryGetRecord(key)?.firstEra;
      return era !== undefined && era !== getEra(io.store);
    });
  }

  function tryGet(key: ObjectKey): StoredObject | undefined {
    return outdated.has(key) ? undefined : objects.get(key);
  }

  function listAddresses(): Map<HostId, string> {
    const addresses = new Map<HostId, string>();
    for (const key of hosts) {
      const peers = tryGetRecord(key)?.peers;
      if (key !== ownKey && peers !== undefined) {
        addresses.set(toHost(key), peers);
      }
    }
    return addresses;
  }

  function createRecord(beat: number): HostRecord {
    return {
      incarnation,
      beat,
      peers: options.peerAddress,
      domain: options.domain,
      firstEra,
      readsStore: true,
      era: getEra(io.store),
    };
  }

  async function sendHeartbeat(): Promise<void> {
    if (isLeaving || isSendingHeartbeat) {
      return;
    }
    clearTimeout(timer);
    isSendingHeartbeat = true;
    const sentAt = nowMs();
    const record = createRecord(nextBeat++);
    sentAtByBeat.set(record.beat, sentAt);
    sentAtByBeat.delete(record.beat - MAX_UNANSWERED_HEARTBEATS);
    const put = await io.store.put(ownKey, record, {
      ifVersion: tryGet(ownKey)?.version ?? 0,
    });
    isSendingHeartbeat = false;
    if (put.isOk()) {
      applyObject(put.value);
    } else if (put.error.kind === "conflict") {
      applyObject(put.error.current);
    }
    timer = setTimeout(
      put.isOk() ? sendHeartbeatIfDue : () => void sendHeartbeat(),
      put.isOk() ? getHeartbeatIntervalMs() : HEARTBEAT_RETRY_MS,
    );

    /** The interval has grown where many hosts started together. */
    function sendHeartbeatIfDue(): void {
      const remainingMs = sentAt + getHeartbeatIntervalMs() - nowMs();
      if (cachedHasReaders && remainingMs > 0) {
        timer = setTimeout(sendHeartbeatIfDue, remainingMs);
      } else {
        void sendHeartbeat();
      }
    }
  }

  function recordAnswer(): void {
    const gapMs = nowMs() - storeAnsweredAt;
    storeAnsweredAt = nowMs();
    if (gapMs <= MAX_COUNTED_GAP_INTERVALS * getHeartbeatIntervalMs()) {
      countedMs += gapMs;
    }
  }

  function isHeartbeatExpired(key: ObjectKey): boolean {
    const countedAt = observed.get(key)?.countedAt ?? -Infinity;
    return countedMs - countedAt >
      PEER_TIMEOUT_INTERVALS * getHeartbeatIntervalMs();
  }

  /**
   * Scales the interval by the number of registered hosts, which is the same on
   * every host.
   */
  function getHeartbeatIntervalMs(): number {
    cachedHasReaders ??= hasReaders();
    const readerFactor = cachedHasReaders
      ? Math.min(
        MAX_READER_FLEET_FACTOR,
        getIntervalFactor(hosts.size, READER_FLEET_REGISTRATIONS),
      )
      : 1;
    return HEARTBEAT_INTERVAL_MS * readerFactor *
      getIntervalFactor(hosts.size, SMALL_FLEET_REGISTRATIONS);
  }

  /**
   * Whether a domain has enough registrations for a reader, and each registered
   * process knows readers, so that all have the same interval.
   */
  function hasReaders(): boolean {
    const countByDomain = new Map<DomainId, number>();
    for (const key of hosts) {
      const record = tryGetRecord(key);
      if (record?.readsStore !== true || record.domain === undefined) {
        return false;
      }
      const { domain } = record;
      countByDomain.set(domain, (countByDomain.get(domain) ?? 0) + 1);
    }
    return [...countByDomain.values()].some((count) =>
      count >= MIN_HOSTS_WITH_READER
    );
  }

  function getOwnTimeoutMs(): number {
    return SELF_TIMEOUT_INTERVALS * getHeartbeatIntervalMs();
  }

  function isStillStopping(key: ObjectKey): boolean {
    const observedAt = observed.get(key)?.observedAt ?? -Infinity;
    return nowMs() - observedAt < LEAVING_TIMEOUT_MS;
  }

  function listExpiredHosts(): readonly HostId[] {
    return [...hosts].filter((key) => key !== ownKey && isHeartbeatExpired(key))
      .map(toHost);
  }

  function listUnheard(): readonly HostId[] {
    const overdueMs = OVERDUE_INTERVALS * getHeartbeatIntervalMs();
    return [...hosts].filter((key) => {
      const seen = observed.get(key);
      return key !== ownKey && tryGetRecord(key)?.beat !== -1 &&
        (seen?.isFromFirstList !== false ||
          nowMs() - seen.observedAt > overdueMs);
    }).map(toHost);
  }

  function areHostsHeard(): boolean {
    return listUnheard().every((host) => {
      const key = asId<ObjectKey>(HOST_PREFIX + host);
      const seen = observed.get(key);
      return seen !== undefined &&
        countedMs - seen.countedAt > SILENT_HOST_TIMEOUT_MS;
    });
  }

  function isRecordUsable(): boolean {
    return feed.getAgeMs() <= RECORD_TIMEOUT_MS ||
      options.isStoreLostBy([...getPeers().hosts, ...getPeers().stopping]);
  }

  function listLeftHosts(): readonly HostId[] {
    return [...hosts].filter((key) =>
      key !== ownKey && tryGetRecord(key)?.beat === -1 && !isStillStopping(key)
    ).map(toHost);
  }

  function computePeers(): Peers {
    const running: HostId[] = [];
    const placed: PeerInfo[] = [{ host: self, domain: options.domain }];
    const stopping: HostId[] = [];
    const readers: HostId[] = isLeaving ? [] : [self];
    const overdueMs = OVERDUE_INTERVALS * getHeartbeatIntervalMs();
    for (const key of hosts) {
      if (key === ownKey) {
        continue;
      }
      const host = toHost(key);
      const record = tryGetRecord(key);
      if (record?.beat === -1) {
        if (isStillStopping(key)) {
          stopping.push(host);
        }
      } else if (!isHeartbeatExpired(key)) {
        running.push(host);
        if (record?.domain !== undefined) {
          placed.push({ host, domain: record.domain });
        }
        const isReader = record?.readsStore === true &&
          record.domain === options.domain &&
          nowMs() - (observed.get(key)?.observedAt ?? -Infinity) <= overdueMs;
        if (isReader) {
          readers.push(host);
        }
      }
    }
    return {
      computedAt: nowMs(),
      hosts: isSameList(running, cachedPeers.hosts)
        ? cachedPeers.hosts
        : running,
      placed: isSamePlacement(placed, cachedPeers.placed)
        ? cachedPeers.placed
        : placed,
      stopping,
      readers: readers.length < MIN_HOSTS_WITH_READER
        ? []
        : rankNodes(`store_reader/${options.domain}`, readers)
          .slice(0, MAX_READERS),
    };
  }

  /** Returns the same object until the cached one expires. */
  function getPeers(): Peers {
    const ttlMs = Math.max(
      PEER_LIST_TTL_MS,
      PEER_LIST_TTL_PER_HOST_MS * hosts.size,
    );
    if (nowMs() - cachedPeers.computedAt > ttlMs) {
      cachedPeers = computePeers();
    }
    return cachedPeers;
  }

  return {
    start: feed.start,
    getMinWatchIntervalMs,
    tryGet,
    applyObject,
    getAgeMs: (key) => nowMs() - (observed.get(key)?.observedAt ?? -Infinity),
    countHosts: () => getPeers().hosts.length + 1,
    countConnectedHosts: () =>
      getPeers().hosts.length + 1 + getPeers().stopping.length,
    listPeers: () => getPeers().hosts,
    listPossiblyRunning: () => [
      ...new Set([
        ...getPeers().hosts,
        ...getPeers().stopping,
        ...listExpiredHosts(),
      ]),
    ],
    listPlacedHosts: () => getPeers().placed,
    listStoreReaders: () => getPeers().readers,
    listExpiredHosts,
    listUnheard,
    areHostsHeard,
    isRecordUsable,
    listLeftHosts,
    async refreshHosts(refreshed) {
      const results = await Promise.all(
        refreshed.map((host) =>
          io.store.get(asId<ObjectKey>(HOST_PREFIX + host))
        ),
      );
      applyObjects(
        results.flatMap((result) => result.isOk() ? [result.value] : []),
      );
      return results.every((result) => result.isOk());
    },
    isOwnHeartbeatExpired() {
      const ageMs = nowMs() - heartbeatAcceptedAt;
      return ageMs > getOwnTimeoutMs() && !(
        ageMs <= OUTAGE_TIMEOUT_INTERVALS * getHeartbeatIntervalMs() &&
        options.isStoreLostBy([...getPeers().hosts, ...getPeers().stopping])
      );
    },
    getOwnTimeoutMs,
    recordSuspension(ms) {
      heartbeatAcceptedAt -= Math.abs(ms);
      sentAtByBeat.clear();
    },
    sendHeartbeat,
    whenListed,
    isFirstHost: () => isFirstHost,
    isLoaded: () => isLoaded,
    hasStoreReturned,
    getTimeSincePreviousStartMs: () => Math.abs(incarnation - previousStartAt),
    onChange: (listener) => void listeners.add(listener),
    onDelivered: (listener) => void deliveryListeners.add(listener),
    isEraKnownToAll: (withinMs) =>
      [...hosts].every((key) => {
        const record = tryGetRecord(key);
        const seenAt = observed.get(key)?.observedAt ?? -Infinity;
        return record?.beat === -1 || nowMs() - seenAt >= withinMs ||
          (!outdated.has(key) && record?.era === getEra(io.store));
      }),
    incarnation,
    tryGetIncarnation: (host) =>
      tryGetRecord(asId<ObjectKey>(HOST_PREFIX + host))?.incarnation,
    async leave() {
      isLeaving = true;
      clearTimeout(timer);
      const value = createRecord(-1);
      let isTold = !objects.has(ownKey);
      while (!isTold && !isStopped) {
        const put = await io.store.put(ownKey, value, {
          ifVersion: tryGet(ownKey)?.version ?? 0,
        });
        isTold = put.isOk();
        if (put.isErr() && put.error.kind === "conflict") {
          // A heartbeat that was under way came first.
          applyObject(put.error.current);
        }
        io.log.info("host_leaving", { isTold });
        if (!isTold) {
          await sleep(HEARTBEAT_RETRY_MS);
        }
      }
    },
    stop() {
      isLeaving = true;
      isStopped = true;
      clearTimeout(timer);
      feed.stop();
    },
  };
}

/** Returns the host of a registration's key. */
function toHost(key: ObjectKey): HostId {
  return asId<HostId>(key.slice(HOST_PREFIX.length));
}

function isSameList<T>(a: readonly T[], b: readonly T[]): boolean {
  return a.length === b.length && a.every((item, index) => item === b[index]);
}

function isSamePlacement(
  a: readonly PeerInfo[],
  b: readonly PeerInfo[],
): boolean {
  return a.length === b.length &&
    a.every(({ host, domain }, index) =>
      host === b[index]!.host && domain === b[index]!.domain
    );
}

/** Whether a record has no later heartbeat than the one seen before. */
function isOlderHeartbeat(stored: StoredObject, seen: StoredObject): boolean {
  const storedRecord = tryDecodeHostRecord(stored.value);
  const seenRecord = tryDecodeHostRecord(seen.value);
  return stored.key.startsWith(HOST_PREFIX) && storedRecord !== undefined &&
    storedRecord.incarnation === seenRecord?.incarnation &&
    storedRecord.beat !== -1 &&
    (seenRecord.beat === -1 || storedRecord.beat <= seenRecord.beat);
}

/** Decodes a host's record, which may be of another writer. */
function tryDecodeHostRecord(value: unknown): StoredHostRecord | undefined {
  const record = (value ?? {}) as Readonly<Record<string, unknown>>;
  const { incarnation, beat, peers, domain, firstEra, era, readsStore } =
    record;
  return typeof incarnation === "number" && typeof beat === "number"
    ? {
      incarnation,
      beat,
      ...(typeof peers === "string" ? { peers } : {}),
      ...(typeof domain === "string" ? { domain: asId<DomainId>(domain) } : {}),
      ...(typeof firstEra === "number" ? { firstEra } : {}),
      ...(readsStore === true ? { readsStore } : {}),
      ...(typeof era === "number" ? { era } : {}),
    }
    : undefined;
}
