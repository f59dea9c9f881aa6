#!/usr/bin/env node
/** The command line of turmericchute. */

import process from "node:process";
import { runCli } from "./cli.ts";
import { createTerminal } from "./command.ts";

process.exitCode = await runCli(process.argv, createTerminal());
