/** `turmericchute load-report`: who is refused under load, where work goes. */

import Table from "cli-table3";
import {
  countRefused,
  type LoadReport,
  type LoadRow,
  summarizeLoad,
} from "../host/load_report.ts";
import { EXIT_OK, type ExitCode, type RegisterCommand } from "./command.ts";
import { readLogFiles } from "./log_files.ts";

/** Rows of a table unless `--rows` names another number. */
const DEFAULT_ROWS = 12;

interface LoadReportOptions {
  readonly json?: boolean;
  readonly rows?: number;
}

const TITLES: Readonly<Record<keyof LoadReport, string>> = {
  bySecond: "Second",
  byDatabase: "Database",
  byWorkspace: "Workspace",
  byHost: "Host",
  byTarget: "Target",
};

/** Registers the `load-report` command. */
export const registerLoadReport: RegisterCommand = (cli, terminal) => {
  cli.command(
    "load-report <...files>",
    "Show who was refused under load, and which targets answered",
  )
    .option("--rows <count>", "Rows of each table but the first", {
      default: DEFAULT_ROWS,
    })
    .option("--json", "Print the whole report as JSON")
    .example("turmericchute load-report h1.log h2.log --rows 20")
    .action((files: string[], options: LoadReportOptions): ExitCode => {
      const read = readLogFiles(terminal, files);
      if (read.isErr()) {
        return read.error;
      }
      const report = summarizeLoad(read.value);
      terminal.print(
        options.json
          ? JSON.stringify(
            report,
            (_, value) =>
              value instanceof Map ? Object.fromEntries(value) : value,
          )
          : formatReport(report, Number(options.rows ?? DEFAULT_ROWS)),
      );
      return EXIT_OK;
    });
};

function formatReport(report: LoadReport, rowCount: number): string {
  return (Object.keys(TITLES) as (keyof LoadReport)[]).map((grouping) =>
    formatTable(
      TITLES[grouping],
      grouping === "bySecond"
        ? report.bySecond
        : report[grouping].slice(0, rowCount),
    )
  ).join("\n");
}

function formatTable(title: string, rows: readonly LoadRow[]): string {
  const errors = [
    ...new Set(rows.flatMap(({ refused }) => [...refused.keys()])),
  ]
    .sort();
  const table = new Table({
    head: [title, "Answered", "Mean ms", "Refused", ...errors],
    style: { head: [], border: [] },
  });
  table.push(
    ...rows.map((row) => [
      row.key,
      `${row.answered}`,
      row.meanMs === undefined ? "" : row.meanMs.toFixed(0),
      `${countRefused(row)}`,
      ...errors.map((error) => `${row.refused.get(error) ?? ""}`),
    ]),
  );
  return table.toString();
}
