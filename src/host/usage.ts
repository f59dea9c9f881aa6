/** Requests and refusals of each workspace over the last seconds. */

import { nowMs } from "../core/clock.ts";
import type { CounterName, MetricLabels } from "../core/types.ts";
import { MAX_WORKSPACES, OTHER_LABEL } from "./metric_labels.ts";

/** Length of the window, in seconds. */
export const USAGE_WINDOW_S = 10;
const MS_PER_SECOND = 1_000;

/** Use of one workspace on this host. */
export interface WorkspaceUsage {
  readonly workspace: string;
  readonly requestsPerSecond: number;
  readonly refusalsPerSecond: number;
}

/** Counts the use of workspaces in a sliding window. */
export interface Usage {
  record(name: CounterName, labels: MetricLabels): void;
  list(): readonly WorkspaceUsage[];
}

/** Counts of one second. */
interface SecondCounts {
  second: number;
  requests: number;
  refusals: number;
}

/** Creates an empty window. */
export function createUsage(): Usage {
  const countsByWorkspace = new Map<string, SecondCounts[]>();

  function getSecond(): number {
    return Math.floor(nowMs() / MS_PER_SECOND);
  }

  function getCurrentCounts(name: string): SecondCounts {
    const isFull = !countsByWorkspace.has(name) &&
      countsByWorkspace.size >= MAX_WORKSPACES;
    const workspace = isFull ? OTHER_LABEL : name;
    const seconds = countsByWorkspace.get(workspace) ?? [];
    countsByWorkspace.set(workspace, seconds);
    const second = getSecond();
    const index = second % USAGE_WINDOW_S;
    const existing = seconds[index];
    if (existing?.second === second) {
      return existing;
    }
    const counts = { second, requests: 0, refusals: 0 };
    seconds[index] = counts;
    return counts;
  }

  return {
    record(name, labels) {
      if (labels.workspace === undefined) {
        return;
      }
      if (name === "requests_total") {
        getCurrentCounts(labels.workspace).requests++;
      } else if (name === "refusals_total") {
        getCurrentCounts(labels.workspace).refusals++;
      }
    },
    list() {
      const oldest = getSecond() - USAGE_WINDOW_S;
      return [...countsByWorkspace].map(([workspace, seconds]) => {
        const recent = seconds.filter((slot) => slot && slot.second > oldest);
        const sum = (pick: (slot: SecondCounts) => number) =>
          recent.reduce((total, slot) => total + pick(slot), 0);
        return {
          workspace,
          requestsPerSecond: sum((slot) => slot.requests) / USAGE_WINDOW_S,
          refusalsPerSecond: sum((slot) => slot.refusals) / USAGE_WINDOW_S,
        };
      });
    },
  };
}
