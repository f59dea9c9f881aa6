/**
 * Circuit breakers for the paths to a target: over this host's own connections
 * or over those of a holder. One path can fail while others work.
 */

import { nowMs } from "../core/clock.ts";
import type { HostId, TargetId } from "../core/ids.ts";
import { getBackoffMs } from "../core/retry_delay.ts";

/**
 * Bounds of the time after which a path that has failed is probed; the time
 * doubles with each consecutive failure.
 */
const MIN_PROBE_DELAY_MS = 250;
const MAX_PROBE_DELAY_MS = 1_000;

/** Path to a target over the connections of a host. */
export interface Path {
  readonly target: TargetId;
  readonly holder: HostId;
}

/** Failures of paths, as this host has seen them. */
export interface PathHealth {
  recordFailure(path: Path): void;
  recordSuccess(path: Path): void;
  /** Whether the path has failed and no probe has succeeded since. */
  isDown(path: Path): boolean;
  /** Whether the path is down and a probe is due. */
  isProbeDue(path: Path): boolean;
  /** Whether any path to the target is down. */
  hasDownPath(target: TargetId): boolean;
  removeTarget(target: TargetId): void;
}

interface Breaker {
  /** Number of consecutive failures. */
  readonly failures: number;
  readonly probeAt: number;
}

/** Creates breakers that are all closed. */
export function createPathHealth(): PathHealth {
  const breakers = new Map<TargetId, Map<HostId, Breaker>>();

  return {
    recordFailure({ target, holder }) {
      const byHolder = breakers.get(target) ?? new Map<HostId, Breaker>();
      const previous = byHolder.get(holder);
      if (previous && nowMs() < previous.probeAt) {
        // A late failure of a command that was sent before the path was left.
        return;
      }
      const failures = previous?.failures ?? 0;
      const delayMs = getBackoffMs(failures, {
        minMs: MIN_PROBE_DELAY_MS,
        maxMs: MAX_PROBE_DELAY_MS,
      });
      byHolder.set(holder, {
        failures: failures + 1,
        probeAt: nowMs() + delayMs,
      });
      breakers.set(target, byHolder);
    },
    recordSuccess({ target, holder }) {
      const byHolder = breakers.get(target);
      if (byHolder?.delete(holder) && byHolder.size === 0) {
        breakers.delete(target);
      }
    },
    isDown: ({ target, holder }) => breakers.get(target)?.has(holder) === true,
    isProbeDue: ({ target, holder }) =>
      nowMs() >= (breakers.get(target)?.get(holder)?.probeAt ?? Infinity),
    hasDownPath: (target) => breakers.has(target),
    removeTarget: (target) => void breakers.delete(target),
  };
}
