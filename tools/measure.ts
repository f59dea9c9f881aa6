/** Measures a deployment under faults and compares the policies. */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { readTrace } from "./load.ts";
import type { Figures } from "./measure/figures.ts";
import {
  COMPARED_POLICIES,
  getPolicy,
  listBrokenPolicies,
} from "./measure/policies.ts";
import { runPolicy, type RunResult } from "./measure/run.ts";
import { getDeployment } from "./workloads.ts";

const EXIT_VIOLATION = 1;
const EXIT_INVALID = 2;
const MS_PER_SECOND = 1_000;

interface MeasureOptions {
  readonly deployment: string;
  readonly seed: number;
  readonly seconds: number;
  readonly trace?: string;
  readonly policy?: string;
  readonly json?: boolean;
  readonly out?: string;
}

function printRun(name: string, run: RunResult): void {
  const { figures } = run;
  const { failoverGapMs: gap, invariants } = figures;
  const percent = (fraction: number) => `${(fraction * 100).toFixed(2)}%`;
  const violations = Object.entries(invariants).filter(([, count]) =>
    count > 0
  );
  console.log([
    "",
    name,
    `  reads served by replicas       ${percent(figures.replicaReadShare)}`,
    `  failover gap                   ${gap.count} gaps, p50 ${gap.p50} ms, ` +
    `p99 ${gap.p99} ms, max ${gap.max} ms`,
    `  worst-served workspace         ${
      percent(figures.worstWorkspaceServedShare)
    }`,
    `  refused within rate            ${
      percent(figures.refusedWithinRateShare)
    }`,
    `  attempts per request           ${figures.attemptsPerRequest.toFixed(3)}`,
    `  withdrawn key served for       ${run.withdrawnKeyMs ?? "-"} ms`,
    `  groups converged               ${run.isSettled ? "yes" : "no"}`,
    `  invariants                     ${
      violations.length === 0
        ? "all 0"
        : violations.map(([id, count]) => `${id} ${count}`).join(", ")
    }`,
  ].join("\n"));
}

async function measure(options: MeasureOptions): Promise<void> {
  const { seed, seconds } = options;
  const deployment = getDeployment(options.deployment);
  const names = options.policy ? [options.policy] : COMPARED_POLICIES;
  // Throws on an unknown name before any fleet is started.
  names.forEach(getPolicy);
  const runs = new Map<string, RunResult>();
  for (const policy of names) {
    const run = await runPolicy(deployment, {
      policy,
      seed,
      durationMs: seconds * MS_PER_SECOND,
      trace: options.trace ? readTrace(options.trace) : undefined,
    });
    runs.set(policy, run);
    if (!options.json) {
      printRun(policy, run);
    }
  }
  const policies = Object.fromEntries(
    [...runs].map(([name, run]): [string, Figures] => [name, run.figures]),
  );
  if (options.out) {
    const details = [...runs].map(([policy, run]) => ({ policy, ...run }));
    writeFileSync(options.out, JSON.stringify(details, undefined, 2));
  }
  const { name } = deployment;
  console.log(JSON.stringify({ deployment: name, seed, seconds, policies }));
  const hasViolation = Object.values(policies)
    .some((figures) => Object.values(figures.invariants).some(Boolean));
  process.exitCode = hasViolation ? EXIT_VIOLATION : 0;
}

const cli = cac("measure");
cli.command("", "Measure a deployment under faults")
  .option("--deployment <name>", "lakaz or madhuvan", { default: "lakaz" })
  .option("--seed <n>", "Seed of the load and the faults", { default: 1 })
  .option("--seconds <s>", "Length of a run in seconds", { default: 20 })
  .option("--trace <file>", "Trace to replay instead of the generated load")
  .option("--policy <name>", "Measure only this policy")
  .option("--json", "Print only the summary line of JSON")
  .option("--out <file>", "Write the details of the runs to a JSON file")
  .example("npm run measure -- --deployment lakaz --seed 1 --policy chosen")
  .example(
    `policies: ${[...COMPARED_POLICIES, ...listBrokenPolicies()].join(", ")}`,
  )
  .action(measure);
cli.help();
try {
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
} catch (err) {
  console.error(err instanceof Error ? err.message : err);
  // Child processes and relays of a partly started fleet keep the event loop
  // alive, so the process exits explicitly.
  process.exit(EXIT_INVALID);
}
