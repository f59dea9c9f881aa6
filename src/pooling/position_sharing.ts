/**
 * Shares positions of primaries between hosts: a few polling hosts query the
 * primary, and the other hosts request the position from a polling host. In a
 * failure domain with many hosts, one of them, the relay, requests positions
 * from the polling hosts, and the others request those of all services from it
 * at once. Pattern: many hosts and services, few statements at each host.
 */

import { nowMs } from "../core/clock.ts";
import { rankNodes } from "../core/hash.ts";
import type { HostId, ServiceId } from "../core/ids.ts";
import type { PeerInfo } from "../core/types.ts";
import type {
  AskFloor,
  AskFloors,
  TellFloor,
  TellFloors,
} from "../generated/pool_peer.ts";
import type { PositionHistory } from "./position_history.ts";
import type { PoolIo } from "./types.ts";

/** Number of hosts that query the primary of a service directly. */
const POLLING_HOST_COUNT = 2;
/** Time to wait for a requested position: one round trip between regions. */
const REPLY_TIMEOUT_MS = 60;
/** Maximum number of pending requests; older requests are dropped. */
const MAX_PENDING_REQUESTS = 256;
/** Number of hosts in a failure domain from which one of them is a relay. */
const MIN_RELAYED_HOSTS = 6;
/** Time that a relay has to answer: several round trips within a domain. */
const RELAY_REPLY_TIMEOUT_MS = 60;
/**
 * Age beyond which a position from the relay is of no use, in milliseconds: the
 * relay refreshes its positions twice as often, so it has lost its source.
 */
const MAX_RELAYED_AGE_MS = 900;
/** Time for which a service is requested with others, in milliseconds. */
const RELAYED_SERVICE_TTL_MS = 5_000;
/** Time for which a relay that failed is not asked, in milliseconds. */
const RELAY_PAUSE_MS = 1_000;

/** Requests positions from peers and answers their requests. */
export interface PositionSharing {
  /** Whether this host is a polling host of the service. */
  isPollingHost(service: ServiceId): boolean;
  /** Whether other hosts request positions from this one. */
  isRelay(): boolean;
  /**
   * Requests the position from the relay of the failure domain, together with
   * those of other services, or from a random polling host of the service.
   */
  requestPosition(service: ServiceId): void;
  /** Requests the position; resolves with the reply, or without one in time. */
  refreshPosition(service: ServiceId): Promise<void>;
  handleRequest(from: HostId, msg: AskFloor): void;
  handleReply(msg: TellFloor): void;
  handleRelayRequest(from: HostId, msg: AskFloors): void;
  handleRelayReply(msg: TellFloors): void;
}

