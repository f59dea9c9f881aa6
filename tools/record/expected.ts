/** Compares outcomes with what must come of a scenario. */

import type { OutcomeLine } from "../../src/replay/trace.ts";
import type { ExpectedAnswer, Scenario } from "./scenario.ts";

/** Lists broken invariants and answers that are not as they must be. */
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
    ...violations.map(([name, count]) => `${name} is ${count}`),
    ...mismatchedAnswers.map(([id]) => `${id} is not as it must be`),
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
