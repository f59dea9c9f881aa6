/** Tracks which hosts are alive, by heartbeats and, in large fleets, gossip. */

import type { HostRecord } from "../generated/objects.ts";
import type { Heartbeat } from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { DomainId, HostId } from "./ids.ts";
import { createGossip } from "./gossip.ts";
import { FULL_MESH_MAX_HOSTS, listNeighbours } from "./neighbours.ts";
import type { HostIo, PeerInfo, Stoppable } from "./types.ts";

/** Heartbeat interval in a full mesh, in milliseconds. */
export const HEARTBEAT_MS = 250;
/** Heartbeat interval in a fleet too large for a full mesh, in milliseconds. */
export const SPARSE_HEARTBEAT_MS = 1_000;
/** Number of missed heartbeats after which a peer counts as down. */
const MISSED_HEARTBEATS = 4;

/** Configuration versions that a host reported in its last heartbeat. */
export interface HostVersions extends PeerInfo {
  readonly revision: number;
  readonly versions: Heartbeat["versions"];
  readonly leaving: boolean;
  /** Time since the last heartbeat of the host, in milliseconds. */
  readonly heardMsAgo: number;
}

/** Membership of the fleet as seen by this host. */
export interface Membership extends Stoppable {
  readonly incarnation: string;
  start(): void;
  receive(msg: Heartbeat): void;
  /** Lists the hosts that are alive and not leaving, including this one. */
  listAlive(): readonly PeerInfo[];
  isAlive(host: HostId): boolean;
  /** Lists the hosts that are up, including leaving ones and this one. */
  listReachable(): readonly PeerInfo[];
  /** Returns true if a host is up, leaving or not. */
  isReachable(host: HostId): boolean;
  /** Lists the other known hosts that are not leaving, alive or not. */
  listKnownPeers(): readonly HostId[];
  /** Lists the hosts that this host exchanges heartbeats with. */
  listNeighbours(): readonly HostId[];
  /** Lists the configuration versions of each host, including this one. */
  listHostVersions(): readonly HostVersions[];
  /** Sends heartbeats immediately after a change of this host's state. */
  announce(): void;
  /** Announces to peers that this host is leaving and takes no new work. */
  leave(): void;
}

/** Dependencies of the membership. */
export interface MembershipOptions {
  readonly self: PeerInfo;
  /** Peers listed in the settings. */
  readonly known: readonly PeerInfo[];
  /** Lists the hosts registered in the platform. */
  listRegistered(): readonly HostRecord[];
  /** Returns the configuration versions that this host holds. */
  getOwnVersions(): Pick<Heartbeat, "revision" | "versions">;
}

interface ReceivedHeartbeat {
  readonly msg: Heartbeat;
  readonly receivedAt: number;
}

/** State derived from the known hosts, cached until they change. */
interface View {
  readonly peers: ReadonlyMap<HostId, DomainId>;
  readonly neighbours: ReadonlySet<HostId>;
  readonly isFullMesh: boolean;
}

