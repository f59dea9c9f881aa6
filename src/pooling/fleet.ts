/** Objects that the hosts share in the store: hosts, quota shares, duties. */

import { nowMs } from "../core/clock.ts";
import { asId, type HostId, type ObjectKey } from "../core/ids.ts";
import type { Stoppable, StoredObject } from "../core/types.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import { createStoreFeed, type StoreFeed } from "./store_feed.ts";
import type { PoolIo } from "./types.ts";

const OBJECT_KIND = "turmericchute-fleet";
const HOST_PREFIX = `${OBJECT_KIND}/host.`;
/** Key of the ledger of quota shares. */
export const LEDGER_KEY = asId<ObjectKey>(`${OBJECT_KIND}/shares`);

/**
 * Time between the heartbeats of a host of a small fleet in the store, in
 * milliseconds; every host hears every heartbeat.
 */
const HEARTBEAT_INTERVAL_MS = 10_000;
/** Intervals of silence after which a host no longer counts. */
const PEER_TIMEOUT_INTERVALS = 4.5;
/**
 * Intervals for which a host may use its shares without a heartbeat accepted;
 * less than the others wait, so that it stops before they reclaim them.
 */
const SELF_TIMEOUT_INTERVALS = 3;
/** Pause after a heartbeat that failed, in milliseconds; chosen, not measured. */
const HEARTBEAT_RETRY_MS = 400;
/**
 * Time for which a list of peers is kept, in milliseconds: each request may
 * ask for it, and a host falls silent over tens of seconds.
 */
const PEER_LIST_TTL_MS = 100;
/** Longest wait of one watch; nothing here is urgent. */
const WATCH_WAIT_MS = 10_000;
/**
 * Least time between two watches for each registered host, in milliseconds.
 * Every change wakes every host, so their sum grows with the square of the
 * fleet unless changes are told together.
 */
const WATCH_INTERVAL_PER_HOST_MS = 25;

/** Key of the record of who replaces the primary of a service. */
export function getFailoverLeaseKey(service: string): ObjectKey {
  return asId<ObjectKey>(`${OBJECT_KIND}/duty.${service}`);
}

/** A host as it registered itself. */
interface HostRecord {
  readonly incarnation: number;
  readonly beat: number;
  /** Where the host takes datagrams of its peers. */
  readonly peers: string;
}

interface ObservedVersion {
  readonly version: number;
  readonly at: number;
}

/** The shared objects as this host knows them. */
export interface Fleet extends Stoppable {
  start(): void;
  tryGet(key: ObjectKey): StoredObject | undefined;
  /** Takes an object that a conditional update returned. */
  applyObject(object: StoredObject): void;
  /** Time since the object was last seen to change, in milliseconds. */
  getAgeMs(key: ObjectKey): number;
  /** Hosts whose heartbeat was seen recently, this one included. */
  countHosts(): number;
  /** Hosts that registered and have been silent for too long. */
  listExpiredHosts(): readonly HostId[];
  /** Other hosts that are thought to run. */
  listPeers(): readonly HostId[];
  /** Whether the store has accepted no heartbeat of this host for too long. */
  isOwnHeartbeatExpired(): boolean;
  /**
   * Takes that the monotonic clock missed this much time, as in a suspension.
   * The time is negative after the time of day was set back.
   */
  recordSuspension(ms: number): void;
  /** Sends a heartbeat now and again after each interval. */
  sendHeartbeat(): Promise<void>;
  isLoaded(): boolean;
  /**
   * Time between the starts of this process and of the last one on this host,
   * by the time of day; infinite if there was none.
   */
  getSincePreviousStartMs(): number;
  onChange(listener: (key: ObjectKey) => void): void;
  /** Removes this host from the count; it is about to stop. */
  leave(): Promise<void>;
}

