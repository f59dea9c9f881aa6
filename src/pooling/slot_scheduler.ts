/**
 * Scheduler of the slots that this host, a holder, may use at one target. It
 * bounds the statements that run there and decides which waits; connections
 * stay with the dispatcher.
 */

import { nowMs } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import {
  createFairOrder,
  type FairOrderOptions,
  type OrderedStatement,
  PRIORITY_FLOOR,
} from "./fair_order.ts";

/** Half-life of the measured slot time that each priority uses. */
const USE_HALF_LIFE_MS = 500;

/** Permission to run one statement at the target. */
export interface Slot {
  /** Frees the slot; `isServed` is false if nothing was sent. */
  release(isServed?: boolean): void;
}

/** A statement that waits for a slot. */
export interface SlotStatement extends OrderedStatement {
  /** Starts the statement; false if it has no connection at the moment. */
  tryStart(slot: Slot): boolean;
  /** Whether it could start on a connection that is open. */
  hasConnection(): boolean;
}

/** Load of a scheduler, as it is logged with refusals and exported. */
export interface SlotLoad {
  readonly inUse: number;
  readonly waiting: number;
  readonly limit: number;
}

/** Slots of one target. */
export interface SlotScheduler {
  /** Starts the statement, or lets it wait for its turn. */
  enter(statement: SlotStatement): void;
  /** Removes a statement that has not been started. */
  leave(statement: SlotStatement): void;
  /** Starts what can be started; to be called when a connection is free. */
  serve(): void;
  /** Returns how long a new statement outside a transaction would wait. */
  getExpectedWaitMs(
    options: {
      readonly workspace: WorkspaceId;
      readonly priority: number;
    },
  ): number;
  getLoad(): SlotLoad;
}

/** Creates a scheduler without statements. */
export function createSlotScheduler(options: {
  /** Number of statements that may run at once, at least 1. */
  getLimit(): number;
  readonly order?: FairOrderOptions<SlotStatement>;
}): SlotScheduler {
  const order = createFairOrder<SlotStatement>({
    hasConnection: (statement) => statement.hasConnection(),
    ...options.order,
  });
  const waiting = new Set<SlotStatement>();
  /** Slot time used by each priority per millisecond, decaying. */
  const used = new Map<number, { perMs: number; at: number }>();
  let inUse = 0;
  let isServing = false;

  const getLimit = () => Math.max(1, Math.floor(options.getLimit()));

  function getUsePerMs(priority: number): number {
    const use = used.get(priority);
    return use ? use.perMs * 0.5 ** ((nowMs() - use.at) / USE_HALF_LIFE_MS) : 0;
  }

  function recordUse(priority: number, ms: number): void {
    const perMs = getUsePerMs(priority) + ms * Math.LN2 / USE_HALF_LIFE_MS;
    used.set(priority, { perMs, at: nowMs() });
  }

  function createSlot(
    priority: number,
  ): { readonly slot: Slot; onCharge(settle: (ms: number) => void): void } {
    const startedAt = nowMs();
    let settleCharge: ((ms: number) => void) | undefined;
    let isReleased = false;
    inUse++;
    return {
      onCharge: (settle) => void (settleCharge = settle),
      slot: {
        release(isServed = true) {
          if (isReleased) {
            return;
          }
          isReleased = true;
          inUse--;
          const ms = nowMs() - startedAt;
          if (isServed) {
            settleCharge?.(ms);
            recordUse(priority, ms);
          }
          serve();
        },
      },
    };
  }

  function tryStart(
    statement: SlotStatement,
  ): ReturnType<typeof createSlot> | undefined {
    const created = createSlot(statement.priority);
    waiting.delete(statement);
    if (statement.tryStart(created.slot)) {
      return created;
    }
    waiting.add(statement);
    inUse--;
    return undefined;
  }

  function serve(): void {
    if (isServing) {
      return;
    }
    isServing = true;
    while (waiting.size > 0 && inUse < getLimit()) {
      let started: ReturnType<typeof createSlot> | undefined;
      const charge = order.takeNext((statement) => {
        started = tryStart(statement);
        return started !== undefined;
      });
      if (!charge) {
        break;
      }
      started?.onCharge(charge.settle);
    }
    isServing = false;
  }

  return {
    enter(statement) {
      waiting.add(statement);
      order.add(statement);
      serve();
    },
    leave(statement) {
      if (waiting.delete(statement)) {
        order.remove(statement);
      }
    },
    serve,
    getExpectedWaitMs(statement) {
      const limit = getLimit();
      const isFree = inUse < limit;
      if (isFree && waiting.size === 0) {
        return 0;
      }
      let higherPerMs = 0;
      for (const priority of used.keys()) {
        if (priority < statement.priority) {
          higherPerMs += getUsePerMs(priority);
        }
      }
      // What higher priorities have used lately they will use again.
      const rate = limit * Math.max(PRIORITY_FLOOR, 1 - higherPerMs / limit);
      const runningMs = isFree ? 0 : order.getCostMs(statement);
      return (order.getTimeAheadMs(statement) + runningMs) / rate;
    },
    getLoad: () => ({ inUse, waiting: waiting.size, limit: getLimit() }),
  };
}
