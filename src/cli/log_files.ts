/** Reads the log files that a command is given. */

import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import { createFileProblem } from "../core/file_problems.ts";
import { type LogLine, parseLogLines } from "../host/explain.ts";
import { type ExitCode, type Terminal, warnProblems } from "./command.ts";

/** Returns the lines of all files, or reports the first that is unreadable. */
export function readLogFiles(
  terminal: Terminal,
  files: readonly string[],
): Result<readonly LogLine[], ExitCode> {
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...parseLogLines(readFileSync(file, "utf8")));
    } catch (err) {
      const detail = err instanceof Error ? err.message : `${err}`;
      const problems = [createFileProblem("", "file_unreadable", { detail })];
      return Err(warnProblems(terminal, { file, problems }));
    }
  }
  return Ok(lines);
}
