/**
 * Measures the control traffic of idle hosts by fleet size and configuration
 * changes per minute. Prints a table; the result is deterministic.
 */

import { install } from "@sinonjs/fake-timers";
import Table from "cli-table3";
import { pack } from "msgpackr";
import { asId, type DomainId } from "../../src/core/ids.ts";
import { SERVICES_KEY } from "../../src/core/object_keys.ts";
import { createLocalFleet } from "../../standins/local_fleet.ts";
import { buildServices, LAKAZ } from "../workloads.ts";

const WARM_UP_MS = 8_000;
const MEASUREMENT_MS = 60_000;
const MS_PER_SECOND = 1_000;
const CASES = [
  ...[3, 6, 9].flatMap((hosts) => [1, 10, 100].map((n) => [hosts, n])),
  [12, 1],
  [16, 1],
  [24, 1],
] as [number, number][];

interface ControlTraffic {
  readonly bytesPerSecond: number;
  readonly totalPlatformCalls: number;
  readonly maxPlatformCallsPerHost: number;
}

async function measure(
  hosts: number,
  changes: number,
): Promise<ControlTraffic> {
  const clock = install({
    toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval"]
      .concat("Date", "performance") as never,
  });
  const fleet = createLocalFleet({
    hosts,
    domains: ["d1", "d2", "d3"].map(asId<DomainId>),
    groups: [],
    target: { connectMs: 1, statementMs: 1, latencyMs: 0.5, lagMs: 1 },
    peerLatencyMs: 0.5,
    platformLatencyMs: 2,
    seed: 1,
  });
  let version = 0;
  function changeConfiguration(): void {
    const services = buildServices(LAKAZ);
    services.plans[0]!.ratePerSecond = version + 1;
    fleet.platform.put(SERVICES_KEY, services, { ifVersion: version++ });
  }
  changeConfiguration();
  await clock.tickAsync(WARM_UP_MS);
  const bytes = new Map<string, number>();
  for (const { id, host } of fleet.hosts) {
    const { receivePeer } = host;
    host.receivePeer = (from, msg) => {
      for (const hostId of [id, from]) {
        bytes.set(hostId, (bytes.get(hostId) ?? 0) + pack(msg).length);
      }
      receivePeer(from, msg);
    };
  }
  fleet.platformCalls.length = 0;
  for (let i = 0; i < changes; i++) {
    changeConfiguration();
    await clock.tickAsync(MEASUREMENT_MS / changes);
  }
  const calls = fleet.platformCalls.filter((c) => c.path.startsWith("config/"));
  const callsPerHost = fleet.hosts.map(({ id }) =>
    calls.filter((call) => call.host === id).length
  );
  fleet.stop();
  clock.uninstall();
  return {
    bytesPerSecond: Math.max(...bytes.values()) * MS_PER_SECOND /
      MEASUREMENT_MS,
    totalPlatformCalls: calls.length,
    maxPlatformCallsPerHost: Math.max(...callsPerHost),
  };
}

async function main(): Promise<void> {
  const table = new Table({
    head: [
      "hosts",
      "changes a minute",
      "bytes/s of a host, in and out",
      "platform calls a minute, all hosts",
      "platform calls a minute, busiest host",
    ],
    style: { head: [], border: [] },
  });
  for (const [hosts, changes] of CASES) {
    const traffic = await measure(hosts, changes);
    table.push([
      hosts,
      changes,
      Math.round(traffic.bytesPerSecond),
      traffic.totalPlatformCalls,
      traffic.maxPlatformCallsPerHost,
    ]);
  }
  console.log(table.toString());
}

await main();
