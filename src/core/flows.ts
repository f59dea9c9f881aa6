/**
 * Fair queueing of the requests that wait for one target: one flow a workspace,
 * served by start tags that advance with the time that its statements take.
 */

import type { WorkspaceId } from "./ids.ts";

const COST_WEIGHT = 0.2;
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
  tag: number;
}

/** The flows of one target. */
export interface Flows<T> {
  get(workspace: WorkspaceId): Flow<T>;
  add(flow: Flow<T>, item: T): void;
  /** Takes the next request among the flows that `isReady` lets through. */
  take(isReady: (flow: Flow<T>) => boolean): T | undefined;
  /** Charges what a statement took beyond what was charged at its start. */
  charge(flow: Flow<T>, options: { paidMs: number; ms: number }): void;
  listWaiting(): Flow<T>[];
  /** Virtual time until the flow has its turn. */
  getLag(flow: Flow<T>): number;
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
        { workspace, waiting: [], costMs: INITIAL_COST_MS, tag: 0 };
      flows.set(workspace, flow);
      return flow;
    },
    add(flow, item) {
      if (flow.waiting.length === 0) {
        flow.tag = Math.max(flow.tag, virtualTime);
      }
      flow.waiting.push(item);
    },
    take(isReady) {
      const sorted = listWaiting().sort((a, b) => a.tag - b.tag);
      const flow = sorted.find(isReady);
      if (!flow) {
        return undefined;
      }
      virtualTime = Math.max(virtualTime, flow.tag);
      flow.tag += flow.costMs;
      return flow.waiting.shift();
    },
    charge(flow, { paidMs, ms }) {
      // A statement that hung was not run by the target all that time.
      const spentMs = Math.min(ms, MAX_COST_MS);
      flow.tag += spentMs - paidMs;
      flow.costMs += COST_WEIGHT * (spentMs - flow.costMs);
    },
    listWaiting,
    getLag: (flow) => Math.max(0, flow.tag - virtualTime),
  };
}
