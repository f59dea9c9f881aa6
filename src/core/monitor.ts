/** Polls the targets of one group for its primary, term and log positions. */

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

/** Interval between status requests to one target. */
export const STATUS_INTERVAL_MS = 200;
/** Timeout of a status request. */
export const STATUS_TIMEOUT_MS = 1_500;
/** Age up to which a report counts as current. */
export const REPORT_FRESHNESS_MS = 1_000;
/** Gap between polls above which this host is taken to have been paused. */
const PAUSE_THRESHOLD_MS = 3 * STATUS_INTERVAL_MS;

/** Tracks the state of one group by the status reports of its targets. */
export interface Monitor extends Stoppable {
  start(): void;
  view(): GroupView;
  /** Records the report of a target to a request sent at `askedAt`. */
  recordStatus(status: TargetStatus, askedAt: number): void;
  /** Polls every target immediately. */
  refresh(): void;
  /** Polls in a round begun after the call; undefined without a majority. */
  tryPollRound(): Promise<StatusRound | undefined>;
  /**
   * Returns a position that covers every write acknowledged more than
   * `maxStaleMs` ago, if one is known.
   */
  tryStaleFloor(maxStaleMs: number): Position | undefined;
  /** Registers a listener for reports; returns a function to remove it. */
  onReport(listener: (status: TargetStatus) => void): () => void;
  /** Milliseconds since the primary of the highest term last reported. */
  getPrimaryReportAgeMs(): number;
  /** Milliseconds since the primary of the highest term first reported. */
  getPrimaryAgeMs(): number;
  /** Milliseconds since the highest known term last rose. */
  getTermAgeMs(): number;
  /** Counts the targets that reported within `REPORT_FRESHNESS_MS`. */
  countResponsive(): number;
  /** Whether a target has not reported within `REPORT_FRESHNESS_MS`. */
  isUnresponsive(target: TargetId): boolean;
  /** Whether this host cannot reach a majority of the targets. */
  isPartitioned(): boolean;
  /** Records that the primary responds to other hosts, but not to this one. */
  recordSuspicionDenied(): void;
  /** Whether the primary responds to other hosts, but not to this one. */
  isSuspicionDenied(): boolean;
  /** Replaces the definition of the group after a change of the lists. */
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
    // A host that was paused has received no reports, whether or not the
    // targets were responsive.
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
    recordStatus,
    refresh: () => void pollRound(),
    tryPollRound() {
      // The running round may miss writes acknowledged after it began, so
      // callers share the next round.
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
    getPrimaryReportAgeMs: () => nowMs() - primaryReportedAt,
    getPrimaryAgeMs: () => nowMs() - primaryFoundAt,
    getTermAgeMs: () => nowMs() - termRaisedAt,
    countResponsive,
    isUnresponsive,
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

/**
 * Returns whether a report is later than another one although their requests
 * overlapped: its term is higher, or the target became primary in that term.
 */
function isNewer(status: TargetStatus, previous: TargetStatus): boolean {
  return status.term > previous.term ||
    (status.term === previous.term && status.role === "primary" &&
      previous.role === "replica");
}
