/** Compares outcomes with what must come of a scenario. */

import type { OutcomeLine } from "../../src/replay/trace.ts";
import type { Expected, Scenario } from "./scenario.ts";

/** Lists broken invariants and answers that are not as they must be. */
export function listMistakes(
  expected: Scenario["expected"],
  outcomes: readonly OutcomeLine[],
): string[] {
  const broken = outcomes.flatMap((line) =>
    line.kind === "invariants"
      ? Object.entries(line.counts).filter(([, count]) => count > 0)
      : []
  );
  const answers = Object.entries(expected).filter(([id, must]) =>
    !outcomes.some((line) =>
      line.kind === "answer" && `${line.id}` === id && isAsExpected(line, must)
    )
  );
  return [
    ...broken.map(([name, count]) => `${name} is ${count}`),
    ...answers.map(([id]) => `${id} is not as it must be`),
  ];
}

function isAsExpected(
  line: Extract<OutcomeLine, { kind: "answer" }>,
  must: Expected,
): boolean {
  return "result" in must
    ? line.ok === true &&
      JSON.stringify(line.result) === JSON.stringify(must.result)
    : line.ok === false && must.errors.includes(`${line.error}`);
}
