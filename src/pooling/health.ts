/**
 * Outlier detection: targets that fail, stop answering or lag receive fewer
 * statements.
 */

import { nowMs } from "../core/clock.ts";
import type { TargetId } from "../core/ids.ts";
import { moveAverage } from "../core/moving_average.ts";
import { isAtLeast } from "../core/position.ts";
import { getBackoffMs } from "../core/retry_delay.ts";
import type { Position } from "./types.ts";

/**
 * Bounds of the time for which a target is ejected; the time doubles with each
 * consecutive failure.
 */
const MIN_EJECTION_MS = 300;
const MAX_EJECTION_MS = 3_000;
/** A target that has been failing for longer than this is suspect. */
const SUSPECT_FAILING_MS = 100;
/**
 * A target is suspect once it has left commands unanswered for longer than
 * both this minimum and this multiple of its usual latency.
 */
const SUSPECT_SILENCE_MS = 300;
const SUSPECT_LATENCY_FACTOR = 6;
/** Weight of a new sample in the moving average of latency. */
const EWMA_WEIGHT = 0.15;
/**
 * The lag of a replica that had not reached a read floor is estimated as this
 * multiple of the floor's age, so that the replica is tried again after half of
 * that age.
 */
const LAG_ESTIMATE_FACTOR = 1.5;
/** Lag that is assumed for a replica until another value is observed. */
const DEFAULT_LAG_MS = 60;

/** Observations of one target; times are on the monotonic clock. */
interface HealthRecord {
  latencyMs: number | undefined;
  failures: number;
  /** Start of the current run of consecutive failures. */
  failingSince: number | undefined;
  ejectedUntil: number;
  position: Position | undefined;
  /** Log end that the target has reported; reads may lag behind it. */
  received: Position | undefined;
  lagMs: number;
  lagAt: number;
  /** Number of commands that are not answered yet. */
  pending: number;
  /** Time since which commands are pending and no answer has arrived. */
  silentSince: number | undefined;
  /**
   * Time at which replication on the target was first seen paused by a host.
   */
  pausedSince: number | undefined;
}

/** Health of the targets as observed from this host's traffic. */
export interface Health {
  recordSuccess(
    target: TargetId,
    options: {
      readonly latencyMs: number;
      readonly position: Position | undefined;
    },
  ): void;
  recordFailure(target: TargetId): void;
  /** Records that another host has found the target to be suspect. */
  recordDown(target: TargetId): void;
  /** Records an answer to a command that is not a client's statement. */
  recordAlive(target: TargetId): void;
  /** Returns for how long the target has been failing; 0 if it is not. */
  getFailingMs(target: TargetId): number;
  /**
   * Records a sent command. The caller calls `end` on the result once the
   * command was answered or its connection was lost.
   */
  recordSent(target: TargetId): { end(isAnswered: boolean): void };
  /**
   * Whether the target is unlikely to answer: it is failing, or has been silent
   * for much longer than usual. The outcome of a write sent to it now may stay
   * unknown.
   */
  isSuspect(target: TargetId): boolean;
  /**
   * Whether the target has left commands on this host's own connections
   * unanswered for much longer than usual.
   */
  isSilent(target: TargetId): boolean;
  /** Records that a replica lacked a position reached at least `ageMs` ago. */
  recordLagging(target: TargetId, ageMs: number): void;
  /** Records the status that a target reported about itself. */
  recordReport(
    target: TargetId,
    report: {
      readonly lagMs: number;
      readonly isPaused: boolean;
      readonly received: Position;
    },
  ): void;
  /** Returns the log end that the target has reported last. */
  tryReceived(target: TargetId): Position | undefined;
  /** Whether the target has reported a log end at or past the position. */
  hasReceived(target: TargetId, position: Position): boolean;
  /** Forgets the reported log end, which was that of an earlier process. */
  forgetReceived(target: TargetId): void;
  /** Returns for how long replication was seen paused; 0 if it is running. */
  getPausedMs(target: TargetId): number;
  isEjected(target: TargetId): boolean;
  /** Returns the moving average of the latency; undefined without a sample. */
  tryLatencyMs(target: TargetId): number | undefined;
  /**
   * Returns a lower bound on the replica's current lag in milliseconds: while
   * it applies a backlog, the replica catches up by at most one second per
   * second.
   */
  getLagMs(target: TargetId): number;
  /** Whether the target was observed at or past the position. */
  hasReached(target: TargetId, position: Position): boolean;
  removeTarget(target: TargetId): void;
}

