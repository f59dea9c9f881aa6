/**
 * Scheduler of the slots that this host, a holder, may use at one target. It
 * bounds the statements that run there and decides which waits; connections
 * stay with the dispatcher.
 */

import { nowMs } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import { moveAverage } from "../core/moving_average.ts";
import type { PriorityWait } from "./wait_reports.ts";
import {
  createFairOrder,
  type FairOrderOptions,
  type OrderedStatement,
  PRIORITY_FLOOR,
} from "./fair_order.ts";

/** Half-life of the measured slot time that each priority uses. */
const USE_HALF_LIFE_MS = 500;
/**
 * Bounds of the factor by which waits exceed their estimate, and the weight of
 * one wait in it. The estimate does not know what will arrive.
 */
const MIN_WAIT_FACTOR = 1;
const MAX_WAIT_FACTOR = 10;
const EXPERIENCE_WEIGHT = 0.05;
/** Time without statements after which experience with them is not used. */
const EXPERIENCE_TIMEOUT_MS = 1_000;
/** Lower bound of the fraction of admitted statements that is reported. */
const MIN_ADMITTED_FRACTION = 0.1;
/** Longest wait that is reported; no objective is longer. */
const MAX_REPORTED_WAIT_MS = 60_000;
/** Time added to waits and estimates before they are compared. */
const WAIT_EXTRA_MS = 20;

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
  /**
   * Removes a statement that has not been started; `isTooLate` if it has waited
   * as long as it may.
   */
  leave(
    statement: SlotStatement,
    options?: { readonly isTooLate: boolean },
  ): void;
  /** Starts what can be started; to be called when a connection is free. */
  serve(): void;
  /** Returns how long a new statement outside a transaction would wait. */
  getExpectedWaitMs(
    options: {
      readonly workspace: WorkspaceId;
      readonly priority: number;
    },
  ): number;
  /** Records whether a statement was refused at once. */
  recordAdmission(
    statement: Pick<OrderedStatement, "workspace" | "priority">,
    isAdmitted: boolean,
  ): void;
  /**
   * Lists the expected wait of a workspace's statements for each priority that
   * has been used, as if none had been refused at once: hosts that are told the
   * wait behind the admitted ones would go on sending those that are refused.
   */
  listExpectedWaits(workspace: WorkspaceId): readonly PriorityWait[];
  getLoad(): SlotLoad;
}

/** What became of the statements of a priority and workspace. */
interface Experience {
  /** Moving averages of the waits and of their estimates. */
  waitedMs: number;
  estimatedMs: number;
  /** Fraction of the statements that were not refused at once. */
  admittedFraction: number;
  at: number;
}

/**
 * Returns the factor by which waits exceed their estimate: of the averages, as
 * the average of the factors is too high where estimates vary.
 */
function getWaitFactor({ waitedMs, estimatedMs }: Experience): number {
  const factor = (waitedMs + WAIT_EXTRA_MS) / (estimatedMs + WAIT_EXTRA_MS);
  return Math.min(MAX_WAIT_FACTOR, Math.max(MIN_WAIT_FACTOR, factor));
}

/** Creates a scheduler without statements. */
export function createSlotScheduler(options: {
  /** Number of statements that may run at once, at least 1. */
  getLimit(): number;
  /** The limit that waits are estimated with; that of `getLimit` by default. */
  getUsualLimit?(): number;
  readonly order?: FairOrderOptions<SlotStatement>;
}): SlotScheduler {
  const order = createFairOrder<SlotStatement>({
    hasConnection: (statement) => statement.hasConnection(),
    ...options.order,
  });
  const waiting = new Map<
    SlotStatement,
    { readonly since: number; readonly estimateMs: number }
  >();
  /** Experience with each priority and workspace. */
  const experiences = new Map<string, Experience>();
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
    const entry = waiting.get(statement);
    waiting.delete(statement);
    if (statement.tryStart(created.slot)) {
      if (entry) {
        recordWait(statement, entry);
      }
      return created;
    }
    if (entry) {
      waiting.set(statement, entry);
    }
    inUse--;
    return undefined;
  }

  /** Compares how long a statement has waited with its estimate. */
  function recordWait(
    { priority, workspace, isInTransaction }: SlotStatement,
    { since, estimateMs }: {
      readonly since: number;
      readonly estimateMs: number;
    },
  ): void {
    if (isInTransaction) {
      return;
    }
    const experience = getExperience({ priority, workspace });
    experience.at = nowMs();
    experience.waitedMs = moveAverage(experience.waitedMs, {
      sample: nowMs() - since,
      weight: EXPERIENCE_WEIGHT,
    });
    experience.estimatedMs = moveAverage(experience.estimatedMs, {
      sample: estimateMs,
      weight: EXPERIENCE_WEIGHT,
    });
  }

  function getExperience(
    { priority, workspace }: Pick<OrderedStatement, "workspace" | "priority">,
  ): Experience {
    const key = `${priority} ${workspace}`;
    const known = experiences.get(key);
    if (known && nowMs() - known.at <= EXPERIENCE_TIMEOUT_MS) {
      return known;
    }
    const experience = {
      waitedMs: 0,
      estimatedMs: 0,
      admittedFraction: 1,
      at: nowMs(),
    };
    experiences.set(key, experience);
    return experience;
  }

  /** Estimates the wait from what waits now. */
  function estimateWaitMs(
    statement: {
      readonly workspace: WorkspaceId;
      readonly priority: number;
    },
  ): number {
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
    const usualLimit = Math.max(1, options.getUsualLimit?.() ?? limit);
    const rate = usualLimit *
      Math.max(PRIORITY_FLOOR, 1 - higherPerMs / usualLimit);
    const runningMs = isFree ? 0 : order.getCostMs(statement.priority);
    return (order.getTimeAheadMs(statement) + runningMs) / rate;
  }

  const getExpectedWaitMs: SlotScheduler["getExpectedWaitMs"] = (statement) =>
    estimateWaitMs(statement) * getWaitFactor(getExperience(statement));

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
      waiting.set(statement, {
        since: nowMs(),
        estimateMs: statement.isInTransaction ? 0 : estimateWaitMs(statement),
      });
      order.add(statement);
      serve();
    },
    leave(statement, { isTooLate } = { isTooLate: false }) {
      const entry = waiting.get(statement);
      if (entry) {
        waiting.delete(statement);
        order.remove(statement);
        if (isTooLate) {
          recordWait(statement, entry);
        }
      }
    },
    serve,
    getExpectedWaitMs,
    recordAdmission(statement, isAdmitted) {
      const experience = getExperience(statement);
      experience.at = nowMs();
      experience.admittedFraction = moveAverage(experience.admittedFraction, {
        sample: isAdmitted ? 1 : 0,
        weight: EXPERIENCE_WEIGHT,
      });
    },
    listExpectedWaits: (workspace) =>
      order.listPriorities().map((priority) => {
        const request = { workspace, priority };
        const admitted = Math.max(
          MIN_ADMITTED_FRACTION,
          getExperience(request).admittedFraction,
        );
        return {
          priority,
          waitMs: Math.round(Math.min(
            MAX_REPORTED_WAIT_MS,
            getExpectedWaitMs(request) / admitted,
          )),
        };
      }),
    getLoad: () => ({ inUse, waiting: waiting.size, limit: getLimit() }),
  };
}
