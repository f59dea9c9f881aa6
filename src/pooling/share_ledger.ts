/**
 * Division of every workspace's quota among hosts, as one object that hosts
 * change by conditional update. Shares are in ten-thousandths of the quota;
 * those of one workspace never add up to more than the whole.
 */

import type { HostId, WorkspaceId } from "../core/ids.ts";

/** The whole quota of a workspace. */
export const WHOLE = 10_000;
/** Part of the quota that is handed out evenly before demand is known. */
const EVEN_PART = 0.7;
/** Smallest share that a host asks for, as a part of an even share. */
const FLOOR_PART = 0.25;
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

/** What a host bases its next row on. */
export interface ShareNeed {
  readonly host: HostId;
  readonly hostCount: number;
  /** Share that each workspace's demand at this host needs. */
  readonly demand: ReadonlyMap<WorkspaceId, number>;
}

/** The ledger after this host adjusted its row; undefined to leave it. */
export function tryAdjust(
  ledger: Ledger,
  need: ShareNeed,
): Ledger | undefined {
  const { host, hostCount, demand } = need;
  const row = ledger.shares[host];
  const even = WHOLE / Math.max(1, hostCount);
  const shares: Record<string, number> = {};
  const wants: Record<string, number> = {};
  let isChanged = row === undefined;
  for (const [workspace, needed] of demand) {
    const own = row?.[workspace] ?? 0;
    const floor = Math.ceil(even * (row ? FLOOR_PART : EVEN_PART));
    const wanted = Math.min(WHOLE, Math.max(floor, Math.ceil(needed)));
    const next = getNext(ledger, { host, workspace, own, wanted });
    shares[workspace] = next;
    const unmet = wanted - next;
    if (unmet >= MIN_CHANGE) {
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

/** The ledger without a host that left. */
export function withoutHost(ledger: Ledger, host: string): Ledger {
  const { [host]: _shares, ...shares } = ledger.shares;
  const { [host]: _wants, ...wants } = ledger.wants;
  return { shares, wants };
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
