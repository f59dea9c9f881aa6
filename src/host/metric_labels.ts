/** Limits the cardinality of label values that come from callers. */

import type { MetricLabels } from "../core/types.ts";

/** Maximum number of distinct classes of a workspace. */
export const MAX_CLASSES_PER_WORKSPACE = 16;
/** Maximum number of distinct workspaces. */
export const MAX_WORKSPACES = 256;
/** Label value that replaces all values beyond the limits. */
export const OTHER_LABEL = "other";

/** Replaces label values beyond the limits. */
export type LabelLimiter = (labels: MetricLabels) => MetricLabels;

/** Creates a limiter that keeps the values that occur first. */
export function createLabelLimiter(): LabelLimiter {
  const workspaces = new Map<string, Set<string>>();

  function limitClass(seen: Set<string>, requestClass: string): string {
    if (!seen.has(requestClass) && seen.size >= MAX_CLASSES_PER_WORKSPACE) {
      return OTHER_LABEL;
    }
    seen.add(requestClass);
    return requestClass;
  }

  return (labels) => {
    const { workspace, class: requestClass } = labels;
    if (workspace === undefined) {
      return labels;
    }
    const isKnown = workspaces.has(workspace);
    if (!isKnown && workspaces.size >= MAX_WORKSPACES) {
      return {
        ...labels,
        workspace: OTHER_LABEL,
        ...(requestClass === undefined ? {} : { class: OTHER_LABEL }),
      };
    }
    const seen = workspaces.get(workspace) ?? new Set();
    workspaces.set(workspace, seen);
    return requestClass === undefined
      ? labels
      : { ...labels, class: limitClass(seen, requestClass) };
  };
}
