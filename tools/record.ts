/** Records the scenarios under `traces`, with the outcomes that they give. */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { playRun } from "../src/replay/play.ts";
import { formatRun } from "../src/replay/trace.ts";
import { listMistakes } from "./record/expected.ts";
import { SCENARIOS } from "./record/scenarios.ts";

const TRACES_DIR = "traces";

const names = process.argv.slice(2);
const chosen = SCENARIOS.filter((scenario) =>
  names.length === 0 || names.includes(scenario.name)
);
for (const scenario of chosen) {
  const { name, header, inputs } = scenario;
  const outcomes = await playRun(scenario);
  const file = `${TRACES_DIR}/${name}.jsonl`;
  const mistakes = listMistakes(scenario.expected, outcomes);
  if (mistakes.length > 0) {
    console.error(`${file}: not written: ${mistakes.join("; ")}`);
    process.exitCode = 1;
  } else {
    writeFileSync(file, formatRun({ header, inputs, outcomes }));
    console.log(
      `${file}: ${inputs.length} inputs, ${outcomes.length} outcomes`,
    );
  }
}
