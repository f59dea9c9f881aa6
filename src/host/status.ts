/** Reports the status of a host and its view of the fleet to operators. */

import { nowMs } from "../core/clock.ts";
import type { Host } from "../core/host.ts";
import type {
  DomainId,
  GroupId,
  HostId,
  ServiceId,
  TargetId,
  WorkspaceId,
} from "../core/ids.ts";
import type { GroupInfo, Position, TargetView } from "../core/types.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";
import type { Settings } from "../generated/settings.ts";
import { type LatencyReport, reportLatencies } from "./latency_report.ts";
import { type HostMetrics, readSamples } from "./metrics.ts";

/** Age of a target's last report beyond which its role is `silent`. */
const MAX_REPORT_AGE_MS = 3_000;

/** Lifecycle state of a host; callers are accepted while `serving`. */
export type HostState = "starting" | "serving" | "draining";

/** Status of one host. */
export interface HostStatus {
  readonly host: HostId;
  readonly domain: DomainId;
  readonly region: string;
  readonly state: HostState;
  readonly uptimeMs: number;
  readonly connections: number;
  readonly configuration: readonly ObjectReport[];
  readonly groups: readonly GroupReport[];
  readonly hosts: readonly HostReport[];
  readonly workspaces: readonly WorkspaceReport[];
  readonly refusals: readonly RefusalReport[];
  readonly latencies: readonly LatencyReport[];
}

/** Platform object in the host's cache. */
export interface ObjectReport {
  readonly key: string;
  readonly version: number;
}

/** Status of a database group. */
export interface GroupReport {
  readonly group: GroupId;
  readonly service: ServiceId;
  readonly term: number | undefined;
  readonly primary: TargetId | undefined;
  /** Whether this host monitors the targets or uses a published status. */
  readonly source: "monitored" | "published" | "unknown";
  readonly targets: readonly TargetReport[];
}

/**
 * Role of a target by its last report. An `old primary` still reports itself as
 * primary, in a term that has ended; a `silent` target has no recent report.
 */
export type TargetRole = "primary" | "replica" | "old primary" | "silent";

/** Status of a target. */
export interface TargetReport {
  readonly target: TargetId;
  readonly domain: DomainId;
  readonly role: TargetRole;
  readonly leaving: boolean;
  readonly logEnd: Position | undefined;
  /** Number of log entries by which the target is behind the primary. */
  readonly lagEntries: number | undefined;
  /** Time since the target's last report, in milliseconds. */
  readonly reportAgeMs: number | undefined;
}

/** Status of a host, as seen by this host. */
export interface HostReport {
  readonly host: HostId;
  readonly domain: DomainId;
  readonly alive: boolean;
}

/** Usage of a workspace on this host and its fleet-wide plan. */
export interface WorkspaceReport {
  readonly workspace: string;
  readonly plan: string;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly requestsPerSecond: number;
  readonly refusalsPerSecond: number;
}

/** Number of failed requests of one kind since the host started. */
export interface RefusalReport {
  readonly error: string;
  readonly count: number;
}

/** Inputs of `getHostStatus`. */
export interface StatusSource {
  readonly host: Host;
  readonly settings: Settings;
  readonly metrics: HostMetrics;
  readonly startedAt: number;
  readonly state: HostState;
  readonly connections: number;
}

/** Collects the status of a host. */
export async function getHostStatus(source: StatusSource): Promise<HostStatus> {
  const { host, settings, metrics } = source;
  return {
    host: settings.host,
    domain: settings.domain,
    region: settings.region,
    state: source.state,
    uptimeMs: Math.round(nowMs() - source.startedAt),
    connections: source.connections,
    configuration: [...host.cfg.acceptedVersions]
      .sort((a, b) => a.key.localeCompare(b.key)),
    groups: host.cfg.groups.map((group) => reportGroup(host, group)),
    hosts: reportHosts(host, settings),
    workspaces: reportWorkspaces(host, metrics),
    refusals: await reportRefusals(metrics),
    latencies: await reportLatencies(metrics),
  };
}

