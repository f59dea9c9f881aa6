/** Target stand-in with latency, slots, a connection limit and faults. */

import type { Result } from "ts-results-es";
import { sleep } from "../src/core/clock.ts";
import type { TargetId } from "../src/core/ids.ts";
import type {
  ControlReq,
  RunReq,
  RunRes,
  TargetErr,
  TargetStatus,
} from "../src/core/types.ts";
import {
  createTargetCore,
  type FetchReq,
  type FetchRes,
  getCostMs,
  type InitialRole,
  type TargetCore,
} from "./target_core.ts";
import { hasReached } from "./target_log.ts";

/** Options of a target stand-in; times in milliseconds. */
export interface TargetOptions {
  readonly target: TargetId;
  readonly initialRole: InitialRole;
  /** Number of statements that run concurrently. */
  readonly slots: number;
  readonly maxConnections: number;
  /** Time to establish a data connection. */
  readonly connectMs: number;
  /** Execution time of a statement that states no `costMs`. */
  readonly statementMs: number;
  /** One-way network latency. */
  readonly latencyMs: number;
  /** Delay between fetching and applying log entries on a replica. */
  readonly lagMs: number;
  /** One-way latency by failure domain of the sender; overrides `latencyMs`. */
  readonly latencyMsByDomain?: Readonly<Record<string, number>>;
}

/** Faults injected into a target; times in milliseconds. */
export interface TargetFaults {
  /** Hosts and targets that cannot reach this target; `*` for all. */
  readonly cutFrom?: readonly string[];
  /** The process is down: connections break, the log survives as on disk. */
  readonly down?: boolean;
  /** The process is suspended: it receives, runs and answers nothing. */
  readonly frozen?: boolean;
  /** Overrides the replication lag. */
  readonly lagMs?: number;
  /** Overrides the one-way network latency. */
  readonly latencyMs?: number;
  /** Overrides the execution time of a statement. */
  readonly statementMs?: number;
}

/** Data connection to a target; an undefined result was lost in transit. */
export interface NodeConnection {
  run(req: RunReq): Promise<Result<RunRes, TargetErr> | undefined>;
  end(): void;
}

/** Target behind a simulated network. */
export interface TargetNode {
  readonly core: TargetCore;
  faults: TargetFaults;
  /** Number of received frames that contain text shaped like a caller's key. */
  readonly keyHits: number;
  /** Searches raw received data for callers' keys. */
  scanForKeys(received: string): void;
  /** Stores the failure domain of a sender, which selects the latency. */
  recordSender(from: string, domain: string): void;
  isUnreachableFrom(from: string): boolean;
  /** Opens a connection; undefined at the connection limit or when down. */
  tryOpen(from: string): NodeConnection | undefined;
  /** Resolves once a new connection is ready; false if the reply is lost. */
  waitUntilReady(from: string): Promise<boolean>;
  control(
    from: string,
    req: ControlReq,
  ): Promise<Result<TargetStatus, TargetErr> | undefined>;
  /** Long-polls for log entries; undefined if the replica gets no answer. */
  fetch(req: FetchReq): Promise<FetchRes | undefined>;
  stop(): void;
}

/** Fetches log entries from the target at `url`; undefined if unanswered. */
export type FetchEntries = (
  url: string,
  req: FetchReq,
) => Promise<FetchRes | undefined>;

/** Longest time that a replica's fetch is held open without new entries. */
const FETCH_WAIT_MS = 100;
const FETCH_RETRY_MS = 20;
const FROZEN_POLL_MS = 5;
/** Form of a caller's key, defined independently of the code under test. */
const KEY_PATTERN = /tck_[0-9a-f]{18}/;

