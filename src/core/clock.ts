/** Monotonic time and timers of the runtime; tests use fake timers. */

/** Returns the monotonic time of this process, in milliseconds. */
export function nowMs(): number {
  return performance.now();
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Interval in which `waitUntil` polls, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/**
 * Polls until `isDone` returns true or `timeoutMs` is over; returns the last
 * result.
 */
export async function waitUntil(
  isDone: () => boolean,
  timeoutMs: number,
): Promise<boolean> {
  const deadline = nowMs() + timeoutMs;
  while (!isDone() && nowMs() < deadline) {
    await sleep(POLL_INTERVAL_MS);
  }
  return isDone();
}

/**
 * Resolves with the value of `promise`, or with `fallback` if `promise` rejects
 * or is still pending after `ms` milliseconds.
 */
export function withTimeout<T>(
  promise: Promise<T>,
  options: { readonly ms: number; readonly fallback: T },
): Promise<T> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(options.fallback), options.ms);
    promise.then((value) => {
      clearTimeout(timer);
      resolve(value);
    }, () => {
      clearTimeout(timer);
      resolve(options.fallback);
    });
  });
}
