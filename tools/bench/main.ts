/** Measures what the proxy costs. */

import process from "node:process";
import { cac } from "cac";
import { measureThroughput } from "./throughput.ts";

const cli = cac("bench");
cli.command("", "Measure throughput, connections and control cost")
  .option("--seconds <s>", "Time for each way", { default: 4 })
  .option("--json", "Print one line of JSON last")
  .action(async ({ seconds, json }) => {
    const throughput = await measureThroughput(seconds);
    console.table(throughput);
    if (json) {
      console.log(JSON.stringify(throughput));
    }
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
