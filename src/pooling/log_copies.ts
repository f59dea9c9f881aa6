/** Tracks the targets whose logs may hold acknowledged commits. */

import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import { asId, type ServiceId, type TargetId } from "../core/ids.ts";
import type { Directory, DirectoryEvent } from "./directory.ts";
import type { PrimaryTracker } from "./primary_tracker.ts";
import type { Health } from "./health.ts";
import type { AgedPosition } from "./position_history.ts";
import type { PoolLog, Position, TargetRecord } from "./types.ts";

/**
 * Time for which a target without a registration stays a copy in any case, in
 * milliseconds: most targets that the store does not hear for a while return.
 */
const MIN_LAPSED_MS = 10_000;

type CopyState =
  | { readonly kind: "registered" }
  /**
   * Silent to the store, without having said that it leaves. It may be cut off
   * from the store only, and still receive.
   */
  | {
    readonly kind: "lapsed";
    readonly since: number;
    /**
     * Time since which no host is known to take its receipts; undefined while
     * one may.
     */
    readonly unusedSince: number | undefined;
    /** First known position of the primary after that time. */
    readonly floor: Position | undefined;
  }
  /** Was draining before; its log is gone once it has ended. */
  | {
    readonly kind: "left";
    readonly since: number;
    /** First known position of the primary after that time. */
    readonly floor: Position | undefined;
  };

interface Copy {
  readonly target: TargetRecord;
  readonly state: CopyState;
  /** Highest incarnation heard of; a store that returned may list older ones. */
  readonly incarnation: number;
}

/** Log of a process that has been replaced by a new one under the same id. */
interface LostCopy {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly target: TargetId;
  readonly incarnation: number;
  /** Time at which this host heard of the new process. */
  readonly since: number;
  /** First known position of the primary after that time. */
  floor: Position | undefined;
}

/** Copy of a log as it is recorded in the store. */
export type StoredCopy = Pick<
  TargetRecord,
  "id" | "incarnation" | "address" | "domain" | "slots" | "isDraining"
>;

/** Record of the copies of a service's log that count. */
export interface StoredCopies {
  readonly copies: readonly StoredCopy[];
  /** Processes that have been replaced under their target's id. */
  readonly lost: readonly {
    readonly target: TargetId;
    readonly incarnation: number;
  }[];
}

/** Copies of the logs of all services, as far as this host has heard of them. */
export interface LogCopies {
  /**
   * Lists the copies that count for acknowledged commits. One without a
   * registration counts until another target is known to lead after it was
   * gone, and another replica has received what it may alone have had. As long
   * as a host that may be running is silent, it may still take receipts of a
   * copy that has not said that it leaves.
   */
  list(service: ServiceId): readonly TargetRecord[];
  tryGet(id: TargetId): TargetRecord | undefined;
  /**
   * Lists ids for the logs of processes that have started again under their
   * target's id, which may have lost what they held. Each counts as a copy that
   * cannot be fenced, until a replica holds all that it may have had.
   * `registered` is a newer list than the directory's.
   */
  listLost(
    service: ServiceId,
    registered?: readonly TargetRecord[],
  ): readonly TargetId[];
  /**
   * Notes the positions that the logs of lost and departed copies are compared
   * with; call it often.
   */
  updateFloors(): void;
  /** Returns the copies that count, with those that are not registered. */
  describe(service: ServiceId): KnownCopies;
  /**
   * Adds copies that another process has recorded and this one has not heard
   * of, as ones whose registration is gone from now on.
   */
  restore(service: ServiceId, stored: StoredCopies): void;
  /** Forgets copies that another host has found not to count any more. */
  drop(service: ServiceId, dropped: StoredCopies): void;
}

/** Copies of a service's log that count, as this host knows them. */
export interface KnownCopies {
  readonly registered: readonly TargetRecord[];
  /** Copies without a registration. */
  readonly unregistered: readonly TargetRecord[];
  readonly lost: StoredCopies["lost"];
}

/**
 * Returns the id under which the log of an earlier process of a target counts.
 * Hosts tell it to each other in the list of copies, so that hosts that do not
 * know of lost logs count it as well.
 */
export function getLostCopyId(
  target: TargetId,
  incarnation: number,
): TargetId {
  return asId<TargetId>(`${target}@${incarnation}`);
}

