/** Runs one stand-in: `platform` or `target`. Prints its port when ready. */

import process from "node:process";
import { cac } from "cac";
import { createPlatformServer } from "./platform_server.ts";
import { listen } from "./serve.ts";
import { createTargetServer, parseTargetOptions } from "./target_server.ts";

const cli = cac("standin");

cli.command("platform", "Serve the object API")
  .option("--port <port>", "Port on loopback", { default: 0 })
  .action(async ({ port }) => {
    console.log(await listen(createPlatformServer(), port));
  });

cli.command("target", "Serve one target")
  .option("--port <port>", "Port on loopback", { default: 0 })
  .option("--target <id>", "Id of the target")
  .option("--follow <id>", "Follow this target instead of leading")
  .option("--follow-url <url>", "Where that target is")
  .option("--slots <n>", "Statements run at once", { default: 3 })
  .option("--max-connections <n>", "Data connections", { default: 20 })
  .option("--connect-ms <ms>", "Time to connect", { default: 10 })
  .option("--statement-ms <ms>", "Time of a statement", { default: 2 })
  .option("--latency-ms <ms>", "One-way latency", { default: 0.5 })
  .option("--latency-by-domain <json>", "One-way latency to each domain")
  .option("--lag-ms <ms>", "Replication lag", { default: 20 })
  .action(async (options) => {
    const server = createTargetServer(parseTargetOptions(options));
    console.log(await listen(server, options.port));
  });

cli.help();
try {
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
} catch (err) {
  console.error(err instanceof Error ? err.message : err);
  process.exitCode = 2;
}