/** Creates the view of the shared objects. */
export function createFleet(
  io: PoolIo,
  options: { readonly self: HostId; readonly peerAddress: string },
): Fleet {
  const ownKey = asId<ObjectKey>(HOST_PREFIX + options.self);
  const incarnation = Date.now();
  const objects = new Map<ObjectKey, StoredObject>();
  const observed = new Map<ObjectKey, ObservedVersion>();
  const hosts = new Set<ObjectKey>();
  let peers: { readonly at: number; readonly list: readonly HostId[] } = {
    at: -Infinity,
    list: [],
  };
  const listeners = new Set<(key: ObjectKey) => void>();
  let isLoaded = false;
  let previousStartAt = -Infinity;
  let isLeaving = false;
  let beat = 0;
  let heartbeatAcceptedAt = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  const feed: StoreFeed = createStoreFeed(io, {
    prefix: `${OBJECT_KIND}/`,
    waitMs: WATCH_WAIT_MS,
    // Updates here are conditional, so a late view costs a conflict at most.
    mayBeLate: true,
    getMinWatchIntervalMs: () => WATCH_INTERVAL_PER_HOST_MS * hosts.size,
    handlers: {
      onList(listed) {
        const keys = new Set(listed.map(({ key }) => key));
        for (const key of [...objects.keys()]) {
          if (!keys.has(key)) {
            applyObject({ key, version: 0, value: undefined });
          }
        }
        listed.forEach(applyObject);
        if (!isLoaded) {
          isLoaded = true;
          const own = objects.get(ownKey)?.value as Partial<HostRecord>;
          previousStartAt = own?.incarnation ?? -Infinity;
          void sendHeartbeat();
        }
      },
      onChange: applyObject,
    },
  });

  function applyObject(object: StoredObject): void {
    const { key, version } = object;
    const known = objects.get(key);
    if (known && version !== 0 && version <= known.version) {
      return;
    }
    if (version === 0) {
      objects.delete(key);
      observed.delete(key);
    } else {
      objects.set(key, object);
      observed.set(key, { version, at: nowMs() });
    }
    if (key.startsWith(HOST_PREFIX) && !known !== (version === 0)) {
      const event = version === 0 ? "host_left" : "host_seen";
      io.log.info(event, { peer: key.slice(HOST_PREFIX.length) });
    }
    if (key.startsWith(HOST_PREFIX)) {
      if (version === 0) {
        hosts.delete(key);
      } else {
        hosts.add(key);
      }
      peers = { at: -Infinity, list: [] };
      io.peers.setAddresses(listAddresses());
    }
    listeners.forEach((listener) => listener(key));
  }

  function listAddresses(): Map<HostId, string> {
    const addresses = new Map<HostId, string>();
    for (const key of hosts) {
      const { peers } = (objects.get(key)?.value ?? {}) as Partial<HostRecord>;
      if (key !== ownKey && typeof peers === "string") {
        addresses.set(asId<HostId>(key.slice(HOST_PREFIX.length)), peers);
      }
    }
    return addresses;
  }

  async function sendHeartbeat(): Promise<void> {
    clearTimeout(timer);
    if (isLeaving) {
      return;
    }
    const sentAt = nowMs();
    const record: HostRecord = {
      incarnation,
      beat: beat++,
      peers: options.peerAddress,
    };
    const put = await io.store.put(ownKey, record, {
      ifVersion: objects.get(ownKey)?.version ?? 0,
    });
    if (put.isOk()) {
      heartbeatAcceptedAt = sentAt;
      applyObject(put.value);
    } else if (put.error.kind === "conflict") {
      applyObject(put.error.current);
    }
    timer = setTimeout(
      () => void sendHeartbeat(),
      put.isOk() ? getHeartbeatIntervalMs() : HEARTBEAT_RETRY_MS,
    );
  }

  function isHeartbeatExpired(key: ObjectKey): boolean {
    const at = observed.get(key)?.at ?? -Infinity;
    // Without an answer of the store nobody's heartbeat can be seen.
    return nowMs() - at - feed.getTimeSinceAnswerMs() >
      PEER_TIMEOUT_INTERVALS * getHeartbeatIntervalMs();
  }

  /** By the registered hosts, whose number every host sees alike. */
  function getHeartbeatIntervalMs(): number {
    return HEARTBEAT_INTERVAL_MS * getIntervalFactor(hosts.size);
  }

  function hasLeft(key: ObjectKey): boolean {
    return (objects.get(key)?.value as Partial<HostRecord>)?.beat === -1;
  }

  function computePeers(): HostId[] {
    return [...hosts].filter((key) =>
      key !== ownKey && !isHeartbeatExpired(key) && !hasLeft(key)
    ).map((key) => asId<HostId>(key.slice(HOST_PREFIX.length)));
  }

  /** The same list until it is looked up anew. */
  function listPeers(): readonly HostId[] {
    if (nowMs() - peers.at > PEER_LIST_TTL_MS) {
      peers = { at: nowMs(), list: computePeers() };
    }
    return peers.list;
  }

  return {
    start: feed.start,
    tryGet: (key) => objects.get(key),
    applyObject: applyObject,
    getAgeMs: (key) => nowMs() - (observed.get(key)?.at ?? -Infinity),
    countHosts: () => listPeers().length + 1,
    listPeers,
    listExpiredHosts: () =>
      [...hosts].filter((key) => key !== ownKey && isHeartbeatExpired(key))
        .map((key) => asId<HostId>(key.slice(HOST_PREFIX.length))),
    isOwnHeartbeatExpired: () =>
      nowMs() - heartbeatAcceptedAt >
        SELF_TIMEOUT_INTERVALS * getHeartbeatIntervalMs(),
    recordSuspension: (ms) => void (heartbeatAcceptedAt -= Math.abs(ms)),
    sendHeartbeat: sendHeartbeat,
    isLoaded: () => isLoaded,
    getSincePreviousStartMs: () => Math.abs(incarnation - previousStartAt),
    onChange: (listener) => void listeners.add(listener),
    async leave() {
      isLeaving = true;
      clearTimeout(timer);
      const version = objects.get(ownKey)?.version;
      if (version !== undefined) {
        const value = { incarnation, beat: -1, peers: options.peerAddress };
        const put = await io.store.put(ownKey, value, { ifVersion: version });
        io.log.info("host_leaving", { isTold: put.isOk() });
      }
    },
    stop() {
      isLeaving = true;
      clearTimeout(timer);
      feed.stop();
    },
  };
}