/** Creates the position sharing of this host. */
export function createPositionSharing(
  io: Pick<PoolIo, "peers" | "random">,
  options: {
    readonly self: HostId;
    listPeers(): readonly HostId[];
    /** Lists all hosts with their failure domains; none by default. */
    listPlacedHosts?(): readonly PeerInfo[];
    getPositions(service: ServiceId): PositionHistory;
    /** Called when a peer tells that the primary answered at this time. */
    onPrimaryAnswered(service: ServiceId, at: number): void;
  },
): PositionSharing {
  const { self } = options;
  const pending = new Map<
    number,
    { readonly service: ServiceId; readonly sentAt: number }
  >();
  const waiting = new Map<ServiceId, Set<() => void>>();
  let nextId = 0;
  /** Services requested from the relay, with the time of the last request. */
  const relayedAt = new Map<ServiceId, number>();
  let isFlushScheduled = false;
  let relayRequest: {
    readonly id: number;
    readonly sentAt: number;
    readonly services: readonly ServiceId[];
    readonly timer: NodeJS.Timeout;
  } | undefined;
  let relayPausedUntil = -Infinity;
  let relayCache: {
    readonly placed: readonly PeerInfo[];
    readonly relay: HostId | undefined;
  } = { placed: [], relay: undefined };
  let pollingHostCache: {
    readonly peers: readonly HostId[];
    readonly pollingHosts: Map<ServiceId, readonly HostId[]>;
  } = { peers: [], pollingHosts: new Map() };

  function listPollingHosts(service: ServiceId): readonly HostId[] {
    const peers = options.listPeers();
    if (peers !== pollingHostCache.peers) {
      pollingHostCache = { peers, pollingHosts: new Map() };
    }
    const pollingHosts = pollingHostCache.pollingHosts.get(service) ??
      rankNodes(service, [self, ...peers]).slice(0, POLLING_HOST_COUNT);
    pollingHostCache.pollingHosts.set(service, pollingHosts);
    return pollingHosts;
  }

  /** Returns the relay of this host's failure domain, if it has one. */
  function tryGetRelay(): HostId | undefined {
    const placed = options.listPlacedHosts?.() ?? [];
    if (placed !== relayCache.placed) {
      const domain = placed.find(({ host }) => host === self)?.domain;
      const hosts = placed.filter((peer) => peer.domain === domain)
        .map(({ host }) => host);
      relayCache = {
        placed,
        relay: hosts.length >= MIN_RELAYED_HOSTS
          ? rankNodes(`positions|${domain}`, hosts)[0]
          : undefined,
      };
    }
    return relayCache.relay;
  }

  /** Requests the positions of all services in use, so that their ages match. */
  function sendRelayRequest(relay: HostId): void {
    isFlushScheduled = false;
    for (const [service, at] of relayedAt) {
      if (nowMs() - at > RELAYED_SERVICE_TTL_MS) {
        relayedAt.delete(service);
      }
    }
    const services = [...relayedAt.keys()].slice(0, MAX_PENDING_REQUESTS);
    const id = nextId++;
    clearTimeout(relayRequest?.timer);
    const timer = setTimeout(() => pauseRelay(id), RELAY_REPLY_TIMEOUT_MS);
    relayRequest = { id, sentAt: nowMs(), services, timer };
    io.peers.send(relay, { kind: "ask_floors", id, services });
  }

  /** Requests positions from the polling hosts while the relay is silent. */
  function pauseRelay(id: number): void {
    if (relayRequest?.id === id) {
      relayPausedUntil = nowMs() + RELAY_PAUSE_MS;
      relayRequest.services.forEach(requestFromPollingHost);
      relayRequest = undefined;
    }
  }

  function requestPosition(service: ServiceId): void {
    const relay = tryGetRelay();
    if (
      relay === undefined || relay === self || nowMs() < relayPausedUntil
    ) {
      requestFromPollingHost(service);
      return;
    }
    relayedAt.set(service, nowMs());
    if (!isFlushScheduled) {
      isFlushScheduled = true;
      queueMicrotask(() => sendRelayRequest(relay));
    }
  }

  function requestFromPollingHost(service: ServiceId): boolean {
    const pollingHosts = listPollingHosts(service);
    const pollingHost =
      pollingHosts[Math.floor(io.random() * pollingHosts.length)];
    if (pollingHost === undefined || pollingHost === self) {
      return false;
    }
    const id = nextId++;
    pending.set(id, { service, sentAt: nowMs() });
    pending.delete(id - MAX_PENDING_REQUESTS);
    io.peers.send(pollingHost, { kind: "ask_floor", id, service });
    return true;
  }

  return {
    isPollingHost: (service) => listPollingHosts(service).includes(self),
    isRelay: () => tryGetRelay() === self,
    requestPosition,
    refreshPosition(service) {
      const resolvers = waiting.get(service) ?? new Set();
      if (resolvers.size === 0 && !requestFromPollingHost(service)) {
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          resolvers.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, REPLY_TIMEOUT_MS);
        resolvers.add(finish);
        waiting.set(service, resolvers);
      });
    },
    handleRequest(from, { id, service }) {
      const newest = options.getPositions(service).tryLatest();
      if (newest) {
        const { position, ageMs } = newest;
        io.peers.send(from, { kind: "tell_floor", id, ...position, ageMs });
      }
    },
    handleReply({ id, term, pos, ageMs }) {
      const request = pending.get(id);
      if (request) {
        pending.delete(id);
        // `ageMs` is measured when the peer replies, which is after this request
        // was sent. The peer thus queried the primary at this time or later.
        const earliestQueryAt = request.sentAt - ageMs;
        options.getPositions(request.service)
          .record({ term, pos }, earliestQueryAt);
        options.onPrimaryAnswered(request.service, earliestQueryAt);
        waiting.get(request.service)?.forEach((finish) => finish());
      }
    },
    handleRelayRequest(from, { id, services }) {
      const floors = services.flatMap((service) => {
        const positions = options.getPositions(service);
        // Positions that other hosts use are refreshed as those used here.
        positions.recordUse();
        const newest = positions.tryLatest();
        return newest
          ? [{ service, ...newest.position, ageMs: newest.ageMs }]
          : [];
      });
      io.peers.send(from, { kind: "tell_floors", id, floors });
    },
    handleRelayReply({ id, floors }) {
      if (relayRequest?.id !== id) {
        return;
      }
      const { sentAt, services, timer } = relayRequest;
      clearTimeout(timer);
      relayRequest = undefined;
      const fresh = floors.filter(({ ageMs }) => ageMs <= MAX_RELAYED_AGE_MS);
      for (const { service, term, pos, ageMs } of fresh) {
        const earliestQueryAt = sentAt - ageMs;
        options.getPositions(service).record({ term, pos }, earliestQueryAt);
        options.onPrimaryAnswered(service, earliestQueryAt);
      }
      const known = new Set(fresh.map(({ service }) => service));
      services.filter((service) => !known.has(service))
        .forEach(requestFromPollingHost);
    },
  };
}
