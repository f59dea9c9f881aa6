/** Outlier detection: targets that fail, stall or lag get less work. */

import { nowMs } from "../core/clock.ts";
import type { TargetId } from "../core/ids.ts";
import { isAtLeast } from "../core/position.ts";
import type { Position } from "./types.ts";

/** First and longest ejection after failures in a row, in milliseconds. */
const MIN_EJECTION_MS = 300;
const MAX_EJECTION_MS = 3_000;
/** Failing for longer makes a target doubtful, in milliseconds. */
const SUSPECT_FAILING_MS = 100;
/** Silence that makes a target doubtful: a least, and by its usual latency. */
const SUSPECT_SILENCE_MS = 300;
const SUSPECT_LATENCY_FACTOR = 6;
/** Weight of a new observation in the moving average of latency. */
const EWMA_WEIGHT = 0.15;
/**
 * Multiple of the age of what a replica lacked that its lag is taken for: it
 * is tried again after half of that age.
 */
const LAG_ESTIMATE_FACTOR = 1.5;
/** Lag that is assumed until a replica showed another one, in milliseconds. */
const DEFAULT_LAG_MS = 60;

/** What is known about one target. */
interface HealthRecord {
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
  recordSuccess(
    target: TargetId,
    options: {
      readonly latencyMs: number;
      readonly position: Position | undefined;
    },
  ): void;
  recordFailure(target: TargetId): void;
  /** It answered something other than a statement of a client. */
  recordAlive(target: TargetId): void;
  /** Time for which it has answered nothing; 0 unless it fails. */
  getFailingMs(target: TargetId): number;
  /** A command went out; tells by the result that an answer came or not. */
  recordSent(target: TargetId): { end(isAnswered: boolean): void };
  /**
   * Whether it probably gives no answer: it fails, or has been silent for much
   * longer than usual. What is sent to it now may be in doubt.
   */
  isSuspect(target: TargetId): boolean;
  /** A replica lacked a position that was reached `ageMs` ago or earlier. */
  recordLagging(target: TargetId, ageMs: number): void;
  /** Takes what a target reported of itself. */
  recordReport(
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
  removeTarget(target: TargetId): void;
}

/** Creates records without observations. */
export function createHealth(): Health {
  const records = new Map<TargetId, HealthRecord>();

  function getRecord(target: TargetId): HealthRecord {
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

  function recordAlive(target: TargetId): void {
    const record = getRecord(target);
    record.failures = 0;
    record.failingSince = undefined;
    record.ejectedUntil = -Infinity;
  }

  function getLagMs(target: TargetId): number {
    const { lagMs, lagAt } = getRecord(target);
    return Math.max(Math.min(lagMs, DEFAULT_LAG_MS), lagMs - (nowMs() - lagAt));
  }

  return {
    recordSuccess(target, { latencyMs: latencyMs, position }) {
      const record = getRecord(target);
      const previous = record.latencyMs ?? latencyMs;
      record.latencyMs = previous + EWMA_WEIGHT * (latencyMs - previous);
      recordAlive(target);
      record.position = position ?? record.position;
    },
    recordFailure(target) {
      const record = getRecord(target);
      const ejectionMs = Math.min(
        MAX_EJECTION_MS,
        MIN_EJECTION_MS * 2 ** record.failures,
      );
      record.failures++;
      record.failingSince ??= record.silentSince ?? nowMs();
      record.ejectedUntil = nowMs() + ejectionMs;
    },
    recordAlive: recordAlive,
    recordSent(target) {
      const record = getRecord(target);
      record.pending++;
      record.silentSince ??= nowMs();
      return {
        end(isAnswered) {
          record.pending--;
          if (record.pending === 0) {
            record.silentSince = undefined;
          } else if (isAnswered) {
            record.silentSince = nowMs();
          }
        },
      };
    },
    isSuspect(target) {
      const { failingSince, silentSince, latencyMs } = getRecord(target);
      const now = nowMs();
      const usualMs = (latencyMs ?? 0) * SUSPECT_LATENCY_FACTOR;
      return (failingSince !== undefined &&
        now - failingSince > SUSPECT_FAILING_MS) ||
        (silentSince !== undefined &&
          now - silentSince > Math.max(SUSPECT_SILENCE_MS, usualMs));
    },
    getFailingMs(target) {
      const { failingSince } = getRecord(target);
      return failingSince === undefined ? 0 : nowMs() - failingSince;
    },
    recordLagging(target, ageMs) {
      const record = getRecord(target);
      record.lagMs = Math.max(getLagMs(target), ageMs * LAG_ESTIMATE_FACTOR);
      record.lagAt = nowMs();
    },
    recordReport(target, { lagMs, isPaused }) {
      const record = getRecord(target);
      record.lagMs = lagMs;
      record.lagAt = nowMs();
      record.pausedSince = isPaused ? record.pausedSince ?? nowMs() : undefined;
    },
    getPausedMs(target) {
      const { pausedSince } = getRecord(target);
      return pausedSince === undefined ? 0 : nowMs() - pausedSince;
    },
    isEjected: (target) => nowMs() < getRecord(target).ejectedUntil,
    tryLatencyMs: (target) => getRecord(target).latencyMs,
    getLagMs,
    hasReached(target, position) {
      const lastPosition = getRecord(target).position;
      return lastPosition !== undefined && isAtLeast(lastPosition, position);
    },
    removeTarget: (target) => void records.delete(target),
  };
}
