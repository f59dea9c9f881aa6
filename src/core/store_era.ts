/**
 * Eras of a store that may return to an earlier copy of itself. A return starts
 * a new era: changes since the copy are lost, and revisions are given out again.
 */

import { Err, type Result } from "ts-results-es";
import type {
  EraChange,
  PlatformErr,
  PlatformStore,
  StoredObject,
  WatchRes,
} from "./types.ts";

/** Response of the store, with the era in which it was given. */
export interface EraRes<T> {
  /** Undefined if there was no response, or if the store has no eras. */
  readonly era: number | undefined;
  readonly result: Result<T, PlatformErr>;
}

/** Calls to a store whose responses name their era. */
export interface EraCalls {
  get(...args: Parameters<PlatformStore["get"]>): Promise<EraRes<StoredObject>>;
  list(...args: Parameters<PlatformStore["list"]>): Promise<EraRes<WatchRes>>;
  put(...args: Parameters<PlatformStore["put"]>): Promise<EraRes<StoredObject>>;
  watch(...args: Parameters<PlatformStore["watch"]>): Promise<EraRes<WatchRes>>;
}

/**
 * Creates a store that reports rises of the era before it returns the response
 * that shows them. A response of an older era is dropped, and so is one to a
 * request whose revision was read in another era.
 */
export function createEraStore(calls: EraCalls): PlatformStore {
  const listeners = new Set<(change: EraChange) => void>();
  let current: number | undefined;

  function raiseTo(era: number): void {
    const previous = current;
    current = era;
    if (previous !== undefined) {
      listeners.forEach((listener) => listener({ era, previous }));
    }
  }

  async function check<T>(
    response: Promise<EraRes<T>>,
    options: { readonly namesRevision: boolean },
  ): Promise<Result<T, PlatformErr>> {
    const sentIn = current;
    const { era, result } = await response;
    if (era === undefined) {
      return result;
    }
    if (current !== undefined && era < current) {
      return Err({ kind: "outdated" });
    }
    if (current === undefined || era > current) {
      raiseTo(era);
    }
    return options.namesRevision && sentIn !== undefined && sentIn !== era
      ? Err({ kind: "outdated" })
      : result;
  }

  return {
    get: (...args) => check(calls.get(...args), { namesRevision: false }),
    list: (...args) => check(calls.list(...args), { namesRevision: false }),
    put: (...args) => check(calls.put(...args), { namesRevision: true }),
    watch: (...args) => check(calls.watch(...args), { namesRevision: true }),
    eras: {
      tryGet: () => current,
      onRise: (listener) => void listeners.add(listener),
    },
  };
}

/** Returns the era of the last response; 0 if the store has no eras. */
export function getEra(store: Pick<PlatformStore, "eras">): number {
  return store.eras?.tryGet() ?? 0;
}
