/** Merges the statuses of several hosts into the status of the fleet. */

import type { HostId } from "../core/ids.ts";
import type {
  GroupReport,
  HostReport,
  HostState,
  HostStatus,
  RefusalReport,
  WorkspaceReport,
} from "../host/status.ts";

/** Host and its state; `alive` if any queried host reports it as alive. */
export interface FleetHost extends HostReport {
  /** Undefined if the host was not queried or did not answer. */
  readonly state: HostState | undefined;
  readonly connections: number | undefined;
}

/** Status of the fleet, merged from all hosts that answered. */
export interface FleetStatus {
  readonly groups: readonly GroupReport[];
  readonly hosts: readonly FleetHost[];
  readonly workspaces: readonly WorkspaceReport[];
  readonly refusals: readonly RefusalReport[];
  readonly statuses: readonly HostStatus[];
}

/**
 * Merges statuses: the report with the newest term of each group, and the sums
 * of usage and refusals.
 */
export function mergeStatuses(statuses: readonly HostStatus[]): FleetStatus {
  return {
    groups: mergeBy(
      statuses.flatMap((status) => status.groups),
      (group) => group.group,
      pickLatestReport,
    ),
    hosts: mergeHosts(statuses),
    workspaces: mergeBy(
      statuses.flatMap((status) => status.workspaces),
      (usage) => usage.workspace,
      (a, b) => ({
        ...a,
        requestsPerSecond: a.requestsPerSecond + b.requestsPerSecond,
        refusalsPerSecond: a.refusalsPerSecond + b.refusalsPerSecond,
      }),
    ),
    refusals: mergeBy(
      statuses.flatMap((status) => status.refusals),
      (refusal) => refusal.error,
      (a, b) => ({ ...a, count: a.count + b.count }),
    ),
    statuses,
  };
}

/** Prefers the newest term, then a report of a host that monitors the group. */
function pickLatestReport(a: GroupReport, b: GroupReport): GroupReport {
  const rank = (group: GroupReport) =>
    (group.source === "monitored" ? 1 : 0) + 2 * (group.term ?? -1);
  return rank(b) > rank(a) ? b : a;
}

function mergeHosts(statuses: readonly HostStatus[]): FleetHost[] {
  const statusByHost = new Map<HostId, HostStatus>(
    statuses.map((status) => [status.host, status]),
  );
  const reports = mergeBy(
    statuses.flatMap((status) => status.hosts),
    (host) => host.host,
    (a, b) => ({ ...a, alive: a.alive || b.alive }),
  );
  return reports.map((report) => ({
    ...report,
    state: statusByHost.get(report.host)?.state,
    connections: statusByHost.get(report.host)?.connections,
  }));
}

function mergeBy<T>(
  entries: readonly T[],
  getKey: (entry: T) => string,
  merge: (a: T, b: T) => T,
): T[] {
  const merged = new Map<string, T>();
  for (const entry of entries) {
    const key = getKey(entry);
    const existing = merged.get(key);
    merged.set(key, existing === undefined ? entry : merge(existing, entry));
  }
  return [...merged].sort(([a], [b]) => a.localeCompare(b))
    .map(([, entry]) => entry);
}
