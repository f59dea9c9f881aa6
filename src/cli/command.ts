/** Exit codes, output and registration of commands. */

import process from "node:process";
import type { CAC } from "cac";
import { type FileProblem, formatFileProblem } from "../core/file_problems.ts";

/** The command succeeded. */
export const EXIT_OK = 0;
/** The command failed. */
export const EXIT_FAILED = 1;
/** The command line or the input was invalid. */
export const EXIT_INVALID = 2;

/** Exit code of a command. */
export type ExitCode =
  | typeof EXIT_OK
  | typeof EXIT_FAILED
  | typeof EXIT_INVALID;

/** Output of a command. */
export interface Terminal {
  /** Writes a line of the result to the standard output. */
  print(line: string): void;
  /** Writes a line to the standard error output. */
  warn(line: string): void;
}

/** Registers a command whose action returns an exit code. */
export type RegisterCommand = (cli: CAC, terminal: Terminal) => void;

/** Creates a terminal on the output streams of this process. */
export function createTerminal(): Terminal {
  return {
    print: (line) => process.stdout.write(`${line}\n`),
    warn: (line) => process.stderr.write(`${line}\n`),
  };
}

/** Prints the problems in a file, one per line. */
export function warnProblems(
  terminal: Terminal,
  fileProblems: {
    readonly file: string;
    readonly problems: readonly FileProblem[];
  },
): ExitCode {
  const { file, problems } = fileProblems;
  problems.forEach((problem) =>
    terminal.warn(formatFileProblem(file, problem))
  );
  return EXIT_INVALID;
}
