/** Confirms that a write is held by a majority of its group's targets. */

import { nowMs, sleep } from "./clock.ts";
import type { Monitor } from "./monitor.ts";
import { getMajority, isAtLeast } from "./position.ts";
import type {
  GroupInfo,
  HostIo,
  Position,
  TargetInfo,
  TargetStatus,
} from "./types.ts";

const AWAIT_MAX_MS = 1_000;
const AWAIT_RETRY_MS = 20;

/** Tells whether a target's report counts for a write of `at.term`. */
export function isHolderOf(status: TargetStatus, at: Position): boolean {
  return status.term === at.term && status.logEnd.term === at.term &&
    isAtLeast(status.logEnd, at);
}

/**
 * Resolves to true once a majority of the targets holds the write in its own
 * term, and to false when the deadline passes or a newer term is met first.
 */
export function confirmWrite(
  io: HostIo,
  options: {
    readonly group: GroupInfo;
    readonly monitor: Monitor;
    readonly at: Position;
    readonly deadline: number;
  },
): Promise<boolean> {
  const { group, monitor, at, deadline } = options;
  const majority = getMajority(group.targets.length);
  let holders = 0;
  let settled = false;

  async function ask(target: TargetInfo): Promise<boolean> {
    while (!settled && nowMs() < deadline) {
      const waitMs = Math.min(AWAIT_MAX_MS, deadline - nowMs());
      const res = await io.targets.control(
        target,
        { kind: "await", at, waitMs },
        waitMs + AWAIT_RETRY_MS,
      );
      if (res.isOk()) {
        monitor.noteStatus(res.value);
        if (isHolderOf(res.value, at)) {
          return true;
        }
        if (res.value.term > at.term) {
          return false;
        }
      }
      await sleep(AWAIT_RETRY_MS);
    }
    return false;
  }

  return new Promise((resolve) => {
    let answers = 0;
    for (const target of group.targets) {
      void ask(target).then((isHolder) => {
        answers++;
        holders += isHolder ? 1 : 0;
        if (holders >= majority || answers === group.targets.length) {
          settled = true;
          resolve(holders >= majority);
        }
      });
    }
  });
}
