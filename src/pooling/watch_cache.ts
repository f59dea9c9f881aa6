/**
 * Answers the watches of many hosts from one watch of the store, with a bounded
 * history of changes. Each answer states how old the store's last answer is.
 */

import { Err, Ok } from "ts-results-es";
import { nowMs, sleep } from "../core/clock.ts";
import type { ObjectKey } from "../core/ids.ts";
import type { EraCalls, EraRes } from "../core/store_era.ts";
import type { PlatformErr, StoredObject, WatchRes } from "../core/types.ts";
import type { PoolIo } from "./types.ts";

/**
 * Age of the store's last answer from which no copy of it is used, in
 * milliseconds. A change must reach each host within 3 s; the rest of that time
 * is for the check of the age, the stand-by and its call to the store.
 */
export const MAX_READER_AGE_MS = 2_500;
/**
 * Time in which a copy that was not used lately must have an age, in
 * milliseconds; two round trips between regions and a call to the store fit into
 * it.
 */
export const FIRST_AGE_TIMEOUT_MS = 500;
/**
 * Longest time between two answers of the store, in milliseconds. Beyond two
 * round trips, this leaves more than half a second of `MAX_READER_AGE_MS` for
 * the delays of a busy host.
 */
const MAX_ANSWER_INTERVAL_MS = 1_750;
/**
 * Longest minimum interval between two watches of the store, in milliseconds.
 * Changes in quick succession are delivered together and cost one call.
 */
const MAX_WATCH_SPACING_MS = 750;
/**
 * Delay of an answer beyond the wait of its watch from which it does not renew
 * the age, in milliseconds: this process may have been stopped meanwhile.
 */
const MAX_ANSWER_DELAY_MS = 500;
/** Time without a request after which the store is not watched any more. */
const IDLE_TIMEOUT_MS = 10_000;
/** Maximum number of objects in the history of a prefix. */
const MAX_HISTORY_OBJECTS = 4_096;
/** Maximum number of watches of other hosts that wait for one prefix. */
const MAX_WAITERS = 1_024;

/** A watch of a host that may have seen another era of the store. */
export interface CachedWatch {
  readonly after: number;
  readonly waitMs: number;
  /** Era in which the revision was read; undefined if the store has none. */
  readonly era: number | undefined;
}

/** Answer from the cache. */
export interface CachedRes extends EraRes<WatchRes> {
  /** Age of the store's last answer; undefined if there is none to trust. */
  readonly ageMs: number | undefined;
}

/** Copy of the changes under one prefix; it watches while it is asked. */
export interface WatchCache {
  watch(request: CachedWatch): Promise<CachedRes>;
  tryGetAgeMs(): number | undefined;
  /** Fails the watches that wait for a copy which is too old. */
  check(): void;
  /** Ends the trust in the age, as after a suspension of this process. */
  distrustAge(): void;
  stop(): void;
}

interface Change {
  readonly object: StoredObject;
  /** Revision up to which the answer reached that contained the change. */
  readonly upTo: number;
}

interface Waiter {
  readonly after: number;
  /** Whether its time to wait is over. */
  isDue: boolean;
  resolve(res: CachedRes): void;
}

