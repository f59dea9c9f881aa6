/**
 * Division of every workspace's quota among hosts, as one object that hosts
 * change by conditional update. Shares are in ten-thousandths of the quota;
 * those of one workspace never add up to more than the whole.
 */

import { rankNodes } from "../core/hash.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";

/** The whole quota of a workspace. */
export const WHOLE = 10_000;
/** Smallest share that a holder asks for, as a part of an even share. */
const FLOOR_PART = 0.25;
/**
 * Tokens of the burst that a share is worth at least. A quota cut into smaller
 * pieces is of no use to anybody, so small workspaces have few holders and the
 * other hosts borrow.
 */
const MIN_TOKENS = 4;
/** A change smaller than this is not worth a call to the store. */
const MIN_CHANGE = 150;
/** A host keeps this much more than it needs before it gives any back. */
const KEEP_FACTOR = 1.5;

/** Shares or wishes of one host by workspace. */
export type Row = Readonly<Record<string, number>>;

/** The ledger as it lies in the store. */
export interface Ledger {
  readonly shares: Readonly<Record<string, Row>>;
  readonly wants: Readonly<Record<string, Row>>;
}

/** A ledger in which nothing is taken. */
export const EMPTY_LEDGER: Ledger = { shares: {}, wants: {} };

/** Decodes what the store holds; undefined if it is not a ledger. */
export function tryDecodeLedger(value: unknown): Ledger | undefined {
  const ledger = value as Partial<Ledger> | undefined;
  return isTable(ledger?.shares) && isTable(ledger.wants)
    ? { shares: ledger.shares, wants: ledger.wants }
    : undefined;
}

function isTable(value: unknown): value is Readonly<Record<string, Row>> {
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
export interface ShareNeed {
  readonly host: HostId;
  /** Hosts that run, this one included. */
  readonly hosts: readonly HostId[];
  readonly demand: ReadonlyMap<WorkspaceId, Demand>;
}

/** Hosts that hold a part of a workspace's quota whatever their demand is. */
export function listHolders(
  workspace: WorkspaceId,
  given: { readonly hosts: readonly HostId[]; readonly burst: number },
): readonly HostId[] {
  const count = Math.max(1, Math.floor(given.burst / MIN_TOKENS));
  return count >= given.hosts.length
    ? given.hosts
    : rankNodes(workspace, given.hosts).slice(0, count);
}

/** The first ledger: every holder has an even share. */
export function createLedger(
  hosts: readonly HostId[],
  demand: ReadonlyMap<WorkspaceId, Demand>,
): Ledger {
  const shares: Record<string, Record<string, number>> = {};
  hosts.forEach((host) => shares[host] = {});
  for (const [workspace, { burst }] of demand) {
    const holders = listHolders(workspace, { hosts, burst });
    for (const host of holders) {
      shares[host]![workspace] = Math.floor(WHOLE / holders.length);
    }
  }
  return { shares, wants: {} };
}

/** The ledger after this host adjusted its row; undefined to leave it. */
export function tryAdjust(
  ledger: Ledger,
  need: ShareNeed,
): Ledger | undefined {
  const { host, hosts, demand } = need;
  const row = ledger.shares[host];
  const shares: Record<string, number> = {};
  const wants: Record<string, number> = {};
  let isChanged = row === undefined;
  for (const [workspace, given] of demand) {
    const own = row?.[workspace] ?? 0;
    const wanted = getWanted(workspace, { given, host, hosts });
    const next = getNext(ledger, { host, workspace, own, wanted });
    if (next > 0) {
      shares[workspace] = next;
    }
    if (wanted - next >= MIN_CHANGE) {
      wants[workspace] = wanted;
    }
    const wasWanted = ledger.wants[host]?.[workspace] ?? 0;
    isChanged ||= Math.abs(next - own) >= MIN_CHANGE ||
      Math.abs((wants[workspace] ?? 0) - wasWanted) >= 4 * MIN_CHANGE;
  }
  return isChanged
    ? {
      shares: { ...ledger.shares, [host]: shares },
      wants: { ...ledger.wants, [host]: wants },
    }
    : undefined;
}

/** Share that a host asks for; 0 if it would be too small to be of use. */
function getWanted(
  workspace: WorkspaceId,
  options: {
    readonly given: Demand;
    readonly host: HostId;
    readonly hosts: readonly HostId[];
  },
): number {
  const { given, host, hosts } = options;
  const holders = listHolders(workspace, { hosts, burst: given.burst });
  const floor = holders.includes(host)
    ? Math.ceil((WHOLE / holders.length) * FLOOR_PART)
    : 0;
  const needed = Math.min(WHOLE, Math.ceil(given.share));
  const isUseful = needed * given.burst / WHOLE >= MIN_TOKENS;
  return Math.max(floor, isUseful ? needed : 0);
}

function getNext(
  ledger: Ledger,
  given: {
    readonly host: HostId;
    readonly workspace: WorkspaceId;
    readonly own: number;
    readonly wanted: number;
  },
): number {
  const { host, workspace, own, wanted } = given;
  const free = Math.max(0, WHOLE - sumShares(ledger, workspace));
  if (wanted > own) {
    return own + Math.min(free, wanted - own);
  }
  const spare = own - Math.ceil(wanted * KEEP_FACTOR);
  const missing = getMissing(ledger, { host, workspace }) - free;
  return own - Math.max(0, Math.min(spare, missing));
}

/** What other hosts want of a workspace beyond what they have. */
function getMissing(
  ledger: Ledger,
  given: { readonly host: HostId; readonly workspace: WorkspaceId },
): number {
  return Object.entries(ledger.wants)
    .filter(([host]) => host !== given.host)
    .reduce((sum, [host, row]) => {
      const has = ledger.shares[host]?.[given.workspace] ?? 0;
      return sum + Math.max(0, (row[given.workspace] ?? 0) - has);
    }, 0);
}

/** The ledger in which a silent host keeps only its smallest share. */
export function reclaim(
  ledger: Ledger,
  given: { readonly host: string; readonly hostCount: number },
): Ledger {
  const row = ledger.shares[given.host] ?? {};
  const floor = getFloorShare(given.hostCount);
  const kept = Object.fromEntries(
    Object.entries(row).map(([name, share]) => [name, Math.min(share, floor)]),
  );
  return {
    shares: { ...ledger.shares, [given.host]: kept },
    wants: { ...ledger.wants, [given.host]: {} },
  };
}

/** Share that a host may use however long it has been out of touch. */
export function getFloorShare(hostCount: number): number {
  return Math.floor((WHOLE / Math.max(1, hostCount)) * FLOOR_PART);
}
