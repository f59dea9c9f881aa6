/** Checks the model of a group, and that it detects every faulty variant. */

import process from "node:process";
import { cac } from "cac";
import { type Bounds, explore } from "./model.ts";
import { VARIANTS } from "./model_variants.ts";

const BOUNDS: readonly Bounds[] = [
  { targets: 3, coordinators: 2, writes: 1, maxTerm: 2, maxStates: 1_000_000 },
  { targets: 3, coordinators: 1, writes: 2, maxTerm: 3, maxStates: 1_000_000 },
  { targets: 3, coordinators: 2, writes: 2, maxTerm: 3, maxStates: 1_000_000 },
];

function checkModel(): boolean {
  let hasPassed = true;
  for (const bounds of BOUNDS) {
    const { states, isComplete, violation } = explore(bounds);
    const { coordinators, writes, maxTerm } = bounds;
    const scope =
      `${coordinators} coordinators, ${writes} writes, terms to ${maxTerm}`;
    const extent = isComplete ? "all" : "first";
    console.log(
      `${scope}: ${extent} ${states} states, ${violation ?? "no violation"}`,
    );
    hasPassed &&= violation === undefined;
  }
  return hasPassed;
}

function checkVariants(): boolean {
  let hasPassed = true;
  for (const { name, bounds, decisions } of VARIANTS) {
    const { states, violation } = explore(bounds, decisions);
    const result = violation ? `caught: ${violation}` : "NOT CAUGHT";
    console.log(`variant "${name}": ${states} states, ${result}`);
    hasPassed &&= violation !== undefined;
  }
  return hasPassed;
}

const cli = cac("model");
cli.command("", "Explore the model and its faulty variants")
  .action(() => {
    const results = [checkModel(), checkVariants()];
    process.exitCode = results.every((hasPassed) => hasPassed) ? 0 : 1;
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
