/** Replays a trace against a fleet and isolates one primary halfway. */

import process from "node:process";
import { cac } from "cac";
import Table from "cli-table3";
import { nowMs, sleep } from "../src/core/clock.ts";
import { rankNodes } from "../src/core/hash.ts";
import type { GroupInfo } from "../src/core/types.ts";
import type { TraceLine } from "../src/generated/trace.ts";
import { type CheckedEntry, checkRecords, type Findings } from "./checker.ts";
import {
  countByWorkspace,
  countFailures,
  countRefusedWithinRate,
  type Partition,
  tryGetFailoverGapMs,
} from "./demo_figures.ts";
import { fitDeployment } from "./fit_deployment.ts";
import { type RequestRecord, runLoad } from "./load.ts";
import { type Fleet, startFleet } from "./processes.ts";
import { tryReadTrace } from "./trace_file.ts";
import type { Deployment } from "./workloads.ts";

const DEFAULT_TRACE = "traces/lakaz_day.jsonl";
const HOSTS = 3;
const REQUEST_TIMEOUT_MS = 6_000;
const PROGRESS_INTERVAL_MS = 2_000;
const LOG_READ_DELAY_MS = 1_000;
/** Replayed length of a longer trace; keeps the demo within a minute. */
const MAX_TRACE_MS = 30_000;
/** Time after the start of the load when sending stops. */
const MAX_LOAD_MS = 38_000;
const EXIT_INVALID = 2;
const MS_PER_SECOND = 1_000;

/** Report that the demo prints as JSON on its last line. */
export interface DemoReport extends Findings {
  readonly refusedWithinRate: number;
  /** Null if no write was answered before or after the partition. */
  readonly failoverGapMs: number | null;
}