function reportGroup(host: Host, group: GroupInfo): GroupReport {
  const view = host.listGroupViews().find((v) => v.group === group.group);
  const published = host.cfg.tryGroupStatus(group.group);
  const { service } = group;
  if (!view) {
    return {
      group: group.group,
      service,
      term: published?.term,
      primary: published?.primary,
      source: published ? "published" : "unknown",
      targets: group.targets.map((info) =>
        reportTarget({ info, status: undefined, reportedAt: -Infinity })
      ),
    };
  }
  const primary = view.targets.find((t) => t.info.target === view.primary);
  return {
    group: group.group,
    service,
    term: view.term,
    primary: view.primary,
    source: "monitored",
    targets: view.targets.map((t) => reportTarget(t, primary)),
  };
}

function getRole(view: TargetView, primary?: TargetView): TargetRole {
  const { info, status, reportedAt } = view;
  if (!status || nowMs() - reportedAt > MAX_REPORT_AGE_MS) {
    return "silent";
  }
  return status.role === "primary" && info.target !== primary?.info.target
    ? "old primary"
    : status.role;
}

function reportTarget(view: TargetView, primary?: TargetView): TargetReport {
  const { info, status, reportedAt } = view;
  const primaryEnd = primary?.status?.logEnd;
  return {
    target: info.target,
    domain: info.domain,
    role: getRole(view, primary),
    leaving: info.leaving ?? false,
    logEnd: status?.logEnd,
    lagEntries: status && primaryEnd
      ? Math.max(0, primaryEnd.pos - status.logEnd.pos)
      : undefined,
    reportAgeMs: status ? Math.round(nowMs() - reportedAt) : undefined,
  };
}

function reportHosts(host: Host, settings: Settings): HostReport[] {
  const known = settings.peers.known ?? [];
  const alive = host.membership.listAlive();
  const all = new Map(
    [settings, ...known, ...alive].map((peer) => [peer.host, peer.domain]),
  );
  return [...all]
    .map(([id, domain]) => ({
      host: id,
      domain,
      alive: host.membership.isAlive(id),
    }))
    .sort((a, b) => a.host.localeCompare(b.host));
}

function reportWorkspaces(host: Host, metrics: HostMetrics): WorkspaceReport[] {
  const usageByWorkspace = new Map(
    metrics.usage.list().map((u) => [u.workspace, u]),
  );
  const workspaces = host.cfg.objects.flatMap(({ value }) =>
    listPlanWorkspaces(value)
  );
  return workspaces.flatMap((workspace) => {
    const allowance = host.cfg.tryAllowance(workspace);
    if (!allowance) {
      return [];
    }
    const { plan, ratePerSecond, burst } = allowance;
    const usage = usageByWorkspace.get(workspace);
    return [{
      workspace,
      plan,
      ratePerSecond,
      burst,
      requestsPerSecond: usage?.requestsPerSecond ?? 0,
      refusalsPerSecond: usage?.refusalsPerSecond ?? 0,
    }];
  });
}

/** Lists the workspaces of a plans object; empty for other objects. */
function listPlanWorkspaces(value: unknown): WorkspaceId[] {
  return validatePlatformObject(value) && value.kind === "plans"
    ? value.workspaces.map((entry) => entry.workspace)
    : [];
}

async function reportRefusals(metrics: HostMetrics): Promise<RefusalReport[]> {
  const counts = new Map<string, number>();
  for (
    const { labels, value } of await readSamples(metrics, "refusals_total")
  ) {
    const error = `${labels.error}`;
    counts.set(error, (counts.get(error) ?? 0) + value);
  }
  return [...counts]
    .map(([error, count]) => ({ error, count }))
    .sort((a, b) => b.count - a.count);
}
