/** Runs pool hosts as processes under faults and checks what is promised. */

import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { cac } from "cac";
import { nowMs } from "../../src/core/clock.ts";
import { checkSoak } from "./checkers.ts";
import { explain, summarize, writeRun } from "./report.ts";
import { runSoak } from "./run.ts";
import type { SoakPlan } from "./schedule.ts";

const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60 * MS_PER_SECOND;
const MIN_GROUPS = 2;
const TARGETS_PER_GROUP = 3;
const EXIT_INVALID = 2;
/** Exit code after a signal that ends the run. */
const EXIT_INTERRUPTED = 130;

interface Args {
  readonly seed: number;
  readonly minutes: number;
  readonly hosts: number;
  readonly idleWorkspaces: number;
  readonly out?: string;
}

async function main(args: Args): Promise<void> {
  const { seed, minutes, hosts, idleWorkspaces, out } = args;
  if (!Number.isInteger(seed) || !(minutes > 0) || !(hosts >= 1)) {
    console.error("seed, minutes and hosts must be numbers, the last two > 0");
    process.exit(EXIT_INVALID);
  }
  const plan: SoakPlan = {
    seed,
    durationMs: minutes * MS_PER_MINUTE,
    hosts,
    groups: MIN_GROUPS + seed % 2,
    targetsPerGroup: TARGETS_PER_GROUP,
    idleWorkspaces,
  };
  const directory = out ?? mkdtempSync(join(tmpdir(), "soak-"));
  console.log(
    `seed ${seed}: ${hosts} hosts, ${plan.groups} groups of ` +
      `${TARGETS_PER_GROUP} targets, ${minutes} min, logs in ${directory}`,
  );
  const startedAt = nowMs();
  const run = await runSoak(plan, {
    directory,
    onEvent: ({ at, text }) =>
      console.log(
        `${((at - startedAt) / MS_PER_SECOND).toFixed(1)} s: ${text}`,
      ),
  });
  const violations = checkSoak(run.history);
  writeRun(directory, { plan, run, violations });
  summarize(run).forEach((line) => console.log(line));
  explain(violations, { directory, run }).forEach((line) => console.log(line));
  const isServed = run.history.statements.some(({ isComplete }) => isComplete);
  process.exit(violations.length === 0 && isServed ? 0 : 1);
}

const cli = cac("soak");
cli.command("", "Run pool hosts as processes under faults")
  .option("--seed <number>", "Seed of the faults and clients", { default: 1 })
  .option("--minutes <number>", "Length of the run", { default: 1 })
  .option("--hosts <number>", "Number of pool hosts", { default: 3 })
  .option(
    "--idle-workspaces <number>",
    "Workspaces without clients; from 20 on, hosts forward to each other",
    { default: 0 },
  )
  .option("--out <directory>", "Directory for logs; a new one by default")
  .example("npm run soak -- --seed 7 --minutes 2 --hosts 5 --out target/soak/7")
  .action(main);
cli.help();
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
  // An exit by code kills the hosts as well.
  process.on(signal, () => process.exit(EXIT_INTERRUPTED));
}
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
