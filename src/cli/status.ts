/** `turmericchute status`: shows the status of the fleet. */

import { formatDiagnostic } from "../core/diagnostics.ts";
import { sleep } from "../core/clock.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
} from "./command.ts";
import { mergeStatuses } from "./fleet_status.ts";
import {
  fetchStatus,
  findOperators,
  type OperatorsOptions,
} from "./operators.ts";
import { renderFleet } from "./status_tables.ts";

const WATCH_INTERVAL_MS = 2_000;
const CLEAR_SCREEN = "\u001b[H\u001b[2J";

interface StatusOptions extends OperatorsOptions {
  readonly watch?: boolean;
  readonly json?: boolean;
}

/** Registers the `status` command. */
export const registerStatus: RegisterCommand = (cli, terminal) => {
  cli.command("status", "Show groups, hosts, workspaces and refusals")
    .option("--url <url>", "URL of an operators' port; may be repeated")
    .option("--settings <file>", "Settings file of a host; may be repeated")
    .option("--watch", "Refresh every two seconds")
    .option("--json", "Print one JSON object")
    .example("turmericchute status --url http://10.0.0.7:7001")
    .example("turmericchute status --settings h1.yaml --watch")
    .action(async (options: StatusOptions) => {
      const urls = findOperators(options);
      if (urls.length === 0) {
        terminal.warn(formatDiagnostic("operators_missing", {}));
        return EXIT_INVALID;
      }
      while (options.watch) {
        if (!options.json) {
          terminal.print(CLEAR_SCREEN);
        }
        await printStatus(terminal, { urls, options });
        await sleep(WATCH_INTERVAL_MS);
      }
      return await printStatus(terminal, { urls, options });
    });
};

async function printStatus(
  terminal: Terminal,
  args: { readonly urls: readonly string[]; readonly options: StatusOptions },
): Promise<ExitCode> {
  const responses = await Promise.all(args.urls.map(async (url) => ({
    url,
    status: await fetchStatus(url),
  })));
  for (const { url, status } of responses) {
    if (status.isErr()) {
      const detail = status.error;
      terminal.warn(formatDiagnostic("host_unreachable", { url, detail }));
    }
  }
  const statuses = responses.flatMap(({ status }) =>
    status.isOk() ? [status.value] : []
  );
  const fleet = mergeStatuses(statuses);
  terminal.print(
    args.options.json ? JSON.stringify(fleet) : renderFleet(fleet),
  );
  return statuses.length === responses.length ? EXIT_OK : EXIT_FAILED;
}
