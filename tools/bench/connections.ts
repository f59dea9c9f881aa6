/** Measures the memory that one host uses for idle caller sessions. */

import { spawn } from "node:child_process";
import process from "node:process";
import { sleep } from "../../src/core/clock.ts";
import { killProcess, readFirstLine, ROOT, startFleet } from "../processes.ts";
import { BENCH_DEPLOYMENT } from "./throughput.ts";
import { getPid, readMemoryBytes } from "./usage.ts";

const SETTLE_MS = 1_000;

/** Memory cost of a number of open sessions. */
export interface ConnectionsReport {
  readonly count: number;
  readonly bytesEach: number;
}

/** Opens `count` sessions at one host and measures the growth of its memory. */
export async function measureConnections(
  count: number,
): Promise<ConnectionsReport> {
  const fleet = await startFleet(BENCH_DEPLOYMENT, { hosts: 1 });
  const [host] = fleet.hosts;
  const program = spawn(process.execPath, [
    "dist/tools/bench/connections_program.js",
    host!.callersUrl,
    `--key=${[...fleet.keys.values()][0]}`,
    `--count=${count}`,
  ], { cwd: ROOT, stdio: ["ignore", "pipe", "inherit"] });
  try {
    const pid = getPid(host!.child);
    const before = readMemoryBytes(pid);
    const opened = Number(await readFirstLine(program));
    await sleep(SETTLE_MS);
    const bytes = readMemoryBytes(pid) - before;
    return { count: opened, bytesEach: Math.round(bytes / opened) };
  } finally {
    await killProcess(program);
    await fleet.stop();
  }
}
