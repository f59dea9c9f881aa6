/** Ends waits for answers that can no longer come. */

import type { Monitor } from "./monitor.ts";
import type { Stoppable } from "./types.ts";

const CHECK_MS = 100;

/** The waits of one pool. */
export interface AnswerWaiter extends Stoppable {
  /** Resolves with `promise`, or with undefined once `isOver` holds. */
  waitFor<T>(
    promise: Promise<T>,
    isUnanswerable: () => boolean,
  ): Promise<T | undefined>;
}

interface PendingWait {
  readonly isOver: () => boolean;
  end(): void;
}

/** Creates the waits, which are looked at with each report of a target. */
export function createAnswerWaiter(monitor: Monitor): AnswerWaiter {
  const pendingWaits = new Set<PendingWait>();
  const check = () =>
    [...pendingWaits].filter((wait) => wait.isOver()).forEach((wait) =>
      wait.end()
    );
  const timer = setInterval(check, CHECK_MS);
  const unsubscribe = monitor.onReport(check);

  return {
    waitFor(promise, isOver) {
      return new Promise((resolve, reject) => {
        const wait: PendingWait = {
          isOver,
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
