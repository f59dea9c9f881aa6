/** Reads workload traces and reports their invalid lines. */

import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import {
  createFileProblem,
  describeErrors,
  type FileProblem,
  formatFileProblem,
} from "../src/core/file_problems.ts";
import { isNestedWithin } from "../src/core/nesting.ts";
import type { TraceLine } from "../src/generated/trace.ts";
import { validateTraceLine } from "../src/generated/trace_validate.ts";

/** Maximum nesting depth of a line, including its statement. */
const MAX_LINE_DEPTH = 32;
/** Number of problems after which the rest of a trace is skipped. */
const MAX_PROBLEMS = 20;

/** Decodes and validates one line of a trace. */
export function decodeTraceLine(
  text: string,
): Result<TraceLine, readonly FileProblem[]> {
  const line = tryParse(text);
  if (line === undefined) {
    const detail = "the line is not JSON";
    return Err([createFileProblem("", "line_invalid", { detail })]);
  }
  if (!isNestedWithin(line, MAX_LINE_DEPTH)) {
    const detail = `nested deeper than ${MAX_LINE_DEPTH} levels`;
    return Err([createFileProblem("", "line_invalid", { detail })]);
  }
  return validateTraceLine(line)
    ? Ok(line)
    : Err(describeErrors(validateTraceLine.errors ?? []));
}

/** Decodes a trace; each problem is a message with file and line number. */
export function decodeTrace(
  text: string,
  file: string,
): Result<TraceLine[], readonly string[]> {
  const lines: TraceLine[] = [];
  const problems: string[] = [];
  for (const [index, entry] of text.split("\n").entries()) {
    if (entry === "" || problems.length >= MAX_PROBLEMS) {
      continue;
    }
    const line = decodeTraceLine(entry);
    if (line.isOk()) {
      lines.push(line.value);
    } else {
      const location = `${file}:${index + 1}`;
      problems.push(
        ...line.error.map((problem) => formatFileProblem(location, problem)),
      );
    }
  }
  return problems.length > 0 ? Err(problems) : Ok(lines);
}

/** Reads and decodes a trace file. */
export function tryReadTrace(
  file: string,
): Result<TraceLine[], readonly string[]> {
  try {
    return decodeTrace(readFileSync(file, "utf8"), file);
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    const problem = createFileProblem("", "file_unreadable", { detail });
    return Err([formatFileProblem(file, problem)]);
  }
}

function tryParse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
