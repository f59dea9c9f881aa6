/** Replays a recorded run and finds the first outcome that differs. */

import { Err, Ok, type Result } from "ts-results-es";
import { playRun } from "./play.ts";
import { formatRun, type OutcomeLine, parseRun } from "./trace.ts";

/** Outcomes shown before and after a difference. */
const CONTEXT_LINES = 3;

/** The first outcome that a replay did not give again. */
export interface Difference {
  /** Number of the outcome, from 1. */
  readonly outcome: number;
  /** Undefined when the replay gave more outcomes than were stated. */
  readonly stated: OutcomeLine | undefined;
  /** Undefined when the replay gave fewer. */
  readonly found: OutcomeLine | undefined;
  /** Stated outcomes around it. */
  readonly surroundings: readonly OutcomeLine[];
}

/** What a replay gave. */
export interface Replay {
  readonly title: string;
  readonly outcomes: number;
  /** Undefined when every outcome is as stated. */
  readonly difference: Difference | undefined;
  /** The run as it would be recorded now. */
  readonly text: string;
}

/** Replays the text of a recorded run; an error names the line at fault. */
export async function replayText(
  text: string,
): Promise<Result<Replay, string>> {
  const parsed = parseRun(text);
  if (parsed.isErr()) {
    return Err(parsed.error);
  }
  const run = parsed.value;
  const outcomes = await playRun(run);
  return Ok({
    title: run.header.title,
    outcomes: outcomes.length,
    difference: tryFindDifference(run.outcomes, outcomes),
    text: formatRun({ ...run, outcomes }),
  });
}

/** Finds the first difference between stated and found outcomes. */
export function tryFindDifference(
  stated: readonly OutcomeLine[],
  found: readonly OutcomeLine[],
): Difference | undefined {
  const length = Math.max(stated.length, found.length);
  for (let index = 0; index < length; index++) {
    if (JSON.stringify(stated[index]) !== JSON.stringify(found[index])) {
      return {
        outcome: index + 1,
        stated: stated[index],
        found: found[index],
        surroundings: stated.slice(
          Math.max(0, index - CONTEXT_LINES),
          index + CONTEXT_LINES + 1,
        ),
      };
    }
  }
  return undefined;
}

/** Describes a replay for people. */
export function describeReplay(replay: Replay): string {
  const { difference } = replay;
  if (!difference) {
    return `${replay.title}: ${replay.outcomes} outcomes as stated`;
  }
  const formatLine = (line: OutcomeLine | undefined) =>
    line ? JSON.stringify(line) : "nothing";
  return [
    `${replay.title}: outcome ${difference.outcome} differs`,
    `  stated: ${formatLine(difference.stated)}`,
    `  found:  ${formatLine(difference.found)}`,
    "  around it:",
    ...difference.surroundings.map((line) => `    ${formatLine(line)}`),
  ].join("\n");
}
