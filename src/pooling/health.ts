/** Outlier detection: targets that fail, stall or lag get less work. */

import { nowMs } from "../core/clock.ts";
import type { TargetId } from "../core/ids.ts";
import { isAtLeast } from "../core/position.ts";
import type { Position } from "./types.ts";

/** First and longest ejection after failures in a row, in milliseconds. */
const MIN_EJECT_MS = 300;
const MAX_EJECT_MS = 3_000;
/** Failing for longer makes a target doubtful, in milliseconds. */
const DOUBT_MS = 100;
/** Silence that makes a target doubtful: a least, and by its usual latency. */
const MIN_SILENT_MS = 300;
const SILENT_FACTOR = 6;
/** Weight of a new observation in the moving average of latency. */
const EWMA_WEIGHT = 0.15;
/**
 * Multiple of the age of what a replica lacked that its lag is taken for: it
 * is tried again after half of that age.
 */
const LAGGING_FACTOR = 1.5;
/** Lag that is assumed until a replica showed another one, in milliseconds. */
const DEFAULT_LAG_MS = 60;

/** What is known about one target. */
interface Record {
  latencyMs: number | undefined;
  failures: number;
  /** When the failures in a row began. */
  failingSince: number | undefined;
  ejectedUntil: number;
  position: Position | undefined;
  lagMs: number;
  lagAt: number;
  /** Commands that are not answered yet. */
  pending: number;
  /** Since when something is unanswered and nothing was heard. */
  silentSince: number | undefined;
  /** When it was first seen to receive nothing, on order of a host. */
  pausedSince: number | undefined;
}

/** Health of the targets as seen from the traffic of this host. */
export interface Health {
  noteServed(
    target: TargetId,
    options: { readonly ms: number; readonly position: Position | undefined },
  ): void;
  noteFailure(target: TargetId): void;
  /** It answered something other than a statement of a client. */
  noteAlive(target: TargetId): void;
  /** Time for which it has answered nothing; 0 unless it fails. */
  getFailingMs(target: TargetId): number;
  /** A command went out; tells by the result that an answer came or not. */
  noteSent(target: TargetId): { end(isHeard: boolean): void };
  /**
   * Whether it probably gives no answer: it fails, or has been silent for much
   * longer than usual. What is sent to it now may be in doubt.
   */
  isDoubtful(target: TargetId): boolean;
  /** A replica lacked a position that was reached `ageMs` ago or earlier. */
  noteLagging(target: TargetId, ageMs: number): void;
  /** Takes what a target reported of itself. */
  noteReport(
    target: TargetId,
    report: { readonly lagMs: number; readonly isPaused: boolean },
  ): void;
  /** Time for which it has been seen paused; 0 if it receives. */
  getPausedMs(target: TargetId): number;
  isEjected(target: TargetId): boolean;
  /** Moving average of the time to an answer; undefined without one. */
  tryLatencyMs(target: TargetId): number | undefined;
  /**
   * Least lag that the replica may have by now, in milliseconds: it catches up
   * by a second each second at best while old entries hold it up.
   */
  getLagMs(target: TargetId): number;
  /** Whether the target was seen at or past the position. */
  hasReached(target: TargetId, position: Position): boolean;
  forget(target: TargetId): void;
}

/** Creates records without observations. */
export function createHealth(): Health {
  const records = new Map<TargetId, Record>();

  function get(target: TargetId): Record {
    const found = records.get(target) ?? {
      latencyMs: undefined,
      failures: 0,
      failingSince: undefined,
      ejectedUntil: -Infinity,
      position: undefined,
      lagMs: DEFAULT_LAG_MS,
      lagAt: nowMs(),
      pending: 0,
      silentSince: undefined,
      pausedSince: undefined,
    };
    records.set(target, found);
    return found;
  }

  function noteAlive(target: TargetId): void {
    const record = get(target);
    record.failures = 0;
    record.failingSince = undefined;
    record.ejectedUntil = -Infinity;
  }

  function getLagMs(target: TargetId): number {
    const { lagMs, lagAt } = get(target);
    return Math.max(Math.min(lagMs, DEFAULT_LAG_MS), lagMs - (nowMs() - lagAt));
  }

  return {
    noteServed(target, { ms, position }) {
      const record = get(target);
      const previous = record.latencyMs ?? ms;
      record.latencyMs = previous + EWMA_WEIGHT * (ms - previous);
      noteAlive(target);
      record.position = position ?? record.position;
    },
    noteFailure(target) {
      const record = get(target);
      const ms = Math.min(MAX_EJECT_MS, MIN_EJECT_MS * 2 ** record.failures);
      record.failures++;
      record.failingSince ??= record.silentSince ?? nowMs();
      record.ejectedUntil = nowMs() + ms;
    },
    noteAlive,
    noteSent(target) {
      const record = get(target);
      record.pending++;
      record.silentSince ??= nowMs();
      return {
        end(isHeard) {
          record.pending--;
          if (record.pending === 0) {
            record.silentSince = undefined;
          } else if (isHeard) {
            record.silentSince = nowMs();
          }
        },
      };
    },
    isDoubtful(target) {
      const { failingSince, silentSince, latencyMs } = get(target);
      const now = nowMs();
      const usualMs = (latencyMs ?? 0) * SILENT_FACTOR;
      return (failingSince !== undefined &&
        now - failingSince > DOUBT_MS) ||
        (silentSince !== undefined &&
          now - silentSince > Math.max(MIN_SILENT_MS, usualMs));
    },
    getFailingMs(target) {
      const { failingSince } = get(target);
      return failingSince === undefined ? 0 : nowMs() - failingSince;
    },
    noteLagging(target, ageMs) {
      const record = get(target);
      record.lagMs = Math.max(getLagMs(target), ageMs * LAGGING_FACTOR);
      record.lagAt = nowMs();
    },
    noteReport(target, { lagMs, isPaused }) {
      const record = get(target);
      record.lagMs = lagMs;
      record.lagAt = nowMs();
      record.pausedSince = isPaused ? record.pausedSince ?? nowMs() : undefined;
    },
    getPausedMs(target) {
      const { pausedSince } = get(target);
      return pausedSince === undefined ? 0 : nowMs() - pausedSince;
    },
    isEjected: (target) => nowMs() < get(target).ejectedUntil,
    tryLatencyMs: (target) => get(target).latencyMs,
    getLagMs,
    hasReached(target, position) {
      const seen = get(target).position;
      return seen !== undefined && isAtLeast(seen, position);
    },
    forget: (target) => void records.delete(target),
  };
}