/** Creates a target that replicates from its primary with `fetchEntries`. */
export function createTargetNode(
  options: TargetOptions,
  fetchEntries: FetchEntries,
): TargetNode {
  const core = createTargetCore(options.target, options.initialRole);
  const slots = createSlots(options.slots);
  const domains = new Map<string, string>();
  let connections = 0;
  let keyHits = 0;
  let stopped = false;

  function getLatencyMs(from: string): number {
    const domain = domains.get(from) ?? "";
    return node.faults.latencyMs ?? options.latencyMsByDomain?.[domain] ??
      options.latencyMs;
  }

  async function waitWhileFrozen(): Promise<void> {
    while (node.faults.frozen) {
      await sleep(FROZEN_POLL_MS);
    }
  }

  /** Simulates one-way delivery of a frame; false if it is lost. */
  async function transmit(from: string): Promise<boolean> {
    await sleepIfPositive(getLatencyMs(from));
    await waitWhileFrozen();
    return !node.isUnreachableFrom(from);
  }

  function getExecutionMs(req: RunReq): number {
    const costMs = "body" in req ? getCostMs(req.body) : 0;
    return costMs || (node.faults.statementMs ?? options.statementMs);
  }

  async function replicate(): Promise<void> {
    while (!stopped) {
      await waitWhileFrozen();
      if (node.faults.down) {
        await sleep(FROZEN_POLL_MS);
        continue;
      }
      const next = core.nextFetch();
      const isReachable = !node.isUnreachableFrom(`${core.status().following}`);
      const res = next && isReachable
        ? await fetchUnlessRedirected(next.url, next.req)
        : undefined;
      if (!res) {
        await sleep(FETCH_RETRY_MS);
      } else if (res.entries.length > 0 || res.keep < next!.req.length) {
        await sleepIfPositive(node.faults.lagMs ?? options.lagMs);
        await waitWhileFrozen();
        core.applyFetch(res);
      }
    }
  }

  /** Aborts the fetch when the primary or the term changes meanwhile. */
  function fetchUnlessRedirected(
    url: string,
    req: FetchReq,
  ): Promise<FetchRes | undefined> {
    return new Promise((resolve) => {
      const unsubscribe = core.onChange(() => {
        const next = core.nextFetch();
        if (next?.url !== url || next.req.term !== req.term) {
          finish(undefined);
        }
      });
      function finish(res: FetchRes | undefined): void {
        unsubscribe();
        resolve(res);
      }
      void fetchEntries(url, req).then(finish);
    });
  }

  function tryFetch(req: FetchReq): FetchRes | undefined {
    return node.faults.down || node.faults.frozen ||
        node.isUnreachableFrom(req.target)
      ? undefined
      : core.fetch(req);
  }

  /**
   * Holds a fetch until the replica's log is out of date or can't be served, at
   * most `FETCH_WAIT_MS`.
   */
  function longPollFetch(req: FetchReq): Promise<FetchRes | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(finish, FETCH_WAIT_MS);
      const unsubscribe = core.onChange(check);
      function finish(): void {
        clearTimeout(timer);
        unsubscribe();
        resolve(tryFetch(req));
      }
      function check(): void {
        const res = tryFetch(req);
        const isUpToDate = res?.entries.length === 0 && res.keep === req.length;
        if (!isUpToDate) {
          finish();
        }
      }
      check();
    });
  }

  const node: TargetNode = {
    core,
    faults: {},
    get keyHits() {
      return keyHits;
    },
    scanForKeys(received) {
      keyHits += KEY_PATTERN.test(received) ? 1 : 0;
    },
    recordSender: (from, domain) => domains.set(from, domain),
    isUnreachableFrom: (from) =>
      node.faults.down === true ||
      (node.faults.cutFrom?.some((n) => n === "*" || n === from) ?? false),
    tryOpen(from) {
      if (connections >= options.maxConnections || node.faults.down) {
        return undefined;
      }
      connections++;
      const session = core.openSession();
      let ended = false;
      return {
        async run(req) {
          if (!await transmit(from)) {
            return undefined;
          }
          const release = await slots.acquire();
          await sleepIfPositive(getExecutionMs(req));
          await waitWhileFrozen();
          // A statement does not run if its connection ended before.
          const isLost = ended || node.faults.down;
          const res = isLost ? undefined : session.run(req);
          release();
          return await transmit(from) ? res : undefined;
        },
        end() {
          if (!ended) {
            ended = true;
            connections--;
            session.end();
          }
        },
      };
    },
    async waitUntilReady(from) {
      await sleepIfPositive(options.connectMs);
      return await transmit(from);
    },
    async control(from, req) {
      if (!await transmit(from)) {
        return undefined;
      }
      const res = await runControl(core, req);
      return await transmit(from) ? res : undefined;
    },
    fetch: longPollFetch,
    stop() {
      stopped = true;
    },
  };
  void replicate();
  return node;
}

/**
 * Runs a control request. An await request is held until the log reaches its
 * position, the term rises or `waitMs` pass.
 */
function runControl(
  core: TargetCore,
  req: ControlReq,
): Promise<Result<TargetStatus, TargetErr>> {
  if (req.kind !== "await") {
    return Promise.resolve(core.control(req));
  }
  const { at, waitMs } = req;
  return new Promise((resolve) => {
    const timer = setTimeout(finish, waitMs);
    const unsubscribe = core.onChange(check);
    function finish(): void {
      clearTimeout(timer);
      unsubscribe();
      resolve(core.control(req));
    }
    function check(): void {
      const status = core.status();
      if (hasReached(status, at) || status.term > at.term) {
        finish();
      }
    }
    check();
  });
}

/** Sleeps for `ms`; returns at once, without a timer, if it is 0. */
async function sleepIfPositive(ms: number): Promise<void> {
  if (ms > 0) {
    await sleep(ms);
  }
}

interface Slots {
  /** Resolves with the function that releases the slot. */
  acquire(): Promise<() => void>;
}

function createSlots(count: number): Slots {
  const waiters: (() => void)[] = [];
  let free = count;
  function release(): void {
    free++;
    waiters.shift()?.();
  }
  return {
    async acquire() {
      while (free === 0) {
        await new Promise<void>((resolve) => waiters.push(resolve));
      }
      free--;
      return release;
    },
  };
}
