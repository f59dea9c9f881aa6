/** Which hosts are alive, learnt from heartbeats. */

import { nowMs } from "./clock.ts";
import type { HostId } from "./ids.ts";
import type { HostIo, PeerInfo, PeerMessage, Stoppable } from "./types.ts";

/** Interval between heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 250;
/** A peer without a heartbeat for this long is not alive, in milliseconds. */
export const ALIVE_TIMEOUT_MS = 1_000;

/** The hosts that this host counts on. */
export interface Membership extends Stoppable {
  start(): void;
  receive(msg: Extract<PeerMessage, { kind: "heartbeat" }>): void;
  /** Hosts that are alive and not leaving, this one included. */
  listAlive(): readonly PeerInfo[];
  isAlive(host: HostId): boolean;
  /** Whether a host was heard of lately, also if it is leaving. */
  isReachable(host: HostId): boolean;
  /** Tells peers that this host takes no new work. */
  leave(): void;
}

interface Heard {
  readonly info: PeerInfo;
  readonly leaving: boolean;
  readonly at: number;
}

/** Creates the membership of `self`; `known` are the peers to contact first. */
export function createMembership(
  io: HostIo,
  options: { readonly self: PeerInfo; readonly known: readonly PeerInfo[] },
): Membership {
  const { self, known } = options;
  const heard = new Map<HostId, Heard>();
  const incarnation = io.random().toString(36).slice(2);
  let timer: NodeJS.Timeout | undefined;
  let leaving = false;

  function sendHeartbeats(): void {
    for (const peer of known) {
      io.sendPeer(peer.host, {
        kind: "heartbeat",
        host: self.host,
        domain: self.domain,
        incarnation,
        leaving,
        versions: [],
      });
    }
  }

  function isFresh(entry: Heard): boolean {
    return !entry.leaving && nowMs() - entry.at < ALIVE_TIMEOUT_MS;
  }

  return {
    start() {
      sendHeartbeats();
      timer = setInterval(sendHeartbeats, HEARTBEAT_MS);
    },
    receive(msg) {
      const info = { host: msg.host, domain: msg.domain };
      heard.set(msg.host, { info, leaving: msg.leaving, at: nowMs() });
    },
    listAlive() {
      const peers = [...heard.values()].filter(isFresh).map((e) => e.info);
      return leaving ? peers : [self, ...peers];
    },
    isAlive(host) {
      const entry = heard.get(host);
      return host === self.host || (entry !== undefined && isFresh(entry));
    },
    isReachable(host) {
      const at = heard.get(host)?.at ?? -Infinity;
      return host === self.host || nowMs() - at < ALIVE_TIMEOUT_MS;
    },
    leave() {
      leaving = true;
      sendHeartbeats();
    },
    stop() {
      clearInterval(timer);
    },
  };
}
