/**
 * Division of all workspace quotas among hosts, stored as one object that hosts
 * change by conditional updates. Shares are in ten-thousandths of the quota;
 * the shares of one workspace never add up to more than the full quota.
 */

import { rankNodes } from "../core/hash.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";

/** Share that stands for the full quota of a workspace. */
export const FULL_SHARE = 10_000;
/** Minimum share of a holder as a fraction of an even share. */
const MIN_SHARE_FRACTION = 0.25;
/**
 * Fraction of its share that a host may use while it is isolated. Peers that
 * reclaim the rest leave as much, whatever hosts each of them knows.
 */
const ISOLATED_FRACTION = 0.25;
/**
 * Minimum part of the burst, in tokens, that a share must represent. Smaller
 * shares are of no use, so small workspaces have few holders and the other
 * hosts borrow tokens.
 */
const MIN_SHARE_TOKENS = 4;
/** Smallest change of a share that justifies a write to the store. */
const MIN_SHARE_CHANGE = 150;
/**
 * Multiple of the wanted share that a host keeps before it returns a surplus.
 */
const SURPLUS_FACTOR = 1.5;

/** Shares that one host holds or wants, by workspace. */
export type ShareRow = Readonly<Record<string, number>>;

/** The ledger in its stored form, by host. */
export interface Ledger {
  readonly shares: Readonly<Record<string, ShareRow>>;
  readonly wants: Readonly<Record<string, ShareRow>>;
  /**
   * Hosts whose rows peers have reduced to what an isolated host may use, until
   * the host changes its row itself.
   */
  readonly reclaimed: readonly string[];
  /** Era of the store in which shares were last granted; 0 if it has none. */
  readonly era: number;
  /**
   * `owners` if the quotas have owners instead of shares. Decided when the
   * ledger is created, and kept, so that all hosts agree.
   */
  readonly allocation?: "owners";
}

/** Number of workspaces from which a new ledger says `owners`. */
const MIN_OWNERS_WORKSPACES = 24;

/** Creates the ledger of a new deployment if its quotas get owners. */
export function tryCreateOwnersLedger(
  workspaceCount: number,
): Ledger | undefined {
  return workspaceCount >= MIN_OWNERS_WORKSPACES
    ? { ...EMPTY_LEDGER, allocation: "owners" }
    : undefined;
}

/** A ledger without any shares. */
export const EMPTY_LEDGER: Ledger = {
  shares: {},
  wants: {},
  reclaimed: [],
  era: 0,
};

/** Decodes a stored value; returns undefined if it is not a ledger. */
export function tryDecodeLedger(value: unknown): Ledger | undefined {
  const ledger = value as Partial<Ledger> | undefined;
  return isShareTable(ledger?.shares) && isShareTable(ledger.wants)
    ? {
      shares: ledger.shares,
      wants: ledger.wants,
      reclaimed: Array.isArray(ledger.reclaimed)
        ? ledger.reclaimed.filter((host) => typeof host === "string")
        : [],
      era: typeof ledger.era === "number" ? ledger.era : 0,
      ...(ledger.allocation === "owners" ? { allocation: "owners" } : {}),
    }
    : undefined;
}

function isShareTable(
  value: unknown,
): value is Readonly<Record<string, ShareRow>> {
  return typeof value === "object" && value !== null &&
    Object.values(value).every((row) =>
      typeof row === "object" && row !== null &&
      Object.values(row).every((share) =>
        typeof share === "number" && share >= 0
      )
    );
}

/** Returns the sum of all hosts' shares of a workspace. */
export function sumShares(ledger: Ledger, workspace: WorkspaceId): number {
  return Object.values(ledger.shares)
    .reduce((sum, row) => sum + (row[workspace] ?? 0), 0);
}

/** Demand for a workspace's quota on one host. */
export interface Demand {
  /** Share that recent operations need. */
  readonly share: number;
  readonly burst: number;
}

