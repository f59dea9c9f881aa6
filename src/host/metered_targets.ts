/** Counts the connections to targets and what fails on them. */

import type { Result } from "ts-results-es";
import type {
  MetricsSink,
  TargetConn,
  TargetDriver,
  TargetErr,
  TargetInfo,
} from "../core/types.ts";

/** Creates a driver that counts what another one does. */
export function createMeteredTargets(
  driver: TargetDriver,
  metrics: MetricsSink,
): TargetDriver {
  const open = new Map<string, number>();

  function noteOpen(target: string, change: 1 | -1): void {
    const count = (open.get(target) ?? 0) + change;
    open.set(target, count);
    metrics.set("target_connections", count, { target });
  }

  function noteResult<T>(
    { target }: TargetInfo,
    res: Result<T, TargetErr>,
  ): Result<T, TargetErr> {
    if (res.isErr()) {
      const { kind } = res.error;
      metrics.count("target_errors_total", { target, kind });
    }
    return res;
  }

  function meter(info: TargetInfo, conn: TargetConn): TargetConn {
    let isCounted = true;
    noteOpen(info.target, 1);

    function noteClosed(): void {
      if (isCounted) {
        isCounted = false;
        noteOpen(info.target, -1);
      }
    }

    return {
      target: conn.target,
      isOpen() {
        const isOpen = conn.isOpen();
        if (!isOpen) {
          noteClosed();
        }
        return isOpen;
      },
      run: async (req, timeoutMs) =>
        noteResult(info, await conn.run(req, timeoutMs)),
      close() {
        noteClosed();
        conn.close();
      },
    };
  }

  return {
    async connect(info) {
      const conn = noteResult(info, await driver.connect(info));
      return conn.map((opened) => meter(info, opened));
    },
    async control(info, req, timeoutMs) {
      return noteResult(info, await driver.control(info, req, timeoutMs));
    },
  };
}
