/** A planned stop of a host: what runs here finishes, nothing new begins. */

import { nowMs, sleep, withTimeout } from "./clock.ts";
import { failed } from "./outcome.ts";
import type { ExecReq, Outcome } from "./types.ts";

/** Time in which peers learn that this host is leaving, in milliseconds. */
export const LEAVE_NOTICE_MS = 1_000;
/** Time for which a host must have been idle before it stops. */
const IDLE_BEFORE_STOP_MS = 200;
const POLL_INTERVAL_MS = 20;
const RELEASE_TIMEOUT_MS = 1_000;

/** The requests that this host runs for itself and its peers. */
export interface DrainController {
  /** Runs a request; a new one is refused while the host is stopping. */
  run(req: ExecReq): Promise<Outcome>;
  /** Resolves when the host is idle, or after `timeoutMs`. */
  drain(timeoutMs: number): Promise<void>;
}

/** What a planned stop acts on. */
export interface DrainOptions {
  exec(req: ExecReq): Promise<Outcome>;
  countTransactions(): number;
  /** Tells peers and the platform that this host is leaving. */
  leave(): void;
  /** Gives back what others can use at once. */
  release(): Promise<void>;
}

/** Creates the requests of one host. */
export function createDrainController(options: DrainOptions): DrainController {
  let inFlight = 0;
  let isRefusing = false;

  /** Statements of open transactions go on. */
  function startsNewWork({ op }: ExecReq): boolean {
    return op.kind === "begin" || !("tx" in op) || op.tx === undefined;
  }

  async function waitIdle(deadline: number): Promise<void> {
    let idleSince = nowMs();
    while (nowMs() < deadline && nowMs() - idleSince < IDLE_BEFORE_STOP_MS) {
      await sleep(POLL_INTERVAL_MS);
      if (inFlight > 0 || options.countTransactions() > 0) {
        idleSince = nowMs();
      }
    }
  }

  return {
    async run(req) {
      if (isRefusing && startsNewWork(req)) {
        return failed({ error: "shutting_down" });
      }
      inFlight++;
      try {
        return await options.exec(req);
      } finally {
        inFlight--;
      }
    },
    async drain(timeoutMs) {
      const deadline = nowMs() + timeoutMs;
      options.leave();
      await sleep(Math.min(LEAVE_NOTICE_MS, timeoutMs));
      isRefusing = true;
      await waitIdle(deadline);
      await withTimeout(options.release(), {
        ms: RELEASE_TIMEOUT_MS,
        fallback: undefined,
      });
    },
  };
}
