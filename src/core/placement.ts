/**
 * The hosts that stand for a group or a workspace, kept until a change of
 * membership may concern them.
 */

import { nowMs } from "./clock.ts";
import { hash32, scoreHashes } from "./hash.ts";
import type { DomainId, GroupId, HostId, WorkspaceId } from "./ids.ts";
import {
  choosePoolHosts,
  type HashedDomain,
  hashPeers,
  rankAll,
  type Scored,
} from "./route.ts";
import { SEAT_COUNT } from "./token_pool.ts";
import type { PeerInfo } from "./types.ts";

/** Age at which the view of the hosts is looked at again, in milliseconds. */
const REFRESH_MS = 50;
/** Owners of a workspace that are known in advance. */
const OWNERS = 4;
/** Hosts that may hold seats: each seat has one, and one that may take over. */
const SEAT_HOSTS = 2 * SEAT_COUNT;
const SEATS_KEY = "seats";

/** Who stands for what, by rendezvous hashing over the hosts. */
export interface Placement {
  /** Hosts that keep connections to a group, best first. */
  listPoolHosts(group: GroupId): readonly HostId[];
  /** Hosts that may account for a workspace, best first. */
  listOwners(workspace: WorkspaceId): readonly HostId[];
  /** Hosts that may hold seats, best first. */
  listSeatHosts(): readonly HostId[];
  /** Rises with each change of the hosts that may be chosen. */
  getRevision(): number;
}

/** What a placement is made of. */
export interface PlacementOptions {
  /** Hosts that may be chosen. */
  listHosts(): readonly PeerInfo[];
  readonly hostsPerGroup: number;
}

type Hosts = ReadonlyMap<HostId, DomainId>;

/** The chosen hosts of one key. */
interface Chosen {
  readonly hosts: readonly HostId[];
  /** Score below which another host is not chosen. */
  readonly leastScore: number;
}

type Choose = (keyHash: number, domains: readonly HashedDomain[]) => Chosen;

/** Creates a placement over the hosts that `listHosts` gives. */
export function createPlacement(options: PlacementOptions): Placement {
  const { hostsPerGroup } = options;
  const groups = createCache((keyHash, domains) => {
    const chosen = choosePoolHosts(keyHash, { domains, count: hostsPerGroup });
    const isSpread = chosen.length === hostsPerGroup &&
      new Set(chosen.map((scored) => scored.domain)).size === chosen.length;
    // A host of a domain that is missing goes before a better one of another.
    return toChosen(chosen, { isFull: isSpread });
  });
  const workspaces = createBestCache(OWNERS);
  const seats = createBestCache(SEAT_HOSTS);
  let hosts: Hosts = new Map();
  let domains: readonly HashedDomain[] = [];
  let refreshedAt = -Infinity;
  let revision = 0;

  function refresh(): void {
    if (nowMs() - refreshedAt < REFRESH_MS) {
      return;
    }
    refreshedAt = nowMs();
    const found = options.listHosts();
    const now: Hosts = new Map(found.map((peer) => [peer.host, peer.domain]));
    const change = {
      joined: [...now.keys()].filter((host) => !hosts.has(host)).map(hash32),
      left: new Set([...hosts.keys()].filter((host) => !now.has(host))),
    };
    if (change.joined.length + change.left.size === 0) {
      return;
    }
    revision++;
    hosts = now;
    domains = hashPeers(found);
    groups.forget(change);
    workspaces.forget(change);
    seats.forget(change);
  }

  return {
    listPoolHosts(group) {
      refresh();
      return groups.get(group, domains);
    },
    listOwners(workspace) {
      refresh();
      return workspaces.get(workspace, domains);
    },
    listSeatHosts() {
      refresh();
      return seats.get(SEATS_KEY, domains);
    },
    getRevision() {
      refresh();
      return revision;
    },
  };
}

/** Keeps the best hosts of each key, whatever their domains. */
function createBestCache(count: number): Cache {
  return createCache((keyHash, domains) => {
    const chosen = rankAll(keyHash, domains).slice(0, count);
    return toChosen(chosen, { isFull: chosen.length === count });
  });
}

function toChosen(
  chosen: readonly Scored[],
  options: { readonly isFull: boolean },
): Chosen {
  const scores = chosen.map((scored) => scored.score);
  return {
    hosts: chosen.map((scored) => scored.host),
    leastScore: options.isFull ? Math.min(...scores) : 0,
  };
}

interface Change {
  /** Hashes of the ids of the hosts that are new. */
  readonly joined: readonly number[];
  readonly left: ReadonlySet<HostId>;
}

interface Cache {
  get(key: string, domains: readonly HashedDomain[]): readonly HostId[];
  /** Forgets the keys whose hosts may be others after a change. */
  forget(change: Change): void;
}

function createCache(choose: Choose): Cache {
  const entries = new Map<string, Chosen>();

  function isConcerned(
    keyHash: number,
    given: { readonly chosen: Chosen; readonly change: Change },
  ): boolean {
    const { chosen, change } = given;
    return chosen.hosts.some((host) => change.left.has(host)) ||
      change.joined.some((hash) =>
        scoreHashes(keyHash, hash) >= chosen.leastScore
      );
  }

  return {
    get(key, domains) {
      const chosen = entries.get(key) ?? choose(hash32(key), domains);
      entries.set(key, chosen);
      return chosen.hosts;
    },
    forget(change) {
      for (const [key, chosen] of entries) {
        if (isConcerned(hash32(key), { chosen, change })) {
          entries.delete(key);
        }
      }
    },
  };
}
