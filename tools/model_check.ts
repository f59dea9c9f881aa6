/**
 * Checks the model of a group and that of the failover, and that they detect
 * every faulty variant.
 */

import process from "node:process";
import { cac } from "cac";
import { exploreFailover } from "./failover_model/explore.ts";
import type { FailoverBounds } from "./failover_model/state.ts";
import {
  FAILOVER_VARIANTS,
  PARTITION,
  SMALL_BOUNDS,
  TWO_HOLDERS,
} from "./failover_model/variants.ts";
import { type Bounds, explore } from "./model.ts";
import { VARIANTS } from "./model_variants.ts";

const BOUNDS: readonly Bounds[] = [
  { targets: 3, coordinators: 2, writes: 1, maxTerm: 2, maxStates: 1_000_000 },
  { targets: 3, coordinators: 1, writes: 2, maxTerm: 3, maxStates: 1_000_000 },
  { targets: 3, coordinators: 2, writes: 2, maxTerm: 3, maxStates: 1_000_000 },
];

const FAILOVER_BOUNDS: readonly FailoverBounds[] = [
  { ...SMALL_BOUNDS, restarts: 2 },
  { ...SMALL_BOUNDS, commits: 2, restarts: 1 },
  { ...SMALL_BOUNDS, fault: "departure" },
  { ...SMALL_BOUNDS, fault: "reach_returns" },
  { ...SMALL_BOUNDS, fourthCopy: "registers_after_outage" },
  { ...SMALL_BOUNDS, fourthCopy: "registers_late" },
  PARTITION,
  { ...PARTITION, restarts: 1, mayRestartLate: false },
  { ...SMALL_BOUNDS, fault: "silence" },
  { ...SMALL_BOUNDS, holders: 2 },
  { ...TWO_HOLDERS, restarts: 1 },
  { ...TWO_HOLDERS, fault: "lapse" },
  { ...TWO_HOLDERS, fault: "reach_returns" },
  { ...TWO_HOLDERS, commits: 2 },
  { ...TWO_HOLDERS, holders: 3 },
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

function checkFailoverModel(): boolean {
  let hasPassed = true;
  for (const bounds of FAILOVER_BOUNDS) {
    const { states, isComplete, violation, steps } = exploreFailover(bounds);
    const { holders, commits, restarts, fault, fourthCopy } = bounds;
    const scope = `failover, ${holders} holders, ${commits} commits, ` +
      `${restarts} restarts, fault ${fault}, fourth copy ${fourthCopy}`;
    const extent = isComplete ? "all" : "first";
    console.log(
      `${scope}: ${extent} ${states} states, ${violation ?? "no violation"}`,
    );
    printSteps(steps);
    hasPassed &&= isComplete;
  }
  return hasPassed;
}

function checkFailoverVariants(): boolean {
  let hasPassed = true;
  for (const variant of FAILOVER_VARIANTS) {
    const { states, violation, steps } = exploreFailover(
      variant.bounds,
      variant,
    );
    const result = violation ? `caught: ${violation}` : "NOT CAUGHT";
    console.log(
      `failover variant "${variant.name}": ${states} states, ${result}`,
    );
    printSteps(steps);
    hasPassed &&= violation === variant.violation;
  }
  return hasPassed;
}

function printSteps(steps: readonly string[]): void {
  steps.forEach((step, index) => console.log(`  ${index + 1}. ${step}`));
}

const cli = cac("model");
cli.command("", "Explore the models and their faulty variants")
  .action(() => {
    const results = [
      checkModel(),
      checkVariants(),
      checkFailoverModel(),
      checkFailoverVariants(),
    ];
    process.exitCode = results.every((hasPassed) => hasPassed) ? 0 : 1;
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
