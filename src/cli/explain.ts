/** `turmericchute explain`: shows the log lines related to one request. */

import { formatDiagnostic } from "../core/diagnostics.ts";
import { listRelatedLines, type LogLine } from "../host/explain.ts";
import {
  EXIT_FAILED,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
} from "./command.ts";
import { readLogFiles } from "./log_files.ts";

interface ExplainOptions {
  readonly json?: boolean;
}

/** Registers the `explain` command. */
export const registerExplain: RegisterCommand = (cli, terminal) => {
  cli.command("explain <id> <...files>", "Show the log lines about a request")
    .option("--json", "Print the lines as JSON")
    .example("turmericchute explain 5c0e7a21d94b36f8 h1.log h2.log")
    .action((id: string, files: string[], options: ExplainOptions) =>
      explainRequest(terminal, { id: `${id}`, files, options })
    );
};

function explainRequest(
  terminal: Terminal,
  args: {
    readonly id: string;
    readonly files: readonly string[];
    readonly options: ExplainOptions;
  },
): ExitCode {
  const { id, files, options } = args;
  const read = readLogFiles(terminal, files);
  if (read.isErr()) {
    return read.error;
  }
  const explanation = listRelatedLines(read.value, id);
  if (explanation.length === 0) {
    terminal.warn(formatDiagnostic("request_unknown", { id }));
    return EXIT_FAILED;
  }
  explanation.forEach((line) =>
    terminal.print(
      options.json ? JSON.stringify(line) : formatLogLine(line, id),
    )
  );
  return EXIT_OK;
}

/** Formats a log line; `*` marks the lines about the request itself. */
function formatLogLine(line: LogLine, id: string): string {
  const { time, host, msg, level: _, ...fields } = line;
  const marker = line.id === id ? "*" : " ";
  const fieldTexts = Object.entries(fields).filter(([name]) => name !== "id")
    .map(([name, value]) => `${name}=${value}`).join(" ");
  return `${
    new Date(time).toISOString()
  } ${marker} ${host} ${msg} ${fieldTexts}`;
}
