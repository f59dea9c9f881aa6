/** Ends waits for answers that can no longer arrive. */

import type { Monitor } from "./monitor.ts";
import type { Stoppable } from "./types.ts";

const CHECK_INTERVAL_MS = 100;

/** Pending waits for answers in one pool. */
export interface AnswerWaiter extends Stoppable {
  /**
   * Resolves with the value of `promise`, or with undefined once `shouldAbort`
   * returns true.
   */
  waitFor<T>(
    promise: Promise<T>,
    shouldAbort: () => boolean,
  ): Promise<T | undefined>;
}

interface PendingWait {
  readonly shouldAbort: () => boolean;
  end(): void;
}

/**
 * Creates a waiter that checks its waits at each report of a target, and every
 * `CHECK_MS`.
 */
export function createAnswerWaiter(monitor: Monitor): AnswerWaiter {
  const pendingWaits = new Set<PendingWait>();
  const check = () =>
    [...pendingWaits].filter((wait) => wait.shouldAbort()).forEach((wait) =>
      wait.end()
    );
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  const unsubscribe = monitor.onReport(check);

  return {
    waitFor(promise, shouldAbort) {
      return new Promise((resolve, reject) => {
        const wait: PendingWait = {
          shouldAbort,
          end: () => finish(() => resolve(undefined)),
        };
        function finish(settle: () => void): void {
          pendingWaits.delete(wait);
          settle();
        }
        pendingWaits.add(wait);
        promise.then(
          (value) => finish(() => resolve(value)),
          (err) => finish(() => reject(err)),
        );
      });
    },
    stop() {
      clearInterval(timer);
      unsubscribe();
    },
  };
}
