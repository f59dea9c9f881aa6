/** Measures the cost of control traffic per host, idle and during changes. */

import { sleep } from "../../src/core/clock.ts";
import { PLANS_KEY } from "../../src/core/object_keys.ts";
import type { PlatformStore } from "../../src/core/types.ts";
import { createObjectStore } from "../../platform/object_store.ts";
import { type Fleet, startFleet } from "../processes.ts";
import { type Deployment, LAKAZ } from "../workloads.ts";
import {
  getPid,
  readCounters,
  readCpuSeconds,
  readMemoryBytes,
} from "./usage.ts";

const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1_048_576;
const WARM_UP_MS = 12_000;
const CHANGE_INTERVAL_MS = 1_000;
const ROUNDING_FACTOR = 1_000;

/** Control cost per host, averaged over a fleet. */
export interface ControlReport {
  readonly hosts: number;
  readonly groups: number;
  readonly change: boolean;
  readonly coreShare: number;
  readonly memoryMb: number;
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  readonly platformCallsPerSecond: number;
}

interface Sample {
  readonly cpuSeconds: number;
  readonly bytes: number;
  readonly messages: number;
  readonly platformCalls: number;
}

async function readSample(fleet: Fleet): Promise<Sample> {
  const samples = await Promise.all(fleet.hosts.map(async (host) => {
    const { address, port } = host.settings.operators!;
    const counters = await readCounters(`http://${address}:${port}`);
    return {
      cpuSeconds: readCpuSeconds(getPid(host.child)),
      bytes: counters.get("control_bytes_total") ?? 0,
      messages: counters.get("control_messages_total") ?? 0,
      platformCalls: counters.get("platform_calls_total") ?? 0,
    };
  }));
  const sum = (field: keyof Sample) =>
    samples.reduce((total, s) => total + s[field], 0);
  return {
    cpuSeconds: sum("cpuSeconds"),
    bytes: sum("bytes"),
    messages: sum("messages"),
    platformCalls: sum("platformCalls"),
  };
}

/** Rewrites the plans list unchanged, so that it gets a new version. */
async function touchPlans(store: PlatformStore): Promise<void> {
  const current = await store.get(PLANS_KEY);
  if (current.isOk()) {
    const { value, version } = current.value;
    await store.put(PLANS_KEY, value, { ifVersion: version });
  }
}

async function measureFleet(
  fleet: Fleet,
  options: { readonly change: boolean; readonly seconds: number },
): Promise<ControlReport> {
  const store = createObjectStore(fleet.platformUrl, { caller: "bench" });
  const timer = options.change
    ? setInterval(() => void touchPlans(store), CHANGE_INTERVAL_MS)
    : undefined;
  const before = await readSample(fleet);
  await sleep(options.seconds * MS_PER_SECOND);
  const after = await readSample(fleet);
  clearInterval(timer);
  const count = fleet.hosts.length;
  const perSecond = (field: keyof Sample) =>
    roundToThousandths(
      (after[field] - before[field]) / options.seconds / count,
    );
  const memory = fleet.hosts
    .reduce((sum, host) => sum + readMemoryBytes(getPid(host.child)), 0);
  return {
    hosts: count,
    groups: fleet.groups.length,
    change: options.change,
    coreShare: perSecond("cpuSeconds"),
    memoryMb: roundToThousandths(memory / count / BYTES_PER_MB),
    bytesPerSecond: perSecond("bytes"),
    messagesPerSecond: perSecond("messages"),
    platformCallsPerSecond: perSecond("platformCalls"),
  };
}

function roundToThousandths(value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}

/** Measures fleets of the given sizes, idle and with one change per second. */
export async function measureControl(
  fleetSizes: readonly { readonly hosts: number; readonly groups: number }[],
  seconds: number,
): Promise<ControlReport[]> {
  const reports: ControlReport[] = [];
  for (const { hosts, groups } of fleetSizes) {
    const deployment: Deployment = { ...LAKAZ, groups };
    const fleet = await startFleet(deployment, { hosts });
    try {
      await sleep(WARM_UP_MS);
      for (const change of [false, true]) {
        reports.push(await measureFleet(fleet, { change, seconds }));
      }
    } finally {
      await fleet.stop();
    }
  }
  return reports;
}
