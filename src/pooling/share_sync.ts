/** Keeps this host's shares of the quotas in step with the ledger. */

import { nowMs } from "../core/clock.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";
import type { Stoppable, StoredObject } from "../core/types.ts";
import type { ClockJumpDetector } from "./clock_guard.ts";
import { type Fleet, LEDGER_KEY } from "./fleet.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import type { Quotas } from "./quotas.ts";
import {
  createLedger,
  EMPTY_LEDGER,
  getFloorShare,
  type Ledger,
  reclaim,
  type Row,
  tryAdjust,
  tryDecodeLedger,
} from "./share_ledger.ts";
import type { PoolIo } from "./types.ts";

/**
 * Time between two looks of a small fleet's host at the demand, in
 * milliseconds. The ledger grows with the fleet and every host hears every
 * change of it, so that the interval grows with the square: then the bytes of
 * all hosts together grow with the fleet.
 */
const TICK_MS = 2_000;
/** Time between two looks until this host has a row, in milliseconds. */
const FIRST_TICK_MS = 250;
/** Time after the first sight of the fleet in which hosts register. */
const SETTLE_MS = 1_500;

/** A reduction that was sent and of which nothing is known yet. */
interface Pending {
  readonly row: Row;
  /** Version that the update was made for; it can't apply to a newer one. */
  readonly version: number;
}

/** Time between two adjustments of one host's shares, in milliseconds. */
export function getTickMs(hostCount: number): number {
  return TICK_MS * getIntervalFactor(hostCount) ** 2;
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
  let early: NodeJS.Timeout | undefined;
  let pending: Pending[] = [];
  let isBusy = false;
  let isStopped = false;
  let listedAt: number | undefined;
  let wasInTouch = false;
  /** After a silence the row counts again once the store confirmed it. */
  let isConfirmed = true;
  let decoded = { version: 0, ledger: EMPTY_LEDGER };

  function getObject(): StoredObject {
    return fleet.tryGet(LEDGER_KEY) ??
      { key: LEDGER_KEY, version: 0, value: undefined };
  }

  function getLedger(): Ledger {
    const { version, value } = getObject();
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
  function apply(): void {
    const { version } = getObject();
    pending = pending.filter((update) => update.version >= version);
    const row = getLedger().shares[self] ?? {};
    const isSilent = fleet.isOwnHeartbeatExpired();
    wasInTouch ||= !isSilent;
    isConfirmed &&= !(isSilent && wasInTouch);
    const isUsable = isConfirmed && !isSilent;
    const most = isUsable ? Infinity : getFloorShare(fleet.countHosts());
    for (const workspace of quotas.listDemand().keys()) {
      const shares = [
        row[workspace] ?? 0,
        ...pending.map((update) => update.row[workspace] ?? 0),
      ];
      quotas.setShare(workspace, Math.min(most, ...shares));
    }
  }

  async function update(next: Ledger): Promise<void> {
    const { version } = getObject();
    const row = next.shares[self] ?? {};
    pending.push({ row, version });
    apply();
    const put = await io.store.put(LEDGER_KEY, next, { ifVersion: version });
    if (put.isOk()) {
      fleet.applyObject(put.value);
      logRow(row);
    } else if (put.error.kind === "conflict") {
      fleet.applyObject(put.error.current);
    }
    apply();
  }

  function logRow(row: Row): void {
    io.log.info("shares_changed", {
      version: getObject().version,
      hosts: fleet.countHosts(),
      sum: Object.values(row).reduce((sum, share) => sum + share, 0),
    });
  }

  async function confirm(): Promise<void> {
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
        await confirm();
      }
      apply();
      await adjust();
    } finally {
      isBusy = false;
    }
  }

  async function adjust(): Promise<void> {
    listedAt ??= nowMs();
    const ledger = getLedger();
    const hasRow = ledger.shares[self] !== undefined;
    if (!hasRow && nowMs() - listedAt < SETTLE_MS) {
      return;
    }
    const hosts = [self, ...fleet.listPeers()].sort();
    const hostCount = hosts.length;
    const silent = fleet.listExpiredHosts().find((host) =>
      Object.values(ledger.shares[host] ?? {})
        .some((share) => share > getFloorShare(hostCount))
    );
    if (silent) {
      io.log.info("shares_reclaimed", { peer: silent });
      await update(reclaim(ledger, { host: silent, hostCount }));
      return;
    }
    const demand = quotas.listDemand();
    if (demand.size === 0) {
      return;
    }
    const next = getObject().version === 0
      ? createLedger(hosts, demand)
      : tryAdjust(ledger, { host: self, hosts, demand });
    if (next) {
      await update(next);
    }
  }

  return {
    start() {
      fleet.onChange((key) => key === LEDGER_KEY && apply());
      guard.onJump((driftMs) => {
        fleet.recordSuspension(driftMs);
        apply();
      });
      const schedule = () => {
        if (isStopped) {
          return;
        }
        timer = setTimeout(
          () => void tick().finally(schedule),
          getTickMs(fleet.countHosts()) * (0.75 + io.random() / 2),
        );
      };
      schedule();
      early = setInterval(() => {
        if (getLedger().shares[self]) {
          clearInterval(early);
        }
        void tick();
      }, FIRST_TICK_MS * (0.5 + io.random()));
    },
    getShare: (host, workspace) => getLedger().shares[host]?.[workspace] ?? 0,
    isReady: () => getLedger().shares[self] !== undefined,
    stop() {
      isStopped = true;
      clearTimeout(timer);
      clearInterval(early);
    },
  };
}
