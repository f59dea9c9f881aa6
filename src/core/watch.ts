/** Ends waits for answers that can no longer come. */

import type { Monitor } from "./monitor.ts";
import type { Stoppable } from "./types.ts";

const CHECK_MS = 100;

/** The waits of one pool. */
export interface Watch extends Stoppable {
  /** Resolves with `promise`, or with undefined once `isOver` holds. */
  until<T>(
    promise: Promise<T>,
    isOver: () => boolean,
  ): Promise<T | undefined>;
}

interface Wait {
  readonly isOver: () => boolean;
  end(): void;
}

/** Creates the waits, which are looked at with each report of a target. */
export function createWatch(monitor: Monitor): Watch {
  const waits = new Set<Wait>();
  const check = () =>
    [...waits].filter((wait) => wait.isOver()).forEach((wait) => wait.end());
  const timer = setInterval(check, CHECK_MS);
  const unsubscribe = monitor.onReport(check);

  return {
    until(promise, isOver) {
      return new Promise((resolve, reject) => {
        const wait: Wait = {
          isOver,
          end: () => finish(() => resolve(undefined)),
        };
        function finish(settle: () => void): void {
          waits.delete(wait);
          settle();
        }
        waits.add(wait);
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
