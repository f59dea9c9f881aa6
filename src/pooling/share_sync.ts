/** Synchronizes this host's quota shares with the ledger in the store. */

import { nowMs } from "../core/clock.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";
import { getEra } from "../core/store_era.ts";
import type { Stoppable, StoredObject } from "../core/types.ts";
import type { ClockJumpDetector } from "./clock_jumps.ts";
import { type Fleet, LEDGER_KEY } from "./fleet.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import type { Quotas } from "./quotas.ts";
import {
  createInitialLedger,
  type Demand,
  EMPTY_LEDGER,
  FULL_SHARE,
  getIsolatedShare,
  getMinShare,
  type Ledger,
  listReclaimable,
  reclaimShares,
  removeRows,
  type ShareRow,
  sumShares,
  tryAdjustRow,
  tryCreateOwnersLedger,
  tryDecodeLedger,
} from "./share_ledger.ts";
import type { PoolIo } from "./types.ts";

/**
 * Interval between two adjustments by one host of a small fleet. The ledger
 * grows with the number of hosts and every host receives every change, so the
 * interval grows with the square of the fleet size: the bytes that all hosts
 * receive together then grow linearly.
 */
const ADJUST_INTERVAL_MS = 2_000;
/** Interval between two adjustments until this host has a row. */
const INITIAL_ADJUST_INTERVAL_MS = 250;
/**
 * Longest delay of an adjustment that answers a change of the ledger, in a
 * small fleet; random, so that few hosts conflict.
 */
const MAX_REACTION_DELAY_MS = 200;
/** Interval of the checks for shares to reclaim, in a small fleet. */
const RECLAIM_CHECK_INTERVAL_MS = 200;
/** Probability that a host reclaims at one check what others see as well. */
const RECLAIM_PROBABILITY = 0.5;
/** Time that hosts have to register after this host first listed the fleet. */
const REGISTRATION_WAIT_MS = 1_500;

/** Shortage of a share below which a workspace is not short. */
const MIN_SHORTAGE = 500;

/** An update of this host's row whose outcome is not known yet. */
interface PendingUpdate {
  readonly row: ShareRow;
  /** Ledger version that the update requires; on a newer one it fails. */
  readonly version: number;
}

/** Returns the interval between two adjustments by one host. */
export function getAdjustIntervalMs(hostCount: number): number {
  return ADJUST_INTERVAL_MS * getIntervalFactor(hostCount) ** 2;
}

/** Synchronizes shares with the ledger. */
export interface ShareSync extends Stoppable {
  start(): void;
  /** Whether the ledger has a row for this host. */
  isReady(): boolean;
  /** Reduces the shares in use if they are not confirmed in time. */
  checkOwnLease(): void;
  /** As `checkOwnLease`, and reclaims shares of expired hosts. */
  checkLeases(): void;
  /** Whether the quotas have owners; undefined if it is not known yet. */
  tryIsOwned(): boolean | undefined;
  /** Returns a host's share of a workspace in the last known ledger. */
  getShare(host: HostId, workspace: WorkspaceId): number;
}

