/** Draws the charts of docs/MEASURES.md from the details of measured runs. */

import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { Details, Gap } from "./measure/figures.ts";

/** Goal for the gap in service. */
const GAP_GOAL_MS = 3_000;
const WIDTH = 560;

interface MeasuredRun {
  readonly policy: string;
  readonly details: Details;
}

function readRuns(files: readonly string[]): MeasuredRun[] {
  return files.flatMap((file) =>
    JSON.parse(readFileSync(file, "utf8")) as MeasuredRun[]
  );
}

/** Chart of the gaps in service by fault, with the goal as a line. */
function drawGaps(
  gaps: readonly Gap[],
  title: string,
): TopLevelSpec {
  const axis = { title: "gap in service, ms" };
  return {
    width: WIDTH,
    title,
    background: "white",
    layer: [
      {
        data: { values: gaps.map((gap) => ({ ...gap })) },
        mark: { type: "tick", thickness: 2 },
        encoding: {
          x: { field: "ms", type: "quantitative", axis },
          y: { field: "fault", type: "nominal", title: "primary" },
        },
      },
      {
        data: { values: [{ goal: GAP_GOAL_MS }] },
        mark: { type: "rule", strokeDash: [4, 4] },
        encoding: { x: { field: "goal", type: "quantitative" } },
      },
    ],
  };
}

/** Chart of the median and 99th percentile latency of each workspace. */
function drawLatencies(
  runs: readonly MeasuredRun[],
  title: string,
): TopLevelSpec {
  const values = runs.flatMap(({ policy, details }) =>
    details.latencies.flatMap(({ workspace, quantiles }) => [
      { policy, workspace, quantile: "p50", ms: quantiles.p50 },
      { policy, workspace, quantile: "p99", ms: quantiles.p99 },
    ])
  );
  return {
    width: WIDTH,
    title,
    background: "white",
    data: { values },
    mark: { type: "point", filled: true, size: 60 },
    encoding: {
      x: {
        field: "ms",
        type: "quantitative",
        scale: { type: "log" },
        title: "latency of answered requests, ms",
      },
      y: { field: "workspace", type: "nominal" },
      color: { field: "policy", type: "nominal" },
      shape: { field: "quantile", type: "nominal" },
    },
  };
}

async function writePicture(file: string, spec: TopLevelSpec): Promise<void> {
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  writeFileSync(file, await view.toSVG());
  view.finalize();
}

const cli = cac("pictures");
cli.command(
  "<deployment> <...files>",
  "Draw charts from files of `measure --out`",
)
  .action(async (deployment: string, files: readonly string[]) => {
    const runs = readRuns(files);
    const chosenRuns = runs.filter((run) => run.policy === "chosen");
    await writePicture(
      `docs/gap_${deployment}.svg`,
      drawGaps(
        chosenRuns.flatMap((run) => run.details.gaps),
        `${deployment}: gap in service by the fault of the primary`,
      ),
    );
    await writePicture(
      `docs/latency_${deployment}.svg`,
      drawLatencies(runs, `${deployment}: latency by workspace`),
    );
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
