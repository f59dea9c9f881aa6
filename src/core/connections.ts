/** Pool of connections from this host to the targets of one group. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import type {
  HostIo,
  Stoppable,
  TargetConn,
  TargetErr,
  TargetInfo,
} from "./types.ts";

/** Interval at which warm connections are opened again, in milliseconds. */
export const MAINTENANCE_INTERVAL_MS = 500;
/** Idle connections are closed after this time without a request. */
export const IDLE_TIMEOUT_MS = 10_000;
const REFUSED_RETRY_DELAY_MS = 20;
const DEFAULT_WAIT_MS = 500;

/** Connection pool; every connection it hands out is in a clean state. */
export interface Connections extends Stoppable {
  /**
   * Takes a connection for exclusive use. Waits until the deadline, or
   * `DEFAULT_WAIT_MS`, if this host is at its limit or the target at its own.
   */
  acquire(
    target: TargetInfo,
    options?: { readonly deadline: number },
  ): Promise<Result<TargetConn, TargetErr>>;
  /** Returns a connection to the pool; closes it unless `clean` is true. */
  release(conn: TargetConn, options: { readonly clean: boolean }): void;
  /** Keeps `warmPerTarget` connections to these targets open while in use. */
  keepWarm(targets: readonly TargetInfo[]): void;
}

/** Limits of a connection pool. */
export interface ConnectionsOptions {
  /** Maximum number of connections from this host to one target. */
  readonly maxPerTarget: number;
  /** Number of connections to each target that are opened in advance. */
  readonly warmPerTarget: number;
}

/**
 * Returns the number of connections that one pool host may open to each target:
 * the lowest limit of all targets, divided among the pool hosts.
 */
export function getConnectionShare(
  targets: readonly TargetInfo[],
  hostsPerGroup: number,
): number {
  const lowestLimit = Math.min(
    ...targets.map((target) => target.maxConnections),
  );
  return Math.max(1, Math.floor(lowestLimit / hostsPerGroup));
}

type Acquired = Result<TargetConn, TargetErr>;

interface Waiter {
  readonly deadline: number;
  settle(result: Acquired): void;
}

interface TargetConnections {
  readonly info: TargetInfo;
  readonly idle: TargetConn[];
  readonly waiting: Waiter[];
  /** Number of connections that are open or being opened. */
  total: number;
  /** When the target last refused a connection at its limit. */
  refusedAt: number;
}

/** Creates an empty connection pool. */
export function createConnections(
  io: HostIo,
  options: ConnectionsOptions,
): Connections {
  const targets = new Map<TargetId, TargetConnections>();
  let warmTargets: readonly TargetInfo[] = [];
  let usedAt = nowMs();
  let stopped = false;
  const timer = setInterval(maintain, MAINTENANCE_INTERVAL_MS);

  function getTarget(info: TargetInfo): TargetConnections {
    const target = targets.get(info.target) ??
      { info, idle: [], waiting: [], total: 0, refusedAt: -Infinity };
    targets.set(info.target, target);
    return target;
  }

  function closeConnection(target: TargetConnections, conn: TargetConn): void {
    conn.close();
    target.total--;
  }

  function tryIdle(target: TargetConnections): TargetConn | undefined {
    while (target.idle.length > 0) {
      const conn = target.idle.pop()!;
      if (conn.isOpen()) {
        return conn;
      }
      closeConnection(target, conn);
    }
    return undefined;
  }

  async function openConnection(target: TargetConnections): Promise<Acquired> {
    target.total++;
    const res = await io.targets.connect(target.info);
    if (res.isErr()) {
      target.total--;
      target.refusedAt = res.error.kind === "connection_refused"
        ? nowMs()
        : target.refusedAt;
    } else if (stopped) {
      closeConnection(target, res.value);
    }
    return res;
  }

  function canOpen(target: TargetConnections): boolean {
    return target.total < options.maxPerTarget &&
      nowMs() - target.refusedAt >= REFUSED_RETRY_DELAY_MS;
  }

  /** Hands idle connections to waiters and opens one more if any remain. */
  function serveWaiters(target: TargetConnections): void {
    while (target.waiting.length > 0) {
      const conn = tryIdle(target);
      if (!conn) {
        break;
      }
      target.waiting[0]!.settle(Ok(conn));
    }
    if (target.waiting.length > 0 && canOpen(target)) {
      void openForWaiters(target);
    }
  }

  async function openForWaiters(target: TargetConnections): Promise<void> {
    const res = await openConnection(target);
    if (res.isOk()) {
      makeAvailable(target, res.value);
    } else {
      handleFailedOpen(target, res);
    }
  }

  /** Passes a failed attempt to the first waiter; the next gets a new one. */
  function handleFailedOpen(
    target: TargetConnections,
    res: Err<TargetErr>,
  ): void {
    if (res.error.kind === "connection_refused") {
      setTimeout(() => serveWaiters(target), REFUSED_RETRY_DELAY_MS);
      return;
    }
    target.waiting[0]?.settle(res);
    serveWaiters(target);
  }

  function makeAvailable(target: TargetConnections, conn: TargetConn): void {
    if (stopped) {
      return;
    }
    target.idle.push(conn);
    serveWaiters(target);
  }

  function waitForConnection(
    target: TargetConnections,
    deadline: number,
  ): Promise<Acquired> {
    return new Promise((resolve) => {
      const timeout = setTimeout(
        () => waiter.settle(Err({ kind: "connection_refused", sent: false })),
        Math.max(0, deadline - nowMs()),
      );
      const waiter: Waiter = {
        deadline,
        settle(result) {
          clearTimeout(timeout);
          const index = target.waiting.indexOf(waiter);
          if (index >= 0) {
            target.waiting.splice(index, 1);
          }
          resolve(result);
        },
      };
      target.waiting.push(waiter);
      serveWaiters(target);
    });
  }

  async function warmUp(target: TargetConnections): Promise<void> {
    if (target.total < options.warmPerTarget && canOpen(target)) {
      const res = await openConnection(target);
      if (res.isOk()) {
        makeAvailable(target, res.value);
        await warmUp(target);
      } else {
        // Requests may have come to wait for this connection meanwhile.
        handleFailedOpen(target, res);
      }
    }
  }

  function maintain(): void {
    if (nowMs() - usedAt < IDLE_TIMEOUT_MS) {
      warmTargets.map(getTarget).forEach((target) => void warmUp(target));
      return;
    }
    // Another host may now be a pool host of the group and need connections.
    for (const target of targets.values()) {
      target.idle.splice(0).forEach((conn) => closeConnection(target, conn));
    }
  }

  return {
    async acquire(info, acquireOptions) {
      usedAt = nowMs();
      const target = getTarget(info);
      const conn = target.waiting.length === 0 ? tryIdle(target) : undefined;
      return conn ? Ok(conn) : await waitForConnection(
        target,
        acquireOptions?.deadline ?? nowMs() + DEFAULT_WAIT_MS,
      );
    },
    release(conn, { clean }) {
      const target = targets.get(conn.target)!;
      if (clean && conn.isOpen() && !stopped) {
        makeAvailable(target, conn);
      } else {
        closeConnection(target, conn);
        serveWaiters(target);
      }
    },
    keepWarm(infos) {
      warmTargets = infos.filter((info) => !info.leaving);
      maintain();
    },
    stop() {
      stopped = true;
      clearInterval(timer);
      for (const target of targets.values()) {
        target.idle.splice(0).forEach((conn) => closeConnection(target, conn));
        [...target.waiting].forEach((waiter) =>
          waiter.settle(Err({ kind: "unreachable", sent: false }))
        );
      }
    },
  };
}
