/** Which hosts are alive, learnt from heartbeats. */

import type { HostRecord } from "../generated/objects.ts";
import type { Heartbeat } from "../generated/peer.ts";
import { nowMs } from "./clock.ts";
import type { DomainId, HostId } from "./ids.ts";
import type { HostIo, PeerInfo, Stoppable } from "./types.ts";

/** Interval between heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 250;
/** A peer without a heartbeat for this long is not alive, in milliseconds. */
export const ALIVE_TIMEOUT_MS = 1_000;

/** Versions of the platform's objects that a host says it holds. */
export interface Holder extends PeerInfo {
  readonly revision: number;
  readonly versions: Heartbeat["versions"];
  readonly leaving: boolean;
  /** Time since the host was heard of. */
  readonly heardMsAgo: number;
}

/** The hosts that this host counts on. */
export interface Membership extends Stoppable {
  readonly incarnation: string;
  start(): void;
  receive(msg: Heartbeat): void;
  /** Hosts that are alive and not leaving, this one included. */
  listAlive(): readonly PeerInfo[];
  isAlive(host: HostId): boolean;
  /** Whether a host was heard of lately, also if it is leaving. */
  isReachable(host: HostId): boolean;
  /** Other hosts that are known and not leaving, alive or not. */
  listContacts(): readonly HostId[];
  /** Which versions each host holds, this one included. */
  listHolders(): readonly Holder[];
  /** Sends heartbeats at once, after the host's own state has changed. */
  announce(): void;
  /** Tells peers that this host takes no new work. */
  leave(): void;
}

/** What the membership is made of. */
export interface MembershipOptions {
  readonly self: PeerInfo;
  /** Peers that the settings name. */
  readonly known: readonly PeerInfo[];
  /** Hosts that registered in the platform. */
  listRegistered(): readonly HostRecord[];
  /** What this host holds of the platform's objects. */
  getHeld(): Pick<Heartbeat, "revision" | "versions">;
}

interface Heard {
  readonly msg: Heartbeat;
  readonly at: number;
}

/** Creates the membership of one host. */
export function createMembership(
  io: HostIo,
  options: MembershipOptions,
): Membership {
  const { self, known } = options;
  const heard = new Map<HostId, Heard>();
  const incarnation = io.random().toString(36).slice(2);
  let timer: NodeJS.Timeout | undefined;
  let leaving = false;

  function listPeers(): ReadonlyMap<HostId, DomainId> {
    const peers = new Map(known.map((peer) => [peer.host, peer.domain]));
    for (const record of options.listRegistered()) {
      // A host that is heard of is back before its record says so.
      if (!record.leaving || isFresh(heard.get(record.host))) {
        peers.set(record.host, record.domain);
      } else {
        peers.delete(record.host);
      }
    }
    peers.delete(self.host);
    return peers;
  }

  function buildHeartbeat(): Heartbeat {
    return {
      kind: "heartbeat",
      ...self,
      incarnation,
      leaving,
      ...options.getHeld(),
    };
  }

  function sendHeartbeats(): void {
    const msg = buildHeartbeat();
    for (const host of listPeers().keys()) {
      io.sendPeer(host, msg);
    }
  }

  function isFresh(entry: Heard | undefined): entry is Heard {
    return entry !== undefined && !entry.msg.leaving &&
      nowMs() - entry.at < ALIVE_TIMEOUT_MS;
  }

  return {
    incarnation,
    start() {
      sendHeartbeats();
      timer = setInterval(sendHeartbeats, HEARTBEAT_MS);
    },
    receive(msg) {
      heard.set(msg.host, { msg, at: nowMs() });
    },
    listAlive() {
      const peers = [...heard.values()].filter(isFresh)
        .map(({ msg }) => ({ host: msg.host, domain: msg.domain }));
      return leaving ? peers : [self, ...peers];
    },
    isAlive: (host) => host === self.host || isFresh(heard.get(host)),
    listContacts: () => [...listPeers().keys()],
    listHolders() {
      const own = { msg: buildHeartbeat(), at: nowMs() };
      return [own, ...heard.values()].map(({ msg, at }) => ({
        host: msg.host,
        domain: msg.domain,
        revision: msg.revision,
        versions: msg.versions,
        leaving: msg.leaving,
        heardMsAgo: nowMs() - at,
      }));
    },
    isReachable(host) {
      const at = heard.get(host)?.at ?? -Infinity;
      return host === self.host || nowMs() - at < ALIVE_TIMEOUT_MS;
    },
    announce: sendHeartbeats,
    leave() {
      leaving = true;
      sendHeartbeats();
    },
    stop() {
      clearInterval(timer);
    },
  };
}
