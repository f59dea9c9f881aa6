/** Runs one stand-in (`platform` or `target`); prints its port once ready. */

import process from "node:process";
import { cac } from "cac";
import { createPlatformServer } from "./platform_server.ts";
import { listen } from "./serve.ts";
import { createTargetServer, parseTargetOptions } from "./target_server.ts";

const cli = cac("standin");

cli.command("platform", "Run the stand-in for the platform's object API")
  .option("--port <port>", "Port on loopback", { default: 0 })
  .action(async ({ port }) => {
    console.log(await listen(createPlatformServer(), port));
  });

cli.command("target", "Run the stand-in for one target")
  .option("--port <port>", "Port on loopback", { default: 0 })
  .option("--target <id>", "Id of the target")
  .option("--follow <id>", "Start as a replica of this target")
  .option("--follow-url <url>", "URL of the target to follow")
  .option("--slots <n>", "Concurrent statements", { default: 3 })
  .option("--max-connections <n>", "Maximum data connections", { default: 20 })
  .option("--connect-ms <ms>", "Time to open a connection", { default: 10 })
  .option("--statement-ms <ms>", "Execution time of a statement", {
    default: 2,
  })
  .option("--latency-ms <ms>", "One-way latency", { default: 0.5 })
  .option("--latency-by-domain <json>", "One-way latency by failure domain")
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