/** Inputs from which a host computes its next row. */
export interface AdjustmentInput {
  readonly host: HostId;
  /** All running hosts, including this one. */
  readonly hosts: readonly HostId[];
  readonly demand: ReadonlyMap<WorkspaceId, Demand>;
}

/** Lists the hosts that hold a share of a quota regardless of their demand. */
export function listHolders(
  workspace: WorkspaceId,
  options: { readonly hosts: readonly HostId[]; readonly burst: number },
): readonly HostId[] {
  const count = Math.max(1, Math.floor(options.burst / MIN_SHARE_TOKENS));
  return count >= options.hosts.length
    ? options.hosts
    : rankNodes(workspace, options.hosts).slice(0, count);
}

/** Creates the initial ledger, in which every holder has an even share. */
export function createInitialLedger(
  hosts: readonly HostId[],
  demand: ReadonlyMap<WorkspaceId, Demand>,
): Ledger {
  const shares: Record<string, Record<string, number>> = {};
  hosts.forEach((host) => shares[host] = {});
  for (const [workspace, { burst }] of demand) {
    const holders = listHolders(workspace, { hosts, burst });
    for (const host of holders) {
      shares[host]![workspace] = Math.floor(FULL_SHARE / holders.length);
    }
  }
  return { ...EMPTY_LEDGER, shares };
}

/** Returns the ledger with this host's row adjusted; undefined if unchanged. */
export function tryAdjustRow(
  ledger: Ledger,
  input: AdjustmentInput,
): Ledger | undefined {
  const { host, hosts, demand } = input;
  const row = ledger.shares[host];
  const shares: Record<string, number> = {};
  const wants: Record<string, number> = {};
  let isChanged = row === undefined;
  for (const [workspace, workspaceDemand] of demand) {
    const ownShare = row?.[workspace] ?? 0;
    const { burst } = workspaceDemand;
    const holders = listHolders(workspace, { hosts, burst });
    const evenShare = holders.includes(host)
      ? Math.floor(FULL_SHARE / holders.length)
      : 0;
    const wantedShare = getWantedShare(workspaceDemand, evenShare);
    const nextShare = getNextShare(ledger, {
      host,
      workspace,
      ownShare,
      wantedShare,
      evenShare,
    });
    if (nextShare > 0) {
      shares[workspace] = nextShare;
    }
    if (wantedShare - nextShare >= MIN_SHARE_CHANGE) {
      wants[workspace] = wantedShare;
    }
    const previousWant = ledger.wants[host]?.[workspace] ?? 0;
    isChanged ||= Math.abs(nextShare - ownShare) >= MIN_SHARE_CHANGE ||
      Math.abs((wants[workspace] ?? 0) - previousWant) >= 4 * MIN_SHARE_CHANGE;
  }
  return isChanged
    ? {
      ...ledger,
      shares: { ...ledger.shares, [host]: shares },
      wants: { ...ledger.wants, [host]: wants },
      reclaimed: ledger.reclaimed.filter((name) => name !== host),
    }
    : undefined;
}

/** Returns the share that a host wants; 0 if it would be too small to use. */
function getWantedShare(demand: Demand, evenShare: number): number {
  const minShare = Math.ceil(evenShare * MIN_SHARE_FRACTION);
  const neededShare = Math.min(FULL_SHARE, Math.ceil(demand.share));
  const isUseful = neededShare * demand.burst / FULL_SHARE >= MIN_SHARE_TOKENS;
  return Math.max(minShare, isUseful ? neededShare : 0);
}

/**
 * Returns the host's next share. It grows into the free share, up to an even
 * one also without demand, or shrinks by a surplus that other hosts need.
 */
