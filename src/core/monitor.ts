/** Watches the targets of one group: primary, term and positions. */

import { nowMs } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import {
  collectStatusRound,
  createFloorHistory,
  type StatusRound,
} from "./floors.ts";
import { getMajority } from "./position.ts";
import type {
  GroupInfo,
  GroupView,
  HostIo,
  Position,
  Stoppable,
  TargetInfo,
  TargetStatus,
} from "./types.ts";

/** Interval between status requests to one target, in milliseconds. */
export const STATUS_INTERVAL_MS = 200;
/** Time that a target has to report its status, in milliseconds. */
export const STATUS_TIMEOUT_MS = 1_500;
/** A report older than this tells nothing of now, in milliseconds. */
export const REPORT_FRESHNESS_MS = 1_000;
/** A polling round later than this means that this host was paused. */
const PAUSE_THRESHOLD_MS = 3 * STATUS_INTERVAL_MS;

/** What is known of one group, and how to learn more. */
export interface Monitor extends Stoppable {
  start(): void;
  view(): GroupView;
  /** Takes the report of a target on a request sent at `askedAt`. */
  recordStatus(status: TargetStatus, askedAt: number): void;
  /** Asks every target at once. */
  refresh(): void;
  /** Asks the targets after the call; undefined without a majority. */
  tryPollRound(): Promise<StatusRound | undefined>;
  /** Covers every write acknowledged more than `maxStaleMs` ago. */
  tryStaleFloor(maxStaleMs: number): Position | undefined;
  /** Calls back after each report; the result ends that. */
  onReport(listener: (status: TargetStatus) => void): () => void;
  /** Time since the primary of the highest term last reported. */
  getPrimarySilenceMs(): number;
  /** Time since the primary of the highest term was found. */
  getPrimaryAgeMs(): number;
  /** Time since the highest term known rose. */
  getTermAgeMs(): number;
  /** Targets that reported within `FRESH_MS`. */
  countResponsive(): number;
  /** Whether a target has not reported within `FRESH_MS`. */
  isUnresponsive(target: TargetId): boolean;
  /** Whether this host has lost the majority of the targets. */
  isPartitioned(): boolean;
  /** Notes that the primary answers others although it is silent here. */
  recordSuspicionDenied(): void;
  /** Whether only this host misses the primary. */
  isSuspicionDenied(): boolean;
  /** Takes the group as it stands after a change of the lists. */
  update(group: GroupInfo): void;
}

interface Report {
  readonly status: TargetStatus;
  readonly receivedAt: number;
}

/** Creates the monitor of a group. */
export function createMonitor(io: HostIo, initial: GroupInfo): Monitor {
  const reports = new Map<TargetId, Report>();
  const history = createFloorHistory();
  const listeners = new Set<(status: TargetStatus) => void>();
  let group = initial;
  let timer: NodeJS.Timeout | undefined;
  let nextRound: Promise<StatusRound | undefined> | undefined;
  let runningRound: Promise<unknown> = Promise.resolve();
  let resumedAt = nowMs();
  let suspicionDeniedAt = -Infinity;
  let lastPolledAt = nowMs();
  let primaryReportedAt = nowMs();
  let termRaisedAt = nowMs();
  let primaryFoundAt = nowMs();
  let term = 0;
  let primary: TargetId | undefined;

  function recordStatus(status: TargetStatus, askedAt: number): void {
    const previous = reports.get(status.target);
    const isLate = previous !== undefined && askedAt < previous.receivedAt;
    if (isLate && !isNewer(status, previous.status)) {
      return;
    }
    reports.set(status.target, { status, receivedAt: nowMs() });
    recordPrimary(status);
    listeners.forEach((listener) => listener(status));
  }

  function recordPrimary(status: TargetStatus): void {
    if (status.term > term) {
      term = status.term;
      termRaisedAt = nowMs();
      primary = undefined;
      io.metrics.set("group_term", term, { group: group.group });
    }
    if (status.term < term || status.role !== "primary") {
      return;
    }
    primaryReportedAt = nowMs();
    if (primary !== status.target) {
      primary = status.target;
      primaryFoundAt = nowMs();
      io.log({
        component: "monitor",
        event: "primary_found",
        fields: { group: group.group, term, primary },
      });
    }
  }

  async function poll(target: TargetInfo): Promise<TargetStatus | undefined> {
    const askedAt = nowMs();
    const res = await io.targets.control(
      target,
      { kind: "status" },
      STATUS_TIMEOUT_MS,
    );
    if (res.isErr()) {
      return undefined;
    }
    recordStatus(res.value, askedAt);
    return res.value;
  }

  function pollAll(): void {
    // Whoever was paused has heard nothing, whatever the targets did.
    if (nowMs() - lastPolledAt > PAUSE_THRESHOLD_MS) {
      primaryReportedAt = nowMs();
      resumedAt = nowMs();
    }
    lastPolledAt = nowMs();
    void pollRound();
  }

  function view(): GroupView {
    return {
      group: group.group,
      term,
      primary,
      targets: group.targets.map((info) => ({
        info,
        status: reports.get(info.target)?.status,
        reportedAt: reports.get(info.target)?.receivedAt ?? -Infinity,
      })),
    };
  }

  async function pollRound(): Promise<StatusRound | undefined> {
    const round = await collectStatusRound(group.targets.map(poll));
    if (round) {
      history.add(round);
    }
    return round;
  }

  function countResponsive(): number {
    return group.targets.filter((target) => !isUnresponsive(target.target))
      .length;
  }

  function isUnresponsive(target: TargetId): boolean {
    const receivedAt = reports.get(target)?.receivedAt ?? -Infinity;
    return nowMs() - receivedAt > REPORT_FRESHNESS_MS;
  }

  return {
    start() {
      lastPolledAt = nowMs();
      pollAll();
      timer = setInterval(pollAll, STATUS_INTERVAL_MS);
    },
    view,
    recordStatus: recordStatus,
    refresh: () => void pollRound(),
    tryPollRound() {
      // A round that has begun may have missed writes acknowledged since, so
      // callers share the next one.
      nextRound ??= runningRound.then(() => {
        nextRound = undefined;
        const round = pollRound();
        runningRound = round;
        return round;
      });
      return nextRound;
    },
    tryStaleFloor: history.tryFloor,
    onReport(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    getPrimarySilenceMs: () => nowMs() - primaryReportedAt,
    getPrimaryAgeMs: () => nowMs() - primaryFoundAt,
    getTermAgeMs: () => nowMs() - termRaisedAt,
    countResponsive: countResponsive,
    isUnresponsive: isUnresponsive,
    isPartitioned: () =>
      nowMs() - resumedAt > REPORT_FRESHNESS_MS &&
      countResponsive() < getMajority(group.targets.length),
    recordSuspicionDenied() {
      suspicionDeniedAt = nowMs();
    },
    isSuspicionDenied: () =>
      nowMs() - suspicionDeniedAt < REPORT_FRESHNESS_MS &&
      suspicionDeniedAt > primaryReportedAt,
    update(changed) {
      group = changed;
    },
    stop() {
      clearInterval(timer);
      listeners.clear();
    },
  };
}

/** Tells whether a report that overlapped another one is the later of both. */
function isNewer(status: TargetStatus, previous: TargetStatus): boolean {
  return status.term > previous.term ||
    (status.term === previous.term && status.role === "primary" &&
      previous.role === "replica");
}
