/** Finds the database group of a request and the hosts that pool for it. */

import { hash32, rankNodes, scoreHashes } from "./hash.ts";
import type { DomainId, GroupId, HostId, WorkspaceId } from "./ids.ts";
import type { GroupInfo, PeerInfo } from "./types.ts";

/** The group of a service that keeps the rows of a workspace. */
export function tryGroupFor(
  workspace: WorkspaceId,
  groups: readonly GroupInfo[],
): GroupInfo | undefined {
  const byId = new Map(groups.map((group) => [group.group, group]));
  const first = rankNodes(workspace, [...byId.keys()])[0];
  return first && byId.get(first);
}

/** The hosts of one failure domain with the hashes of their ids. */
export interface HashedDomain {
  readonly domain: DomainId;
  readonly hosts: readonly HostId[];
  readonly hashes: readonly number[];
}

/** Hashes the ids of hosts that are to be ranked for many keys. */
export function hashPeers(peers: readonly PeerInfo[]): HashedDomain[] {
  const domains = new Map<DomainId, HostId[]>();
  for (const { host, domain } of peers) {
    const hosts = domains.get(domain) ?? [];
    hosts.push(host);
    domains.set(domain, hosts);
  }
  return [...domains].map(([domain, hosts]) => ({
    domain,
    hosts,
    hashes: hosts.map(hash32),
  }));
}

/** A host with its score for a key. */
export interface ScoredHost {
  readonly host: HostId;
  readonly domain: DomainId;
  readonly score: number;
}

function compareByScore(a: ScoredHost, b: ScoredHost): number {
  return b.score - a.score || (a.host < b.host ? -1 : 1);
}

/**
 * The hosts that keep connections to a group, best first. They are in distinct
 * failure domains as far as there are enough of them.
 */
export function listPoolHosts(
  group: GroupId,
  options: { readonly alive: readonly PeerInfo[]; readonly count: number },
): HostId[] {
  const { alive, count } = options;
  return choosePoolHosts(hash32(group), { domains: hashPeers(alive), count })
    .map((scored) => scored.host);
}

/** The same for the hash of a group and hosts that are hashed already. */
export function choosePoolHosts(
  keyHash: number,
  options: {
    readonly domains: readonly HashedDomain[];
    readonly count: number;
  },
): ScoredHost[] {
  const { domains, count } = options;
  const chosen = domains.map((domain) => getBestHost(keyHash, domain))
    .sort(compareByScore)
    .slice(0, count);
  if (chosen.length === count) {
    return chosen;
  }
  const hosts = chosen.map((scored) => scored.host);
  const others = rankAll(keyHash, domains)
    .filter(({ host }) => !hosts.includes(host));
  return [...chosen, ...others].slice(0, count);
}

/** Every host with its score, best first. */
export function rankAll(
  keyHash: number,
  domains: readonly HashedDomain[],
): ScoredHost[] {
  return domains.flatMap(({ domain, hosts, hashes }) =>
    hosts.map((host, index) => ({
      host,
      domain,
      score: scoreHashes(keyHash, hashes[index]!),
    }))
  ).sort(compareByScore);
}

function getBestHost(
  keyHash: number,
  { domain, hosts, hashes }: HashedDomain,
): ScoredHost {
  let best = 0;
  let score = -1;
  for (let index = 0; index < hashes.length; index++) {
    const candidate = scoreHashes(keyHash, hashes[index]!);
    if (
      candidate > score || (candidate === score && hosts[index]! < hosts[best]!)
    ) {
      best = index;
      score = candidate;
    }
  }
  return { host: hosts[best]!, domain, score };
}
