/** Renders the status of a host as an HTML page. */

import { assertNever } from "../core/errors.ts";
import type { LatencyReport } from "./latency_report.ts";
import { BUCKETS_MS } from "./metrics.ts";
import type {
  GroupReport,
  HostStatus,
  TargetReport,
  WorkspaceReport,
} from "./status.ts";

const REFRESH_S = 5;
const BAR_HEIGHT_PX = 40;
const PERCENT = 100;

const STYLE = `
  body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; color: #222; }
  h1 { font-size: 1.3rem; } h2 { font-size: 1.05rem; margin-top: 1.6rem; }
  table { border-collapse: collapse; }
  th, td { text-align: left; padding: .2rem .8rem; border-bottom: 1px solid #ddd;
    vertical-align: bottom; }
  td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
  .bad { color: #b00020; font-weight: 600; }
  .meter { width: 8rem; height: .7rem; background: #eee; }
  .meter div { height: 100%; background: #c98500; }
  .meter div.over { background: #b00020; }
  .bars { display: flex; align-items: flex-end; gap: 1px; height: ${BAR_HEIGHT_PX}px; }
  .bars div { width: 12px; background: #c98500; min-height: 1px; }
`;

/** Renders the page, without scripts or external resources. */
export function renderStatusPage(status: HostStatus): string {
  const { host, domain, region, state } = status;
  const uptime = formatDuration(status.uptimeMs);
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="refresh" content="${REFRESH_S}">
<title>${escape(host)}: turmericchute</title>
<style>${STYLE}</style>
</head>
<body>
<h1>${escape(host)}: ${escape(state)}</h1>
<p>Failure domain ${escape(domain)}, region ${escape(region)}; up ${uptime},
${status.connections} connections of callers.</p>
<h2>Database groups</h2>
${renderGroups(status.groups)}
<h2>Hosts</h2>
${
    renderTable(
      ["Host", "Failure domain", "State"],
      status.hosts.map((peer) => [
        escape(peer.host),
        escape(peer.domain),
        peer.alive ? "alive" : renderAlert("no heartbeat"),
      ]),
    )
  }
<h2>Workspaces</h2>
<p>Recent use on this host, compared with the fleet-wide plan.</p>
${renderWorkspaces(status.workspaces)}
<h2>Failed requests by kind</h2>
${
    renderTable(
      ["Kind", "#Count"],
      status.refusals.map(({ error, count }) => [escape(error), `${count}`]),
    )
  }
<h2>Latency by workspace and class</h2>
<p>Upper bounds of the bars in milliseconds: ${BUCKETS_MS.join(", ")}, more.
</p>
${renderLatencies(status.latencies)}
<h2>Configuration</h2>
${
    renderTable(
      ["Object", "#Version"],
      status.configuration.map(({ key, version }) => [
        escape(key),
        `${version}`,
      ]),
    )
  }
</body>
</html>
`;
}

function renderGroups(groups: readonly GroupReport[]): string {
  const rows = groups.flatMap((group) =>
    group.targets.map((target, index) => [
      index === 0 ? escape(group.group) : "",
      index === 0 ? `${group.term ?? "unknown"}` : "",
      escape(target.target),
      renderRole(target),
      escape(target.domain),
      renderLogEnd(target),
      `${target.lagEntries ?? ""}`,
      target.leaving ? "leaving" : "",
    ])
  );
  return renderTable([
    "Group",
    "#Term",
    "Target",
    "Role",
    "Failure domain",
    "#Log end",
    "#Lag (entries)",
    "",
  ], rows);
}

function renderRole({ role }: TargetReport): string {
  switch (role) {
    case "primary":
      return "<strong>primary</strong>";
    case "replica":
      return "replica";
    case "old primary":
    case "silent":
      return renderAlert(role);
    default:
      return assertNever(role);
  }
}

function renderLogEnd({ logEnd }: TargetReport): string {
  return logEnd ? `${logEnd.term}/${logEnd.pos}` : "";
}

function renderWorkspaces(workspaces: readonly WorkspaceReport[]): string {
  const rows = workspaces.map((w) => [
    escape(w.workspace),
    escape(w.plan),
    `${w.ratePerSecond}`,
    `${w.burst}`,
    w.requestsPerSecond.toFixed(1),
    renderMeter(w.requestsPerSecond / w.ratePerSecond),
    w.refusalsPerSecond > 0
      ? renderAlert(w.refusalsPerSecond.toFixed(1))
      : "0.0",
  ]);
  return renderTable([
    "Workspace",
    "Plan",
    "#Rate (/s)",
    "#Burst",
    "#Requests (/s)",
    "Share of rate",
    "#Failed (/s)",
  ], rows);
}

function renderMeter(ratio: number): string {
  const width = Math.min(1, ratio) * PERCENT;
  const overClass = ratio > 1 ? ` class="over"` : "";
  return `<div class="meter"><div${overClass} style="width:${
    width.toFixed(0)
  }%"></div></div>`;
}

function renderLatencies(latencies: readonly LatencyReport[]): string {
  const rows = latencies.map((series) => [
    escape(series.workspace),
    escape(series.class),
    `${series.count}`,
    formatBound(series, series.p50Ms),
    formatBound(series, series.p99Ms),
    renderBars(series),
  ]);
  return renderTable([
    "Workspace",
    "Class",
    "#Count",
    "#p50 (ms)",
    "#p99 (ms)",
    "Histogram",
  ], rows);
}

function formatBound(series: LatencyReport, boundMs?: number): string {
  const largest = series.buckets.at(-2)?.leMs ?? 0;
  return boundMs === undefined ? `&gt; ${largest}` : `&le; ${boundMs}`;
}

function renderBars({ buckets }: LatencyReport): string {
  const maxCount = Math.max(1, ...buckets.map((bucket) => bucket.count));
  const bars = buckets.map(({ leMs, count }) => {
    const height = Math.round(count / maxCount * BAR_HEIGHT_PX);
    const label = `${leMs === undefined ? "more" : `≤ ${leMs} ms`}: ${count}`;
    return `<div title="${label}" style="height:${height}px"></div>`;
  });
  return `<div class="bars">${bars.join("")}</div>`;
}

/**
 * Renders a table of HTML cells. A heading that starts with `#` marks a numeric
 * column.
 */
function renderTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  if (rows.length === 0) {
    return "<p>None.</p>";
  }
  const isNumber = headings.map((heading) => heading.startsWith("#"));
  const attributes = (column: number) =>
    isNumber[column] ? ` class="number"` : "";
  const head = headings.map((heading, column) =>
    `<th${attributes(column)}>${escape(heading.replace("#", ""))}</th>`
  );
  const body = rows.map((row) => {
    const cells = row.map((cell, column) =>
      `<td${attributes(column)}>${cell}</td>`
    );
    return `<tr>${cells.join("")}</tr>`;
  });
  return `<table>\n<tr>${head.join("")}</tr>\n${body.join("\n")}\n</table>`;
}

function renderAlert(text: string): string {
  return `<span class="bad">${escape(text)}</span>`;
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

/** Formats a duration in the largest unit of which it has at least two. */
export function formatDuration(ms: number): string {
  const units = [["d", 86_400_000], ["h", 3_600_000], ["min", 60_000]] as const;
  const unit = units.find(([, unitMs]) => ms >= 2 * unitMs);
  return unit
    ? `${Math.floor(ms / unit[1])} ${unit[0]}`
    : `${Math.floor(ms / 1_000)} s`;
}
