/** Finds a primary that answers but whose replicas get nothing from it. */

import { nowMs } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import type { Monitor } from "./monitor.ts";
import { getMajority, isAtLeast } from "./position.ts";
import type { Position } from "./types.ts";

/** Time without progress of a majority that tells a stall. */
export const STALL_MS = 2_000;
/** Share of that time which supports the finding of another host. */
const SUPPORT_SHARE = 0.6;
/** A replica that lags regularly is given this many of its own pauses. */
const PAUSES = 2;
/** Time after which earlier stalls no longer lengthen the bound. */
const FORGET_MS = 60_000;
const MAX_DOUBLINGS = 4;

/** What is known of the progress of the replicas. */
export interface Stall {
  /** Whether a majority has made no progress for the whole bound. */
  isStalled(): boolean;
  /** Whether it has made none for a good part of it. */
  isSupporting(): boolean;
}

interface Progress {
  logEnd: Position;
  /** Since when the replica waits for entries that the primary has. */
  behindSince: number | undefined;
  longestPauseMs: number;
}

/** Follows the reports of a monitor. */
export function createStall(monitor: Monitor): Stall {
  const replicas = new Map<TargetId, Progress>();
  let term = 0;
  let stalls = 0;
  let stalledAt = -Infinity;

  function getBoundMs(): number {
    const pauses = [...replicas.values()].map((p) => p.longestPauseMs);
    const regularMs = PAUSES * Math.max(0, ...pauses);
    return Math.max(STALL_MS, regularMs) * 2 ** stalls;
  }

  function note(): void {
    const view = monitor.view();
    if (view.term !== term) {
      noteTerm(view.term);
    }
    const end = view.targets
      .find((target) => target.info.target === view.primary)?.status?.logEnd;
    for (const { info, status } of view.targets) {
      if (end && status && info.target !== view.primary) {
        noteReplica(info.target, { logEnd: status.logEnd, end });
      }
    }
  }

  function noteTerm(newTerm: number): void {
    // A stall that a new primary did not mend is given longer the next time.
    if (isStuckFor(getBoundMs() * SUPPORT_SHARE)) {
      stalls = Math.min(MAX_DOUBLINGS, stalls + 1);
      stalledAt = nowMs();
    } else if (nowMs() - stalledAt > FORGET_MS) {
      stalls = 0;
    }
    term = newTerm;
    replicas.forEach((progress) => progress.behindSince = undefined);
  }

  function noteReplica(
    target: TargetId,
    seen: { readonly logEnd: Position; readonly end: Position },
  ): void {
    const { logEnd, end } = seen;
    const known = replicas.get(target);
    const isLevel = isAtLeast(logEnd, end);
    if (!known) {
      const behindSince = isLevel ? undefined : nowMs();
      replicas.set(target, { logEnd, behindSince, longestPauseMs: 0 });
      return;
    }
    const hasMoved = logEnd.pos !== known.logEnd.pos ||
      logEnd.term !== known.logEnd.term;
    if (hasMoved && known.behindSince !== undefined) {
      const pauseMs = nowMs() - known.behindSince;
      known.longestPauseMs = Math.max(known.longestPauseMs, pauseMs);
    }
    if (isLevel) {
      known.behindSince = undefined;
    } else if (hasMoved || known.behindSince === undefined) {
      known.behindSince = nowMs();
    }
    known.logEnd = logEnd;
  }

  function isStuckFor(ms: number): boolean {
    const size = monitor.view().targets.length;
    const stuck = [...replicas.values()].filter((progress) =>
      progress.behindSince !== undefined &&
      nowMs() - progress.behindSince > ms
    );
    return size - stuck.length < getMajority(size);
  }

  monitor.onReport(note);
  return {
    isStalled: () => isStuckFor(getBoundMs()),
    isSupporting: () => isStuckFor(getBoundMs() * SUPPORT_SHARE),
  };
}
