/**
 * Keeps the copies of each service's log in the store, so that hosts which
 * start later count those whose registration has lapsed by then.
 */

import { nowMs } from "../core/clock.ts";
import { rankNodes } from "../core/hash.ts";
import {
  asId,
  type DomainId,
  type HostId,
  type ServiceId,
  type TargetId,
} from "../core/ids.ts";
import { getEra } from "../core/store_era.ts";
import type { StoredObject } from "../core/types.ts";
import type { Directory } from "./directory.ts";
import { type Fleet, getCopiesKey, tryGetCopiesService } from "./fleet.ts";
import type {
  KnownCopies,
  LogCopies,
  StoredCopies,
  StoredCopy,
} from "./log_copies.ts";
import type { PoolIo, TargetRecord } from "./types.ts";

/** Number of hosts that may write the record of a service, the best first. */
const WRITERS = 6;
/**
 * Time for which each writer leaves a change to the one before it, in
 * milliseconds, in addition to the time in which it hears of a write: several
 * times the duration of a write.
 */
const WRITER_DELAY_MS = 300;
/** Delay before a write without an answer is repeated, in milliseconds. */
const RETRY_DELAY_MS = 2_000;

/** Reads and writes the records of this host's services. */
export interface CopyRecords {
  /** Writes the records that are not up to date; call it often. */
  check(): void;
  /** Reads the record of a service; false if the store did not answer. */
  refresh(service: ServiceId): Promise<boolean>;
  /**
   * Lists the copies that the record names, as the watch has delivered it. The
   * leases that were written before are known then, so a record that grew after
   * a failover counted does not hide that failover.
   */
  listDelivered(service: ServiceId): readonly StoredCopy[];
}

interface RecordState {
  stored: StoredCopies;
  /** Era of the store in which the record was read. */
  era: number;
  /** Time since which the record has differed; undefined if it does not. */
  differsSince: number | undefined;
  isWriting: boolean;
  /** Time before which this host does not write. */
  nextWriteAt: number;
}

const NO_COPIES: StoredCopies = { copies: [], lost: [] };

/** Creates the records, which follow the store and the directory. */
export function createCopyRecords(
  io: Pick<PoolIo, "store" | "log">,
  options: {
    readonly self: HostId;
    readonly fleet: Pick<
      Fleet,
      | "applyObject"
      | "getMinWatchIntervalMs"
      | "isLoaded"
      | "isRecordUsable"
      | "listPeers"
      | "onChange"
      | "onDelivered"
      | "tryGet"
    >;
    readonly directory: Pick<Directory, "onChange">;
    readonly copies: LogCopies;
  },
): CopyRecords {
  const { self, fleet, copies } = options;
  const states = new Map<ServiceId, RecordState>();
  const delivered = new Map<ServiceId, readonly StoredCopy[]>();
  /** Services whose record may not be up to date. */
  const unchecked = new Set<ServiceId>();

  function getState(service: ServiceId): RecordState {
    const state = states.get(service) ?? {
      stored: NO_COPIES,
      era: getEra(io.store),
      differsSince: undefined,
      isWriting: false,
      nextWriteAt: -Infinity,
    };
    states.set(service, state);
    return state;
  }

  function applyRecord(
    service: ServiceId,
    object: StoredObject | undefined,
  ): void {
    const state = getState(service);
    const decoded = tryDecodeStoredCopies(object?.value);
    const stored = decoded ?? NO_COPIES;
    // A record of another era may lack what was added last.
    if (decoded && state.era === getEra(io.store)) {
      copies.drop(service, listRemoved(state.stored, stored));
    }
    state.stored = stored;
    state.era = getEra(io.store);
    copies.restore(service, stored);
    unchecked.add(service);
  }

  /** Whether it is this host's turn to write a change. */
  function isWriter(service: ServiceId, waitedMs: number): boolean {
    const rank = rankNodes(service, [self, ...fleet.listPeers()]).indexOf(self);
    const delayMs = WRITER_DELAY_MS + fleet.getMinWatchIntervalMs();
    return rank < WRITERS && waitedMs >= rank * delayMs;
  }

  async function write(service: ServiceId, next: StoredCopies): Promise<void> {
    const state = getState(service);
    const key = getCopiesKey(service);
    state.isWriting = true;
    const res = await io.store.put(key, next, {
      ifVersion: fleet.tryGet(key)?.version ?? 0,
    });
    state.isWriting = false;
    io.log.info("copies_recorded", {
      service,
      copies: next.copies.map(({ id }) => id).join(" "),
      lost: next.lost.length,
      isAccepted: res.isOk(),
    });
    if (res.isOk()) {
      fleet.applyObject(res.value);
    } else if (res.error.kind === "conflict") {
      fleet.applyObject(res.error.current);
    } else {
      state.nextWriteAt = nowMs() + RETRY_DELAY_MS;
    }
  }

  fleet.onChange((key) => {
    const service = tryGetCopiesService(key);
    if (service !== undefined) {
      applyRecord(service, fleet.tryGet(key));
    }
  });
  fleet.onDelivered(({ key, value }) => {
    const service = tryGetCopiesService(key);
    if (service !== undefined) {
      delivered.set(service, tryDecodeStoredCopies(value)?.copies ?? []);
    }
  });
  options.directory.onChange(({ target }) => unchecked.add(target.service));

  return {
    check() {
      if (!fleet.isLoaded()) {
        return;
      }
      for (const service of unchecked) {
        const state = getState(service);
        const known = copies.describe(service);
        const next = toNextRecord(state.stored, known);
        if (isSameRecord(state.stored, next)) {
          state.differsSince = undefined;
          if (known.unregistered.length === 0 && known.lost.length === 0) {
            unchecked.delete(service);
          }
          continue;
        }
        state.differsSince ??= nowMs();
        if (
          !state.isWriting && nowMs() >= state.nextWriteAt &&
          isWriter(service, nowMs() - state.differsSince)
        ) {
          void write(service, next);
        }
      }
    },
    listDelivered: (service) =>
      fleet.isRecordUsable() ? delivered.get(service) ?? [] : [],
    async refresh(service) {
      const res = await io.store.get(getCopiesKey(service));
      if (res.isErr()) {
        return false;
      }
      fleet.applyObject(res.value);
      return true;
    },
  };
}

