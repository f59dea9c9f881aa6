/** Writes a generated workload trace as JSON lines. */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { generateTrace, getDeployment } from "./workloads.ts";

const EXIT_INVALID = 2;

const cli = cac("make_trace");

cli.command(
  "<deployment> <file>",
  "Write a generated trace of lakaz or madhuvan",
)
  .option("--seed <n>", "Seed", { default: 1 })
  .option("--seconds <s>", "Length in seconds", { default: 20 })
  .option("--load <share>", "Fraction of the plans' rates", { default: 0.6 })
  .action((deployment, file, { seed, seconds, load }) => {
    const lines = generateTrace(getDeployment(deployment), {
      seed,
      durationMs: seconds * 1_000,
      load,
    });
    const text = lines.map((line) => JSON.stringify(line)).join("\n");
    writeFileSync(file, `${text}\n`);
  });

cli.help();
try {
  cli.parse(process.argv);
} catch (err) {
  console.error(err instanceof Error ? err.message : err);
  process.exitCode = EXIT_INVALID;
}
