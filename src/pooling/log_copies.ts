/** Tracks the targets whose logs may hold acknowledged commits. */

import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import type { Directory, DirectoryEvent } from "./directory.ts";
import type { PrimaryTracker } from "./primary_tracker.ts";
import type { PoolLog, TargetRecord } from "./types.ts";

/**
 * Time for which a target whose registration lapsed counts as a copy, in
 * milliseconds. It may be cut off from the store only, and still receive.
 */
const LAPSED_COPY_TIMEOUT_MS = 60_000;

/**
 * Time for which a target that has left as planned counts as a copy, in
 * milliseconds. The others receive within it what was acknowledged because only
 * that target had received it.
 */
const LEFT_COPY_TIMEOUT_MS = 2_000;

type CopyState =
  | { readonly kind: "registered" }
  /** Silent to the store, without having said that it leaves. */
  | { readonly kind: "lapsed"; readonly since: number }
  /** Has left as planned, and its log with it. */
  | { readonly kind: "left"; readonly since: number };

interface Copy {
  readonly target: TargetRecord;
  readonly state: CopyState;
}

/** Copies of the logs of all services, as far as this host has heard of them. */
export interface LogCopies {
  /** Lists the copies that may still be running. */
  list(service: ServiceId): readonly TargetRecord[];
  /**
   * Ids of all copies that count for acknowledged commits. A primary that has
   * left counts until another one is known: its last commits may be on any one
   * of the others.
   */
  listIds(service: ServiceId): readonly TargetId[];
  /** Returns a copy that may still be running. */
  tryGet(id: TargetId): TargetRecord | undefined;
}

/** Creates a tracker that follows the directory. */
export function createLogCopies(
  log: PoolLog,
  options: {
    readonly directory: Pick<Directory, "onChange">;
    readonly primaries: Pick<PrimaryTracker, "tryPrimary">;
  },
): LogCopies {
  const { directory, primaries } = options;
  const copies = new Map<TargetId, Copy>();

  function hasOtherPrimary({ service, id }: TargetRecord): boolean {
    const primary = primaries.tryPrimary(service);
    return primary !== undefined && primary !== id;
  }

  function isCounted({ target, state }: Copy): boolean {
    switch (state.kind) {
      case "registered":
        return true;
      case "lapsed":
        return nowMs() - state.since < LAPSED_COPY_TIMEOUT_MS;
      case "left":
        return nowMs() - state.since < LEFT_COPY_TIMEOUT_MS ||
          !hasOtherPrimary(target);
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
        const state = target.isDraining ? "left" : "lapsed";
        copies.set(target.id, {
          target,
          state: { kind: state, since: nowMs() },
        });
        return;
      }
      default:
        assertNever(kind);
    }
  }

  directory.onChange(applyEvent);
  return {
    list: (service) =>
      listCopies(service).filter(({ state }) => state.kind !== "left")
        .map(({ target }) => target),
    listIds: (service) => listCopies(service).map(({ target }) => target.id),
    tryGet(id) {
      const copy = copies.get(id);
      return copy && copy.state.kind !== "left" && isCounted(copy)
        ? copy.target
        : undefined;
    },
  };
}