/**
 * Returns the record with what this host knows. Copies that are not registered
 * are only kept, so that one which another host has removed does not return.
 */
function toNextRecord(
  stored: StoredCopies,
  { registered, unregistered, lost }: KnownCopies,
): StoredCopies {
  const storedById = new Map(stored.copies.map((copy) => [copy.id, copy]));
  return {
    copies: [
      ...registered.map((target) => {
        const earlier = storedById.get(target.id);
        // This host may not have heard of the latest process yet.
        return earlier && earlier.incarnation > target.incarnation
          ? earlier
          : toStoredCopy(target);
      }),
      ...unregistered.flatMap(({ id }) => storedById.get(id) ?? []),
    ].toSorted((a, b) => a.id < b.id ? -1 : 1),
    lost: lost.toSorted((a, b) =>
      a.target < b.target || (a.target === b.target &&
          a.incarnation < b.incarnation)
        ? -1
        : 1
    ),
  };
}

function toStoredCopy(
  { id, incarnation, address, domain, slots, isDraining }: TargetRecord,
): StoredCopy {
  return { id, incarnation, address, domain, slots, isDraining };
}

function isSameRecord(a: StoredCopies, b: StoredCopies): boolean {
  return isSameList(a.copies, b.copies) && isSameList(a.lost, b.lost);
}

/** Compares lists of flat records with the same order of fields. */
function isSameList(a: readonly object[], b: readonly object[]): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Returns what an earlier record lists and a later one does not. */
function listRemoved(
  earlier: StoredCopies,
  later: StoredCopies,
): StoredCopies {
  return {
    copies: earlier.copies.filter(({ id }) =>
      later.copies.every((copy) => copy.id !== id)
    ),
    lost: earlier.lost.filter(({ target, incarnation }) =>
      later.lost.every((copy) =>
        copy.target !== target || copy.incarnation !== incarnation
      )
    ),
  };
}

/** Decodes a stored record; undefined if the value is not one. */
export function tryDecodeStoredCopies(
  value: unknown,
): StoredCopies | undefined {
  const { copies, lost } = (value ?? {}) as Partial<
    Record<keyof StoredCopies, unknown>
  >;
  return Array.isArray(copies) && Array.isArray(lost)
    ? {
      copies: copies.flatMap(tryDecodeCopy),
      lost: lost.flatMap(tryDecodeLost),
    }
    : undefined;
}

function tryDecodeCopy(value: unknown): StoredCopy[] {
  const { id, incarnation, address, domain, slots, isDraining } = (value ??
    {}) as Partial<Record<keyof StoredCopy, unknown>>;
  return typeof id === "string" && typeof incarnation === "number" &&
      typeof address === "string" && typeof domain === "string" &&
      typeof slots === "number" && typeof isDraining === "boolean"
    ? [{
      id: asId<TargetId>(id),
      incarnation,
      address,
      domain: asId<DomainId>(domain),
      slots,
      isDraining,
    }]
    : [];
}

function tryDecodeLost(value: unknown): StoredCopies["lost"][number][] {
  const { target, incarnation } = (value ?? {}) as Record<string, unknown>;
  return typeof target === "string" && typeof incarnation === "number"
    ? [{ target: asId<TargetId>(target), incarnation }]
    : [];
}