/** Creates a cache that does not watch yet. */
export function createWatchCache(
  io: Pick<PoolIo, "log">,
  options: {
    readonly prefix: string;
    /** Allows changes to arrive seconds late, which costs the store less. */
    readonly mayBeLate: boolean;
    /** Minimum interval between two watches, as far as the age allows it. */
    getMinWatchIntervalMs(): number;
    /** Watches the store over this host's own connections. */
    readonly watchStore: EraCalls["watch"];
    /** Called when an answer of the store has renewed the age. */
    onRenewed(): void;
  },
): WatchCache {
  const { prefix, mayBeLate } = options;
  /** Latest change of each key, in the order of their arrival. */
  const history = new Map<ObjectKey, Change>();
  const waiters = new Set<Waiter>();
  let era: number | undefined;
  /** The history has all changes after this revision; undefined without one. */
  let base: number | undefined;
  let revision = 0;
  /** Rises when the history begins anew; calls from before are not used. */
  let generation = 0;
  let answeredAt = -Infinity;
  let requestedAt = -Infinity;
  /** End of the time in which the copy may be too old. */
  let graceUntil = -Infinity;
  let isWatching = false;
  let isFillingIn = false;
  let isStopped = false;

  function tryGetAgeMs(): number | undefined {
    return Number.isFinite(answeredAt) ? nowMs() - answeredAt : undefined;
  }

  function isFresh(): boolean {
    return nowMs() - answeredAt <= MAX_READER_AGE_MS;
  }

  function createRes(result: EraRes<WatchRes>["result"]): CachedRes {
    return { era, result, ageMs: tryGetAgeMs() };
  }

  function createErr(error: PlatformErr): CachedRes {
    return createRes(Err(error));
  }

  function finish(waiter: Waiter, res: CachedRes): void {
    waiters.delete(waiter);
    waiter.resolve(res);
  }

  function failAll(error: PlatformErr): void {
    waiters.forEach((waiter) => finish(waiter, createErr(error)));
  }

  /** Answers a waiter whose changes are there or whose time is over. */
  function serve(waiter: Waiter): void {
    if (base === undefined || waiter.after < base || !isFresh()) {
      return;
    }
    const objects = waiter.after >= revision
      ? []
      : [...history.values()].filter(({ upTo }) => upTo > waiter.after)
        .map(({ object }) => object);
    if (objects.length > 0 || waiter.isDue) {
      const reached = Math.max(revision, waiter.after);
      finish(waiter, createRes(Ok({ revision: reached, objects })));
    }
  }

  function beginAnew(
    from: { readonly era: number | undefined; readonly after?: number },
  ): void {
    generation++;
    era = from.era;
    base = from.after;
    revision = from.after ?? 0;
    answeredAt = -Infinity;
    history.clear();
    isWatching = false;
    isFillingIn = false;
  }

  function addChanges(changes: WatchRes): void {
    // Two calls may be under way, and the older answer may arrive last; it knows
    // no newer state of a key.
    const isNewest = changes.revision >= revision;
    revision = Math.max(revision, changes.revision);
    for (const object of changes.objects) {
      if (isNewest || !history.has(object.key)) {
        history.delete(object.key);
        history.set(object.key, { object, upTo: revision });
      }
    }
    for (const [key, change] of history) {
      if (history.size <= MAX_HISTORY_OBJECTS) {
        break;
      }
      history.delete(key);
      base = Math.max(base ?? 0, change.upTo);
    }
  }

  /** Checks the era of an answer; undefined if the answer is not used. */
  function tryAccept(res: EraRes<WatchRes>): WatchRes | undefined {
    if (res.era !== undefined && era !== undefined && res.era > era) {
      io.log.info("reader_era_changed", { prefix, era: res.era });
      beginAnew({ era: res.era });
      failAll({ kind: "history_gone" });
      return undefined;
    }
    if (res.result.isErr()) {
      const { kind } = res.result.error;
      io.log.info("reader_watch_failed", { prefix, detail: kind, revision });
      if (kind === "history_gone") {
        beginAnew({ era });
        failAll({ kind });
      } else {
        answeredAt = -Infinity;
        failAll({ kind: "unreachable" });
      }
      return undefined;
    }
    if (res.era !== era) {
      io.log.info("reader_watch_failed", { prefix, detail: "outdated" });
      failAll({ kind: "unreachable" });
      return undefined;
    }
    return res.result.value;
  }

  /** Watches the store while it is asked to; ends with the first failure. */
  async function watchWhileWanted(): Promise<void> {
    const started = generation;
    isWatching = true;
    while (!isStopped && nowMs() - requestedAt < IDLE_TIMEOUT_MS) {
      const startedAt = nowMs();
      const waitMs = Math.max(
        0,
        Math.min(answeredAt, startedAt) + MAX_ANSWER_INTERVAL_MS - startedAt,
      );
      const res = await options.watchStore(prefix, {
        after: revision,
        waitMs: Math.round(waitMs),
        mayBeLate,
      });
      if (generation !== started) {
        return;
      }
      const changes = tryAccept(res);
      if (!changes) {
        break;
      }
      const isRenewed = nowMs() - startedAt <= waitMs + MAX_ANSWER_DELAY_MS;
      if (isRenewed) {
        answeredAt = nowMs();
      }
      addChanges(changes);
      waiters.forEach(serve);
      fillInIfNeeded();
      if (isRenewed) {
        options.onRenewed();
      }
      const spacingMs = Math.min(
        MAX_WATCH_SPACING_MS,
        options.getMinWatchIntervalMs(),
      );
      await sleep(Math.max(0, startedAt + spacingMs - nowMs()));
      if (generation !== started) {
        return;
      }
    }
    if (generation === started) {
      isWatching = false;
    }
  }

  /** Reads the changes before the history for hosts that need them. */
  async function fillIn(): Promise<void> {
    const started = generation;
    isFillingIn = true;
    for (;;) {
      const from = Math.min(...[...waiters].map(({ after }) => after));
      if (base === undefined || from >= base || isStopped) {
        break;
      }
      const res = await options.watchStore(prefix, {
        after: from,
        waitMs: 0,
        mayBeLate,
      });
      if (generation !== started) {
        return;
      }
      const changes = tryAccept(res);
      if (!changes) {
        break;
      }
      base = from;
      addChanges(changes);
      waiters.forEach(serve);
      const oldest = base;
      if (oldest > from) {
        // More has changed since than the history can hold.
        [...waiters].filter(({ after }) => after < oldest).forEach((waiter) =>
          finish(waiter, createErr({ kind: "history_gone" }))
        );
      }
    }
    if (generation === started) {
      isFillingIn = false;
    }
  }

  function fillInIfNeeded(): void {
    const isNeeded = [...waiters].some(({ after }) => after < (base ?? 0));
    if (isNeeded && !isFillingIn) {
      void fillIn();
    }
  }

  function watch(request: CachedWatch): Promise<CachedRes> {
    if (isStopped || waiters.size >= MAX_WAITERS) {
      return Promise.resolve(createErr({ kind: "unreachable" }));
    }
    requestedAt = nowMs();
    if (!isFresh() && nowMs() >= graceUntil) {
      graceUntil = nowMs() + FIRST_AGE_TIMEOUT_MS;
    }
    if (request.era !== era && era !== undefined) {
      if (request.era === undefined || request.era < era) {
        return Promise.resolve(createErr({ kind: "history_gone" }));
      }
      failAll({ kind: "unreachable" });
      beginAnew(request);
    }
    if (base === undefined) {
      beginAnew(request);
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        waiter.isDue = true;
        serve(waiter);
      }, request.waitMs);
      const waiter: Waiter = {
        after: request.after,
        isDue: request.waitMs <= 0,
        resolve(res) {
          clearTimeout(timer);
          resolve(res);
        },
      };
      waiters.add(waiter);
      serve(waiter);
      if (!isWatching) {
        void watchWhileWanted();
      }
      fillInIfNeeded();
    });
  }

  return {
    watch,
    tryGetAgeMs,
    check() {
      // A store that is slow, or does not answer, must not hold watches up.
      if (waiters.size > 0 && !isFresh() && nowMs() >= graceUntil) {
        failAll({ kind: "unreachable" });
      }
    },
    distrustAge() {
      answeredAt = -Infinity;
    },
    stop() {
      isStopped = true;
      failAll({ kind: "unreachable" });
    },
  };
}
