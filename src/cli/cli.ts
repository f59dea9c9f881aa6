/** Registers the commands, parses the command line and runs its command. */

import { type CAC, cac } from "cac";
import { formatDiagnostic } from "../core/diagnostics.ts";
import { trySuggest } from "../core/file_problems.ts";
import { registerCheck } from "./check.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
} from "./command.ts";
import { registerDrain } from "./drain.ts";
import { registerExplain } from "./explain.ts";
import { registerKeys } from "./keys.ts";
import { registerLists } from "./lists.ts";
import { registerLoad } from "./load.ts";
import { registerLoadReport } from "./load_report.ts";
import { registerReplay } from "./replay.ts";
import { registerRun } from "./run.ts";
import { registerStatus } from "./status.ts";

const COMMANDS: readonly RegisterCommand[] = [
  registerRun,
  registerCheck,
  registerLists,
  registerKeys,
  registerDrain,
  registerStatus,
  registerLoad,
  registerReplay,
  registerExplain,
  registerLoadReport,
];

/** Runs a command line and resolves with its exit code. */
export async function runCli(
  argv: readonly string[],
  terminal: Terminal,
): Promise<ExitCode> {
  const cli = cac("turmericchute");
  COMMANDS.forEach((register) => register(cli, terminal));
  cli.usage("<command> [options]");
  cli.help();
  try {
    cli.parse([...argv], { run: false });
    if (cli.matchedCommand) {
      return await cli.runMatchedCommand() as ExitCode;
    }
    return cli.options.help ? EXIT_OK : warnUnmatchedCommand(cli, terminal);
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    const isUsageError = err instanceof Error && err.name === "CACError";
    const diagnostic = isUsageError ? "usage_invalid" : "command_failed";
    terminal.warn(formatDiagnostic(diagnostic, { detail }));
    return isUsageError ? EXIT_INVALID : EXIT_FAILED;
  }
}

function warnUnmatchedCommand(cli: CAC, terminal: Terminal): ExitCode {
  const command = cli.args[0];
  if (command === undefined) {
    cli.outputHelp();
    return EXIT_INVALID;
  }
  const names = cli.commands.map(({ name }) => name);
  const suggestion = trySuggest(command, names);
  terminal.warn(
    suggestion
      ? formatDiagnostic("command_misspelt", { command, suggestion })
      : formatDiagnostic("command_unknown", { command }),
  );
  return EXIT_INVALID;
}
