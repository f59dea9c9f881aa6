/** Finds a primary that answers but whose replicas get nothing from it. */

import { nowMs } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import type { Monitor } from "./monitor.ts";
import { getMajority, isAtLeast } from "./position.ts";
import type { Position } from "./types.ts";

/** Time without progress of a majority that tells a stall. */
export const STALL_TIMEOUT_MS = 2_000;
/** Share of that time which supports the finding of another host. */
const SUSPECT_FRACTION = 0.6;
/** A replica that lags regularly is given this many of its own pauses. */
const PAUSE_MULTIPLE = 2;
/** Time after which earlier stalls no longer lengthen the bound. */
const STALL_RESET_MS = 60_000;
const MAX_DOUBLINGS = 4;

/** What is known of the progress of the replicas. */
export interface StallDetector {
  /** Whether a majority has made no progress for the whole bound. */
  isStalled(): boolean;
  /** Whether it has made none for a good part of it. */
  isStallSuspected(): boolean;
}

interface Progress {
  logEnd: Position;
  /** Since when the replica waits for entries that the primary has. */
  behindSince: number | undefined;
  longestPauseMs: number;
}

/** Follows the reports of a monitor. */
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
          primaryLogEnd: primaryLogEnd,
        });
      }
    }
  }

  function recordTerm(newTerm: number): void {
    // A stall that a new primary did not mend is given longer the next time.
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
