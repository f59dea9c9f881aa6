/**
 * Placement of connections: a few hosts near each target hold the connections
 * to it, and all other hosts forward to them. Each workspace has its own order
 * of these hosts, so its statements meet on the same connections. Pattern:
 * rendezvous hashing, with a bounded number of holders for each target.
 */

import { hash32, rankNodes } from "../core/hash.ts";
import type {
  DomainId,
  HostId,
  ServiceId,
  TargetId,
  WorkspaceId,
} from "../core/ids.ts";
import { type HashedDomain, hashPeers, rankAll } from "../core/route.ts";
import type { PeerInfo } from "../core/types.ts";
import type { ConnectionAllowance, TargetRecord, Topology } from "./types.ts";

/** Maximum number of hosts that hold connections to one target. */
export const HOLDERS_PER_TARGET = 3;
/**
 * Hosts after the holders that are asked when no holder is reachable; they use
 * the connections that are kept free for them.
 */
const SPARES_PER_TARGET = 2;
/**
 * Fraction of the connection limit that is left to hosts which are not holders:
 * for status requests, failover and as a substitute for unreachable holders.
 */
const RESERVED_FRACTION = 0.1;
/**
 * Fraction of a holder's connections that stay open while they are idle. A
 * target keeps the connections of a host that lost power for some seconds; until
 * then the restarted host can only open the remaining ones. Other holders serve
 * its workspaces meanwhile, if there are any.
 */
const IDLE_KEEP_FRACTION = 0.75;
const SOLE_HOLDER_IDLE_KEEP_FRACTION = 0.4;

/** Assignment of connections to hosts. */
export interface Holders {
  /**
   * Lists the hosts to ask for a connection of the workspace, best first; this
   * host may be among them.
   */
  list(
    target: TargetRecord,
    workspace: WorkspaceId | undefined,
  ): readonly HostId[];
  /** Whether this host is one of the target's holders. */
  isHolder(target: TargetRecord): boolean;
  /**
   * Returns this host's part of the target's slots, rounded up; undefined where
   * they are not scheduled: where hosts use connections of their own, where
   * this host is not a holder, where the slots are no fewer than the connections
   * that the holders may have, and where the settings do not ask for it.
   */
  tryGetSlotBudget(target: TargetRecord): number | undefined;
  /** Returns this host's part of the target's connection limit. */
  getAllowance(target: TargetRecord): ConnectionAllowance;
}

interface TargetHolders {
  readonly holders: readonly HostId[];
  readonly spares: readonly HostId[];
}

/** Creates the placement over the hosts that `listHosts` returns. */
export function createHolders(options: {
  readonly self: HostId;
  readonly topology: Topology;
  /** Lists all running hosts; the same array until it changes. */
  listHosts(): readonly PeerInfo[];
  /** Number of hosts that may have connections, also those that are stopping. */
  countConnectedHosts(): number;
  countWorkspaces(): number;
  /** Connection limit of each target of a service, for all hosts together. */
  getMaxConnections(service: ServiceId): number;
  /** Whether the slots of targets are scheduled; no by default. */
  isScheduled?(): boolean;
}): Holders {
  const { self, topology } = options;
  let hosts: readonly PeerInfo[] = [];
  let domains: readonly HashedDomain[] = [];
  const byTarget = new Map<TargetId, TargetHolders>();
  const byPair = new Map<string, readonly HostId[]>();

  function refresh(): void {
    const current = options.listHosts();
    if (current !== hosts) {
      hosts = current;
      domains = hashPeers(current);
      byTarget.clear();
      byPair.clear();
    }
  }

  /** Returns the nearest domains that have hosts. */
  function listNearestDomains(domain: DomainId): readonly HashedDomain[] {
    const region = topology.regions.get(domain);
    const same = domains.filter((d) => d.domain === domain);
    const near = domains.filter((d) =>
      topology.regions.get(d.domain) === region
    );
    return [same, near].find((list) => list.length > 0) ?? domains;
  }

  function getTargetHolders(target: TargetRecord): TargetHolders {
    refresh();
    const known = byTarget.get(target.id);
    if (known) {
      return known;
    }
    const ranked = rankAll(
      hash32(target.id),
      listNearestDomains(target.domain),
    ).map(({ host }) => host);
    const chosen = {
      holders: ranked.slice(0, HOLDERS_PER_TARGET),
      spares: ranked.slice(
        HOLDERS_PER_TARGET,
        HOLDERS_PER_TARGET + SPARES_PER_TARGET,
      ),
    };
    byTarget.set(target.id, chosen);
    return chosen;
  }

  /**
   * Returns how many connections each host may have if every host is a holder;
   * undefined if a host then could not keep one for each workspace.
   */
  function tryDirectCap({ service }: TargetRecord): number | undefined {
    const cap = Math.floor(
      options.getMaxConnections(service) / options.countConnectedHosts(),
    );
    return cap > 0 && cap >= options.countWorkspaces() ? cap : undefined;
  }

  const isHolder = (target: TargetRecord) =>
    getTargetHolders(target).holders.includes(self);

  /** Returns how many connections each holder may have. */
  function getHolderCap(target: TargetRecord): number {
    const maxConnections = options.getMaxConnections(target.service);
    const { holders } = getTargetHolders(target);
    return Math.max(
      1,
      Math.floor((maxConnections - getReserved(target)) / holders.length),
    );
  }

  /** Returns how many connections are left to hosts that are not holders. */
  function getReserved(target: TargetRecord): number {
    const { holders } = getTargetHolders(target);
    const maxConnections = options.getMaxConnections(target.service);
    return hosts.length === holders.length
      ? 0
      : Math.max(1, maxConnections * RESERVED_FRACTION);
  }

  return {
    list(target, workspace) {
      if (tryDirectCap(target) !== undefined) {
        return [self];
      }
      const { holders, spares } = getTargetHolders(target);
      const key = `${target.id} ${workspace ?? ""}`;
      const ranked = byPair.get(key) ?? [...rankNodes(key, holders), ...spares];
      byPair.set(key, ranked);
      return ranked;
    },
    isHolder,
    tryGetSlotBudget(target) {
      if (
        options.isScheduled?.() !== true ||
        tryDirectCap(target) !== undefined || !isHolder(target)
      ) {
        return undefined;
      }
      const { slots } = target;
      const { holders } = getTargetHolders(target);
      return slots < getHolderCap(target) * holders.length
        ? Math.max(1, Math.ceil(slots / holders.length))
        : undefined;
    },
    getAllowance(target) {
      const directCap = tryDirectCap(target);
      if (directCap !== undefined) {
        const idleCap = Math.floor(directCap * SOLE_HOLDER_IDLE_KEEP_FRACTION);
        return { cap: directCap, idleCap: Math.max(1, idleCap) };
      }
      const { holders } = getTargetHolders(target);
      const otherCount = hosts.length - holders.length;
      if (!holders.includes(self)) {
        const share = Math.floor(
          getReserved(target) / Math.max(1, otherCount),
        );
        return { cap: Math.max(1, share), idleCap: 0 };
      }
      const cap = getHolderCap(target);
      const keepFraction = holders.length > 1
        ? IDLE_KEEP_FRACTION
        : SOLE_HOLDER_IDLE_KEEP_FRACTION;
      return { cap, idleCap: Math.max(1, Math.floor(cap * keepFraction)) };
    },
  };
}