/** Creates a health tracker without observations. */
export function createHealth(): Health {
  const records = new Map<TargetId, HealthRecord>();

  function getRecord(target: TargetId): HealthRecord {
    const record = records.get(target) ?? {
      latencyMs: undefined,
      failures: 0,
      failingSince: undefined,
      ejectedUntil: -Infinity,
      position: undefined,
      received: undefined,
      lagMs: DEFAULT_LAG_MS,
      lagAt: nowMs(),
      pending: 0,
      silentSince: undefined,
      pausedSince: undefined,
    };
    records.set(target, record);
    return record;
  }

  function recordAlive(target: TargetId): void {
    const record = getRecord(target);
    record.failures = 0;
    record.failingSince = undefined;
    record.ejectedUntil = -Infinity;
  }

  function isSilent(target: TargetId): boolean {
    const { silentSince, latencyMs } = getRecord(target);
    const usualMs = (latencyMs ?? 0) * SUSPECT_LATENCY_FACTOR;
    return silentSince !== undefined &&
      nowMs() - silentSince > Math.max(SUSPECT_SILENCE_MS, usualMs);
  }

  function recordFailure(target: TargetId, failingSince = nowMs()): void {
    const record = getRecord(target);
    const ejectionMs = getBackoffMs(record.failures, {
      minMs: MIN_EJECTION_MS,
      maxMs: MAX_EJECTION_MS,
    });
    record.failures++;
    record.failingSince ??= record.silentSince ?? failingSince;
    record.ejectedUntil = nowMs() + ejectionMs;
  }

  function getLagMs(target: TargetId): number {
    const { lagMs, lagAt } = getRecord(target);
    return Math.max(Math.min(lagMs, DEFAULT_LAG_MS), lagMs - (nowMs() - lagAt));
  }

  return {
    recordSuccess(target, { latencyMs, position }) {
      const record = getRecord(target);
      record.latencyMs = moveAverage(record.latencyMs ?? latencyMs, {
        sample: latencyMs,
        weight: EWMA_WEIGHT,
      });
      recordAlive(target);
      record.position = position ?? record.position;
    },
    recordFailure: (target) => recordFailure(target),
    recordDown: (target) =>
      recordFailure(target, nowMs() - SUSPECT_FAILING_MS - 1),
    recordAlive,
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
      const { failingSince } = getRecord(target);
      return (failingSince !== undefined &&
        nowMs() - failingSince > SUSPECT_FAILING_MS) || isSilent(target);
    },
    isSilent,
    getFailingMs(target) {
      const { failingSince } = getRecord(target);
      return failingSince === undefined ? 0 : nowMs() - failingSince;
    },
    recordLagging(target, ageMs) {
      const record = getRecord(target);
      record.lagMs = Math.max(getLagMs(target), ageMs * LAG_ESTIMATE_FACTOR);
      record.lagAt = nowMs();
    },
    recordReport(target, { lagMs, isPaused, received }) {
      const record = getRecord(target);
      record.received = received;
      record.lagMs = lagMs;
      record.lagAt = nowMs();
      record.pausedSince = isPaused ? record.pausedSince ?? nowMs() : undefined;
    },
    forgetReceived(target) {
      getRecord(target).received = undefined;
    },
    getPausedMs(target) {
      const { pausedSince } = getRecord(target);
      return pausedSince === undefined ? 0 : nowMs() - pausedSince;
    },
    tryReceived: (target) => getRecord(target).received,
    hasReceived(target, position) {
      const { received } = getRecord(target);
      return received !== undefined && isAtLeast(received, position);
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
