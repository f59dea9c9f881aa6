/** Directory of registered targets. */

import { nowMs } from "../core/clock.ts";
import type { ObjectKey, ServiceId, TargetId } from "../core/ids.ts";
import type { StoredObject } from "../core/types.ts";
import type { PoolIo, TargetRecord } from "./types.ts";

/**
 * Time after the store is reachable again within which a live target renews
 * its registration, in milliseconds: two seconds, plus one heartbeat for
 * delivery.
 */
const REREGISTRATION_GRACE_MS = 2_200;

/**
 * Fraction of all targets whose registrations must lapse together to be taken
 * for a failure of the store, as in the self-preservation mode of service
 * registries. A watch can outlast an outage, so the call need not have failed.
 */
const MASS_LAPSE_FRACTION = 0.5;

/** Change of the directory. */
export type DirectoryEvent =
  | { readonly kind: "found"; readonly target: TargetRecord }
  | {
    readonly kind: "changed";
    readonly target: TargetRecord;
    readonly previous: TargetRecord;
  }
  | { readonly kind: "gone"; readonly target: TargetRecord };

/** Targets known to this host. */
export interface Directory {
  tryGet(id: TargetId): TargetRecord | undefined;
  list(service: ServiceId): readonly TargetRecord[];
  replaceAll(objects: readonly StoredObject[]): void;
  /** Applies objects that changed together. */
  applyObjects(objects: readonly StoredObject[]): void;
  /**
   * Records that the store is reachable again. Targets whose registration
   * lapsed during the outage get time to register again.
   */
  recordStoreReconnected(): void;
  /**
   * Records that the store answers calls of this host again. Targets that this
   * host has never heard of get the same time to register.
   */
  recordStoreAnswering(): void;
  /**
   * Time for which live targets may still be missing, in milliseconds: they
   * could not register in an outage, of which a process that has just started
   * does not know.
   */
  getSettlingMs(): number;
  /** Removes lapsed targets that did not register again in time. */
  removeExpired(): void;
  onChange(listener: (event: DirectoryEvent) => void): void;
  readonly size: number;
}

