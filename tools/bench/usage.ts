/** Reads CPU time and memory of processes, and metric counters of hosts. */

import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const BYTES_PER_KB = 1_024;

/** Returns the id of a child process; throws if the process did not start. */
export function getPid(child: ChildProcess): number {
  if (child.pid === undefined) {
    throw new Error("the child process has no id because it did not start");
  }
  return child.pid;
}

/** Reads the CPU time that a process has used, in seconds. */
export function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  // Fields 14 and 15 of the file: user and system time in clock ticks.
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/** Reads the resident memory of a process, in bytes. */
export function readMemoryBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kb = /VmRSS:\s+(\d+)/.exec(status)?.[1];
  return Number(kb ?? 0) * BYTES_PER_KB;
}

/** Reads the metrics of a host, each summed over its labels. */
export async function readCounters(
  operatorsUrl: string,
): Promise<ReadonlyMap<string, number>> {
  const res = await fetch(`${operatorsUrl}/metrics`);
  const sums = new Map<string, number>();
  for (const line of (await res.text()).split("\n")) {
    const match = /^turmericchute_(\w+)(?:\{.*\})? ([\d.e+-]+)$/.exec(line);
    if (match) {
      const name = match[1]!;
      sums.set(name, (sums.get(name) ?? 0) + Number(match[2]));
    }
  }
  return sums;
}
