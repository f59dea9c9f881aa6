/** Watches the targets of one group: primary, term and positions. */

import { nowMs } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import { createFloorHistory, gatherRound, type Round } from "./floors.ts";
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
  /** Asks the targets after the call; undefined without a majority. */
  tryReadRound(): Promise<Round | undefined>;
  /** Covers every write acknowledged more than `maxStaleMs` ago. */
  tryStaleFloor(maxStaleMs: number): Position | undefined;
  /** Calls back after each report; the result ends that. */
  onReport(listener: (status: TargetStatus) => void): () => void;
  /** Time since the primary of the highest term last reported. */
  getSilenceMs(): number;
  /** Time since the primary of the highest term was found. */
  getPrimaryAgeMs(): number;
  /** Time since the highest term known rose. */
  getTermAgeMs(): number;
  /** Targets that reported within `FRESH_MS`. */
  countFresh(): number;
  /** Whether a target has not reported within `FRESH_MS`. */
  isSilent(target: TargetId): boolean;
  /** Whether this host has lost the majority of the targets. */
  isCutOff(): boolean;
  /** Notes that the primary answers others although it is silent here. */
  noteDenied(): void;
  /** Whether only this host misses the primary. */
  isDenied(): boolean;
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
  const history = createFloorHistory();
  const listeners = new Set<(status: TargetStatus) => void>();
  let group = initial;
  let timer: NodeJS.Timeout | undefined;
  let nextRound: Promise<Round | undefined> | undefined;
  let runningRound: Promise<unknown> = Promise.resolve();
  let resumedAt = nowMs();
  let deniedAt = -Infinity;
  let polledAt = nowMs();
  let primaryAt = nowMs();
  let termAt = nowMs();
  let foundAt = nowMs();
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
      foundAt = nowMs();
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

  function pollAll(): void {
    // Whoever was paused has heard nothing, whatever the targets did.
    if (nowMs() - polledAt > PAUSE_MS) {
      primaryAt = nowMs();
      resumedAt = nowMs();
    }
    polledAt = nowMs();
    void readRound();
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

  async function readRound(): Promise<Round | undefined> {
    const round = await gatherRound(group.targets.map(poll));
    if (round) {
      history.add(round);
    }
    return round;
  }

  function countFresh(): number {
    return group.targets.filter((target) => !isSilent(target.target)).length;
  }

  function isSilent(target: TargetId): boolean {
    const at = reports.get(target)?.at ?? -Infinity;
    return nowMs() - at > FRESH_MS;
  }

  return {
    start() {
      polledAt = nowMs();
      pollAll();
      timer = setInterval(pollAll, STATUS_INTERVAL_MS);
    },
    view,
    noteStatus,
    refresh: () => void readRound(),
    tryReadRound() {
      // A round that has begun may have missed writes acknowledged since, so
      // callers share the next one.
      nextRound ??= runningRound.then(() => {
        nextRound = undefined;
        const round = readRound();
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
    getSilenceMs: () => nowMs() - primaryAt,
    getPrimaryAgeMs: () => nowMs() - foundAt,
    getTermAgeMs: () => nowMs() - termAt,
    countFresh,
    isSilent,
    isCutOff: () =>
      nowMs() - resumedAt > FRESH_MS &&
      countFresh() < getMajority(group.targets.length),
    noteDenied() {
      deniedAt = nowMs();
    },
    isDenied: () => nowMs() - deniedAt < FRESH_MS && deniedAt > primaryAt,
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