function getNextShare(
  ledger: Ledger,
  options: {
    readonly host: HostId;
    readonly workspace: WorkspaceId;
    readonly ownShare: number;
    readonly wantedShare: number;
    /** Share of a holder if all have the same; 0 if this host is none. */
    readonly evenShare: number;
  },
): number {
  const { host, workspace, ownShare, wantedShare, evenShare } = options;
  const freeShare = Math.max(0, FULL_SHARE - sumShares(ledger, workspace));
  const unmetDemand = getUnmetDemand(ledger, { host, workspace });
  const idleShare = Math.max(0, freeShare - unmetDemand);
  if (wantedShare > ownShare) {
    const nextShare = ownShare + Math.min(freeShare, wantedShare - ownShare);
    const idleLeft = idleShare - (nextShare - ownShare);
    return Math.max(
      nextShare,
      Math.min(evenShare, nextShare + Math.max(0, idleLeft)),
    );
  }
  const surplus = ownShare - Math.ceil(wantedShare * SURPLUS_FACTOR);
  const missingShare = unmetDemand - freeShare;
  return missingShare > 0
    ? ownShare - Math.max(0, Math.min(surplus, missingShare))
    : Math.max(ownShare, Math.min(evenShare, ownShare + idleShare));
}

/** Returns the total share that other hosts want beyond what they hold. */
function getUnmetDemand(
  ledger: Ledger,
  options: { readonly host: HostId; readonly workspace: WorkspaceId },
): number {
  return Object.entries(ledger.wants)
    .filter(([host]) => host !== options.host)
    .reduce((sum, [host, row]) => {
      const heldShare = ledger.shares[host]?.[options.workspace] ?? 0;
      return sum + Math.max(0, (row[options.workspace] ?? 0) - heldShare);
    }, 0);
}

/** Lists the expired hosts with shares that peers have not reclaimed yet. */
export function listReclaimable(
  ledger: Ledger,
  expired: readonly HostId[],
): readonly HostId[] {
  return expired.filter((host) =>
    !ledger.reclaimed.includes(host) &&
    Object.values(ledger.shares[host] ?? {}).some((share) => share > 0)
  );
}

/**
 * Returns the ledger with the rows of expired hosts reduced to what these may
 * use, but not below `minShare`.
 */
export function reclaimShares(
  ledger: Ledger,
  options: { readonly hosts: readonly HostId[]; readonly minShare: number },
): Ledger {
  const { hosts, minShare } = options;
  const shares: Record<string, ShareRow> = { ...ledger.shares };
  const wants: Record<string, ShareRow> = { ...ledger.wants };
  for (const host of hosts) {
    shares[host] = Object.fromEntries(
      Object.entries(shares[host] ?? {})
        .map(([workspace, share]) => [
          workspace,
          Math.min(share, Math.max(toIsolatedShare(share), minShare)),
        ]),
    );
    wants[host] = {};
  }
  return {
    ...ledger,
    shares,
    wants,
    reclaimed: [...ledger.reclaimed, ...hosts],
  };
}

/** Returns the ledger without the rows of hosts that have ended. */
export function removeRows(
  ledger: Ledger,
  hosts: readonly HostId[],
): Ledger {
  const removed = new Set<string>(hosts);
  const withoutRemoved = (table: Ledger["shares"]) =>
    Object.fromEntries(
      Object.entries(table).filter(([host]) => !removed.has(host)),
    );
  return {
    ...ledger,
    shares: withoutRemoved(ledger.shares),
    wants: withoutRemoved(ledger.wants),
    reclaimed: ledger.reclaimed.filter((host) => !removed.has(host)),
  };
}

/** Returns how much of its share a host may use while it is isolated. */
export function getIsolatedShare(share: number, hostCount: number): number {
  return Math.min(toIsolatedShare(share), getMinShare(hostCount));
}

function toIsolatedShare(share: number): number {
  return Math.floor(share * ISOLATED_FRACTION);
}

/** Returns the minimum share of a holder in a fleet of this size. */
export function getMinShare(hostCount: number): number {
  return Math.floor((FULL_SHARE / Math.max(1, hostCount)) * MIN_SHARE_FRACTION);
}
