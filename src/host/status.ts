/** What one host tells operators of itself and of what it sees. */

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

/** Time without a report after which a target counts as silent. */
const REPORT_FRESHNESS_MS = 3_000;

/** Whether a host takes callers. */
export type HostState = "starting" | "serving" | "draining";

/** The status of one host. */
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

/** An object of the platform that the host holds. */
export interface ObjectReport {
  readonly key: string;
  readonly version: number;
}

/** A database group. */
export interface GroupReport {
  readonly group: GroupId;
  readonly service: ServiceId;
  readonly term: number | undefined;
  readonly primary: TargetId | undefined;
  /** Whether this host watches the targets or read what another published. */
  readonly source: "monitored" | "published" | "unknown";
  readonly targets: readonly TargetReport[];
}

/**
 * Role of a target by its last report. An old primary believes that it leads,
 * in a term that is over; a target without a recent report is silent.
 */
export type TargetRole = "primary" | "replica" | "old primary" | "silent";

/** A target of a group. */
export interface TargetReport {
  readonly target: TargetId;
  readonly domain: DomainId;
  readonly role: TargetRole;
  readonly leaving: boolean;
  readonly logEnd: Position | undefined;
  /** Log entries that the primary has and this target has not. */
  readonly lagEntries: number | undefined;
  /** Time since the last report of the target. */
  readonly reportAgeMs: number | undefined;
}

/** A host as this host sees it. */
export interface HostReport {
  readonly host: HostId;
  readonly domain: DomainId;
  readonly alive: boolean;
}

/** The use of a workspace on this host against its plan for the fleet. */
export interface WorkspaceReport {
  readonly workspace: string;
  readonly plan: string;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly requestsPerSecond: number;
  readonly refusalsPerSecond: number;
}

/** Failed requests of one kind since the start. */
export interface RefusalReport {
  readonly error: string;
  readonly count: number;
}

/** What a status is drawn up from. */
export interface StatusSource {
  readonly host: Host;
  readonly settings: Settings;
  readonly metrics: HostMetrics;
  readonly startedAt: number;
  readonly state: HostState;
  readonly connections: number;
}

/** Draws up the status of a host. */
export async function getHostStatus(source: StatusSource): Promise<HostStatus> {
  const { host, settings, metrics } = source;
  return {
    host: settings.host,
    domain: settings.domain,
    region: settings.region,
    state: source.state,
    uptimeMs: Math.round(nowMs() - source.startedAt),
    connections: source.connections,
    configuration: host.cfg.objects
      .map(({ key, version }) => ({ key, version }))
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
  if (!status || nowMs() - reportedAt > REPORT_FRESHNESS_MS) {
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

/** The workspaces of the plans list; other objects have none. */
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
