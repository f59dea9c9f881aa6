#!/usr/bin/env node
/** The command line of turmericchute. */

import process from "node:process";
import { runCli } from "./cli.ts";
import { createTerminal, EXIT_OK } from "./command.ts";

// A reader that has seen enough, such as head, is no failure.
process.stdout.on("error", (err: NodeJS.ErrnoException) => {
  if (err.code === "EPIPE") {
    process.exit(EXIT_OK);
  }
  throw err;
});

process.exitCode = await runCli(process.argv, createTerminal());
