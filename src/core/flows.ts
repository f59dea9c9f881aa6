/**
 * Start-time fair queueing of the requests that wait for one target: one flow
 * per workspace. Flows are served in the order of their start tags, which
 * advance by the time that the statements of the flow take. Used by the queue
 * of a database group and, within a priority, by the order of a target's slots.
 */

import type { WorkspaceId } from "./ids.ts";
import { moveAverage } from "./moving_average.ts";

/** Weight of the latest statement in the moving average of the cost. */
const COST_SMOOTHING_FACTOR = 0.2;
const INITIAL_COST_MS = 2;
/** Maximum charge for one statement. */
const MAX_COST_MS = 1_000;

/** Waiting requests of one workspace. */
export interface Flow<T> {
  readonly workspace: WorkspaceId;
  readonly waiting: T[];
  /** Moving average of the time that a statement takes, in milliseconds. */
  costMs: number;
  /** Virtual time at which the next request of the flow starts. */
  startTag: number;
}

/** Fair queue of one target. */
export interface Flows<T> {
  get(workspace: WorkspaceId): Flow<T>;
  enqueue(flow: Flow<T>, item: T): void;
  /**
   * Dequeues the request that `pick` returns for the first flow for which it
   * returns one. `getDelayMs` puts a flow behind those whose tags are less than
   * this much later, for example because a connection has to be opened for it.
   */
  dequeue(
    pick: (flow: Flow<T>) => T | undefined,
    getDelayMs?: (flow: Flow<T>) => number,
  ): T | undefined;
  /** Removes a request that is no longer to be served. */
  remove(flow: Flow<T>, item: T): void;
  /** Adjusts the charge made on dequeue to the time the statement took. */
  charge(flow: Flow<T>, options: { chargedMs: number; ms: number }): void;
  listBacklogged(): Flow<T>[];
  /** Returns the virtual time until the next request of a flow starts. */
  getVirtualDelay(flow: Flow<T>): number;
}

/** Creates an empty fair queue. */
export function createFlows<T>(
  options: {
    /** Estimate for the first statement of a flow, in milliseconds. */
    getInitialCostMs(): number;
  } = { getInitialCostMs: () => INITIAL_COST_MS },
): Flows<T> {
  const flows = new Map<WorkspaceId, Flow<T>>();
  let virtualTime = 0;

  function listBacklogged(): Flow<T>[] {
    return [...flows.values()].filter((flow) => flow.waiting.length > 0);
  }

  function remove(flow: Flow<T>, item: T): void {
    const index = flow.waiting.indexOf(item);
    if (index >= 0) {
      flow.waiting.splice(index, 1);
    }
  }

  return {
    get(workspace) {
      const flow = flows.get(workspace) ??
        {
          workspace,
          waiting: [],
          costMs: options.getInitialCostMs(),
          startTag: 0,
        };
      flows.set(workspace, flow);
      return flow;
    },
    enqueue(flow, item) {
      if (flow.waiting.length === 0) {
        flow.startTag = Math.max(flow.startTag, virtualTime);
      }
      flow.waiting.push(item);
    },
    dequeue(pick, getDelayMs = () => 0) {
      const sorted = listBacklogged()
        .map((flow) => ({ flow, tag: flow.startTag + getDelayMs(flow) }))
        .sort((a, b) => a.tag - b.tag);
      for (const { flow } of sorted) {
        const item = pick(flow);
        if (item !== undefined) {
          virtualTime = Math.max(virtualTime, flow.startTag);
          flow.startTag += flow.costMs;
          remove(flow, item);
          return item;
        }
      }
      return undefined;
    },
    remove,
    charge(flow, { chargedMs, ms }) {
      // The target was not busy for the whole time of a statement that hung.
      const spentMs = Math.min(ms, MAX_COST_MS);
      flow.startTag += spentMs - chargedMs;
      flow.costMs = moveAverage(flow.costMs, {
        sample: spentMs,
        weight: COST_SMOOTHING_FACTOR,
      });
    },
    listBacklogged,
    getVirtualDelay: (flow) => Math.max(0, flow.startTag - virtualTime),
  };
}
