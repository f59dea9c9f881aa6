#!/usr/bin/env node
/** The command line of turmericchute. */

import { readFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { parse } from "yaml";
import { validateSettings } from "../generated/settings_validate.ts";
import { runHost } from "../daemon/run_host.ts";

const EXIT_FAILED = 1;
const EXIT_INVALID = 2;

const cli = cac("turmericchute");

cli.command("run <settings>", "Run a host")
  .example("turmericchute run host.yaml")
  .action(async (file: string) => {
    const settings: unknown = parse(readFileSync(file, "utf8"));
    if (!validateSettings(settings)) {
      for (const err of validateSettings.errors ?? []) {
        console.error(`${file}: ${err.instancePath} ${err.message}`);
      }
      process.exitCode = EXIT_INVALID;
      return;
    }
    await runHost(settings);
    console.log(`${settings.host} ready`);
  });

cli.help();
try {
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
} catch (err) {
  console.error(err instanceof Error ? err.message : err);
  process.exitCode = EXIT_FAILED;
}
