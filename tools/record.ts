/** Replays the scenarios and records them with their outcomes in `traces`. */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { playRun } from "../src/replay/play.ts";
import { formatRun } from "../src/replay/trace.ts";
import { listMismatches } from "./record/expected.ts";
import { SCENARIOS } from "./record/scenarios.ts";

const TRACES_DIR = "traces";

const names = process.argv.slice(2);
const selected = SCENARIOS.filter((scenario) =>
  names.length === 0 || names.includes(scenario.name)
);
for (const scenario of selected) {
  const { name, header, inputs } = scenario;
  const outcomes = await playRun(scenario);
  const file = `${TRACES_DIR}/${name}.jsonl`;
  const mismatches = listMismatches(scenario.expected, outcomes);
  if (mismatches.length > 0) {
    console.error(`${file}: not written: ${mismatches.join("; ")}`);
    process.exitCode = 1;
  } else {
    writeFileSync(file, formatRun({ header, inputs, outcomes }));
    console.log(
      `${file}: ${inputs.length} inputs, ${outcomes.length} outcomes`,
    );
  }
}
