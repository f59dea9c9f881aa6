/** Replays a recorded run and finds the first outcome that differs. */

import { Err, Ok, type Result } from "ts-results-es";
import { playRun } from "./play.ts";
import { formatRun, type OutcomeLine, parseRun } from "./trace.ts";

/** Number of outcomes shown before and after a difference. */
const CONTEXT_LINES = 3;

/** First difference between the recorded outcomes and those of a replay. */
export interface Difference {
  /** Number of the outcome, counted from 1. */
  readonly outcome: number;
  /** Recorded outcome; undefined if the replay gave more outcomes. */
  readonly stated: OutcomeLine | undefined;
  /** Outcome of the replay; undefined if the replay gave fewer outcomes. */
  readonly found: OutcomeLine | undefined;
  /** Recorded outcomes before, at and after the difference. */
  readonly surroundings: readonly OutcomeLine[];
}

/** Result of a replay. */
export interface Replay {
  readonly title: string;
  readonly outcomes: number;
  /** Undefined if every outcome equals the recorded one. */
  readonly difference: Difference | undefined;
  /** The recorded run with the outcomes of the replay. */
  readonly text: string;
}

/** Replays the text of a recorded run; an error names the invalid line. */
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

/** Finds the first difference between recorded and replayed outcomes. */
export function tryFindDifference(
  recorded: readonly OutcomeLine[],
  replayed: readonly OutcomeLine[],
): Difference | undefined {
  const length = Math.max(recorded.length, replayed.length);
  for (let index = 0; index < length; index++) {
    if (JSON.stringify(recorded[index]) !== JSON.stringify(replayed[index])) {
      return {
        outcome: index + 1,
        stated: recorded[index],
        found: replayed[index],
        surroundings: recorded.slice(
          Math.max(0, index - CONTEXT_LINES),
          index + CONTEXT_LINES + 1,
        ),
      };
    }
  }
  return undefined;
}

/** Formats the result of a replay for the terminal. */
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
