/** Compares the outcomes of a scenario with its expected answers. */

import type { OutcomeLine } from "../../src/replay/trace.ts";
import type { ExpectedAnswer, Scenario } from "./scenario.ts";

/** Lists violated invariants and answers that differ from the expected ones. */
export function listMismatches(
  expected: Scenario["expected"],
  outcomes: readonly OutcomeLine[],
): string[] {
  const violations = outcomes.flatMap((line) =>
    line.kind === "invariants"
      ? Object.entries(line.counts).filter(([, count]) => count > 0)
      : []
  );
  const mismatchedAnswers = Object.entries(expected).filter((
    [id, expectedAnswer],
  ) =>
    !outcomes.some((line) =>
      line.kind === "answer" && `${line.id}` === id &&
      isAsExpected(line, expectedAnswer)
    )
  );
  return [
    ...violations.map(([name, count]) =>
      `invariant ${name} violated: count ${count}`
    ),
    ...mismatchedAnswers.map(([id]) =>
      `answer to ${id} is missing or not as expected`
    ),
  ];
}

function isAsExpected(
  line: Extract<OutcomeLine, { kind: "answer" }>,
  expectedAnswer: ExpectedAnswer,
): boolean {
  return "result" in expectedAnswer
    ? line.ok === true &&
      JSON.stringify(line.result) === JSON.stringify(expectedAnswer.result)
    : line.ok === false && expectedAnswer.errors.includes(`${line.error}`);
}
