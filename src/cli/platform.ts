/** Selects the platform of a command and prints errors of edits. */

import process from "node:process";
import type { Command } from "cac";
import { Err, Ok, type Result } from "ts-results-es";
import { formatDiagnostic } from "../core/diagnostics.ts";
import { assertNever } from "../core/errors.ts";
import type { EditErr } from "../core/lists.ts";
import { describeValue } from "../core/file_problems.ts";
import type { PlatformStore } from "../core/types.ts";
import { createObjectStore } from "../../platform/object_store.ts";
import { loadSettings } from "../host/settings.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  type ExitCode,
  type Terminal,
  warnProblems,
} from "./command.ts";
import { formatDifferences } from "./list_diff.ts";

const PLATFORM_VARIABLE = "TURMERICCHUTE_PLATFORM";
const CALLER_NAME = "turmericchute-cli";

/** Options that name the platform. */
export interface PlatformOptions {
  readonly platform?: string;
  readonly settings?: string;
}

/** Adds the options that name the platform. */
export function withPlatformOptions(command: Command): Command {
  return command
    .option("--platform <url>", "URL of the object API of the platform")
    .option("--settings <file>", "Settings that name the platform");
}

/**
 * Creates the store of the platform that the options or the environment name.
 * If there is none, prints the problem and returns the exit code as the error.
 */
export function findPlatform(
  terminal: Terminal,
  options: PlatformOptions,
): Result<PlatformStore, ExitCode> {
  const { settings: file } = options;
  if (options.platform === undefined && file !== undefined) {
    const settings = loadSettings(file);
    if (settings.isErr()) {
      const problems = settings.error;
      return Err(warnProblems(terminal, { file, problems }));
    }
    const { url, timeoutMs } = settings.value.platform;
    const timeout = timeoutMs ? { timeoutMs } : {};
    return Ok(createObjectStore(url, { caller: CALLER_NAME, ...timeout }));
  }
  const url = options.platform ?? process.env[PLATFORM_VARIABLE];
  if (!url) {
    terminal.warn(formatDiagnostic("platform_missing", {}));
    return Err(EXIT_INVALID);
  }
  return Ok(createObjectStore(url, { caller: CALLER_NAME }));
}

/** Prints why an edit failed and returns the exit code. */
export function warnEditErr(terminal: Terminal, err: EditErr): ExitCode {
  switch (err.kind) {
    case "invalid":
      err.problems.forEach(({ path, found, allowed }) =>
        terminal.warn(
          formatDiagnostic("list_invalid", {
            path,
            found: describeValue(found),
            allowed,
          }),
        )
      );
      return EXIT_INVALID;
    case "conflict": {
      const { key, version } = err.current;
      terminal.warn(formatDiagnostic("list_conflict", { key, version }));
      formatDifferences(err.differences).forEach(terminal.warn);
      return EXIT_FAILED;
    }
    case "unknown":
      terminal.warn(formatDiagnostic("edit_unknown", {}));
      return EXIT_FAILED;
    case "unreachable":
      terminal.warn(formatDiagnostic("platform_unreachable", {}));
      return EXIT_FAILED;
    case "rejected":
      terminal.warn(
        formatDiagnostic("platform_rejected", { detail: err.detail }),
      );
      return EXIT_FAILED;
    case "not_found":
      terminal.warn(formatDiagnostic("name_unknown", { name: err.name }));
      return EXIT_FAILED;
    default:
      return assertNever(err);
  }
}
