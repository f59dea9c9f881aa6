/** Watches the objects of one kind in the platform's store. */

import { nowMs, sleep } from "../core/clock.ts";
import { getBackoffMs } from "../core/retry_delay.ts";
import type { PlatformStore, Stoppable, StoredObject } from "../core/types.ts";
import type { LogFields, PoolIo } from "./types.ts";

/** Longest wait of one watch unless the feed has another, in milliseconds. */
const WATCH_WAIT_MS = 3_000;
/** Initial and longest retry delay after a failed call, in milliseconds. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/**
 * Number of failures in a row after which the delay begins to grow. A watch may
 * be cut off and the call after it left unanswered, and a change that was made
 * before must still be in force in time.
 */
const QUICK_RETRIES = 2;

/** Callbacks of a feed. */
export interface FeedHandlers {
  /** Called with all objects, at the start and after history was lost. */
  onList(objects: readonly StoredObject[]): void;
  /** Called with changed objects, in order; version 0 if one was removed. */
  onChanges(objects: readonly StoredObject[]): void;
  /**
   * Called when the store answers again after `outageMs` without an answer, and
   * before the first list after it returned to an earlier copy.
   */
  onReconnected?(outageMs: number): void;
}

/** Feed of changes; runs from `start` to `stop`. */
export interface StoreFeed extends Stoppable {
  start(): void;
  /** Whether the last call failed. */
  isUnreachable(): boolean;
  /**
   * Time for which changes may be unknown here, in milliseconds; infinite before
   * the first exact answer.
   */
  getAgeMs(): number;
}

/** Creates a feed of the objects under `prefix`. */
export function createStoreFeed(
  io: Pick<PoolIo, "log" | "random"> & { readonly store: PlatformStore },
  options: {
    readonly prefix: string;
    /**
     * Longest wait of one watch, in milliseconds; also bounds the detection of
     * a dead connection.
     */
    readonly waitMs?: number;
    /** Allows changes to arrive seconds late, which costs the store less. */
    readonly mayBeLate?: boolean;
    /**
     * Minimum interval between two watches, in milliseconds; changes in
     * between are delivered together.
     */
    getMinWatchIntervalMs?(): number;
    /** Whether the first list may be late, as an exact watch follows it. */
    mayListLate?(): boolean;
    /** Resolves when the first watch may begin. */
    waitBeforeFirstWatch?(): Promise<void>;
    readonly handlers: FeedHandlers;
  },
): StoreFeed {
  const { prefix, handlers } = options;
  let isStopped = false;
  let isUnreachable = false;
  let answeredAt = nowMs();
  /** Time up to which all changes are known. */
  let knownUntil = -Infinity;
  let revision: number | undefined;
  let hasReturned = false;
  let hasListed = false;
  let interruptWatch = () => {};

  io.store.eras?.onRise(() => {
    io.log.info("watch_given_up", { prefix, revision });
    revision = undefined;
    hasReturned = true;
    interruptWatch();
  });

  function getAgeMs(): number {
    return nowMs() - knownUntil;
  }

  function recordAnswer(ageMs: number): void {
    const outageMs = nowMs() - answeredAt;
    answeredAt = nowMs();
    knownUntil = Math.max(knownUntil, answeredAt - ageMs);
    if (isUnreachable) {
      isUnreachable = false;
      io.log.info("store_regained", { prefix, outageMs: Math.round(outageMs) });
      handlers.onReconnected?.(outageMs);
    }
  }

  function recordFailure(detail: string, timing: LogFields = {}): void {
    if (!isUnreachable) {
      isUnreachable = true;
      io.log.info("store_lost", { prefix, detail, ...timing });
    }
  }

  /** Makes one call to the store; false if it failed. */
  async function poll(): Promise<boolean> {
    if (revision === undefined) {
      const mayBeLate = !hasListed && options.mayListLate?.() === true;
      const listed = await io.store.list(prefix, { mayBeLate });
      if (listed.isErr()) {
        recordFailure(listed.error.kind);
        return false;
      }
      recordAnswer(mayBeLate ? Infinity : 0);
      if (hasReturned) {
        hasReturned = false;
        handlers.onReconnected?.(0);
      }
      revision = listed.value.revision;
      handlers.onList(listed.value.objects);
      if (!hasListed) {
        hasListed = true;
        await options.waitBeforeFirstWatch?.();
      }
      return true;
    }
    const interrupted = new Promise<undefined>((resolve) => {
      interruptWatch = () => resolve(undefined);
    });
    // After a failure, a call without wait detects recovery sooner.
    const waitMs = isUnreachable ? 0 : options.waitMs ?? WATCH_WAIT_MS;
    const startedAt = nowMs();
    const watched = io.store.watch(prefix, {
      after: revision,
      waitMs,
      ageMs: getAgeMs(),
      mayBeLate: options.mayBeLate ?? false,
    });
    const changes = await Promise.race([interrupted, watched]);
    if (changes === undefined) {
      return true;
    }
    if (changes.isErr()) {
      const timing = {
        waitMs,
        tookMs: Math.round(nowMs() - startedAt),
        ageMs: Math.round(getAgeMs()),
      };
      if (changes.error.kind === "history_gone") {
        io.log.info("history_gone", { prefix, revision, ...timing });
        revision = undefined;
        return true;
      }
      recordFailure(changes.error.kind, timing);
      return false;
    }
    recordAnswer(changes.value.ageMs ?? 0);
    revision = changes.value.revision;
    handlers.onChanges(changes.value.objects);
    return true;
  }

  async function pollUntilStopped(): Promise<void> {
    let failures = 0;
    while (!isStopped) {
      const startedAt = nowMs();
      if (await poll()) {
        failures = 0;
        const remainingMs = startedAt +
          (options.getMinWatchIntervalMs?.() ?? 0) - nowMs();
        if (remainingMs > 0) {
          await sleep(remainingMs);
        }
        continue;
      }
      const growth = Math.max(0, failures + 1 - QUICK_RETRIES);
      const retryDelayMs = getBackoffMs(growth, {
        minMs: MIN_RETRY_MS,
        maxMs: MAX_RETRY_MS,
      });
      failures++;
      await sleep(retryDelayMs * (0.5 + io.random()));
    }
  }

  return {
    start: () => void pollUntilStopped(),
    isUnreachable: () => isUnreachable,
    getAgeMs,
    stop() {
      isStopped = true;
    },
  };
}
