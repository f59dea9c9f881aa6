/** Detects a primary that responds but no longer replicates its log. */

import { nowMs } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import type { Monitor } from "./monitor.ts";
import { getMajority, isAtLeast } from "./position.ts";
import type { Position } from "./types.ts";

/** Minimum time without replication progress that counts as a stall. */
export const STALL_TIMEOUT_MS = 2_000;
/** Fraction of the timeout after which a host agrees with a suspicion. */
const SUSPECT_FRACTION = 0.6;
/** The timeout is at least this multiple of the longest pause of a replica. */
const PAUSE_MULTIPLE = 2;
/** Time after which earlier stalls no longer extend the timeout. */
const STALL_RESET_MS = 60_000;
const MAX_DOUBLINGS = 4;

/** Tracks the replication progress of a group. */
export interface StallDetector {
  /** Whether no majority of the targets made progress within the timeout. */
  isStalled(): boolean;
  /** Whether none did within `SUSPECT_FRACTION` of the timeout. */
  isStallSuspected(): boolean;
}

interface Progress {
  logEnd: Position;
  /** Time since which the replica has lacked entries of the primary's log. */
  behindSince: number | undefined;
  longestPauseMs: number;
}

/** Creates a stall detector on the reports of a monitor. */
export function createStallDetector(monitor: Monitor): StallDetector {
  const replicas = new Map<TargetId, Progress>();
  let term = 0;
  let consecutiveStalls = 0;
  let lastStallAt = -Infinity;

  function getTimeoutMs(): number {
    const pauses = [...replicas.values()].map((p) => p.longestPauseMs);
    const pauseBasedMs = PAUSE_MULTIPLE * Math.max(0, ...pauses);
    return Math.max(STALL_TIMEOUT_MS, pauseBasedMs) * 2 ** consecutiveStalls;
  }

  function recordReport(): void {
    const view = monitor.view();
    if (view.term !== term) {
      recordTerm(view.term);
    }
    const primaryLogEnd = view.targets
      .find((target) => target.info.target === view.primary)?.status?.logEnd;
    for (const { info, status } of view.targets) {
      if (primaryLogEnd && status && info.target !== view.primary) {
        recordProgress(info.target, {
          logEnd: status.logEnd,
          primaryLogEnd,
        });
      }
    }
  }

  function recordTerm(newTerm: number): void {
    // A stall that a change of primary did not resolve doubles the timeout.
    if (isStalledFor(getTimeoutMs() * SUSPECT_FRACTION)) {
      consecutiveStalls = Math.min(MAX_DOUBLINGS, consecutiveStalls + 1);
      lastStallAt = nowMs();
    } else if (nowMs() - lastStallAt > STALL_RESET_MS) {
      consecutiveStalls = 0;
    }
    term = newTerm;
    replicas.forEach((progress) => progress.behindSince = undefined);
  }

  function recordProgress(
    target: TargetId,
    positions: { readonly logEnd: Position; readonly primaryLogEnd: Position },
  ): void {
    const { logEnd, primaryLogEnd: end } = positions;
    const progress = replicas.get(target);
    const isCaughtUp = isAtLeast(logEnd, end);
    if (!progress) {
      const behindSince = isCaughtUp ? undefined : nowMs();
      replicas.set(target, { logEnd, behindSince, longestPauseMs: 0 });
      return;
    }
    const hasChanged = logEnd.pos !== progress.logEnd.pos ||
      logEnd.term !== progress.logEnd.term;
    if (hasChanged && progress.behindSince !== undefined) {
      const pauseMs = nowMs() - progress.behindSince;
      progress.longestPauseMs = Math.max(progress.longestPauseMs, pauseMs);
    }
    if (isCaughtUp) {
      progress.behindSince = undefined;
    } else if (hasChanged || progress.behindSince === undefined) {
      progress.behindSince = nowMs();
    }
    progress.logEnd = logEnd;
  }

  function isStalledFor(ms: number): boolean {
    const size = monitor.view().targets.length;
    const stalled = [...replicas.values()].filter((progress) =>
      progress.behindSince !== undefined &&
      nowMs() - progress.behindSince > ms
    );
    return size - stalled.length < getMajority(size);
  }

  monitor.onReport(recordReport);
  return {
    isStalled: () => isStalledFor(getTimeoutMs()),
    isStallSuspected: () => isStalledFor(getTimeoutMs() * SUSPECT_FRACTION),
  };
}
