/**
 * Assigns groups, workspaces and seats to hosts by rendezvous hashing. The
 * selected hosts are cached until a membership change may affect them.
 */

import { nowMs } from "./clock.ts";
import { hash32, scoreHashes } from "./hash.ts";
import type { DomainId, GroupId, HostId, WorkspaceId } from "./ids.ts";
import {
  choosePoolHosts,
  type HashedDomain,
  hashPeers,
  rankAll,
  type ScoredHost,
} from "./route.ts";
import { SEAT_COUNT } from "./token_pool.ts";
import type { PeerInfo } from "./types.ts";

/** Minimum interval between checks for membership changes, in milliseconds. */
const REFRESH_INTERVAL_MS = 50;
/** Number of candidate owners selected for each workspace. */
const OWNERS_PER_WORKSPACE = 4;
/** Maximum number of seat hosts: a holder and a standby for each seat. */
const MAX_SEAT_HOSTS = 2 * SEAT_COUNT;
const SEATS_HASH_KEY = "seats";

/** Assignment of groups, workspaces and seats to hosts. */
export interface Placement {
  /** Lists the hosts that keep connections to a group, best first. */
  listPoolHosts(group: GroupId): readonly HostId[];
  /** Lists the candidate owners of a workspace, best first. */
  listOwners(workspace: WorkspaceId): readonly HostId[];
  /** Lists the hosts that may hold seats, best first. */
  listSeatHosts(): readonly HostId[];
  /** Returns a number that increases with each change of the eligible hosts. */
  getRevision(): number;
}

/** Options of a placement. */
export interface PlacementOptions {
  /** Lists the eligible hosts. */
  listHosts(): readonly PeerInfo[];
  readonly hostsPerGroup: number;
}

type DomainByHost = ReadonlyMap<HostId, DomainId>;

/** Hosts selected for one key. */
interface Selection {
  readonly hosts: readonly HostId[];
  /** Minimum score at which a joining host could change the selection. */
  readonly minScore: number;
}

type SelectHosts = (
  keyHash: number,
  domains: readonly HashedDomain[],
) => Selection;

/** Creates a placement over the hosts returned by `listHosts`. */
export function createPlacement(options: PlacementOptions): Placement {
  const { hostsPerGroup } = options;
  const groups = createSelectionCache((keyHash, domains) => {
    const chosen = choosePoolHosts(keyHash, { domains, count: hostsPerGroup });
    const isOnePerDomain = chosen.length === hostsPerGroup &&
      new Set(chosen.map((scored) => scored.domain)).size === chosen.length;
    // While the selection covers fewer than `hostsPerGroup` domains, a joining
    // host of a missing domain displaces a host with a higher score.
    return toSelection(chosen, { isComplete: isOnePerDomain });
  });
  const workspaces = createTopRankedCache(OWNERS_PER_WORKSPACE);
  const seats = createTopRankedCache(MAX_SEAT_HOSTS);
  let hosts: DomainByHost = new Map();
  let domains: readonly HashedDomain[] = [];
  let refreshedAt = -Infinity;
  let revision = 0;

  function refresh(): void {
    if (nowMs() - refreshedAt < REFRESH_INTERVAL_MS) {
      return;
    }
    refreshedAt = nowMs();
    const eligibleHosts = options.listHosts();
    const current: DomainByHost = new Map(
      eligibleHosts.map((peer) => [peer.host, peer.domain]),
    );
    const change = {
      joined: [...current.keys()].filter((host) => !hosts.has(host)).map(
        hash32,
      ),
      left: new Set([...hosts.keys()].filter((host) => !current.has(host))),
    };
    if (change.joined.length + change.left.size === 0) {
      return;
    }
    revision++;
    hosts = current;
    domains = hashPeers(eligibleHosts);
    groups.invalidate(change);
    workspaces.invalidate(change);
    seats.invalidate(change);
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
      return seats.get(SEATS_HASH_KEY, domains);
    },
    getRevision() {
      refresh();
      return revision;
    },
  };
}

/** Creates a cache of the `count` best hosts of each key in any domain. */
function createTopRankedCache(count: number): SelectionCache {
  return createSelectionCache((keyHash, domains) => {
    const chosen = rankAll(keyHash, domains).slice(0, count);
    return toSelection(chosen, { isComplete: chosen.length === count });
  });
}

function toSelection(
  chosen: readonly ScoredHost[],
  options: { readonly isComplete: boolean },
): Selection {
  const scores = chosen.map((scored) => scored.score);
  return {
    hosts: chosen.map((scored) => scored.host),
    minScore: options.isComplete ? Math.min(...scores) : 0,
  };
}

interface MembershipChange {
  /** Hashes of the ids of the hosts that joined. */
  readonly joined: readonly number[];
  readonly left: ReadonlySet<HostId>;
}

interface SelectionCache {
  get(key: string, domains: readonly HashedDomain[]): readonly HostId[];
  /** Evicts the selections that a membership change may affect. */
  invalidate(change: MembershipChange): void;
}

function createSelectionCache(selectHosts: SelectHosts): SelectionCache {
  const entries = new Map<string, Selection>();

  function isAffected(
    keyHash: number,
    options: { readonly chosen: Selection; readonly change: MembershipChange },
  ): boolean {
    const { chosen, change } = options;
    return chosen.hosts.some((host) => change.left.has(host)) ||
      change.joined.some((hash) =>
        scoreHashes(keyHash, hash) >= chosen.minScore
      );
  }

  return {
    get(key, domains) {
      const chosen = entries.get(key) ?? selectHosts(hash32(key), domains);
      entries.set(key, chosen);
      return chosen.hosts;
    },
    invalidate(change) {
      for (const [key, chosen] of entries) {
        if (isAffected(hash32(key), { chosen, change })) {
          entries.delete(key);
        }
      }
    },
  };
}
