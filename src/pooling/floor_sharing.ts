/**
 * Shares positions of primaries between hosts, so that a few hosts ask the
 * primary and the others ask those.
 */

import { nowMs } from "../core/clock.ts";
import { rankNodes } from "../core/hash.ts";
import type { HostId, ServiceId } from "../core/ids.ts";
import type { AskFloor, TellFloor } from "../generated/pool_peer.ts";
import type { FloorLog } from "./floor_log.ts";
import type { PoolIo } from "./types.ts";

/** Hosts that ask the primary of a service themselves. */
const KEEPERS = 2;
/** Questions that are still waited for; older ones are forgotten. */
const MAX_PENDING = 256;

/** Asks peers for positions and answers theirs. */
export interface FloorSharing {
  /** Whether this host asks the primary of the service itself. */
  isKeeper(service: ServiceId): boolean;
  /** Asks a host that keeps the floor of the service. */
  ask(service: ServiceId): void;
  serve(from: HostId, msg: AskFloor): void;
  take(msg: TellFloor): void;
}

/** Creates the part that shares floors. */
export function createFloorSharing(
  io: Pick<PoolIo, "peers" | "random">,
  options: {
    readonly self: HostId;
    listPeers(): readonly HostId[];
    getFloors(service: ServiceId): FloorLog;
  },
): FloorSharing {
  const { self } = options;
  const pending = new Map<
    number,
    { readonly service: ServiceId; readonly askedAt: number }
  >();
  let nextId = 0;
  let ranked: {
    readonly peers: readonly HostId[];
    readonly keepers: Map<ServiceId, readonly HostId[]>;
  } = { peers: [], keepers: new Map() };

  function listKeepers(service: ServiceId): readonly HostId[] {
    const peers = options.listPeers();
    if (peers !== ranked.peers) {
      ranked = { peers, keepers: new Map() };
    }
    const found = ranked.keepers.get(service) ??
      rankNodes(service, [self, ...peers]).slice(0, KEEPERS);
    ranked.keepers.set(service, found);
    return found;
  }

  return {
    isKeeper: (service) => listKeepers(service).includes(self),
    ask(service) {
      const keepers = listKeepers(service);
      const keeper = keepers[Math.floor(io.random() * keepers.length)];
      if (keeper === undefined || keeper === self) {
        return;
      }
      const id = nextId++;
      pending.set(id, { service, askedAt: nowMs() });
      pending.delete(id - MAX_PENDING);
      io.peers.send(keeper, { kind: "ask_floor", id, service });
    },
    serve(from, { id, service }) {
      const newest = options.getFloors(service).tryNewest();
      if (newest) {
        const { position, ageMs } = newest;
        io.peers.send(from, { kind: "tell_floor", id, ...position, ageMs });
      }
    },
    take({ id, term, pos, ageMs }) {
      const question = pending.get(id);
      if (question) {
        pending.delete(id);
        // The age is as of the answer, which is later than the question.
        const askedAt = question.askedAt - ageMs;
        options.getFloors(question.service).note({ term, pos }, askedAt);
      }
    },
  };
}
