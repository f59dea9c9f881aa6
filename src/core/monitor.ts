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
  TargetStatus,
} from "./types.ts";

/** Interval between status requests to one target, in milliseconds. */
export const STATUS_INTERVAL_MS = 200;
/** Time that a target has to report its status, in milliseconds. */
export const STATUS_TIMEOUT_MS = 600;

/** What is known of one group, and how to learn more. */
export interface Monitor extends Stoppable {
  start(): void;
  view(): GroupView;
  /** Takes a report that came by another way than polling. */
  noteStatus(status: TargetStatus): void;
  /** Position that covers every write acknowledged before the call. */
  tryReadFloor(): Promise<Position | undefined>;
}

interface Report {
  readonly status: TargetStatus;
  readonly at: number;
}

/** Creates the monitor of a group. */
export function createMonitor(io: HostIo, group: GroupInfo): Monitor {
  const reports = new Map<TargetId, Report>();
  let timer: NodeJS.Timeout | undefined;
  let nextFloor: Promise<Position | undefined> | undefined;
  let runningFloor: Promise<unknown> = Promise.resolve();

  function noteStatus(status: TargetStatus): void {
    reports.set(status.target, { status, at: nowMs() });
  }

  async function poll(
    target: GroupInfo["targets"][number],
  ): Promise<TargetStatus | undefined> {
    const res = await io.targets.control(
      target,
      { kind: "status" },
      STATUS_TIMEOUT_MS,
    );
    if (res.isErr()) {
      return undefined;
    }
    noteStatus(res.value);
    return res.value;
  }

  function view(): GroupView {
    const statuses = [...reports.values()].map((report) => report.status);
    const term = Math.max(0, ...statuses.map((status) => status.term));
    const primary = statuses.find((status) =>
      status.role === "primary" && status.term === term
    );
    return {
      group: group.group,
      term,
      primary: primary?.target,
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
      const pollAll = () => group.targets.forEach((t) => void poll(t));
      pollAll();
      timer = setInterval(pollAll, STATUS_INTERVAL_MS);
    },
    view,
    noteStatus,
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
    stop() {
      clearInterval(timer);
    },
  };
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
