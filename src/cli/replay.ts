/** `turmericchute replay`: feeds a recorded run to the library. */

import { readFileSync, writeFileSync } from "node:fs";
import { formatDiagnostic } from "../core/diagnostics.ts";
import { createFileProblem } from "../core/mistakes.ts";
import { describeReplay, replayText } from "../replay/replay.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type Register,
  type Terminal,
  warnMistakes,
} from "./command.ts";

interface ReplayOptions {
  readonly output?: string;
  readonly json?: boolean;
}

/** Adds the command. */
export const registerReplay: Register = (cli, terminal) => {
  cli.command("replay <file>", "Replay a run and compare its outcomes")
    .option("--output <file>", "Write the run with the outcomes found")
    .option("--json", "Print one JSON object")
    .example("turmericchute replay traces/failover_at_night.jsonl")
    .action(async (file: string, options: ReplayOptions) =>
      await replay(terminal, { file, options })
    );
};

async function replay(
  terminal: Terminal,
  given: { readonly file: string; readonly options: ReplayOptions },
): Promise<ExitCode> {
  const { file, options } = given;
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    const mistakes = [createFileProblem("", "file_unreadable", { detail })];
    return warnMistakes(terminal, { file, mistakes });
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
