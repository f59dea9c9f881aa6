/**
 * Order in which the statements that wait for a slot of one target are served:
 * open transactions first; then by priority, with a floor for each lower one;
 * within a priority fairly between workspaces by the time their statements
 * take; within a workspace the earliest deadline first among the statements
 * that can still meet theirs.
 */

import { nowMs } from "../core/clock.ts";
import { createFlows, type Flow, type Flows } from "../core/flows.ts";
import type { WorkspaceId } from "../core/ids.ts";
import { moveAverage } from "../core/moving_average.ts";

/**
 * Fraction of the slot time of higher priorities that each priority with
 * waiting statements is owed. With the three priorities of the deployments,
 * at least 0.8 of a target is left to the highest.
 */
export const PRIORITY_FLOOR = 0.1;
/**
 * Maximum slot time that a priority is owed, in milliseconds: a few statements,
 * so that a debt from a long burst does not delay the higher priorities later.
 */
const MAX_OWED_MS = 200;
/**
 * Cost of opening a connection to a target, in milliseconds of a slot. A
 * workspace with an idle connection may go ahead of one without by this much.
 */
const CONNECTION_SETUP_MS = 12;
/** Slot time of a statement that is assumed until one was measured. */
const INITIAL_COST_MS = 20;
/** Weight of the latest statement in the average over all workspaces. */
const COST_SMOOTHING_FACTOR = 0.1;
/** Slot time that one statement counts as at the most, in milliseconds. */
const MAX_COST_MS = 1_000;

/** What the order has to know of a waiting statement. */
export interface OrderedStatement {
  readonly workspace: WorkspaceId;
  /** 0 is served first. */
  readonly priority: number;
  /** Whether it belongs to a transaction that is open at the target. */
  readonly isInTransaction: boolean;
  /** Time by which it has to be answered, on the monotonic clock. */
  readonly objectiveAt: number;
}

/** The slot time that a served statement is charged with. */
export interface Charge {
  /** Adjusts the estimate to the time that the statement took. */
  settle(ms: number): void;
}

/** Waiting statements of one target, in the order in which they are served. */
export interface FairOrder<T extends OrderedStatement> {
  readonly size: number;
  add(statement: T): void;
  remove(statement: T): void;
  /**
   * Takes the first statement that `tryStart` accepts; undefined if there is
   * none. A statement that is not accepted stays where it is.
   */
  takeNext(tryStart: (statement: T) => boolean): Charge | undefined;
  /**
   * Returns the estimated slot time of the statements that would be served
   * before a new one, in milliseconds.
   */
  getTimeAheadMs(
    options: Pick<OrderedStatement, "workspace" | "priority">,
  ): number;
  /** Returns the average slot time of a priority's statements. */
  getCostMs(priority: number): number;
  /** Lists the priorities that have been used, the highest first. */
  listPriorities(): readonly number[];
}

interface Level<T> {
  readonly priority: number;
  readonly flows: Flows<T>;
  /** Moving average over all workspaces, in milliseconds. */
  costMs: number;
  /** Slot time that higher priorities owe to this one, in milliseconds. */
  owedMs: number;
}

/** Settings of an order; the defaults are the ones that are in use. */
export interface FairOrderOptions<T> {
  readonly priorityFloor?: number;
  /** Whether the statement can start without opening a connection. */
  hasConnection?(statement: T): boolean;
}

