/** Benchmarks the throughput, memory and control cost of the proxy. */

import process from "node:process";
import { cac } from "cac";
import { measureConnections } from "./connections.ts";
import { type ControlReport, measureControl } from "./control.ts";
import { measureThroughput } from "./throughput.ts";

const CONNECTION_COUNT = 5_000;
/** Measurement time of the control cost; CPU time has a resolution of 10 ms. */
const CONTROL_SECONDS = 10;
/**
 * Fleet sizes. The last two differ only in groups, which separates the cost of
 * a group from that of a host.
 */
const CONTROL_FLEET_SIZES = [
  { hosts: 3, groups: 3 },
  { hosts: 6, groups: 3 },
  { hosts: 9, groups: 3 },
  { hosts: 9, groups: 9 },
];

const COST_FIELDS = [
  "coreShare",
  "memoryMb",
  "bytesPerSecond",
  "messagesPerSecond",
  "platformCallsPerSecond",
] as const;

/** Increase of a cost per additional host and per additional group. */
interface Slope {
  readonly field: (typeof COST_FIELDS)[number];
  readonly change: boolean;
  readonly perHost: number;
  readonly perGroup: number;
}

/**
 * Computes the slopes between the measured fleet sizes, of which two differ by 6
 * hosts and two by 6 groups.
 */
function fitSlopes(reports: readonly ControlReport[]): Slope[] {
  function findReport(
    hosts: number,
    groups: number,
    change: boolean,
  ): ControlReport {
    return reports.find((r) =>
      r.hosts === hosts && r.groups === groups && r.change === change
    )!;
  }
  return COST_FIELDS.flatMap((field) =>
    [false, true].map((change) => ({
      field,
      change,
      perHost:
        (findReport(9, 3, change)[field] - findReport(3, 3, change)[field]) / 6,
      perGroup:
        (findReport(9, 9, change)[field] - findReport(9, 3, change)[field]) / 6,
    }))
  );
}

const cli = cac("bench");
cli.command("", "Measure throughput, connections and control cost")
  .option("--seconds <s>", "Time for each throughput scenario", { default: 4 })
  .option("--json", "Print the results as a last line of JSON")
  .action(async ({ seconds, json }) => {
    const throughput = await measureThroughput(seconds);
    console.table(throughput);
    const connections = await measureConnections(CONNECTION_COUNT);
    console.table([connections]);
    const control = await measureControl(CONTROL_FLEET_SIZES, CONTROL_SECONDS);
    console.table(control);
    console.table(fitSlopes(control));
    if (json) {
      console.log(JSON.stringify({ ...throughput, connections, control }));
    }
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
