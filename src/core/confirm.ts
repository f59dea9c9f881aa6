/** Confirms that writes are held by a majority of their group's targets. */

import { nowMs, sleep } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import type { Monitor } from "./monitor.ts";
import { comparePositions, getMajority, isAtLeast } from "./position.ts";
import type {
  GroupInfo,
  HostIo,
  Position,
  Stoppable,
  TargetInfo,
  TargetStatus,
} from "./types.ts";

const AWAIT_MAX_MS = 1_000;
const AWAIT_RETRY_MS = 20;

/** Tells whether a target's report counts for a write of `at.term`. */
export function holdsWrite(status: TargetStatus, at: Position): boolean {
  return status.term === at.term && status.logEnd.term === at.term &&
    isAtLeast(status.logEnd, at);
}

/** A write that was executed and is to be confirmed. */
export interface ExecutedWrite {
  readonly at: Position;
  /** The primary that executed it, and so holds it. */
  readonly primary: TargetId;
  readonly deadline: number;
}

/** Waits for the replicas of one group on behalf of all its writes. */
export interface Confirmer extends Stoppable {
  /**
   * Resolves to true once a majority of the targets holds the write in its
   * own term, and to false when the deadline passes or a newer term is met.
   */
  confirm(write: ExecutedWrite): Promise<boolean>;
}

interface PendingWrite {
  readonly at: Position;
  readonly holders: Set<TargetId>;
  settle(isConfirmed: boolean): void;
}

/** Creates the confirmer of a group with one open request per target. */
export function createConfirmer(
  io: HostIo,
  options: { readonly getGroup: () => GroupInfo; readonly monitor: Monitor },
): Confirmer {
  const { getGroup, monitor } = options;
  const pendingWrites = new Set<PendingWrite>();
  const polledTargets = new Set<TargetId>();

  function updateHolders(write: PendingWrite, status: TargetStatus): void {
    if (status.term > write.at.term) {
      write.settle(false);
      return;
    }
    if (holdsWrite(status, write.at)) {
      write.holders.add(status.target);
    }
    if (write.holders.size >= getMajority(getGroup().targets.length)) {
      write.settle(true);
    }
  }

  /** The lowest position that `target` is not known to hold. */
  function tryLowestMissing(target: TargetId): Position | undefined {
    return [...pendingWrites]
      .filter((write) => !write.holders.has(target))
      .map((write) => write.at)
      .sort(comparePositions)[0];
  }

  /** Asks one target for as long as a write waits for it. */
  async function pollTarget(target: TargetInfo): Promise<void> {
    if (polledTargets.has(target.target)) {
      return;
    }
    polledTargets.add(target.target);
    let at = tryLowestMissing(target.target);
    while (at) {
      const askedAt = nowMs();
      const res = await io.targets.control(
        target,
        { kind: "await", at, waitMs: AWAIT_MAX_MS },
        AWAIT_MAX_MS + AWAIT_RETRY_MS,
      );
      if (res.isOk()) {
        monitor.recordStatus(res.value, askedAt);
      }
      if (res.isErr() || !holdsWrite(res.value, at)) {
        await sleep(AWAIT_RETRY_MS);
      }
      at = tryLowestMissing(target.target);
    }
    polledTargets.delete(target.target);
  }

  const unsubscribe = monitor.onReport((status) =>
    [...pendingWrites].forEach((write) => updateHolders(write, status))
  );

  return {
    confirm({ at, primary, deadline }) {
      const startedAt = nowMs();
      return new Promise((resolve) => {
        const timer = setTimeout(
          () => write.settle(false),
          Math.max(0, deadline - nowMs()),
        );
        const write: PendingWrite = {
          at,
          holders: new Set([primary]),
          settle(isConfirmed) {
            clearTimeout(timer);
            pendingWrites.delete(write);
            const { group } = getGroup();
            io.metrics.observe("confirm_ms", nowMs() - startedAt, { group });
            resolve(isConfirmed);
          },
        };
        pendingWrites.add(write);
        monitor.view().targets.forEach((target) =>
          target.status && updateHolders(write, target.status)
        );
        if (pendingWrites.has(write)) {
          getGroup().targets.forEach((target) => void pollTarget(target));
        }
      });
    },
    stop() {
      unsubscribe();
      [...pendingWrites].forEach((write) => write.settle(false));
    },
  };
}
