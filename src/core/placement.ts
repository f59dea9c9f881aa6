/**
 * The hosts that stand for a group or a workspace, kept until a change of
 * membership may concern them.
 */

import { nowMs } from "./clock.ts";
import { rankNodes, scoreNode } from "./hash.ts";
import type { DomainId, GroupId, HostId, WorkspaceId } from "./ids.ts";
import { listPoolHosts } from "./route.ts";
import type { PeerInfo } from "./types.ts";

/** Age at which the view of the hosts is looked at again, in milliseconds. */
const REFRESH_MS = 50;
/** Owners of a workspace that are known in advance. */
const OWNERS = 4;

/** Who stands for what, by rendezvous hashing over the hosts. */
export interface Placement {
  /** Hosts that keep connections to a group, best first. */
  listPoolHosts(group: GroupId): readonly HostId[];
  /** Hosts that may account for a workspace, best first. */
  listOwners(workspace: WorkspaceId): readonly HostId[];
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

type Choose = (key: string, hosts: readonly PeerInfo[]) => Chosen;

/** Creates a placement over the hosts that `listHosts` gives. */
export function createPlacement(options: PlacementOptions): Placement {
  const { hostsPerGroup } = options;
  const groups = createCache((key, alive) => {
    const hosts = listPoolHosts(key as GroupId, {
      alive,
      count: hostsPerGroup,
    });
    const domains = new Map(alive.map((peer) => [peer.host, peer.domain]));
    const isSpread = hosts.length === hostsPerGroup &&
      new Set(hosts.map((host) => domains.get(host))).size === hosts.length;
    // A host of a domain that is missing goes before a better one of another.
    return { hosts, leastScore: isSpread ? getLeastScore(key, hosts) : 0 };
  });
  const workspaces = createCache((key, alive) => {
    const hosts = rankNodes(key, alive.map((peer) => peer.host))
      .slice(0, OWNERS);
    const leastScore = hosts.length < OWNERS ? 0 : getLeastScore(key, hosts);
    return { hosts, leastScore };
  });
  let hosts: Hosts = new Map();
  let list: readonly PeerInfo[] = [];
  let refreshedAt = -Infinity;
  let revision = 0;

  function refresh(): void {
    if (nowMs() - refreshedAt < REFRESH_MS) {
      return;
    }
    refreshedAt = nowMs();
    list = options.listHosts();
    const now: Hosts = new Map(list.map((peer) => [peer.host, peer.domain]));
    const change = {
      joined: [...now.keys()].filter((host) => !hosts.has(host)),
      left: new Set([...hosts.keys()].filter((host) => !now.has(host))),
    };
    if (change.joined.length + change.left.size === 0) {
      return;
    }
    revision++;
    hosts = now;
    groups.forget(change);
    workspaces.forget(change);
  }

  return {
    listPoolHosts(group) {
      refresh();
      return groups.get(group, list);
    },
    listOwners(workspace) {
      refresh();
      return workspaces.get(workspace, list);
    },
    getRevision() {
      refresh();
      return revision;
    },
  };
}

function getLeastScore(key: string, hosts: readonly HostId[]): number {
  return Math.min(...hosts.map((host) => scoreNode(key, host)));
}

interface Change {
  readonly joined: readonly HostId[];
  readonly left: ReadonlySet<HostId>;
}

interface Cache {
  get(key: string, hosts: readonly PeerInfo[]): readonly HostId[];
  /** Forgets the keys whose hosts may be others after a change. */
  forget(change: Change): void;
}

function createCache(choose: Choose): Cache {
  const entries = new Map<string, Chosen>();

  function isConcerned(
    key: string,
    given: { readonly chosen: Chosen; readonly change: Change },
  ): boolean {
    const { chosen, change } = given;
    return chosen.hosts.some((host) => change.left.has(host)) ||
      change.joined.some((host) => scoreNode(key, host) >= chosen.leastScore);
  }

  return {
    get(key, hosts) {
      const chosen = entries.get(key) ?? choose(key, hosts);
      entries.set(key, chosen);
      return chosen.hosts;
    },
    forget(change) {
      for (const [key, chosen] of entries) {
        if (isConcerned(key, { chosen, change })) {
          entries.delete(key);
        }
      }
    },
  };
}
