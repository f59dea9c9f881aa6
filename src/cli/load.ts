/** `turmericchute load`: sends requests to hosts and reports the results. */

import { readFileSync } from "node:fs";
import process from "node:process";
import Table from "cli-table3";
import { build, type Histogram } from "hdr-histogram-js";
import { Err, Ok, type Result } from "ts-results-es";
import { countFailures } from "../../tools/demo_figures.ts";
import { getReplicaReadShare, isUnknown } from "../../tools/checker.ts";
import { type RequestRecord, runLoad } from "../../tools/load.ts";
import {
  assignSessions,
  generateLoad,
  scaleToRate,
} from "../../tools/shape_load.ts";
import { tryReadTrace } from "../../tools/trace_file.ts";
import { formatDiagnostic } from "../core/diagnostics.ts";
import { asId, type ServiceId, type WorkspaceId } from "../core/ids.ts";
import type { TraceLine } from "../generated/trace.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
} from "./command.ts";

const KEY_VARIABLE = "TURMERICCHUTE_KEY";
const DEFAULT_RATE_PER_S = 10;
const DEFAULT_DURATION_S = 10;
const DEFAULT_CONCURRENCY = 4;
const DEFAULT_TIMEOUT_MS = 5_000;
const MS_PER_SECOND = 1_000;

interface LoadOptions {
  readonly workspace?: string;
  readonly keys?: string;
  readonly service?: string;
  readonly trace?: string;
  readonly rate?: number;
  readonly concurrency?: number;
  readonly seconds: number;
  readonly seed: number;
  readonly timeoutMs: number;
  readonly json?: boolean;
}

type Keys = ReadonlyMap<WorkspaceId, string>;

/** Registers the `load` command. */
export const registerLoad: RegisterCommand = (cli, terminal) => {
  cli.command("load <...urls>", "Send generated requests or a trace to hosts")
    .option("--keys <file>", "File with a workspace and its key on each line")
    .option("--workspace <name>", `Workspace of the key in ${KEY_VARIABLE}`)
    .option("--service <name>", "Service that generated requests go to")
    .option("--trace <file>", "Send the requests of a trace")
    .option("--rate <n>", "Requests per second (without a trace: 10)")
    .option(
      "--concurrency <n>",
      "Sessions per workspace (without a trace: 4)",
    )
    .option("--seconds <s>", "Duration of a generated load", {
      default: DEFAULT_DURATION_S,
    })
    .option("--seed <n>", "Seed of a generated load", { default: 1 })
    .option("--timeout-ms <ms>", "Timeout of a request", {
      default: DEFAULT_TIMEOUT_MS,
    })
    .option("--json", "Print one JSON object")
    .example(
      "turmericchute load ws://10.0.0.7:7000 --keys keys.txt " +
        "--service ordering --rate 50 --concurrency 8 --seconds 20 --seed 7",
    )
    .example(
      "turmericchute load ws://10.0.0.7:7000 --keys keys.txt " +
        "--trace traces/lakaz_day.jsonl",
    )
    .action(async (urls: readonly string[], options: LoadOptions) => {
      const keys = readKeys(options);
      const trace = keys.andThen((loadedKeys) =>
        buildTrace(loadedKeys, options)
      );
      if (keys.isErr() || trace.isErr()) {
        const lines = keys.isErr() ? keys.error : trace.unwrapErr();
        lines.forEach((line) => terminal.warn(line));
        return EXIT_INVALID;
      }
      const startedAt = Date.now();
      const records = await runLoad(trace.value, {
        urls,
        keys: keys.value,
        timeoutMs: options.timeoutMs,
      });
      const seconds = (Date.now() - startedAt) / MS_PER_SECOND;
      return printReport(terminal, { records, seconds, options });
    });
};