/** Creates an order without statements. */
export function createFairOrder<T extends OrderedStatement>(
  options: FairOrderOptions<T> = {},
): FairOrder<T> {
  const { priorityFloor = PRIORITY_FLOOR, hasConnection } = options;
  const inTransactions: T[] = [];
  /** Sorted by priority. */
  const levels: Level<T>[] = [];
  let waitingCount = 0;

  function getLevel(priority: number): Level<T> {
    const known = levels.find((level) => level.priority === priority);
    if (known) {
      return known;
    }
    const level: Level<T> = {
      priority,
      flows: createFlows({ getInitialCostMs: () => level.costMs }),
      costMs: INITIAL_COST_MS,
      owedMs: 0,
    };
    levels.push(level);
    levels.sort((a, b) => a.priority - b.priority);
    return level;
  }

  function isBacklogged({ flows }: Level<T>): boolean {
    return flows.listBacklogged().length > 0;
  }

  /** Uses the average over all workspaces, which follows the target sooner. */
  function getWaitingMs(level: Level<T>, { waiting }: Flow<T>): number {
    return waiting.length * level.costMs;
  }

  function getTimeAheadInLevelMs(
    level: Level<T>,
    workspace: WorkspaceId,
  ): number {
    const { flows, costMs } = level;
    const own = flows.get(workspace);
    const ownWaitingMs = getWaitingMs(level, own);
    const ownMs = ownWaitingMs + flows.getVirtualDelay(own);
    let aheadMs = ownWaitingMs;
    for (const flow of flows.listBacklogged()) {
      if (flow !== own) {
        // Another workspace is served before it up to the same use.
        const beforeMs = ownMs + costMs - flows.getVirtualDelay(flow);
        aheadMs += Math.max(0, Math.min(getWaitingMs(level, flow), beforeMs));
      }
    }
    return aheadMs;
  }

  /** Returns the statement of a workspace that is to be served first. */
  function pickEarliest({ waiting, costMs }: Flow<T>): T | undefined {
    const canMeetUntil = nowMs() + costMs;
    let best: T | undefined;
    for (const statement of waiting) {
      const isBetter = !best || compare(statement, best, canMeetUntil) < 0;
      best = isBetter ? statement : best;
    }
    return best;
  }

  /** Serves a statement of the level; returns its estimated slot time. */
  function takeFromLevel(
    level: Level<T>,
    tryStart: (statement: T) => boolean,
  ): { readonly flow: Flow<T>; readonly chargedMs: number } | undefined {
    let served: Flow<T> | undefined;
    let chargedMs = 0;
    const item = level.flows.dequeue((flow) => {
      const statement = pickEarliest(flow);
      if (statement === undefined || !tryStart(statement)) {
        return undefined;
      }
      served = flow;
      chargedMs = flow.costMs;
      return statement;
    }, (flow) => {
      const statement = flow.waiting[0];
      return !hasConnection || !statement || hasConnection(statement)
        ? 0
        : CONNECTION_SETUP_MS;
    });
    return item !== undefined && served
      ? { flow: served, chargedMs }
      : undefined;
  }

  /**
   * Lists the levels in the order in which they are tried: those first that are
   * owed the time of a statement.
   */
  function listLevels(): readonly Level<T>[] {
    const backlogged = levels.filter(isBacklogged);
    const isOwed = ({ flows, owedMs }: Level<T>, index: number) =>
      index > 0 &&
      flows.listBacklogged().some(({ costMs }) => owedMs >= costMs);
    return [
      ...backlogged.filter(isOwed),
      ...backlogged.filter((level, index) => !isOwed(level, index)),
    ];
  }

  /** Adjusts what the priorities are owed after one of them was served. */
  function recordServed(served: Level<T>, costMs: number): void {
    let isPassed = false;
    for (const level of levels) {
      if (!isBacklogged(level)) {
        level.owedMs = 0;
      } else if (level.priority > served.priority) {
        level.owedMs = Math.min(
          MAX_OWED_MS,
          level.owedMs + costMs * priorityFloor,
        );
      } else if (level.priority < served.priority) {
        isPassed = true;
      }
    }
    if (isPassed) {
      served.owedMs = Math.max(0, served.owedMs - costMs);
    }
  }

  return {
    get size() {
      return inTransactions.length + waitingCount;
    },
    add(statement) {
      if (statement.isInTransaction) {
        inTransactions.push(statement);
        return;
      }
      const { flows } = getLevel(statement.priority);
      flows.enqueue(flows.get(statement.workspace), statement);
      waitingCount++;
    },
    remove(statement) {
      if (statement.isInTransaction) {
        const index = inTransactions.indexOf(statement);
        if (index >= 0) {
          inTransactions.splice(index, 1);
        }
        return;
      }
      const { flows } = getLevel(statement.priority);
      const flow = flows.get(statement.workspace);
      if (flow.waiting.includes(statement)) {
        flows.remove(flow, statement);
        waitingCount--;
      }
    },
    takeNext(tryStart) {
      for (const [index, statement] of inTransactions.entries()) {
        if (tryStart(statement)) {
          inTransactions.splice(index, 1);
          const { flows } = getLevel(statement.priority);
          const flow = flows.get(statement.workspace);
          // Transactions are charged to their workspace when they have run.
          return { settle: (ms) => flows.charge(flow, { chargedMs: 0, ms }) };
        }
      }
      for (const level of listLevels()) {
        const taken = takeFromLevel(level, tryStart);
        if (taken) {
          const { flow, chargedMs } = taken;
          waitingCount--;
          recordServed(level, chargedMs);
          return {
            settle(ms) {
              level.flows.charge(flow, { chargedMs, ms });
              level.costMs = moveAverage(level.costMs, {
                sample: Math.min(ms, MAX_COST_MS),
                weight: COST_SMOOTHING_FACTOR,
              });
            },
          };
        }
      }
      return undefined;
    },
    getTimeAheadMs({ workspace, priority }) {
      let aheadMs = 0;
      for (const level of levels) {
        if (level.priority < priority) {
          aheadMs += level.flows.listBacklogged().reduce(
            (ms, flow) => ms + getWaitingMs(level, flow),
            0,
          );
        } else if (level.priority === priority) {
          aheadMs += getTimeAheadInLevelMs(level, workspace);
        }
      }
      return aheadMs;
    },
    getCostMs: (priority) => getLevel(priority).costMs,
    listPriorities: () => levels.map(({ priority }) => priority),
  };
}

/**
 * Compares two statements of a workspace: one that can be answered by its
 * objective, if it ends no earlier than `endAt`, goes before one that cannot.
 */
function compare(
  a: OrderedStatement,
  b: OrderedStatement,
  endAt: number,
): number {
  const isLateA = a.objectiveAt < endAt;
  const isLateB = b.objectiveAt < endAt;
  return isLateA === isLateB
    ? a.objectiveAt - b.objectiveAt
    : Number(isLateA) - Number(isLateB);
}
