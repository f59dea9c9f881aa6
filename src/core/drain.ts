/** Graceful shutdown: running requests finish, new ones are rejected. */

import { nowMs, sleep, withTimeout } from "./clock.ts";
import { failed } from "./outcome.ts";
import type { ExecReq, Outcome } from "./types.ts";

/** Time allowed for peers to learn that this host is leaving. */
export const LEAVE_NOTICE_MS = 1_000;
/** Idle time required before a host stops. */
const IDLE_BEFORE_STOP_MS = 200;
const POLL_INTERVAL_MS = 20;
const RELEASE_TIMEOUT_MS = 1_000;

/** Runs requests for this host and its peers, and drains them on shutdown. */
export interface DrainController {
  /**
   * Runs a request. A request that starts new work fails with `shutting_down`
   * while the host is stopping.
   */
  run(req: ExecReq): Promise<Outcome>;
  /**
   * Announces that the host is leaving, waits until it is idle or `timeoutMs`
   * has passed or `signal` is aborted, and releases its shares.
   */
  drain(timeoutMs: number, signal?: AbortSignal): Promise<void>;
}

/** Operations of the host that the shutdown uses. */
export interface DrainOptions {
  exec(req: ExecReq): Promise<Outcome>;
  countTransactions(): number;
  /** Announces to peers and the platform that this host is leaving. */
  leave(): void;
  /** Releases shares of the limits for immediate use by other hosts. */
  release(): Promise<void>;
}

/** Creates the drain controller of one host. */
export function createDrainController(options: DrainOptions): DrainController {
  let inFlight = 0;
  let rejectsNewWork = false;

  /** Returns false for statements of open transactions, which still run. */
  function startsNewWork({ op }: ExecReq): boolean {
    return op.kind === "begin" || !("tx" in op) || op.tx === undefined;
  }

  async function waitUntilIdle(
    deadline: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    let idleSince = nowMs();
    while (
      !signal?.aborted && nowMs() < deadline &&
      nowMs() - idleSince < IDLE_BEFORE_STOP_MS
    ) {
      await sleep(POLL_INTERVAL_MS);
      if (inFlight > 0 || options.countTransactions() > 0) {
        idleSince = nowMs();
      }
    }
  }

  return {
    async run(req) {
      if (rejectsNewWork && startsNewWork(req)) {
        return failed({ error: "shutting_down" });
      }
      inFlight++;
      try {
        return await options.exec(req);
      } finally {
        inFlight--;
      }
    },
    async drain(timeoutMs, signal) {
      const deadline = nowMs() + timeoutMs;
      options.leave();
      await sleep(Math.min(LEAVE_NOTICE_MS, timeoutMs));
      rejectsNewWork = true;
      await waitUntilIdle(deadline, signal);
      await withTimeout(options.release(), {
        ms: RELEASE_TIMEOUT_MS,
        fallback: undefined,
      });
    },
  };
}