/** Reads the keys of the workspaces; an error lists the messages to print. */
function readKeys(options: LoadOptions): Result<Keys, readonly string[]> {
  const { keys: file, workspace } = options;
  const secret = process.env[KEY_VARIABLE];
  if (file === undefined && workspace !== undefined && secret) {
    return Ok(new Map([[asId<WorkspaceId>(workspace), secret]]));
  }
  if (file === undefined) {
    const what = `--keys, or --workspace with ${KEY_VARIABLE},`;
    return Err([formatDiagnostic("argument_missing", { what })]);
  }
  try {
    const lines = readFileSync(file, "utf8").split("\n")
      .map((line) => line.trim().split(/\s+/))
      .filter((words) => words.length === 2);
    return Ok(
      new Map(lines.map(([name, key]) => [asId<WorkspaceId>(name!), key!])),
    );
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    return Err([`${file}: ${formatDiagnostic("file_unreadable", { detail })}`]);
  }
}

function buildTrace(
  keys: Keys,
  options: LoadOptions,
): Result<TraceLine[], readonly string[]> {
  const invalid = listInvalidOptions(options);
  if (invalid.length > 0) {
    return Err(invalid);
  }
  const { trace: file, service, rate, concurrency } = options;
  if (file !== undefined) {
    return tryReadTrace(file)
      .map((trace) => rate === undefined ? trace : scaleToRate(trace, rate))
      .map((trace) =>
        concurrency === undefined ? trace : assignSessions(trace, concurrency)
      );
  }
  if (service === undefined) {
    const what = "--service, or --trace,";
    return Err([formatDiagnostic("argument_missing", { what })]);
  }
  const trace = generateLoad({
    service: asId<ServiceId>(service),
    workspaces: [...keys.keys()],
    ratePerSecond: rate ?? DEFAULT_RATE_PER_S,
    seconds: options.seconds,
    seed: options.seed,
  });
  return Ok(assignSessions(trace, concurrency ?? DEFAULT_CONCURRENCY));
}

function listInvalidOptions(options: LoadOptions): string[] {
  const { rate, concurrency, seconds, seed, timeoutMs } = options;
  const numericOptions = Object.entries({
    rate,
    concurrency,
    seconds,
    "timeout-ms": timeoutMs,
  });
  const problems = numericOptions
    .filter(([, found]) => found !== undefined && !(found > 0))
    .map(([option, found]) => ({
      option,
      found: `${found}`,
      allowed: "a number above 0",
    }));
  const seedProblems = Number.isInteger(seed)
    ? []
    : [{ option: "seed", found: `${seed}`, allowed: "an integer" }];
  return [...problems, ...seedProblems]
    .map((fields) => formatDiagnostic("option_invalid", fields));
}

function printReport(
  terminal: Terminal,
  run: {
    readonly records: readonly RequestRecord[];
    readonly seconds: number;
    readonly options: LoadOptions;
  },
): ExitCode {
  const { records, seconds, options } = run;
  const answered = records.filter((record) => record.answer?.ok);
  const unknown = records.filter(isUnknown);
  const latencies = collectLatencies(answered);
  const report = {
    sent: records.length,
    answered: answered.length,
    refused: records.length - answered.length - unknown.length,
    outcomeUnknown: unknown.length,
    answeredPerSecond: answered.length / seconds,
    p50Ms: latencies.getValueAtPercentile(50),
    p99Ms: latencies.getValueAtPercentile(99),
    replicaReadShare: getReplicaReadShare(records),
    failures: Object.fromEntries(countFailures(records)),
  };
  if (options.json) {
    terminal.print(JSON.stringify(report));
  } else {
    const { failures, ...figures } = report;
    const table = new Table({
      head: ["Figure", "Value"],
      style: { head: [], border: [], compact: true },
    });
    table.push(
      ...Object.entries({ ...figures, ...failures })
        .map(([name, value]) => [name, formatFigure(value)]),
    );
    terminal.print(table.toString());
  }
  return answered.length > 0 ? EXIT_OK : EXIT_FAILED;
}

function collectLatencies(answered: readonly RequestRecord[]): Histogram {
  const histogram = build();
  answered.forEach(({ sentAt, answeredAt }) =>
    histogram.recordValue(Math.max(0, answeredAt - sentAt))
  );
  return histogram;
}

function formatFigure(value: number): string {
  return Number.isInteger(value) ? `${value}` : value.toFixed(3);
}
