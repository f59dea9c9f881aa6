/** Formats the status of the fleet as tables for the terminal. */

import Table from "cli-table3";
import type { FleetStatus } from "./fleet_status.ts";

const PERCENT = 100;

/** Formats tables of groups, hosts, workspaces and failed requests. */
export function renderFleet(fleet: FleetStatus): string {
  return [
    renderTable(
      ["Group", "Term", "Target", "Role", "Domain", "Log end", "Lag"],
      fleet.groups.flatMap((group) =>
        group.targets.map((target, index) => [
          index === 0 ? group.group : "",
          index === 0 ? `${group.term ?? "?"}` : "",
          target.target + (target.leaving ? " (leaving)" : ""),
          target.role,
          target.domain,
          target.logEnd ? `${target.logEnd.term}/${target.logEnd.pos}` : "",
          `${target.lagEntries ?? ""}`,
        ])
      ),
    ),
    renderTable(
      ["Host", "Domain", "Heartbeats", "State", "Connections"],
      fleet.hosts.map((host) => [
        host.host,
        host.domain,
        host.alive ? "alive" : "none",
        host.state ?? "?",
        `${host.connections ?? "?"}`,
      ]),
    ),
    renderTable(
      ["Workspace", "Plan", "Rate/s", "Burst", "Use/s", "Share", "Failed/s"],
      fleet.workspaces.map((usage) => [
        usage.workspace,
        usage.plan,
        `${usage.ratePerSecond}`,
        `${usage.burst}`,
        usage.requestsPerSecond.toFixed(1),
        formatPercentage(usage.requestsPerSecond / usage.ratePerSecond),
        usage.refusalsPerSecond.toFixed(1),
      ]),
    ),
    renderTable(
      ["Failed requests", "Count"],
      fleet.refusals.map(({ error, count }) => [error, `${count}`]),
    ),
  ].join("\n");
}

function formatPercentage(ratio: number): string {
  return `${Math.round(ratio * PERCENT)} %`;
}

function renderTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const table = new Table({
    head: [...head],
    style: { head: [], border: [], compact: true },
  });
  table.push(...rows.map((row) => [...row]));
  return table.toString();
}
