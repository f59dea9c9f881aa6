/** Counts connections to targets and the errors on them. */

import type { Result } from "ts-results-es";
import type {
  MetricsSink,
  TargetConn,
  TargetDriver,
  TargetErr,
  TargetInfo,
} from "../core/types.ts";

/** Wraps `driver` so that its connections and errors are counted. */
export function createMeteredTargets(
  driver: TargetDriver,
  metrics: MetricsSink,
): TargetDriver {
  const openCounts = new Map<string, number>();

  function updateOpenCount(target: string, change: 1 | -1): void {
    const count = (openCounts.get(target) ?? 0) + change;
    openCounts.set(target, count);
    metrics.set("target_connections", count, { target });
  }

  function recordResult<T>(
    { target }: TargetInfo,
    res: Result<T, TargetErr>,
  ): Result<T, TargetErr> {
    if (res.isErr()) {
      const { kind } = res.error;
      metrics.count("target_errors_total", { target, kind });
    }
    return res;
  }

  function wrapConnection(info: TargetInfo, conn: TargetConn): TargetConn {
    let isCounted = true;
    updateOpenCount(info.target, 1);

    function recordClosed(): void {
      if (isCounted) {
        isCounted = false;
        updateOpenCount(info.target, -1);
      }
    }

    return {
      target: conn.target,
      isOpen() {
        const isOpen = conn.isOpen();
        if (!isOpen) {
          recordClosed();
        }
        return isOpen;
      },
      run: async (req, timeoutMs) =>
        recordResult(info, await conn.run(req, timeoutMs)),
      close() {
        recordClosed();
        conn.close();
      },
    };
  }

  return {
    async connect(info) {
      const conn = recordResult(info, await driver.connect(info));
      return conn.map((opened) => wrapConnection(info, opened));
    },
    async control(info, req, timeoutMs) {
      return recordResult(info, await driver.control(info, req, timeoutMs));
    },
  };
}
