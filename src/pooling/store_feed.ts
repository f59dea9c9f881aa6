/** Follows the objects of one kind in the platform's store. */

import { nowMs, sleep } from "../core/clock.ts";
import type { PlatformStore, Stoppable, StoredObject } from "../core/types.ts";
import type { PoolIo } from "./types.ts";

/** Longest wait of one watch; a silent connection is found that late. */
const WATCH_WAIT_MS = 3_000;
/** First and longest pause after a failed call, in milliseconds. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;

/** What a feed tells. */
export interface FeedHandlers {
  /** The whole kind, at the start and after history was lost. */
  onList(objects: readonly StoredObject[]): void;
  /** One object that changed; version 0 when it was removed. */
  onChange(object: StoredObject): void;
  /** The store answered again after `outageMs` without an answer. */
  onReconnected?(outageMs: number): void;
}

/** A running feed. */
export interface StoreFeed extends Stoppable {
  start(): void;
  /** Time since the last answer of the store, in milliseconds. */
  getTimeSinceAnswerMs(): number;
  /** Whether the last call failed. */
  isUnreachable(): boolean;
}

/** Creates a feed of the objects under `prefix`. */
export function createStoreFeed(
  io: Pick<PoolIo, "log" | "random"> & { readonly store: PlatformStore },
  options: {
    readonly prefix: string;
    /** Longest wait of one watch, in milliseconds. */
    readonly waitMs?: number;
    /** Whether changes may be told seconds late; the store charges less. */
    readonly mayBeLate?: boolean;
    /**
     * Least time between two watches, in milliseconds: changes in between are
     * told together.
     */
    getMinWatchIntervalMs?(): number;
    readonly handlers: FeedHandlers;
  },
): StoreFeed {
  const { prefix, handlers } = options;
  let isStopped = false;
  let isUnreachable = false;
  let answeredAt = nowMs();
  let revision: number | undefined;

  function noteAnswer(): void {
    const outageMs = nowMs() - answeredAt;
    answeredAt = nowMs();
    if (isUnreachable) {
      isUnreachable = false;
      io.log.info("store_regained", { prefix, outageMs: Math.round(outageMs) });
      handlers.onReconnected?.(outageMs);
    }
  }

  function noteFailure(detail: string): void {
    if (!isUnreachable) {
      isUnreachable = true;
      io.log.info("store_lost", { prefix, detail });
    }
  }

  /** One call; false if it failed. */
  async function poll(): Promise<boolean> {
    if (revision === undefined) {
      const listed = await io.store.list(prefix);
      if (listed.isErr()) {
        noteFailure(listed.error.kind);
        return false;
      }
      noteAnswer();
      revision = listed.value.revision;
      handlers.onList(listed.value.objects);
      return true;
    }
    const changes = await io.store.watch(prefix, {
      after: revision,
      // After a failure a short answer tells sooner that the store is back.
      waitMs: isUnreachable ? 0 : options.waitMs ?? WATCH_WAIT_MS,
      mayBeLate: options.mayBeLate ?? false,
    });
    if (changes.isErr()) {
      if (changes.error.kind === "history_gone") {
        io.log.info("history_gone", { prefix, revision });
        revision = undefined;
        return true;
      }
      noteFailure(changes.error.kind);
      return false;
    }
    noteAnswer();
    revision = changes.value.revision;
    changes.value.objects.forEach(handlers.onChange);
    return true;
  }

  async function run(): Promise<void> {
    let retryDelayMs = MIN_RETRY_MS;
    while (!isStopped) {
      const startedAt = nowMs();
      if (await poll()) {
        retryDelayMs = MIN_RETRY_MS;
        const remainingMs = startedAt +
          (options.getMinWatchIntervalMs?.() ?? 0) - nowMs();
        if (remainingMs > 0) {
          await sleep(remainingMs);
        }
        continue;
      }
      await sleep(retryDelayMs * (0.5 + io.random()));
      retryDelayMs = Math.min(MAX_RETRY_MS, retryDelayMs * 2);
    }
  }

  return {
    start: () => void run(),
    getTimeSinceAnswerMs: () => nowMs() - answeredAt,
    isUnreachable: () => isUnreachable,
    stop() {
      isStopped = true;
    },
  };
}
