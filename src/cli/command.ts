/** What the commands share: exit codes and where they write. */

import process from "node:process";
import type { CAC } from "cac";
import { type FileProblem, formatFileProblem } from "../core/mistakes.ts";

/** The command did what it was asked to. */
export const EXIT_OK = 0;
/** The command failed. */
export const EXIT_FAILED = 1;
/** The usage or the input was not valid. */
export const EXIT_INVALID = 2;

/** How a command ends. */
export type ExitCode =
  | typeof EXIT_OK
  | typeof EXIT_FAILED
  | typeof EXIT_INVALID;

/** Where a command writes. */
export interface Terminal {
  /** Results, for people or programs. */
  print(line: string): void;
  /** What went wrong. */
  warn(line: string): void;
}

/** Adds a command to the command line; its action answers with an exit code. */
export type RegisterCommand = (cli: CAC, terminal: Terminal) => void;

/** The terminal of this process. */
export function createTerminal(): Terminal {
  return {
    print: (line) => process.stdout.write(`${line}\n`),
    warn: (line) => process.stderr.write(`${line}\n`),
  };
}

/** Names the mistakes in a file, one a line. */
export function warnProblems(
  terminal: Terminal,
  fileProblems: {
    readonly file: string;
    readonly problems: readonly FileProblem[];
  },
): ExitCode {
  const { file, problems: problems } = fileProblems;
  problems.forEach((problem) =>
    terminal.warn(formatFileProblem(file, problem))
  );
  return EXIT_INVALID;
}
