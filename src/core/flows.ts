/**
 * Fair queueing of the requests that wait for one target: one flow a workspace,
 * served by start tags that advance with the time that its statements take.
 */

import type { WorkspaceId } from "./ids.ts";

const COST_SMOOTHING_FACTOR = 0.2;
const INITIAL_COST_MS = 2;
/** Longest time that one statement is charged for, in milliseconds. */
const MAX_COST_MS = 1_000;

/** The waiting requests of one workspace. */
export interface Flow<T> {
  readonly workspace: WorkspaceId;
  readonly waiting: T[];
  /** Mean time that a statement of the workspace takes, in milliseconds. */
  costMs: number;
  /** Virtual time at which its next request starts. */
  startTag: number;
}

/** The flows of one target. */
export interface Flows<T> {
  get(workspace: WorkspaceId): Flow<T>;
  enqueue(flow: Flow<T>, item: T): void;
  /** Takes the next request among the flows that `isReady` lets through. */
  dequeue(isReady: (flow: Flow<T>) => boolean): T | undefined;
  /** Charges what a statement took beyond what was charged at its start. */
  charge(flow: Flow<T>, options: { chargedMs: number; ms: number }): void;
  listBacklogged(): Flow<T>[];
  /** Virtual time until the flow has its turn. */
  getVirtualDelay(flow: Flow<T>): number;
}

/** Creates flows with nothing waiting. */
export function createFlows<T>(): Flows<T> {
  const flows = new Map<WorkspaceId, Flow<T>>();
  let virtualTime = 0;

  function listWaiting(): Flow<T>[] {
    return [...flows.values()].filter((flow) => flow.waiting.length > 0);
  }

  return {
    get(workspace) {
      const flow = flows.get(workspace) ??
        { workspace, waiting: [], costMs: INITIAL_COST_MS, startTag: 0 };
      flows.set(workspace, flow);
      return flow;
    },
    enqueue(flow, item) {
      if (flow.waiting.length === 0) {
        flow.startTag = Math.max(flow.startTag, virtualTime);
      }
      flow.waiting.push(item);
    },
    dequeue(isReady) {
      const sorted = listWaiting().sort((a, b) => a.startTag - b.startTag);
      const flow = sorted.find(isReady);
      if (!flow) {
        return undefined;
      }
      virtualTime = Math.max(virtualTime, flow.startTag);
      flow.startTag += flow.costMs;
      return flow.waiting.shift();
    },
    charge(flow, { chargedMs: paidMs, ms }) {
      // A statement that hung was not run by the target all that time.
      const spentMs = Math.min(ms, MAX_COST_MS);
      flow.startTag += spentMs - paidMs;
      flow.costMs += COST_SMOOTHING_FACTOR * (spentMs - flow.costMs);
    },
    listBacklogged: listWaiting,
    getVirtualDelay: (flow) => Math.max(0, flow.startTag - virtualTime),
  };
}
