/**
 * Confirms that no failover can discard a commit: a copy of the log which every
 * failover counts has it, or the store tells that a successor must. A primary
 * acknowledges a commit once any replica has received it, also one that is
 * registered nowhere, which a failover can neither count nor fence.
 */

import { nowMs, sleep, withTimeout } from "../core/clock.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import { hasEntry } from "../core/position.ts";
import { sendControlCommand } from "./control.ts";
import type { CommitReceipts, ExecutionContext } from "./execution.ts";
import type { StoredCopy } from "./log_copies.ts";
import type { StoredFloors } from "./stored_floors.ts";
import { getRttMs } from "./ranking.ts";
import type { Position, TargetRecord, TargetReport } from "./types.ts";

/**
 * Time after which the other copies are asked as well, and all of them again,
 * in milliseconds: one round trip between regions.
 */
const ASK_INTERVAL_MS = 50;
/**
 * Number of such intervals without a receipt after which the store is to name
 * the commit; each of these writes is a call to the store.
 */
const ROUNDS_BEFORE_FLOOR = 5;

/** Creates the receipts of this host. */
export function createCommitReceipts(
  ctx: ExecutionContext,
  options: {
    /**
     * Lists the copies that the store's record names, as far as this host has
     * seen all changes of leases before those of the record.
     */
    listRecorded(service: ServiceId): readonly StoredCopy[];
    readonly floors: StoredFloors;
  },
): CommitReceipts {
  const { health, directory, topology } = ctx;
  const { floors } = options;
  const inProgress = new Map<TargetId, Promise<TargetReport | undefined>>();

  /** Whether the target is likely to answer and to receive commits at once. */
  function isLikelyToFollow({ id }: TargetRecord): boolean {
    return directory.tryGet(id)?.isDraining === false &&
      !health.isSuspect(id) && health.getPausedMs(id) === 0;
  }

  /** Lists the recorded replicas, those with the shortest way first. */
  function listReplicas(
    service: ServiceId,
    primary: TargetId,
  ): readonly TargetRecord[] {
    const getCostMs = (target: TargetRecord) =>
      getRttMs(topology, target.domain) +
      (isLikelyToFollow(target) ? 0 : ASK_INTERVAL_MS);
    return options.listRecorded(service)
      .filter(({ id }) => id !== primary)
      .map((copy): TargetRecord =>
        directory.tryGet(copy.id) ?? { ...copy, service, role: "replica" }
      )
      .toSorted((a, b) => getCostMs(a) - getCostMs(b));
  }

  /** Asks for the log end; joins a request that is under way. */
  function ask(target: TargetRecord): Promise<TargetReport | undefined> {
    const asked = inProgress.get(target.id) ??
      sendControlCommand(ctx, target, { kind: "status" }, { mayForward: true })
        .finally(() => inProgress.delete(target.id));
    inProgress.set(target.id, asked);
    return asked;
  }

  /** Asks for a receipt; rejects if the answer is none. */
  async function askForReceipt(
    target: TargetRecord,
    position: Position,
  ): Promise<void> {
    // A request that is under way may have been sent before the commit.
    const isUnderWay = inProgress.has(target.id);
    await ask(target);
    if (isUnderWay && !hasReceipt([target], position)) {
      await ask(target);
    }
    if (!hasReceipt([target], position)) {
      throw new Error(`${target.id} has not received the commit`);
    }
  }

  /** Whether the log of one of the replicas is known to have the entry. */
  function hasReceipt(
    replicas: readonly TargetRecord[],
    position: Position,
  ): boolean {
    return replicas.some(({ id }) =>
      hasEntry(health.tryReceived(id), position)
    );
  }

  return {
    async waitUntilSafe(service, { position, primary, timeoutMs }) {
      const deadline = nowMs() + timeoutMs;
      for (let round = 0;; round++) {
        const replicas = listReplicas(service, primary);
        if (
          hasReceipt(replicas, position) || floors.covers(service, position)
        ) {
          return true;
        }
        if (ctx.barrier.getState(service, position.term) === "closed") {
          // A target was promoted that may lack the commit.
          return false;
        }
        if (round >= ROUNDS_BEFORE_FLOOR) {
          floors.raise(service, position);
        }
        const roundEnd = Math.min(deadline, nowMs() + ASK_INTERVAL_MS);
        if (nowMs() >= deadline) {
          return false;
        }
        const asked = round === 0 ? replicas.slice(0, 1) : replicas;
        await withTimeout(
          Promise.any(asked.map((target) => askForReceipt(target, position))),
          { ms: roundEnd - nowMs(), fallback: undefined },
        );
        if (round > 0 && !hasReceipt(replicas, position)) {
          await sleep(Math.max(1, roundEnd - nowMs()));
        }
      }
    },
  };
}