/** Creates a synchronizer that adjusts this host's shares to its demand. */
export function createShareSync(
  io: PoolIo,
  options: {
    readonly self: HostId;
    readonly fleet: Fleet;
    readonly quotas: Quotas;
    readonly clockJumps: ClockJumpDetector;
  },
): ShareSync {
  const { self, fleet, quotas, clockJumps } = options;
  let timer: NodeJS.Timeout | undefined;
  let initialTimer: NodeJS.Timeout | undefined;
  let pendingUpdates: PendingUpdate[] = [];
  let reactionTimer: NodeJS.Timeout | undefined;
  let isBusy = false;
  let isStopped = false;
  let listedAt: number | undefined;
  let hasBeenInContact = false;
  /**
   * False from the expiry of this host's heartbeat until its row has been read
   * from the store again.
   */
  let isConfirmed = true;
  let lastLedger: {
    readonly object: StoredObject | undefined;
    readonly ledger: Ledger;
  } = { object: undefined, ledger: EMPTY_LEDGER };
  /** Shares that this host uses. */
  const usedShares = new Map<WorkspaceId, number>();
  /**
   * Shares that were in use when the ledger of an older era was seen; undefined
   * while the ledger is of the current era.
   */
  let shareLimits: ReadonlyMap<WorkspaceId, number> | undefined;
  let limitedAt = -Infinity;
  /** Workspaces without enough shares at the last adjustment. */
  let shortWorkspaces: readonly WorkspaceId[] = [];
  let wasExpired = true;
  let reclaimCheckedAt = -Infinity;

  function getStoredVersion(): number {
    return fleet.tryGet(LEDGER_KEY)?.version ?? 0;
  }

  /** Returns the last ledger read, also if the store has lost it since. */
  function getLedger(): Ledger {
    const object = fleet.tryGet(LEDGER_KEY);
    if (object && object !== lastLedger.object) {
      const ledger = tryDecodeLedger(object.value);
      if (!ledger) {
        io.log.info("ledger_not_readable", { version: object.version });
      }
      lastLedger = { object, ledger: ledger ?? EMPTY_LEDGER };
    }
    return lastLedger.ledger;
  }

  /** Whether the store, as far as this host knows, once had a ledger. */
  function isLedgerKnown(): boolean {
    getLedger();
    return lastLedger.object !== undefined;
  }

  /**
   * Whether no host can use a share of an older era any more. A ledger of an
   * older era was restored, and shares that moved since may be in use where
   * they moved to.
   */
  function isLedgerCurrent(): boolean {
    return !isLedgerKnown() || getLedger().era === getEra(io.store);
  }

  function isOwned(): boolean {
    return getLedger().allocation === "owners";
  }

  function limitShares(): void {
    shareLimits = new Map(usedShares);
    limitedAt = nowMs();
    io.log.info("shares_limited", {
      era: getEra(io.store),
      ledgerEra: getLedger().era,
      sum: [...usedShares.values()].reduce((sum, share) => sum + share, 0),
    });
  }

  /** Limits shares, or ends their limit, by the era of the ledger. */
  function updateShareLimits(): void {
    if (!isLedgerCurrent()) {
      if (!shareLimits) {
        limitShares();
      }
    } else if (shareLimits) {
      shareLimits = undefined;
      io.log.info("shares_unlimited", { era: getEra(io.store) });
    }
  }

  /**
   * Applies the smallest of the stored share and those of pending updates, and
   * only a part of it while the stored row is not confirmed. While the ledger
   * is of an older era, no share grows.
   */
  function applyShares(): void {
    if (isOwned()) {
      return;
    }
    const version = getStoredVersion();
    pendingUpdates = pendingUpdates.filter((update) =>
      update.version >= version
    );
    updateShareLimits();
    const ledger = getLedger();
    const row = ledger.shares[self] ?? {};
    const isExpired = fleet.isOwnHeartbeatExpired();
    hasBeenInContact ||= !isExpired;
    isConfirmed &&= !(isExpired && hasBeenInContact);
    const isUsable = isConfirmed && !isExpired;
    const hostCount = fleet.countHosts();
    const minShare = getMinShare(hostCount);
    // A row that an update may have replaced can be reclaimed once more.
    const isReduced = ledger.reclaimed.includes(self) &&
      pendingUpdates.length === 0;
    for (const workspace of quotas.listDemand().keys()) {
      const shares = [
        row[workspace] ?? 0,
        ...pendingUpdates.map((update) => update.row[workspace] ?? 0),
      ];
      const limit = shareLimits
        ? shareLimits.get(workspace) ?? minShare
        : Infinity;
      const granted = Math.min(...shares);
      const share = Math.min(
        limit,
        isUsable || isReduced ? granted : getIsolatedShare(granted, hostCount),
      );
      usedShares.set(workspace, share);
      quotas.setShare(workspace, share);
    }
  }

  /** Notes which workspaces are short, and logs a change of their number. */
  function updateShortage(
    ledger: Ledger,
    demand: ReadonlyMap<WorkspaceId, Demand>,
  ): void {
    const row = ledger.shares[self] ?? {};
    const previousCount = shortWorkspaces.length;
    shortWorkspaces = [...demand].filter(([workspace, { share }]) =>
      share > (row[workspace] ?? 0) + MIN_SHORTAGE
    ).map(([workspace]) => workspace);
    if (shortWorkspaces.length === previousCount) {
      return;
    }
    const sumOf = (hosts: readonly string[]) =>
      hosts.flatMap((host) =>
        shortWorkspaces.map((workspace) =>
          ledger.shares[host]?.[workspace] ?? 0
        )
      ).reduce((sum, share) => sum + share, 0);
    const others = Object.keys(ledger.shares).filter((host) => host !== self);
    io.log.info("shares_short", {
      workspaces: shortWorkspaces.length,
      own: sumOf([self]),
      others: sumOf(others),
      expired: sumOf(fleet.listExpiredHosts()),
      holders: others.length,
    });
  }

  /** Takes shares soon that others have given up and this host needs. */
  function takeFreeShares(): void {
    const ledger = getLedger();
    const isFree = shortWorkspaces.some((workspace) =>
      FULL_SHARE - sumShares(ledger, workspace) >= MIN_SHORTAGE
    );
    if (isFree && reactionTimer === undefined && !isStopped) {
      reactionTimer = setTimeout(
        () => {
          reactionTimer = undefined;
          void syncShares();
        },
        MAX_REACTION_DELAY_MS * getIntervalFactor(fleet.countHosts()) *
          io.random(),
      );
    }
  }

  async function putLedger(next: Ledger): Promise<void> {
    const version = getStoredVersion();
    const row = next.shares[self] ?? {};
    pendingUpdates.push({ row, version });
    applyShares();
    const put = await io.store.put(LEDGER_KEY, next, { ifVersion: version });
    if (put.isOk()) {
      fleet.applyObject(put.value);
      logRow(row);
    } else if (put.error.kind === "conflict") {
      fleet.applyObject(put.error.current);
    }
    applyShares();
  }

  function logRow(row: ShareRow): void {
    io.log.info("shares_changed", {
      version: getStoredVersion(),
      hosts: fleet.countHosts(),
      sum: Object.values(row).reduce((sum, share) => sum + share, 0),
    });
  }

  /** Reads this host's row from the store again. */
  async function confirmRow(): Promise<void> {
    const stored = await io.store.get(LEDGER_KEY);
    if (stored.isOk()) {
      fleet.applyObject(stored.value);
      isConfirmed = true;
    }
  }

  async function syncShares(): Promise<void> {
    if (isBusy || !fleet.isLoaded()) {
      return;
    }
    isBusy = true;
    try {
      if (!isConfirmed && !fleet.isOwnHeartbeatExpired()) {
        await confirmRow();
      }
      applyShares();
      await adjustShares();
    } finally {
      isBusy = false;
    }
  }

  function listHosts(): readonly HostId[] {
    return [self, ...fleet.listPeers()].sort();
  }

  /** Lists the hosts whose shares this host may reclaim. */
  function listUnusedRows(ledger: Ledger) {
    const left = fleet.listLeftHosts().filter((host) => ledger.shares[host]);
    const expired = listReclaimable(
      ledger,
      fleet.listExpiredHosts().filter((host) => !left.includes(host)),
    );
    return { left, expired };
  }

  async function reclaimUnusedRows(era: number): Promise<void> {
    const ledger = getLedger();
    const { left, expired } = listUnusedRows(ledger);
    if (left.length + expired.length === 0) {
      return;
    }
    io.log.info("shares_reclaimed", {
      expired: expired.join(),
      left: left.join(),
    });
    const reduced = reclaimShares(ledger, {
      hosts: expired,
      // An expired host may have had a larger share in a lost ledger, of which
      // it uses no more than the minimum.
      minShare: fleet.hasStoreReturned() ? getMinShare(listHosts().length) : 0,
    });
    await putLedger({ ...removeRows(reduced, left), era });
  }

  async function adjustShares(): Promise<void> {
    listedAt ??= nowMs();
    const ledger = getLedger();
    if (isOwned() && getStoredVersion() > 0) {
      return;
    }
    const owned = isLedgerKnown()
      ? undefined
      : tryCreateOwnersLedger(quotas.listDemand().size);
    if (owned) {
      await putLedger({ ...owned, era: getEra(io.store) });
      return;
    }
    const hasRow = ledger.shares[self] !== undefined;
    if (!hasRow && nowMs() - listedAt < REGISTRATION_WAIT_MS) {
      return;
    }
    if (isLedgerKnown() && getStoredVersion() === 0) {
      // Its shares are in use, so a new one would grant them again.
      io.log.info("ledger_written_back", { era: ledger.era });
      await putLedger(ledger);
      return;
    }
    const era = getEra(io.store);
    if (
      !isLedgerCurrent() && nowMs() - limitedAt <= fleet.getOwnTimeoutMs()
    ) {
      if (!hasRow) {
        // A row without shares makes this host ready to borrow.
        const shares = { ...ledger.shares, [self]: {} };
        await putLedger({ ...ledger, shares });
      }
      return;
    }
    const unused = listUnusedRows(ledger);
    if (unused.expired.length + unused.left.length > 0) {
      const isFresh = await fleet.refreshHosts([
        ...unused.expired,
        ...unused.left,
      ]);
      if (isFresh) {
        await reclaimUnusedRows(era);
      }
      return;
    }
    const hosts = listHosts();
    const demand = quotas.listDemand();
    if (demand.size === 0) {
      return;
    }
    if (getStoredVersion() === 0) {
      // Another host may use shares of a ledger that the store has lost.
      const initial = createInitialLedger(hosts, demand);
      await putLedger(
        fleet.hasStoreReturned() ? initial : { ...initial, era },
      );
      return;
    }
    updateShortage(ledger, demand);
    const next = tryAdjustRow(ledger, { host: self, hosts, demand });
    if (next || ledger.era !== era) {
      await putLedger({ ...(next ?? ledger), era });
    }
  }

  function checkOwnLease(): void {
    if (isOwned()) {
      return;
    }
    const isExpired = fleet.isOwnHeartbeatExpired();
    if (isExpired !== wasExpired) {
      wasExpired = isExpired;
      applyShares();
      void syncShares();
    }
  }

  return {
    start() {
      fleet.onChange((key) => {
        if (key === LEDGER_KEY) {
          applyShares();
          takeFreeShares();
          if (fleet.isLoaded() && getStoredVersion() === 0) {
            void syncShares();
          }
        }
      });
      io.store.eras?.onRise(() => {
        // Each return may restore a row that is larger than the share in use.
        io.metrics.add("store_era_losses_total", pendingUpdates.length, {
          kind: "share_update",
        });
        pendingUpdates = [];
        if (isLedgerKnown() && !isOwned()) {
          limitShares();
        }
        applyShares();
      });
      clockJumps.onJump((driftMs) => {
        fleet.recordSuspension(driftMs);
        applyShares();
      });
      const schedule = () => {
        if (isStopped) {
          return;
        }
        timer = setTimeout(
          () => void syncShares().finally(schedule),
          getAdjustIntervalMs(fleet.countHosts()) * (0.75 + io.random() / 2),
        );
      };
      schedule();
      initialTimer = setInterval(() => {
        if (getLedger().shares[self] || isOwned()) {
          clearInterval(initialTimer);
        }
        void syncShares();
      }, INITIAL_ADJUST_INTERVAL_MS * (0.5 + io.random()));
    },
    tryIsOwned: () => isLedgerKnown() ? isOwned() : undefined,
    getShare: (host, workspace) => getLedger().shares[host]?.[workspace] ?? 0,
    checkOwnLease,
    checkLeases() {
      checkOwnLease();
      const intervalMs = RECLAIM_CHECK_INTERVAL_MS *
        getIntervalFactor(fleet.countHosts());
      if (nowMs() - reclaimCheckedAt < intervalMs) {
        return;
      }
      reclaimCheckedAt = nowMs();
      if (isOwned()) {
        return;
      }
      const { left, expired } = listUnusedRows(getLedger());
      if (
        left.length + expired.length > 0 && io.random() < RECLAIM_PROBABILITY
      ) {
        void syncShares();
      }
    },
    isReady: () => getLedger().shares[self] !== undefined,
    stop() {
      isStopped = true;
      clearTimeout(timer);
      clearTimeout(reactionTimer);
      clearInterval(initialTimer);
    },
  };
}