/** Sets the faults of a stand-in through its control port. */
export async function setFaults(url: string, faults: unknown): Promise<void> {
  await fetch(`${url.replace("ws:", "http:")}/control/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

interface TargetLogResponse {
  readonly status: { readonly term: number; readonly role: string };
  readonly log: readonly CheckedEntry[];
}

/** Reads the log of each group's primary of the highest term. */
export async function readLogs(fleet: Fleet): Promise<CheckedEntry[][]> {
  const logs: CheckedEntry[][] = [];
  for (const group of fleet.groups) {
    const responses = await Promise.all(group.targets.map(async ({ url }) => {
      const res = await fetch(`${url.replace("ws:", "http:")}/control/log`);
      return await res.json() as TargetLogResponse;
    }));
    const primary = responses
      .filter((target) => target.status.role === "primary")
      .sort((a, b) => b.status.term - a.status.term)[0];
    logs.push([...primary?.log ?? []]);
  }
  return logs;
}

/** Returns the workspaces whose rows a group stores. */
function listWorkspaces(
  fleet: Fleet,
  group: GroupInfo,
): ReadonlySet<string> {
  const groups = fleet.groups.map((entry) => entry.group);
  const owned = fleet.deployment.workspaces
    .map((size) => size.workspace as string)
    .filter((workspace) => rankNodes(workspace, groups)[0] === group.group);
  return new Set(owned);
}

/** Isolates the primary of the group with the most writes in the trace. */
async function isolatePrimary(
  fleet: Fleet,
  trace: readonly TraceLine[],
): Promise<Partition> {
  const [busiest] = fleet.groups
    .map((group) => ({ group, workspaces: listWorkspaces(fleet, group) }))
    .map(({ group, workspaces }) => ({
      group,
      workspaces,
      writes:
        trace.filter((line) =>
          line.access === "write" && workspaces.has(line.workspace)
        ).length,
    }))
    .sort((a, b) => b.writes - a.writes);
  const { group, workspaces } = busiest!;
  const primary = group.targets[0]!;
  console.log(`isolating ${primary.target}, the primary of ${group.group}`);
  await setFaults(primary.url, { cutFrom: ["*"] });
  return { isolatedAt: Date.now(), workspaces };
}

async function replay(
  fleet: Fleet,
  trace: readonly TraceLine[],
): Promise<
  { readonly records: readonly RequestRecord[]; readonly partition: Partition }
> {
  const endMs = trace.at(-1)?.atMs ?? 0;
  let answers = 0;
  const startedAt = nowMs();
  const timer = setInterval(() => {
    const seconds = Math.round((nowMs() - startedAt) / MS_PER_SECOND);
    console.log(`${seconds} s: ${answers} of ${trace.length} requests done`);
  }, PROGRESS_INTERVAL_MS);
  const isolated = sleep(endMs / 2).then(() => isolatePrimary(fleet, trace));
  const records = await runLoad(trace, {
    urls: fleet.hosts.map((host) => host.callersUrl),
    keys: fleet.keys,
    timeoutMs: REQUEST_TIMEOUT_MS,
    endMs: MAX_LOAD_MS,
    onRecord: () => answers++,
  });
  clearInterval(timer);
  return { records, partition: await isolated };
}

async function runDemo(
  deployment: Deployment,
  trace: readonly TraceLine[],
): Promise<DemoReport> {
  const { name, groups, targetsPerGroup } = deployment;
  console.log(
    `starting ${HOSTS} hosts, the platform stand-in and ${groups} groups of ` +
      `${targetsPerGroup} targets (${name})`,
  );
  const fleet = await startFleet(deployment, { hosts: HOSTS });
  try {
    const { records, partition } = await replay(fleet, trace);
    await sleep(LOG_READ_DELAY_MS);
    const logs = await readLogs(fleet);
    printTables(records);
    return toReport({
      records,
      partition,
      logs,
      deployment,
    });
  } finally {
    await fleet.stop();
  }
}

function toReport(run: {
  readonly records: readonly RequestRecord[];
  readonly partition: Partition;
  readonly logs: readonly (readonly CheckedEntry[])[];
  readonly deployment: Deployment;
}): DemoReport {
  const { records, partition, logs, deployment } = run;
  const findings = checkRecords(records, logs);
  return {
    sent: findings.sent,
    answered: findings.answered,
    refused: findings.refused,
    refusedWithinRate: countRefusedWithinRate(records, deployment.workspaces),
    outcomeUnknown: findings.outcomeUnknown,
    lost: findings.lost,
    doubled: findings.doubled,
    staleReads: findings.staleReads,
    wrongWorkspace: findings.wrongWorkspace,
    failoverGapMs: tryGetFailoverGapMs(records, partition) ?? null,
    replicaReadShare: findings.replicaReadShare,
  };
}

function printTables(records: readonly RequestRecord[]): void {
  const served = createTable([
    "Workspace",
    "Sent",
    "Answered",
    "Refused",
    "Unknown",
  ]);
  served.push(
    ...countByWorkspace(records).map((entry) => [
      entry.workspace,
      entry.sent,
      entry.answered,
      entry.refused,
      entry.unknown,
    ]),
  );
  console.log(served.toString());
  const failures = countFailures(records);
  if (failures.size > 0) {
    const table = createTable(["Failed requests by kind", "Count"]);
    table.push(...[...failures].map(([kind, count]) => [kind, count]));
    console.log(table.toString());
  }
}

function printReport(report: DemoReport): void {
  const table = createTable(["Figure", "Value"]);
  table.push(
    ...Object.entries(report).map(([name, value]) => [
      name,
      name === "replicaReadShare" ? Number(value).toFixed(3) : `${value}`,
    ]),
  );
  console.log(table.toString());
  console.log(JSON.stringify(report));
}

function createTable(head: string[]): Table.Table {
  return new Table({ head, style: { head: [], border: [], compact: true } });
}

/** Returns whether no invariant was violated and some request was answered. */
function hasPassed(report: DemoReport): boolean {
  const { answered, lost, doubled, staleReads, wrongWorkspace } = report;
  return answered > 0 &&
    lost + doubled + staleReads + wrongWorkspace === 0;
}

async function main(file: string): Promise<void> {
  const readResult = tryReadTrace(file);
  if (readResult.isErr()) {
    readResult.error.forEach((line) => console.error(line));
    process.exitCode = EXIT_INVALID;
    return;
  }
  const trace = readResult.value
    .filter((line) => line.atMs <= MAX_TRACE_MS)
    .sort((a, b) => a.atMs - b.atMs);
  if (trace.length < readResult.value.length) {
    const seconds = MAX_TRACE_MS / MS_PER_SECOND;
    console.log(`replaying the first ${seconds} s of ${file}`);
  }
  const deployment = fitDeployment(trace);
  if (deployment.isErr()) {
    console.error(`${file}: ${deployment.error}`);
    process.exitCode = EXIT_INVALID;
    return;
  }
  const report = await runDemo(deployment.value, trace);
  printReport(report);
  process.exitCode = hasPassed(report) ? 0 : 1;
}

const cli = cac("demo");
cli.command("[trace]", "Replay a trace against a fleet and isolate a primary")
  .example("npm run demo")
  .example("npm run demo -- traces/madhuvan_season.jsonl")
  .action((file: string | undefined) => main(file ?? DEFAULT_TRACE));
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
