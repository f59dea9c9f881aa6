/** Runs a fleet through a trace with one primary cut off halfway. */

import process from "node:process";
import { cac } from "cac";
import { sleep } from "../src/core/clock.ts";
import { check, type Findings, type ShownEntry } from "./checker.ts";
import { readTrace, runLoad, type Told } from "./load.ts";
import { type Fleet, startFleet } from "./processes.ts";
import { getDeployment } from "./workloads.ts";

const DEFAULT_TRACE = "traces/lakaz_day.jsonl";
const HOSTS = 3;
const REQUEST_TIMEOUT_MS = 6_000;
const PROGRESS_MS = 2_000;
const SETTLE_MS = 1_000;

/** What the demo reports on its last line. */
export interface DemoReport extends Findings {
  readonly refusedWithinRate: number;
  readonly failoverGapMs: number;
}

/** Sends faults to a stand-in. */
export async function setFaults(url: string, faults: unknown): Promise<void> {
  await fetch(`${url.replace("ws:", "http:")}/control/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

interface ShownTarget {
  readonly status: { readonly term: number; readonly role: string };
  readonly log: readonly ShownEntry[];
}

/** Reads the log of each group's primary with the highest term. */
export async function readLogs(fleet: Fleet): Promise<ShownEntry[][]> {
  const logs: ShownEntry[][] = [];
  for (const group of fleet.groups) {
    const shown = await Promise.all(group.targets.map(async ({ url }) => {
      const res = await fetch(`${url.replace("ws:", "http:")}/control/log`);
      return await res.json() as ShownTarget;
    }));
    const primary = shown
      .filter((target) => target.status.role === "primary")
      .sort((a, b) => b.status.term - a.status.term)[0];
    logs.push([...primary?.log ?? []]);
  }
  return logs;
}

/** The longest time between two answered writes of the cut group. */
function measureGap(told: readonly Told[], workspaces: Set<string>): number {
  const answers = told
    .filter((t) => t.line.access === "write" && t.answer?.ok)
    .filter((t) => workspaces.has(t.line.workspace))
    .map((t) => t.answeredAt)
    .sort((a, b) => a - b);
  return answers.reduce(
    (gap, at, index) => Math.max(gap, at - (answers[index - 1] ?? at)),
    0,
  );
}

async function runDemo(file: string): Promise<DemoReport> {
  const trace = readTrace(file);
  const deployment = getDeployment(
    trace[0]?.service === "ledger" ? "madhuvan" : "lakaz",
  );
  const endMs = trace.at(-1)?.atMs ?? 0;
  console.log(`starting ${HOSTS} hosts for ${deployment.name} ...`);
  const fleet = await startFleet(deployment, { hosts: HOSTS });
  try {
    const progress: Told[] = [];
    const timer = setInterval(
      () => console.log(`${progress.length} of ${trace.length} requests`),
      PROGRESS_MS,
    );
    const cut = sleep(endMs / 2).then(async () => {
      const target = fleet.targets[0]!;
      console.log(`cutting off ${target.target}`);
      await setFaults(target.url, { cutFrom: ["*"] });
    });
    const told = await runLoad(trace, {
      urls: fleet.hosts.map((host) => host.callersUrl),
      keys: fleet.keys,
      timeoutMs: REQUEST_TIMEOUT_MS,
      onTold: (entry) => progress.push(entry),
    });
    await cut;
    clearInterval(timer);
    await sleep(SETTLE_MS);
    const logs = await readLogs(fleet);
    const all = new Set<string>(trace.map((line) => line.workspace));
    return {
      ...check(told, logs),
      refusedWithinRate: told
        .filter((t) => t.answer?.ok === false)
        .filter((t) => !t.answer!.ok && t.answer!.error === "rate_limited")
        .length,
      failoverGapMs: measureGap(told, all),
    };
  } finally {
    await fleet.stop();
  }
}

const cli = cac("demo");
cli.command("[trace]", "Replay a trace on a fleet")
  .action(async (file: string | undefined) => {
    const report = await runDemo(file ?? DEFAULT_TRACE);
    for (const [name, value] of Object.entries(report)) {
      console.log(`${name.padEnd(20)} ${value}`);
    }
    console.log(JSON.stringify(report));
    const { lost, doubled, staleReads, wrongWorkspace } = report;
    process.exitCode = lost + doubled + staleReads + wrongWorkspace ? 1 : 0;
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
