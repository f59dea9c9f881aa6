/** Parses and formats recorded runs: one JSON object per line. */

import { Err, Ok, type Result } from "ts-results-es";
import type { ReplayLine } from "../generated/replay.ts";
import { validateReplayLine } from "../generated/replay_validate.ts";

/** Line of kind `K`. */
export type LineOf<K extends ReplayLine["kind"]> = Extract<
  ReplayLine,
  { kind: K }
>;

/** Line with an input of the run. */
export type InputLine = LineOf<"open" | "close" | "request" | "fault">;

/** Line with an outcome that a replay must reproduce. */
export type OutcomeLine = LineOf<"opened" | "answer" | "group" | "invariants">;

/** Recorded run: description of the fleet, inputs, and their outcomes. */
export interface RecordedRun {
  readonly header: LineOf<"header">;
  readonly inputs: readonly InputLine[];
  readonly outcomes: readonly OutcomeLine[];
}

/** Parses a recorded run; an error names the invalid line. */
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

/** Formats a recorded run: header, inputs, then outcomes. */
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
