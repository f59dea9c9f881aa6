/** Finds the database group of a request and the hosts that pool for it. */

import { rankNodes } from "./hash.ts";
import type { GroupId, HostId, WorkspaceId } from "./ids.ts";
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

/**
 * The hosts that keep connections to a group, best first. They are in distinct
 * failure domains as far as there are enough of them.
 */
export function listPoolHosts(
  group: GroupId,
  options: { readonly alive: readonly PeerInfo[]; readonly count: number },
): HostId[] {
  const { alive, count } = options;
  const domains = new Map(alive.map((peer) => [peer.host, peer.domain]));
  const ranked = rankNodes(group, [...domains.keys()]);
  const seen = new Set<string>();
  const first: HostId[] = [];
  const rest: HostId[] = [];
  for (const host of ranked) {
    const domain = domains.get(host)!;
    (seen.has(domain) ? rest : first).push(host);
    seen.add(domain);
  }
  return [...first, ...rest].slice(0, count);
}
