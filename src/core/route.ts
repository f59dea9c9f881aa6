/** Rendezvous hashing: finds the group of a workspace and its pool hosts. */

import { hash32, rankNodes, scoreHashes } from "./hash.ts";
import type { DomainId, GroupId, HostId, WorkspaceId } from "./ids.ts";
import type { GroupInfo, PeerInfo } from "./types.ts";

/** Returns the group that stores the rows of a workspace. */
export function tryGroupFor(
  workspace: WorkspaceId,
  groups: readonly GroupInfo[],
): GroupInfo | undefined {
  const byId = new Map(groups.map((group) => [group.group, group]));
  const first = rankNodes(workspace, [...byId.keys()])[0];
  return first && byId.get(first);
}

/** Hosts of one failure domain with the hashes of their ids. */
export interface HashedDomain {
  readonly domain: DomainId;
  readonly hosts: readonly HostId[];
  readonly hashes: readonly number[];
}

/** Groups hosts by domain and hashes their ids once, for many rankings. */
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

/** Host with its rendezvous score for a key. */
export interface ScoredHost {
  readonly host: HostId;
  readonly domain: DomainId;
  readonly score: number;
}

function compareByScore(a: ScoredHost, b: ScoredHost): number {
  return b.score - a.score || (a.host < b.host ? -1 : 1);
}

/**
 * Lists the pool hosts of a group by descending score. They are in distinct
 * failure domains if there are enough domains.
 */
export function listPoolHosts(
  group: GroupId,
  options: { readonly alive: readonly PeerInfo[]; readonly count: number },
): HostId[] {
  const { alive, count } = options;
  return choosePoolHosts(hash32(group), { domains: hashPeers(alive), count })
    .map((scored) => scored.host);
}

/** Chooses pool hosts as `listPoolHosts` does, from precomputed hashes. */
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

/** Returns all hosts with their scores, in descending order. */
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
