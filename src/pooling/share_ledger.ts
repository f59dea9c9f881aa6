/**
 * Division of every workspace's quota among hosts, as one object that hosts
 * change by conditional update. Shares are in ten-thousandths of the quota;
 * those of one workspace never add up to more than the whole.
 */

import { rankNodes } from "../core/hash.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";

/** The whole quota of a workspace. */
export const FULL_SHARE = 10_000;
/** Smallest share that a holder asks for, as a part of an even share. */
const MIN_SHARE_FRACTION = 0.25;
/**
 * Tokens of the burst that a share is worth at least. A quota cut into smaller
 * pieces is of no use to anybody, so small workspaces have few holders and the
 * other hosts borrow.
 */
const MIN_SHARE_TOKENS = 4;
/** A change smaller than this is not worth a call to the store. */
const MIN_SHARE_CHANGE = 150;
/** A host keeps this much more than it needs before it gives any back. */
const SURPLUS_FACTOR = 1.5;

/** Shares or wishes of one host by workspace. */
export type ShareRow = Readonly<Record<string, number>>;

/** The ledger as it lies in the store. */
export interface Ledger {
  readonly shares: Readonly<Record<string, ShareRow>>;
  readonly wants: Readonly<Record<string, ShareRow>>;
}

/** A ledger in which nothing is taken. */
export const EMPTY_LEDGER: Ledger = { shares: {}, wants: {} };

/** Decodes what the store holds; undefined if it is not a ledger. */
export function tryDecodeLedger(value: unknown): Ledger | undefined {
  const ledger = value as Partial<Ledger> | undefined;
  return isShareTable(ledger?.shares) && isShareTable(ledger.wants)
    ? { shares: ledger.shares, wants: ledger.wants }
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

/** Sum of the shares of a workspace over all hosts. */
export function sumShares(ledger: Ledger, workspace: WorkspaceId): number {
  return Object.values(ledger.shares)
    .reduce((sum, row) => sum + (row[workspace] ?? 0), 0);
}

/** What a host needs of a workspace. */
export interface Demand {
  /** Share that the operations of the last seconds need. */
  readonly share: number;
  readonly burst: number;
}

/** What a host bases its next row on. */
export interface AdjustmentInput {
  readonly host: HostId;
  /** Hosts that run, this one included. */
  readonly hosts: readonly HostId[];
  readonly demand: ReadonlyMap<WorkspaceId, Demand>;
}

/** Hosts that hold a part of a workspace's quota whatever their demand is. */
export function listHolders(
  workspace: WorkspaceId,
  options: { readonly hosts: readonly HostId[]; readonly burst: number },
): readonly HostId[] {
  const count = Math.max(1, Math.floor(options.burst / MIN_SHARE_TOKENS));
  return count >= options.hosts.length
    ? options.hosts
    : rankNodes(workspace, options.hosts).slice(0, count);
}

/** The first ledger: every holder has an even share. */
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
  return { shares, wants: {} };
}

/** The ledger after this host adjusted its row; undefined to leave it. */
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
    const wantedShare = getWantedShare(workspace, {
      demand: workspaceDemand,
      host,
      hosts,
    });
    const nextShare = getNextShare(ledger, {
      host,
      workspace,
      ownShare: ownShare,
      wantedShare: wantedShare,
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
      shares: { ...ledger.shares, [host]: shares },
      wants: { ...ledger.wants, [host]: wants },
    }
    : undefined;
}

/** Share that a host asks for; 0 if it would be too small to be of use. */
function getWantedShare(
  workspace: WorkspaceId,
  options: {
    readonly demand: Demand;
    readonly host: HostId;
    readonly hosts: readonly HostId[];
  },
): number {
  const { demand: demand, host, hosts } = options;
  const holders = listHolders(workspace, { hosts, burst: demand.burst });
  const minShare = holders.includes(host)
    ? Math.ceil((FULL_SHARE / holders.length) * MIN_SHARE_FRACTION)
    : 0;
  const neededShare = Math.min(FULL_SHARE, Math.ceil(demand.share));
  const isUseful = neededShare * demand.burst / FULL_SHARE >= MIN_SHARE_TOKENS;
  return Math.max(minShare, isUseful ? neededShare : 0);
}

function getNextShare(
  ledger: Ledger,
  options: {
    readonly host: HostId;
    readonly workspace: WorkspaceId;
    readonly ownShare: number;
    readonly wantedShare: number;
  },
): number {
  const { host, workspace, ownShare: ownShare, wantedShare: wantedShare } =
    options;
  const free = Math.max(0, FULL_SHARE - sumShares(ledger, workspace));
  if (wantedShare > ownShare) {
    return ownShare + Math.min(free, wantedShare - ownShare);
  }
  const surplus = ownShare - Math.ceil(wantedShare * SURPLUS_FACTOR);
  const unmetDemand = getUnmetDemand(ledger, { host, workspace }) - free;
  return ownShare - Math.max(0, Math.min(surplus, unmetDemand));
}

/** What other hosts want of a workspace beyond what they have. */
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

/** The ledger in which a silent host keeps only its smallest share. */
export function reclaimShares(
  ledger: Ledger,
  options: { readonly host: string; readonly hostCount: number },
): Ledger {
  const row = ledger.shares[options.host] ?? {};
  const minShare = getMinShare(options.hostCount);
  const kept = Object.fromEntries(
    Object.entries(row).map((
      [name, share],
    ) => [name, Math.min(share, minShare)]),
  );
  return {
    shares: { ...ledger.shares, [options.host]: kept },
    wants: { ...ledger.wants, [options.host]: {} },
  };
}

/** Share that a host may use however long it has been out of touch. */
export function getMinShare(hostCount: number): number {
  return Math.floor((FULL_SHARE / Math.max(1, hostCount)) * MIN_SHARE_FRACTION);
}
