/** Measures throughput, latency and CPU time on the paths to a target. */

import { fork, spawn } from "node:child_process";
import process from "node:process";
import { build, decodeFromCompressedBase64 } from "hdr-histogram-js";
import { asId, type PlanId, type WorkspaceId } from "../../src/core/ids.ts";
import {
  type Fleet,
  killProcess,
  readFirstLine,
  ROOT,
  startFleet,
} from "../processes.ts";
import { listPoolHosts } from "../../src/core/route.ts";
import { type Deployment, LAKAZ } from "../workloads.ts";
import type { LoadReport } from "./load_program.ts";
import { getPid, readCpuSeconds } from "./usage.ts";

const LOAD_PROCESSES = 2;
const US_PER_SECOND = 1_000_000;
const US_PER_MS = 1_000;
const UNLIMITED = 10_000_000;
const ROUNDING_FACTOR = 1_000;

/** Results of one scenario. */
export interface ScenarioReport {
  readonly statementsPerSecond: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** CPU time of the measured processes, in microseconds. */
  readonly cpuUsPerStatement: number;
}

/** Results of all scenarios of one benchmark. */
export interface ThroughputReport {
  readonly rawEcho: ScenarioReport;
  readonly direct: ScenarioReport;
  readonly oneHost: ScenarioReport;
  readonly twoHosts: ScenarioReport;
}

/** Deployment in which neither targets nor plans limit the throughput. */
export const BENCH_DEPLOYMENT: Deployment = {
  ...LAKAZ,
  groups: 1,
  slots: 64,
  connectionsPerTarget: 256,
  connectMs: 0,
  statementMs: 0,
  domainLatencyMs: 0,
  workspaces: [{
    workspace: asId<WorkspaceId>("bench"),
    plan: asId<PlanId>("unlimited"),
    ratePerSecond: UNLIMITED,
    burst: UNLIMITED,
  }],
};

/** Request path to load, and the processes whose CPU time is counted. */
interface Scenario {
  readonly mode: "echo" | "target" | "host";
  readonly url: string;
  readonly key?: string;
  readonly pids: readonly number[];
  readonly seconds: number;
}

async function measureScenario(scenario: Scenario): Promise<ScenarioReport> {
  let cpuBefore = 0;
  let cpuAfter = 0;
  const readCpu = () =>
    scenario.pids.reduce((sum, pid) => sum + readCpuSeconds(pid), 0);
  const reports = await Promise.all(
    Array.from({ length: LOAD_PROCESSES }, async () => {
      const child = fork("dist/tools/bench/load_program.js", [
        scenario.mode,
        scenario.url,
        `--seconds=${scenario.seconds}`,
        ...(scenario.key ? [`--key=${scenario.key}`] : []),
      ], { cwd: ROOT, stdio: ["ignore", "pipe", "inherit", "ipc"] });
      child.on("message", (message) => {
        if (message === "started") {
          cpuBefore = readCpu();
        } else {
          cpuAfter = readCpu();
        }
      });
      return JSON.parse(await readFirstLine(child)) as LoadReport;
    }),
  );
  return combineReports(reports, cpuAfter - cpuBefore);
}

function combineReports(
  reports: readonly LoadReport[],
  cpuSeconds: number,
): ScenarioReport {
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  reports.forEach((report) =>
    latencies.add(decodeFromCompressedBase64(report.histogram))
  );
  const statements = reports.reduce((sum, r) => sum + r.statements, 0);
  const perSecond = reports
    .reduce((sum, r) => sum + r.statements / r.seconds, 0);
  return {
    statementsPerSecond: Math.round(perSecond),
    failed: reports.reduce((sum, r) => sum + r.failed, 0),
    p50Ms: latencies.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: latencies.getValueAtPercentile(99) / US_PER_MS,
    cpuUsPerStatement: roundToThousandths(
      cpuSeconds * US_PER_SECOND / statements,
    ),
  };
}

function roundToThousandths(value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}

async function measureEcho(seconds: number): Promise<ScenarioReport> {
  const child = spawn(process.execPath, ["dist/tools/bench/echo_program.js"], {
    cwd: ROOT,
    stdio: ["ignore", "pipe", "inherit"],
  });
  try {
    const url = `ws://127.0.0.1:${await readFirstLine(child)}`;
    return await measureScenario({
      mode: "echo",
      url,
      pids: [getPid(child)],
      seconds,
    });
  } finally {
    await killProcess(child);
  }
}

async function measureHost(
  fleet: Fleet,
  options: { readonly index: number; readonly seconds: number },
): Promise<ScenarioReport> {
  return await measureScenario({
    mode: "host",
    url: fleet.hosts[options.index]!.callersUrl,
    key: [...fleet.keys.values()][0]!,
    pids: fleet.hosts.map((host) => getPid(host.child)),
    seconds: options.seconds,
  });
}

async function withFleet<T>(
  options: { readonly hosts: number; readonly hostsPerGroup: number },
  run: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = await startFleet(BENCH_DEPLOYMENT, {
    hosts: options.hosts,
    settings: {
      pools: { hostsPerGroup: options.hostsPerGroup },
    },
  });
  try {
    return await run(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Measures all scenarios, one after another. */
export async function measureThroughput(
  seconds: number,
): Promise<ThroughputReport> {
  const rawEcho = await measureEcho(seconds);
  const singleHost = await withFleet(
    { hosts: 1, hostsPerGroup: 1 },
    async (fleet) => {
      const target = fleet.targets[1]!;
      const direct = await measureScenario({
        mode: "target",
        url: `${target.url}/?channel=data&from=bench`,
        pids: [getPid(target.child)],
        seconds,
      });
      const oneHost = await measureHost(fleet, { index: 0, seconds });
      return { direct, oneHost };
    },
  );
  const twoHosts = await withFleet(
    { hosts: 2, hostsPerGroup: 1 },
    async (fleet) => {
      const index = findForwardingHost(fleet);
      return await measureHost(fleet, { index, seconds });
    },
  );
  return { rawEcho, ...singleHost, twoHosts };
}

/** Returns the index of the host that is not the pool host of the group. */
function findForwardingHost(fleet: Fleet): number {
  const alive = fleet.hosts.map(({ settings }) => ({
    host: settings.host,
    domain: settings.domain,
  }));
  const group = fleet.groups[0]!.group;
  const poolHost = listPoolHosts(group, { alive, count: 1 })[0];
  return fleet.hosts.findIndex((host) => host.host !== poolHost);
}
