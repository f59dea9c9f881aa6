/** Confirms that a majority of a group's targets stores a write. */

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

/**
 * Returns true if the target stores the write at `position`. Only a report and
 * a log end of the write's own term count.
 */
export function holdsWrite(status: TargetStatus, position: Position): boolean {
  return status.term === position.term &&
    status.logEnd.term === position.term &&
    isAtLeast(status.logEnd, position);
}

/** A write that the primary has executed and that is not yet confirmed. */
export interface ExecutedWrite {
  readonly position: Position;
  /** Primary that executed the write and therefore stores it. */
  readonly primary: TargetId;
  readonly deadline: number;
}

/** Tracks replication for all unconfirmed writes of one group. */
export interface Confirmer extends Stoppable {
  /**
   * Resolves to true once a majority of the targets stores the write in the
   * write's own term, and to false if the deadline passes or a target reports
   * a newer term.
   */
  confirm(write: ExecutedWrite): Promise<boolean>;
}

interface PendingWrite {
  readonly position: Position;
  readonly holders: Set<TargetId>;
  settle(isConfirmed: boolean): void;
}

/**
 * Creates the confirmer of a group. At most one `await` request per target is
 * open at a time, however many writes are pending.
 */
export function createConfirmer(
  io: HostIo,
  options: { readonly getGroup: () => GroupInfo; readonly monitor: Monitor },
): Confirmer {
  const { getGroup, monitor } = options;
  const pendingWrites = new Set<PendingWrite>();
  const polledTargets = new Set<TargetId>();

  function updateHolders(write: PendingWrite, status: TargetStatus): void {
    if (status.term > write.position.term) {
      write.settle(false);
      return;
    }
    if (holdsWrite(status, write.position)) {
      write.holders.add(status.target);
    }
    if (write.holders.size >= getMajority(getGroup().targets.length)) {
      write.settle(true);
    }
  }

  /** Returns the lowest position of a pending write that `target` may lack. */
  function tryLowestMissing(target: TargetId): Position | undefined {
    return [...pendingWrites]
      .filter((write) => !write.holders.has(target))
      .map((write) => write.position)
      .sort(comparePositions)[0];
  }

  /** Polls a target until it stores every pending write. */
  async function pollTarget(target: TargetInfo): Promise<void> {
    if (polledTargets.has(target.target)) {
      return;
    }
    polledTargets.add(target.target);
    let position = tryLowestMissing(target.target);
    while (position) {
      const askedAt = nowMs();
      const res = await io.targets.control(
        target,
        { kind: "await", at: position, waitMs: AWAIT_MAX_MS },
        AWAIT_MAX_MS + AWAIT_RETRY_MS,
      );
      if (res.isOk()) {
        monitor.recordStatus(res.value, askedAt);
      }
      if (res.isErr() || !holdsWrite(res.value, position)) {
        await sleep(AWAIT_RETRY_MS);
      }
      position = tryLowestMissing(target.target);
    }
    polledTargets.delete(target.target);
  }

  const unsubscribe = monitor.onReport((status) =>
    [...pendingWrites].forEach((write) => updateHolders(write, status))
  );

  return {
    confirm({ position, primary, deadline }) {
      const startedAt = nowMs();
      return new Promise((resolve) => {
        const timer = setTimeout(
          () => write.settle(false),
          Math.max(0, deadline - nowMs()),
        );
        const write: PendingWrite = {
          position,
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
