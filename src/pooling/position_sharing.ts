/**
 * Shares positions of primaries between hosts: a few polling hosts query the
 * primary, and the other hosts request the position from a polling host.
 */

import { nowMs } from "../core/clock.ts";
import { rankNodes } from "../core/hash.ts";
import type { HostId, ServiceId } from "../core/ids.ts";
import type { AskFloor, TellFloor } from "../generated/pool_peer.ts";
import type { PositionHistory } from "./position_history.ts";
import type { PoolIo } from "./types.ts";

/** Number of hosts that query the primary of a service directly. */
const POLLING_HOST_COUNT = 2;
/** Time to wait for a requested position: one round trip between regions. */
const REPLY_TIMEOUT_MS = 60;
/** Maximum number of pending requests; older requests are dropped. */
const MAX_PENDING_REQUESTS = 256;

/** Requests positions from peers and answers their requests. */
export interface PositionSharing {
  /** Whether this host is a polling host of the service. */
  isPollingHost(service: ServiceId): boolean;
  /** Requests the position from a random polling host of the service. */
  requestPosition(service: ServiceId): void;
  /** Requests the position; resolves with the reply, or without one in time. */
  refreshPosition(service: ServiceId): Promise<void>;
  handleRequest(from: HostId, msg: AskFloor): void;
  handleReply(msg: TellFloor): void;
}

/** Creates the position sharing of this host. */
export function createPositionSharing(
  io: Pick<PoolIo, "peers" | "random">,
  options: {
    readonly self: HostId;
    listPeers(): readonly HostId[];
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

  function requestPosition(service: ServiceId): boolean {
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
    requestPosition: (service) => void requestPosition(service),
    refreshPosition(service) {
      const resolvers = waiting.get(service) ?? new Set();
      if (resolvers.size === 0 && !requestPosition(service)) {
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
  };
}
