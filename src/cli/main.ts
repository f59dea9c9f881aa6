#!/usr/bin/env node
/** Entry point of the `turmericchute` program. */

import process from "node:process";
import { runCli } from "./cli.ts";
import { createTerminal, EXIT_OK } from "./command.ts";

// A reader that closes the pipe early, such as `head`, is not an error.
process.stdout.on("error", (err: NodeJS.ErrnoException) => {
  if (err.code === "EPIPE") {
    process.exit(EXIT_OK);
  }
  throw err;
});

process.exitCode = await runCli(process.argv, createTerminal());
