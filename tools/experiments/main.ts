/** Compares the product's policies with baselines: `npm run experiments`. */

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

const HOST_COUNT = 7;

type PolicyOptions = Pick<RunOptions, "policies" | "settings">;

interface Experiment {
  readonly name: string;
  readonly scenarios: readonly Scenario[];
  readonly variants: Readonly<Record<string, PolicyOptions>>;
}

function listExperiments(seed: number): Experiment[] {
  return [
    {
      name: "limits",
      scenarios: listLimitScenarios(seed, HOST_COUNT),
      variants: {
        product: {},
        static: { policies: { createLimits: createStaticLimits } },
      },
    },
    {
      name: "fairness",
      scenarios: listFairnessScenarios(seed, HOST_COUNT),
      variants: {
        product: {},
        fifo: { policies: { createQueue: createFifoQueue } },
      },
    },
    {
      name: "overload",
      scenarios: listOverloadScenarios(seed, HOST_COUNT),
      variants: {
        product: {},
        fifo: { policies: { createQueue: createFifoQueue } },
      },
    },
    {
      name: "retries",
      scenarios: listFailoverScenarios(seed, HOST_COUNT),
      variants: { product: {} },
    },
    {
      name: "connections",
      scenarios: [
        ...listLimitScenarios(seed, HOST_COUNT)
          .filter(({ name }) => name === "spread" || name === "host dies"),
        ...listFairnessScenarios(seed, HOST_COUNT)
          .filter(({ name }) => name === "heavy"),
      ],
      variants: {
        product: {},
        "all hosts": { settings: { pools: { hostsPerGroup: HOST_COUNT } } },
        "one host": { settings: { pools: { hostsPerGroup: 1 } } },
      },
    },
  ];
}

function addRow(
  table: Table.Table,
  row: { scenario: string; variant: string; figures: Figures },
): void {
  const { scenario, variant, figures } = row;
  const failed = Object.entries(figures.failed)
    .map(([kind, count]) => `${kind} ${count}`);
  table.push([
    scenario,
    variant,
    `${(figures.wrongfulRefusalFraction * 100).toFixed(2)} %`,
    `${(figures.worstAnsweredFraction * 100).toFixed(1)} %`,
    figures.worstP99Ms.toFixed(0),
    figures.answered,
    figures.worstExcess.toFixed(1),
    figures.refusalP99Ms.toFixed(0),
    figures.statementsPerAnswer.toFixed(2),
    failed.join(", "),
  ]);
}

async function runExperiment(
  experiment: Experiment,
  options: { readonly seed: number; readonly nameFilter: string },
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
    .filter((scenario) => scenario.name.includes(options.nameFilter));
  for (const scenario of scenarios) {
    for (const [variant, policies] of Object.entries(experiment.variants)) {
      const { deployment, load, timedFaults = [] } = scenario;
      const report = await runLoad({
        deployment,
        hosts: HOST_COUNT,
        seed: options.seed,
        load,
        timedFaults,
        ...policies,
      });
      const figures = getFigures(scenario, report);
      addRow(table, { scenario: scenario.name, variant, figures });
    }
  }
  console.log(`${experiment.name}, seed ${options.seed}, ${HOST_COUNT} hosts`);
  console.log(table.toString());
}

const cli = cac("experiments");
cli.command("[name]", "Compare policies with their baselines")
  .option("--seed <seed>", "Seed of the loads", { default: 1 })
  .option("--load <load>", "Run only loads whose name contains this text", {
    default: "",
  })
  .action(async (name: string | undefined, options) => {
    const { seed, load } = options as { seed: number; load: string };
    const selected = listExperiments(seed)
      .filter((experiment) => !name || experiment.name === name);
    for (const experiment of selected) {
      await runExperiment(experiment, { seed, nameFilter: load });
    }
  });
cli.help();
cli.parse(undefined, { run: false });
await cli.runMatchedCommand();
