/** Keeps this host's shares of the quotas in step with the ledger. */

import { nowMs } from "../core/clock.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";
import type { Stoppable, StoredObject } from "../core/types.ts";
import type { ClockJumpDetector } from "./clock_guard.ts";
import { type Fleet, LEDGER_KEY } from "./fleet.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import type { Quotas } from "./quotas.ts";
import {
  createInitialLedger,
  EMPTY_LEDGER,
  getMinShare,
  type Ledger,
  reclaimShares,
  type ShareRow,
  tryAdjustRow,
  tryDecodeLedger,
} from "./share_ledger.ts";
import type { PoolIo } from "./types.ts";

/**
 * Time between two looks of a small fleet's host at the demand, in
 * milliseconds. The ledger grows with the fleet and every host hears every
 * change of it, so that the interval grows with the square: then the bytes of
 * all hosts together grow with the fleet.
 */
const ADJUST_INTERVAL_MS = 2_000;
/** Time between two looks until this host has a row, in milliseconds. */
const INITIAL_ADJUST_INTERVAL_MS = 250;
/** Time after the first sight of the fleet in which hosts register. */
const REGISTRATION_WAIT_MS = 1_500;

/** A reduction that was sent and of which nothing is known yet. */
interface PendingUpdate {
  readonly row: ShareRow;
  /** Version that the update was made for; it can't apply to a newer one. */
  readonly version: number;
}

/** Time between two adjustments of one host's shares, in milliseconds. */
export function getAdjustIntervalMs(hostCount: number): number {
  return ADJUST_INTERVAL_MS * getIntervalFactor(hostCount) ** 2;
}

/** Keeps the shares. */
export interface ShareSync extends Stoppable {
  start(): void;
  /** Whether this host has a row of its own. */
  isReady(): boolean;
  /** Shares of a workspace by host, as last known. */
  getShare(host: HostId, workspace: WorkspaceId): number;
}

/** Creates the part that adjusts this host's shares to its demand. */
export function createShareSync(
  io: PoolIo,
  options: {
    readonly self: HostId;
    readonly fleet: Fleet;
    readonly quotas: Quotas;
    readonly guard: ClockJumpDetector;
  },
): ShareSync {
  const { self, fleet, quotas, guard } = options;
  let timer: NodeJS.Timeout | undefined;
  let initialTimer: NodeJS.Timeout | undefined;
  let pendingUpdates: PendingUpdate[] = [];
  let isBusy = false;
  let isStopped = false;
  let listedAt: number | undefined;
  let hasBeenInContact = false;
  /** After a silence the row counts again once the store confirmed it. */
  let isConfirmed = true;
  let decoded = { version: 0, ledger: EMPTY_LEDGER };

  function getStoredLedger(): StoredObject {
    return fleet.tryGet(LEDGER_KEY) ??
      { key: LEDGER_KEY, version: 0, value: undefined };
  }

  function getLedger(): Ledger {
    const { version, value } = getStoredLedger();
    if (version !== decoded.version) {
      const ledger = tryDecodeLedger(value);
      if (!ledger) {
        io.log.info("ledger_not_readable", { version });
      }
      decoded = { version, ledger: ledger ?? EMPTY_LEDGER };
    }
    return decoded.ledger;
  }

  /** Uses the smallest of what the store holds and what may replace it. */
  function applyShares(): void {
    const { version } = getStoredLedger();
    pendingUpdates = pendingUpdates.filter((update) =>
      update.version >= version
    );
    const row = getLedger().shares[self] ?? {};
    const isSilent = fleet.isOwnHeartbeatExpired();
    hasBeenInContact ||= !isSilent;
    isConfirmed &&= !(isSilent && hasBeenInContact);
    const isUsable = isConfirmed && !isSilent;
    const maxShare = isUsable ? Infinity : getMinShare(fleet.countHosts());
    for (const workspace of quotas.listDemand().keys()) {
      const shares = [
        row[workspace] ?? 0,
        ...pendingUpdates.map((update) => update.row[workspace] ?? 0),
      ];
      quotas.setShare(workspace, Math.min(maxShare, ...shares));
    }
  }

  async function putLedger(next: Ledger): Promise<void> {
    const { version } = getStoredLedger();
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
      version: getStoredLedger().version,
      hosts: fleet.countHosts(),
      sum: Object.values(row).reduce((sum, share) => sum + share, 0),
    });
  }

  async function confirmRow(): Promise<void> {
    const found = await io.store.get(LEDGER_KEY);
    if (found.isOk()) {
      fleet.applyObject(found.value);
      isConfirmed = true;
    }
  }

  async function tick(): Promise<void> {
    if (isBusy || !fleet.isLoaded()) {
      return;
    }
    isBusy = true;
    try {
      if (!isConfirmed && !fleet.isOwnHeartbeatExpired()) {
        await confirmRow();
      }
      applyShares();
      await adjust();
    } finally {
      isBusy = false;
    }
  }

  async function adjust(): Promise<void> {
    listedAt ??= nowMs();
    const ledger = getLedger();
    const hasRow = ledger.shares[self] !== undefined;
    if (!hasRow && nowMs() - listedAt < REGISTRATION_WAIT_MS) {
      return;
    }
    const hosts = [self, ...fleet.listPeers()].sort();
    const hostCount = hosts.length;
    const silentHost = fleet.listExpiredHosts().find((host) =>
      Object.values(ledger.shares[host] ?? {})
        .some((share) => share > getMinShare(hostCount))
    );
    if (silentHost) {
      io.log.info("shares_reclaimed", { peer: silentHost });
      await putLedger(reclaimShares(ledger, { host: silentHost, hostCount }));
      return;
    }
    const demand = quotas.listDemand();
    if (demand.size === 0) {
      return;
    }
    const next = getStoredLedger().version === 0
      ? createInitialLedger(hosts, demand)
      : tryAdjustRow(ledger, { host: self, hosts, demand });
    if (next) {
      await putLedger(next);
    }
  }

  return {
    start() {
      fleet.onChange((key) => key === LEDGER_KEY && applyShares());
      guard.onJump((driftMs) => {
        fleet.recordSuspension(driftMs);
        applyShares();
      });
      const schedule = () => {
        if (isStopped) {
          return;
        }
        timer = setTimeout(
          () => void tick().finally(schedule),
          getAdjustIntervalMs(fleet.countHosts()) * (0.75 + io.random() / 2),
        );
      };
      schedule();
      initialTimer = setInterval(() => {
        if (getLedger().shares[self]) {
          clearInterval(initialTimer);
        }
        void tick();
      }, INITIAL_ADJUST_INTERVAL_MS * (0.5 + io.random()));
    },
    getShare: (host, workspace) => getLedger().shares[host]?.[workspace] ?? 0,
    isReady: () => getLedger().shares[self] !== undefined,
    stop() {
      isStopped = true;
      clearTimeout(timer);
      clearInterval(initialTimer);
    },
  };
}