/** Whether the id is that of the log of an earlier process of the target. */
export function isLostCopyOf(id: TargetId, target: TargetId): boolean {
  return id.startsWith(`${target}@`);
}

/** Returns the state of a copy whose registration is gone from now on. */
function createUnregisteredState(isDraining: boolean): CopyState {
  const since = nowMs();
  return isDraining
    ? { kind: "left", since, floor: undefined }
    : { kind: "lapsed", since, unusedSince: undefined, floor: undefined };
}

/** Creates a tracker that follows the directory. */
export function createLogCopies(
  log: PoolLog,
  options: {
    readonly directory: Pick<Directory, "onChange">;
    readonly primaries: Pick<PrimaryTracker, "tryPrimary">;
    readonly health: Pick<Health, "hasReceived" | "forgetReceived">;
    /** Newest known position of a service's primary. */
    tryPosition(service: ServiceId): AgedPosition | undefined;
    /** Requests that the position is kept fresh for the next seconds. */
    requestPosition(service: ServiceId): void;
    /** Whether the store has heard lately from each host that may be running. */
    areHostsHeard(): boolean;
  },
): LogCopies {
  const { directory, primaries, health } = options;
  const copies = new Map<TargetId, Copy>();
  const lostCopies = new Map<TargetId, LostCopy>();

  function hasOtherPrimary({ service, id }: TargetRecord): boolean {
    const primary = primaries.tryPrimary(service);
    return primary !== undefined && primary !== id;
  }

  /** Whether another replica holds what the target that has left may have. */
  function isCoveredByOther(
    { service, id }: TargetRecord,
    floor: Position | undefined,
  ): boolean {
    const primary = primaries.tryPrimary(service);
    return floor !== undefined &&
      [...copies.values()].some(({ target }) =>
        target.service === service && target.id !== id &&
        target.id !== primary && health.hasReceived(target.id, floor)
      );
  }

  function isCounted({ target, state }: Copy): boolean {
    switch (state.kind) {
      case "registered":
        return true;
      case "lapsed":
      case "left":
        return !hasOtherPrimary(target) ||
          !isCoveredByOther(target, state.floor);
      default:
        return assertNever(state);
    }
  }

  /** Returns the copies that count, and forgets the others. */
  function listCopies(service: ServiceId): readonly Copy[] {
    const ofService = [...copies.values()].filter(({ target }) =>
      target.service === service
    );
    for (const { target, state } of ofService.filter((c) => !isCounted(c))) {
      copies.delete(target.id);
      log.info("copy_forgotten", {
        service,
        target: target.id,
        state: state.kind,
      });
    }
    return ofService.filter(isCounted);
  }

  /**
   * Returns the position of the primary if it was asked for at or after a time;
   * an older one may lie before the last commits. Requests it otherwise.
   */
  function tryPositionSince(
    service: ServiceId,
    since: number,
  ): Position | undefined {
    const known = options.tryPosition(service);
    if (known && nowMs() - known.ageMs >= since) {
      return known.position;
    }
    options.requestPosition(service);
    return undefined;
  }

  function updateFloors(): void {
    for (const lost of lostCopies.values()) {
      lost.floor ??= tryPositionSince(lost.service, lost.since);
    }
    for (const [id, copy] of copies) {
      if (copy.state.kind !== "registered") {
        copies.set(id, { ...copy, state: updateFloor(copy) });
      }
    }
  }

  /** Returns the state with the floor, if the copy has one by now. */
  function updateFloor({ state, target }: Copy): CopyState {
    switch (state.kind) {
      case "registered":
        return state;
      case "lapsed": {
        if (
          nowMs() - state.since < MIN_LAPSED_MS || !hasOtherPrimary(target) ||
          !options.areHostsHeard()
        ) {
          return { ...state, unusedSince: undefined, floor: undefined };
        }
        const unusedSince = state.unusedSince ?? nowMs();
        const floor = state.floor ??
          tryPositionSince(target.service, unusedSince);
        return { ...state, unusedSince, floor };
      }
      case "left": {
        const floor = state.floor ??
          tryPositionSince(target.service, state.since);
        return { ...state, floor };
      }
      default:
        return assertNever(state);
    }
  }

  /** Whether a replica holds all that the lost log may have held. */
  function isRecovered({ service, floor }: LostCopy): boolean {
    const primary = primaries.tryPrimary(service);
    return floor !== undefined &&
      [...copies.values()].some(({ target }) =>
        target.service === service && target.id !== primary &&
        health.hasReceived(target.id, floor)
      );
  }

  function listLost(service: ServiceId): readonly LostCopy[] {
    updateFloors();
    const ofService = [...lostCopies.values()].filter((lost) =>
      lost.service === service
    );
    for (const lost of ofService.filter(isRecovered)) {
      lostCopies.delete(lost.id);
      log.info("copy_forgotten", {
        service,
        target: lost.id,
        state: "recovered",
      });
    }
    return ofService.filter(({ id }) => lostCopies.has(id));
  }

  /** Records that the log of a target's process is lost. */
  function addLost(
    service: ServiceId,
    lost: { readonly target: TargetId; readonly incarnation: number },
  ): void {
    const id = getLostCopyId(lost.target, lost.incarnation);
    if (lostCopies.has(id)) {
      return;
    }
    lostCopies.set(id, {
      ...lost,
      id,
      service,
      since: nowMs(),
      floor: undefined,
    });
    health.forgetReceived(lost.target);
    log.info("copy_lost", { service, target: id });
  }

  /** Adds a copy that this host has not heard of, or an earlier process of it. */
  function restoreCopy(service: ServiceId, stored: StoredCopy): void {
    const { id, incarnation, isDraining } = stored;
    const known = copies.get(id);
    if (known) {
      if (incarnation < known.incarnation) {
        addLost(service, { target: id, incarnation });
      }
      return;
    }
    copies.set(id, {
      target: { ...stored, service, role: "replica" },
      state: createUnregisteredState(isDraining),
      incarnation,
    });
    log.info("copy_restored", { service, target: id, incarnation, isDraining });
  }

  function applyRecord(target: TargetRecord): void {
    const { id, service, incarnation } = target;
    const known = copies.get(id);
    if (known && incarnation > known.incarnation) {
      addLost(service, { target: id, incarnation: known.incarnation });
    }
    copies.set(id, {
      target,
      state: { kind: "registered" },
      incarnation: Math.max(incarnation, known?.incarnation ?? incarnation),
    });
  }

  function applyEvent({ kind, target }: DirectoryEvent): void {
    switch (kind) {
      case "found":
      case "changed":
        applyRecord(target);
        return;
      case "gone": {
        const known = copies.get(target.id);
        copies.set(target.id, {
          target,
          state: createUnregisteredState(target.isDraining),
          incarnation: known?.incarnation ?? target.incarnation,
        });
        return;
      }
      default:
        assertNever(kind);
    }
  }

  directory.onChange(applyEvent);
  return {
    list: (service) => listCopies(service).map(({ target }) => target),
    tryGet(id) {
      const copy = copies.get(id);
      return copy && isCounted(copy) ? copy.target : undefined;
    },
    updateFloors,
    describe(service) {
      const known = listCopies(service);
      const ofKind = (isRegistered: boolean) =>
        known.filter(({ state }) =>
          (state.kind === "registered") === isRegistered
        ).map(({ target, incarnation }) => ({ ...target, incarnation }));
      return {
        registered: ofKind(true),
        unregistered: ofKind(false),
        lost: listLost(service).map(({ target, incarnation }) => ({
          target,
          incarnation,
        })),
      };
    },
    restore(service, { copies: stored, lost }) {
      stored.forEach((copy) => restoreCopy(service, copy));
      lost.forEach((copy) => addLost(service, copy));
    },
    drop(service, dropped) {
      for (const { id } of dropped.copies) {
        const state = copies.get(id)?.state.kind;
        if (state === "lapsed" || state === "left") {
          copies.delete(id);
          log.info("copy_forgotten", { service, target: id, state: "dropped" });
        }
      }
      dropped.lost.forEach(({ target, incarnation }) =>
        lostCopies.delete(getLostCopyId(target, incarnation))
      );
    },
    listLost: (service, registered = []) => [
      ...new Set([
        ...listLost(service).map(({ id }) => id),
        ...registered.flatMap(({ id, incarnation }) => {
          const known = copies.get(id)?.incarnation;
          return known !== undefined && incarnation > known
            ? [getLostCopyId(id, known)]
            : [];
        }),
      ]),
    ],
  };
}
