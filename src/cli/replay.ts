/** `turmericchute replay`: replays a recorded run and compares its outcomes. */

import { readFileSync, writeFileSync } from "node:fs";
import { formatDiagnostic } from "../core/diagnostics.ts";
import { createFileProblem } from "../core/file_problems.ts";
import { describeReplay, replayText } from "../replay/replay.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
  warnProblems,
} from "./command.ts";

interface ReplayOptions {
  readonly output?: string;
  readonly json?: boolean;
}

/** Registers the `replay` command. */
export const registerReplay: RegisterCommand = (cli, terminal) => {
  cli.command("replay <file>", "Replay a recorded run and compare its outcomes")
    .option("--output <file>", "Write the run with the outcomes of the replay")
    .option("--json", "Print one JSON object")
    .example("turmericchute replay traces/failover_at_night.jsonl")
    .action(async (file: string, options: ReplayOptions) =>
      await replay(terminal, { file, options })
    );
};

async function replay(
  terminal: Terminal,
  args: { readonly file: string; readonly options: ReplayOptions },
): Promise<ExitCode> {
  const { file, options } = args;
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    const problems = [createFileProblem("", "file_unreadable", { detail })];
    return warnProblems(terminal, { file, problems });
  }
  const replayed = await replayText(text);
  if (replayed.isErr()) {
    const detail = replayed.error;
    terminal.warn(`${file}: ${formatDiagnostic("line_invalid", { detail })}`);
    return EXIT_INVALID;
  }
  if (options.output) {
    writeFileSync(options.output, replayed.value.text);
  }
  const { title, outcomes, difference } = replayed.value;
  terminal.print(
    options.json
      ? JSON.stringify({ title, outcomes, difference: difference ?? null })
      : describeReplay(replayed.value),
  );
  return difference ? EXIT_FAILED : EXIT_OK;
}
