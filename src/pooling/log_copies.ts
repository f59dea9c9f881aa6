/** Tracks the targets whose logs may hold acknowledged commits. */

import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import type { Directory, DirectoryEvent } from "./directory.ts";
import type { PrimaryTracker } from "./primary_tracker.ts";
import type { Health } from "./health.ts";
import type { PoolLog, Position, TargetRecord } from "./types.ts";

/**
 * Time for which a target without a registration counts as a copy, in
 * milliseconds. It may be cut off from the store only, and still receive.
 */
const UNREGISTERED_COPY_TIMEOUT_MS = 60_000;

type CopyState =
  | { readonly kind: "registered" }
  /** Silent to the store, without having said that it leaves. */
  | { readonly kind: "lapsed"; readonly since: number }
  /** Was draining before; its log is gone once it has ended. */
  | {
    readonly kind: "left";
    readonly since: number;
    /** Newest known position of the primary at that time. */
    readonly floor: Position | undefined;
  };

interface Copy {
  readonly target: TargetRecord;
  readonly state: CopyState;
}

/** Copies of the logs of all services, as far as this host has heard of them. */
export interface LogCopies {
  /**
   * Lists the copies that count for acknowledged commits. One that has left
   * counts until another primary is known and another replica has received what
   * it may alone have had.
   */
  list(service: ServiceId): readonly TargetRecord[];
  tryGet(id: TargetId): TargetRecord | undefined;
}

/** Creates a tracker that follows the directory. */
export function createLogCopies(
  log: PoolLog,
  options: {
    readonly directory: Pick<Directory, "onChange">;
    readonly primaries: Pick<PrimaryTracker, "tryPrimary">;
    readonly health: Pick<Health, "hasReceived">;
    /** Newest known position of a service's primary. */
    tryPosition(service: ServiceId): Position | undefined;
  },
): LogCopies {
  const { directory, primaries, health } = options;
  const copies = new Map<TargetId, Copy>();

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
        return nowMs() - state.since < UNREGISTERED_COPY_TIMEOUT_MS;
      case "left":
        return !hasOtherPrimary(target) ||
          (!isCoveredByOther(target, state.floor) &&
            nowMs() - state.since < UNREGISTERED_COPY_TIMEOUT_MS);
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

  function applyEvent({ kind, target }: DirectoryEvent): void {
    switch (kind) {
      case "found":
      case "changed":
        copies.set(target.id, { target, state: { kind: "registered" } });
        return;
      case "gone": {
        const since = nowMs();
        const state: CopyState = target.isDraining
          ? { kind: "left", since, floor: options.tryPosition(target.service) }
          : { kind: "lapsed", since };
        copies.set(target.id, { target, state });
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
  };
}