/** Creates an empty directory. */
export function createDirectory(
  io: Pick<PoolIo, "log" | "metrics">,
  options: {
    tryDecode(object: StoredObject): TargetRecord | undefined;
    /** Whether the last call to the store failed. */
    isStoreUnreachable(): boolean;
  },
): Directory {
  const targets = new Map<TargetId, TargetRecord>();
  /** Targets by service; emptied with each change. */
  const byService = new Map<ServiceId, readonly TargetRecord[]>();
  /** Targets whose registration lapsed in an outage, with the end of grace. */
  const graceEndById = new Map<TargetId, number>();
  const listeners = new Set<(event: DirectoryEvent) => void>();
  let reconnectedAt = -Infinity;
  /** Time at which the store began to answer this host; undefined before. */
  let answeringSince: number | undefined;

  function emit(event: DirectoryEvent): void {
    byService.clear();
    const { target } = event;
    io.log.info(`target_${event.kind}`, {
      target: target.id,
      service: target.service,
      role: target.role,
      isDraining: target.isDraining,
      incarnation: target.incarnation,
    });
    listeners.forEach((listener) => listener(event));
  }

  /**
   * Whether a record was restored and the same process has written a later one.
   * Ignored only for the time of re-registration, so that a record of another
   * writer cannot hide the target's own for longer.
   */
  function isOutdated(target: TargetRecord, previous: TargetRecord): boolean {
    return nowMs() < reconnectedAt + REREGISTRATION_GRACE_MS &&
      target.incarnation === previous.incarnation &&
      target.seq !== undefined && previous.seq !== undefined &&
      target.seq < previous.seq;
  }

  function put(target: TargetRecord): void {
    const previous = targets.get(target.id);
    graceEndById.delete(target.id);
    if (previous && isOutdated(target, previous)) {
      io.log.info("target_entry_outdated", { target: target.id });
      return;
    }
    targets.set(target.id, target);
    byService.clear();
    if (!previous) {
      emit({ kind: "found", target });
    } else if (!isSameRecord(previous, target)) {
      emit({ kind: "changed", target, previous });
    }
  }

  /** Removes a target, or grants it time to register again after an outage. */
  function handleDeregistration(id: TargetId): void {
    const target = targets.get(id);
    if (!target) {
      return;
    }
    const graceLeftMs = reconnectedAt + REREGISTRATION_GRACE_MS - nowMs();
    if (options.isStoreUnreachable() || graceLeftMs > 0) {
      graceEndById.set(id, nowMs() + Math.max(graceLeftMs, 0));
      io.log.info("target_lapsed", { target: id, graceLeftMs });
      return;
    }
    removeTarget(target);
  }

  function removeTarget(target: TargetRecord): void {
    targets.delete(target.id);
    graceEndById.delete(target.id);
    emit({ kind: "gone", target });
  }

  function apply(object: StoredObject): void {
    const target = options.tryDecode(object);
    if (target) {
      put(target);
      return;
    }
    // An invalid entry does not replace a valid one.
    io.log.info("target_entry_invalid", { key: object.key });
    io.metrics.count("state_changes_total", {
      component: "directory",
      event: "invalid_entry",
    });
  }

  function recordStoreReconnected(): void {
    reconnectedAt = nowMs();
    for (const id of graceEndById.keys()) {
      graceEndById.set(id, reconnectedAt + REREGISTRATION_GRACE_MS);
    }
  }

  /** Handles deregistrations that arrived together. */
  function handleDeregistrations(ids: readonly TargetId[]): void {
    const lapsed = ids.filter((id) => targets.get(id)?.isDraining === false);
    const isMassLapse = lapsed.length > 1 &&
      lapsed.length > targets.size * MASS_LAPSE_FRACTION;
    if (isMassLapse) {
      io.log.info("targets_lapsed_together", {
        lapsed: lapsed.length,
        targets: targets.size,
      });
      recordStoreReconnected();
    }
    ids.forEach(handleDeregistration);
  }

  return {
    tryGet: (id) => targets.get(id),
    list(service) {
      const listed = byService.get(service) ??
        [...targets.values()].filter((target) => target.service === service);
      byService.set(service, listed);
      return listed;
    },
    replaceAll(objects) {
      answeringSince ??= nowMs();
      const listed = new Set(
        objects.map(({ key }) => toTargetId(key)),
      );
      objects.forEach(apply);
      handleDeregistrations(
        [...targets.keys()].filter((id) => !listed.has(id)),
      );
    },
    applyObjects(objects) {
      const latest = [...new Map(objects.map((o) => [o.key, o])).values()];
      const removed = latest.filter(({ version }) => version === 0);
      latest.filter(({ version }) => version > 0).forEach(apply);
      handleDeregistrations(removed.map(({ key }) => toTargetId(key)));
    },
    recordStoreReconnected,
    recordStoreAnswering: () => void (answeringSince = nowMs()),
    getSettlingMs() {
      if (options.isStoreUnreachable() || answeringSince === undefined) {
        return REREGISTRATION_GRACE_MS;
      }
      const since = Math.max(reconnectedAt, answeringSince);
      return Math.max(0, since + REREGISTRATION_GRACE_MS - nowMs());
    },
    removeExpired() {
      if (options.isStoreUnreachable()) {
        return;
      }
      for (const [id, graceEnd] of [...graceEndById]) {
        const target = targets.get(id);
        if (target && nowMs() >= graceEnd) {
          removeTarget(target);
        }
      }
    },
    onChange: (listener) => void listeners.add(listener),
    get size() {
      return targets.size;
    },
  };
}

function toTargetId(key: ObjectKey): TargetId {
  return key.slice(key.indexOf("/") + 1) as TargetId;
}

function isSameRecord(a: TargetRecord, b: TargetRecord): boolean {
  return a.incarnation === b.incarnation && a.address === b.address &&
    a.isDraining === b.isDraining && a.role === b.role &&
    a.service === b.service && a.domain === b.domain && a.slots === b.slots;
}
