/** Compares the policies with their baselines: `npm run experiments`. */

import { cac } from "cac";
import Table from "cli-table3";
import { createFifoQueue, createStaticLimits } from "./baselines.ts";
import { type Figures, getFigures } from "./report.ts";
import { runLoad, type RunOptions } from "./run.ts";
import {
  listFailoverScenarios,
  listFairnessScenarios,
  listLimitScenarios,
  listOverloadScenarios,
  type Scenario,
} from "./scenarios.ts";

const HOSTS = 7;

type Policies = Pick<RunOptions, "policies" | "settings">;

interface Experiment {
  readonly name: string;
  readonly scenarios: readonly Scenario[];
  readonly variants: Readonly<Record<string, Policies>>;
}

function listExperiments(seed: number): Experiment[] {
  return [
    {
      name: "limits",
      scenarios: listLimitScenarios(seed, HOSTS),
      variants: {
        product: {},
        static: { policies: { createLimits: createStaticLimits } },
      },
    },
    {
      name: "fairness",
      scenarios: listFairnessScenarios(seed, HOSTS),
      variants: {
        product: {},
        fifo: { policies: { createQueue: createFifoQueue } },
      },
    },
    {
      name: "overload",
      scenarios: listOverloadScenarios(seed, HOSTS),
      variants: {
        product: {},
        fifo: { policies: { createQueue: createFifoQueue } },
      },
    },
    {
      name: "retries",
      scenarios: listFailoverScenarios(seed, HOSTS),
      variants: { product: {} },
    },
    {
      name: "connections",
      scenarios: [
        ...listLimitScenarios(seed, HOSTS)
          .filter(({ name }) => name === "spread" || name === "host dies"),
        ...listFairnessScenarios(seed, HOSTS)
          .filter(({ name }) => name === "heavy"),
      ],
      variants: {
        product: {},
        "all hosts": { settings: { pools: { hostsPerGroup: HOSTS } } },
        "one host": { settings: { pools: { hostsPerGroup: 1 } } },
      },
    },
  ];
}

function addRow(
  table: Table.Table,
  given: { scenario: string; variant: string; figures: Figures },
): void {
  const { scenario, variant, figures } = given;
  const failed = Object.entries(figures.failed)
    .map(([kind, count]) => `${kind} ${count}`);
  table.push([
    scenario,
    variant,
    `${(figures.wrongfulShare * 100).toFixed(2)} %`,
    `${(figures.worstServed * 100).toFixed(1)} %`,
    figures.worstP99Ms.toFixed(0),
    figures.answered,
    figures.worstExcess.toFixed(1),
    figures.refusalP99Ms.toFixed(0),
    figures.sendsPerAnswer.toFixed(2),
    failed.join(", "),
  ]);
}

async function run(
  experiment: Experiment,
  options: { readonly seed: number; readonly only: string },
): Promise<void> {
  const table = new Table({
    head: [
      "load",
      "policy",
      "wrongful",
      "worst served",
      "p99 ms",
      "answered",
      "excess",
      "refusal p99 ms",
      "sends",
      "failed",
    ],
    style: { head: [], border: [] },
  });
  const scenarios = experiment.scenarios
    .filter((scenario) => scenario.name.includes(options.only));
  for (const scenario of scenarios) {
    for (const [variant, policies] of Object.entries(experiment.variants)) {
      const { deployment, load, happenings = [] } = scenario;
      const report = await runLoad({
        deployment,
        hosts: HOSTS,
        seed: options.seed,
        load,
        happenings,
        ...policies,
      });
      const figures = getFigures(scenario, report);
      addRow(table, { scenario: scenario.name, variant, figures });
    }
  }
  console.log(`${experiment.name}, seed ${options.seed}, ${HOSTS} hosts`);
  console.log(table.toString());
}

const cli = cac("experiments");
cli.command("[name]", "Compare policies with their baselines")
  .option("--seed <seed>", "Seed of the loads", { default: 1 })
  .option("--load <load>", "Run only loads with this in their name", {
    default: "",
  })
  .action(async (name: string | undefined, options) => {
    const { seed, load } = options as { seed: number; load: string };
    const chosen = listExperiments(seed)
      .filter((experiment) => !name || experiment.name === name);
    for (const experiment of chosen) {
      await run(experiment, { seed, only: load });
    }
  });
cli.help();
cli.parse(undefined, { run: false });
await cli.runMatchedCommand();
