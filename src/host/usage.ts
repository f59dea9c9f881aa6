/** Requests and refusals of each workspace over the last seconds. */

import { nowMs } from "../core/clock.ts";
import type { CounterName, MetricLabels } from "../core/types.ts";
import { MAX_WORKSPACES, OTHER_LABEL } from "./metric_labels.ts";

/** Length of the window, in seconds. */
export const USAGE_WINDOW_S = 10;
const MS_PER_SECOND = 1_000;

/** Use of one workspace on this host. */
export interface WorkspaceUse {
  readonly workspace: string;
  readonly requestsPerSecond: number;
  readonly refusalsPerSecond: number;
}

/** Counts the use of workspaces in a sliding window. */
export interface Usage {
  note(name: CounterName, labels: MetricLabels): void;
  list(): readonly WorkspaceUse[];
}

/** Counts of one second. */
interface Slot {
  second: number;
  requests: number;
  refusals: number;
}

/** Creates an empty window. */
export function createUsage(): Usage {
  const windows = new Map<string, Slot[]>();

  function getSecond(): number {
    return Math.floor(nowMs() / MS_PER_SECOND);
  }

  function getSlot(name: string): Slot {
    const isFull = !windows.has(name) && windows.size >= MAX_WORKSPACES;
    const workspace = isFull ? OTHER_LABEL : name;
    const slots = windows.get(workspace) ?? [];
    windows.set(workspace, slots);
    const second = getSecond();
    const index = second % USAGE_WINDOW_S;
    const held = slots[index];
    if (held?.second === second) {
      return held;
    }
    const slot = { second, requests: 0, refusals: 0 };
    slots[index] = slot;
    return slot;
  }

  return {
    note(name, labels) {
      if (labels.workspace === undefined) {
        return;
      }
      if (name === "requests_total") {
        getSlot(labels.workspace).requests++;
      } else if (name === "refusals_total") {
        getSlot(labels.workspace).refusals++;
      }
    },
    list() {
      const oldest = getSecond() - USAGE_WINDOW_S;
      return [...windows].map(([workspace, slots]) => {
        const recent = slots.filter((slot) => slot && slot.second > oldest);
        const sum = (pick: (slot: Slot) => number) =>
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
