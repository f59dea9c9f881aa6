/** A target with its latency, slots, connection limit and faults. */

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

/** Settings of a target stand-in; times in milliseconds. */
export interface TargetOptions {
  readonly target: TargetId;
  readonly initialRole: InitialRole;
  /** Statements that run at once. */
  readonly slots: number;
  readonly maxConnections: number;
  /** Time until a data connection is ready. */
  readonly connectMs: number;
  /** Time that a statement runs unless it says otherwise. */
  readonly statementMs: number;
  /** One-way latency of every frame. */
  readonly latencyMs: number;
  /** Time that a replica waits before it applies what it fetched. */
  readonly lagMs: number;
  /** One-way latency to the senders of a failure domain, if it differs. */
  readonly latencyMsByDomain?: Readonly<Record<string, number>>;
}

/** How a target misbehaves. */
export interface TargetFaults {
  /** Names of hosts and targets that cannot reach it; `*` for all. */
  readonly cutFrom?: readonly string[];
  /** The process is dead: connections break; its log stays, as on a disk. */
  readonly down?: boolean;
  /** Nothing is taken in, run or answered. */
  readonly frozen?: boolean;
  /** Replaces the replication lag. */
  readonly lagMs?: number;
  /** Replaces the one-way latency of every frame. */
  readonly latencyMs?: number;
  /** Replaces the time that a statement runs. */
  readonly statementMs?: number;
}

/** A data connection to a target; undefined results are lost on the way. */
export interface NodeConnection {
  run(req: RunReq): Promise<Result<RunRes, TargetErr> | undefined>;
  end(): void;
}

/** A target as the network in front of it sees it. */
export interface TargetNode {
  readonly core: TargetCore;
  faults: TargetFaults;
  /** Frames received that hold something of the form of a caller's key. */
  readonly keyHits: number;
  /** Looks for keys in what arrived, as it came over the network. */
  scan(received: string): void;
  /** Learns the failure domain of a sender, for the latency to it. */
  recordSender(from: string, domain: string): void;
  isUnreachableFrom(from: string): boolean;
  /** Undefined when the target has as many connections as it accepts. */
  tryOpen(from: string): NodeConnection | undefined;
  /** Resolves when a new connection may be used; false if that is lost. */
  waitUntilReady(from: string): Promise<boolean>;
  control(
    from: string,
    req: ControlReq,
  ): Promise<Result<TargetStatus, TargetErr> | undefined>;
  /** Serves a replica when there is news; undefined if it gets no answer. */
  fetch(req: FetchReq): Promise<FetchRes | undefined>;
  stop(): void;
}

/** Asks the target at `url` for entries; undefined when it does not answer. */
export type FetchEntries = (
  url: string,
  req: FetchReq,
) => Promise<FetchRes | undefined>;

/** Longest time that a fetch of a replica is held. */
const FETCH_WAIT_MS = 100;
const FETCH_RETRY_MS = 20;
const FROZEN_POLL_MS = 5;
/** The form of a caller's key, written here apart from the system's code. */
const KEY_PATTERN = /tck_[0-9a-f]{18}/;

/** Creates a target that follows its primary through `fetchFrom`. */
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

  /** One way over the network; false if the frame is lost. */
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

  /** Gives up the answer when the target is told to follow another one. */
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

  /** Holds a fetch until there is something to give, or for a bounded time. */
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
    scan(received) {
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
          // A statement whose connection ended before it ran does not run.
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

/** Runs a control request; an await request is held until it is met. */
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

/** Sleeps when there is something to wait for. */
async function sleepIfPositive(ms: number): Promise<void> {
  if (ms > 0) {
    await sleep(ms);
  }
}

interface Slots {
  /** Resolves with the release of the slot. */
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
