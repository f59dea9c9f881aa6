/** Counts recent requests and refusals of each workspace. */

import { nowMs } from "../core/clock.ts";
import type { CounterName, MetricLabels } from "../core/types.ts";
import { MAX_WORKSPACES, OTHER_LABEL } from "./metric_labels.ts";

/** Length of the sliding window. */
export const USAGE_WINDOW_S = 10;
const MS_PER_SECOND = 1_000;

/** Usage of one workspace on this host. */
export interface WorkspaceUsage {
  readonly workspace: string;
  readonly requestsPerSecond: number;
  readonly refusalsPerSecond: number;
}

/** Usage of all workspaces in a sliding window. */
export interface Usage {
  record(name: CounterName, labels: MetricLabels): void;
  list(): readonly WorkspaceUsage[];
}

/** Request counts of one second. */
interface SecondCounts {
  second: number;
  requests: number;
  refusals: number;
}

/** Creates usage counters without any requests. */
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
        const recent = seconds.filter((counts) =>
          counts && counts.second > oldest
        );
        const sum = (getCount: (counts: SecondCounts) => number) =>
          recent.reduce((total, counts) => total + getCount(counts), 0);
        return {
          workspace,
          requestsPerSecond: sum((counts) => counts.requests) / USAGE_WINDOW_S,
          refusalsPerSecond: sum((counts) => counts.refusals) / USAGE_WINDOW_S,
        };
      });
    },
  };
}
