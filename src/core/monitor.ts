/** Watches the targets of one group: primary, term and positions. */

import { nowMs } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import { tryMajorityFloor } from "./position.ts";
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
export const FRESH_MS = 1_000;
/** A polling round later than this means that this host was paused. */
const PAUSE_MS = 3 * STATUS_INTERVAL_MS;

/** What is known of one group, and how to learn more. */
export interface Monitor extends Stoppable {
  start(): void;
  view(): GroupView;
  /** Takes the report of a target on a request sent at `askedAt`. */
  noteStatus(status: TargetStatus, askedAt: number): void;
  /** Asks every target at once. */
  refresh(): void;
  /** Position that covers every write acknowledged before the call. */
  tryReadFloor(): Promise<Position | undefined>;
  /** Calls back after each report; the result ends that. */
  onReport(listener: (status: TargetStatus) => void): () => void;
  /** Time since the primary of the highest term last reported. */
  getSilenceMs(): number;
  /** Time since the highest term known rose. */
  getTermAgeMs(): number;
  /** Targets that reported within `FRESH_MS`. */
  countFresh(): number;
  /** Takes the group as it stands after a change of the lists. */
  update(group: GroupInfo): void;
}

interface Report {
  readonly status: TargetStatus;
  readonly at: number;
}

/** Creates the monitor of a group. */
export function createMonitor(io: HostIo, initial: GroupInfo): Monitor {
  const reports = new Map<TargetId, Report>();
  const listeners = new Set<(status: TargetStatus) => void>();
  let group = initial;
  let timer: NodeJS.Timeout | undefined;
  let nextFloor: Promise<Position | undefined> | undefined;
  let runningFloor: Promise<unknown> = Promise.resolve();
  let polledAt = nowMs();
  let primaryAt = nowMs();
  let termAt = nowMs();
  let term = 0;
  let primary: TargetId | undefined;

  function noteStatus(status: TargetStatus, askedAt: number): void {
    const known = reports.get(status.target);
    const isLate = known !== undefined && askedAt < known.at;
    if (isLate && !isNewer(status, known.status)) {
      return;
    }
    reports.set(status.target, { status, at: nowMs() });
    notePrimary(status);
    listeners.forEach((listener) => listener(status));
  }

  function notePrimary(status: TargetStatus): void {
    if (status.term > term) {
      term = status.term;
      termAt = nowMs();
      primary = undefined;
      io.metrics.set("group_term", term, { group: group.group });
    }
    if (status.term < term || status.role !== "primary") {
      return;
    }
    primaryAt = nowMs();
    if (primary !== status.target) {
      primary = status.target;
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
    noteStatus(res.value, askedAt);
    return res.value;
  }

  function refresh(): void {
    group.targets.forEach((target) => void poll(target));
  }

  function pollAll(): void {
    // Whoever was paused has heard nothing, whatever the targets did.
    if (nowMs() - polledAt > PAUSE_MS) {
      primaryAt = nowMs();
    }
    polledAt = nowMs();
    refresh();
  }

  function view(): GroupView {
    return {
      group: group.group,
      term,
      primary,
      targets: group.targets.map((info) => ({
        info,
        status: reports.get(info.target)?.status,
        reportedAt: reports.get(info.target)?.at ?? -Infinity,
      })),
    };
  }

  async function readFloor(): Promise<Position | undefined> {
    const majority = createGather(group.targets.length);
    group.targets.forEach((target) =>
      void poll(target).then((status) => majority.add(status?.logEnd))
    );
    return await majority.done;
  }

  return {
    start() {
      polledAt = nowMs();
      pollAll();
      timer = setInterval(pollAll, STATUS_INTERVAL_MS);
    },
    view,
    noteStatus,
    refresh,
    tryReadFloor() {
      // A read that has begun may have missed writes acknowledged since, so
      // callers share the next one.
      nextFloor ??= runningFloor.then(() => {
        nextFloor = undefined;
        const floor = readFloor();
        runningFloor = floor;
        return floor;
      });
      return nextFloor;
    },
    onReport(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    getSilenceMs: () => nowMs() - primaryAt,
    getTermAgeMs: () => nowMs() - termAt,
    countFresh: () =>
      view().targets.filter((t) => nowMs() - t.reportedAt < FRESH_MS).length,
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
function isNewer(status: TargetStatus, known: TargetStatus): boolean {
  return status.term > known.term ||
    (status.term === known.term && status.role === "primary" &&
      known.role === "replica");
}

interface Gather {
  add(logEnd: Position | undefined): void;
  readonly done: Promise<Position | undefined>;
}

/** Collects log ends until a majority has answered. */
function createGather(size: number): Gather {
  const logEnds: Position[] = [];
  let answers = 0;
  let resolve: (floor: Position | undefined) => void;
  const done = new Promise<Position | undefined>((r) => resolve = r);
  return {
    add(logEnd) {
      answers++;
      if (logEnd) {
        logEnds.push(logEnd);
      }
      const floor = tryMajorityFloor(logEnds, size);
      if (floor || answers === size) {
        resolve(floor);
      }
    },
    done,
  };
}