/** Creates the membership view of one host. */
export function createMembership(
  io: Pick<HostIo, "sendPeer" | "random">,
  options: MembershipOptions,
): Membership {
  const { self, known } = options;
  const heartbeats = new Map<HostId, ReceivedHeartbeat>();
  /** Time since which heartbeats of each neighbour are expected. */
  const expectedSince = new Map<HostId, number>();
  const incarnation = io.random().toString(36).slice(2);
  const gossip = createGossip({
    self: self.host,
    seq: Date.now(),
    listNeighbours: () => [...getView().neighbours],
  });
  let timer: NodeJS.Timeout | undefined;
  let view: View | undefined;
  let leaving = false;

  /** Lists the other hosts from the settings and the registrations. */
  function listPeers(): ReadonlyMap<HostId, DomainId> {
    const peers = new Map(known.map((peer) => [peer.host, peer.domain]));
    for (const record of options.listRegistered()) {
      const lastHeartbeat = heartbeats.get(record.host)?.msg;
      // Heartbeats of a restarted host arrive before its record is updated.
      const hasRestarted = lastHeartbeat !== undefined &&
        !lastHeartbeat.leaving &&
        lastHeartbeat.incarnation !== record.incarnation;
      if (!record.leaving || hasRestarted) {
        peers.set(record.host, record.domain);
      } else {
        peers.delete(record.host);
      }
    }
    peers.delete(self.host);
    return peers;
  }

  function getView(): View {
    if (!view) {
      const peers = listPeers();
      view = {
        peers,
        neighbours: new Set(listNeighbours(self.host, [...peers.keys()])),
        isFullMesh: peers.size < FULL_MESH_MAX_HOSTS,
      };
    }
    return view;
  }

  function getIntervalMs(): number {
    return getView().isFullMesh ? HEARTBEAT_MS : SPARSE_HEARTBEAT_MS;
  }

  function buildHeartbeat(): Heartbeat {
    const { revision, versions } = options.getOwnVersions();
    return {
      kind: "heartbeat",
      ...self,
      incarnation,
      seq: gossip.seq,
      leaving,
      revision,
      versions: getView().isFullMesh ? versions : [],
    };
  }

  function sendHeartbeats(): void {
    const msg = buildHeartbeat();
    // A leaving host is no longer a neighbour but still needs to know which
    // hosts are alive, so heartbeats also go to every host that sends them.
    const responsiveHosts = [...heartbeats.keys()].filter(isResponsive);
    for (const host of new Set([...getView().neighbours, ...responsiveHosts])) {
      const reports = gossip.takeReports(host);
      io.sendPeer(host, reports.length > 0 ? { ...msg, reports } : msg);
    }
  }

  function sendHeartbeatsRepeatedly(): void {
    if (!getView().isFullMesh) {
      suspectUnresponsiveNeighbours();
    }
    sendHeartbeats();
    timer = setTimeout(sendHeartbeatsRepeatedly, getIntervalMs());
  }

  function suspectUnresponsiveNeighbours(): void {
    const now = nowMs();
    for (const host of getView().neighbours) {
      const since = expectedSince.get(host) ?? now;
      expectedSince.set(host, since);
      if (
        now - Math.max(since, heartbeats.get(host)?.receivedAt ?? 0) >
          getTimeoutMs()
      ) {
        gossip.suspect(host);
      }
    }
  }

  function getTimeoutMs(): number {
    return MISSED_HEARTBEATS * getIntervalMs();
  }

  function isResponsive(host: HostId): boolean {
    const receivedAt = heartbeats.get(host)?.receivedAt ?? -Infinity;
    return nowMs() - receivedAt < getTimeoutMs();
  }

  function isReachable(host: HostId): boolean {
    const { peers, neighbours, isFullMesh } = getView();
    if (isFullMesh) {
      return isResponsive(host);
    }
    return peers.has(host) && !gossip.isDown(host) &&
      (!neighbours.has(host) || isResponsive(host));
  }

  function listReachable(): readonly PeerInfo[] {
    const { peers, isFullMesh } = getView();
    return isFullMesh
      ? [...heartbeats.values()].filter(({ msg }) => isResponsive(msg.host))
        .map(({ msg }) => ({ host: msg.host, domain: msg.domain }))
      : [...peers].filter(([host]) => isReachable(host))
        .map(([host, domain]) => ({ host, domain }));
  }

  function isLeaving(host: HostId): boolean {
    return heartbeats.get(host)?.msg.leaving ?? false;
  }

  function listAlive(): readonly PeerInfo[] {
    const peers = listReachable().filter(({ host }) => !isLeaving(host));
    return leaving ? peers : [self, ...peers];
  }

  return {
    incarnation,
    start: sendHeartbeatsRepeatedly,
    receive(msg) {
      const previous = heartbeats.get(msg.host);
      heartbeats.set(msg.host, { msg, receivedAt: nowMs() });
      const isUnchanged = previous?.msg.incarnation === msg.incarnation &&
        previous.msg.leaving === msg.leaving;
      if (!isUnchanged) {
        view = undefined;
      }
      if (getView().isFullMesh) {
        return;
      }
      gossip.recordHeartbeat(msg.host, msg.seq);
      gossip.receive(msg.reports ?? []);
      if (!isUnchanged) {
        gossip.enqueueAllDown(msg.host);
      }
    },
    listAlive,
    listReachable: () => [self, ...listReachable()],
    isAlive: (host) =>
      host === self.host || (isReachable(host) && !isLeaving(host)),
    listKnownPeers: () => [...getView().peers.keys()],
    listNeighbours: () => [...getView().neighbours],
    listHostVersions() {
      const selfHeartbeat = { msg: buildHeartbeat(), receivedAt: nowMs() };
      return [selfHeartbeat, ...heartbeats.values()].map((
        { msg, receivedAt },
      ) => ({
        host: msg.host,
        domain: msg.domain,
        revision: msg.revision,
        versions: msg.versions,
        leaving: msg.leaving,
        heardMsAgo: nowMs() - receivedAt,
      }));
    },
    isReachable: (host) => host === self.host || isReachable(host),
    announce() {
      view = undefined;
      sendHeartbeats();
    },
    leave() {
      leaving = true;
      sendHeartbeats();
    },
    stop() {
      clearTimeout(timer);
    },
  };
}
