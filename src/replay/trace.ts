/** Reads and writes recorded runs: one JSON object a line. */

import { Err, Ok, type Result } from "ts-results-es";
import type { ReplayLine } from "../generated/replay.ts";
import { validateReplayLine } from "../generated/replay_validate.ts";

/** A line of one kind. */
export type LineOf<K extends ReplayLine["kind"]> = Extract<
  ReplayLine,
  { kind: K }
>;

/** A line that is an input of the run. */
export type InputLine = LineOf<"open" | "close" | "request" | "fault">;

/** A line that a replay must give again. */
export type OutcomeLine = LineOf<"opened" | "answer" | "group" | "invariants">;

/** A recorded run. */
export interface RecordedRun {
  readonly header: LineOf<"header">;
  readonly inputs: readonly InputLine[];
  readonly outcomes: readonly OutcomeLine[];
}

/** Reads a recorded run; an error names the line that is at fault. */
export function parseRun(text: string): Result<RecordedRun, string> {
  const lines: ReplayLine[] = [];
  for (const [index, line] of text.split("\n").entries()) {
    if (line === "") {
      continue;
    }
    const parsed = tryParseLine(line);
    if (!parsed) {
      return Err(`line ${index + 1}: not a line of a recorded run`);
    }
    lines.push(parsed);
  }
  const [header, ...rest] = lines;
  if (header?.kind !== "header") {
    return Err("line 1: the first line must be the header");
  }
  return Ok({
    header,
    inputs: rest.filter(isInput),
    outcomes: rest.filter(isOutcome),
  });
}

function tryParseLine(text: string): ReplayLine | undefined {
  try {
    const line: unknown = JSON.parse(text);
    return validateReplayLine(line) ? line : undefined;
  } catch {
    return undefined;
  }
}

/** Writes a recorded run. */
export function formatRun(run: RecordedRun): string {
  const lines = [run.header, ...run.inputs, ...run.outcomes];
  return lines.map((line) => `${JSON.stringify(line)}\n`).join("");
}

function isInput(line: ReplayLine): line is InputLine {
  return line.kind === "open" || line.kind === "close" ||
    line.kind === "request" || line.kind === "fault";
}

function isOutcome(line: ReplayLine): line is OutcomeLine {
  return line.kind === "opened" || line.kind === "answer" ||
    line.kind === "group" || line.kind === "invariants";
}
