/** `turmericchute drain`: takes a target or a host out of service. */

import { formatDiagnostic } from "../core/diagnostics.ts";
import { asId, type TargetId } from "../core/ids.ts";
import { markLeaving } from "../core/lists.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
} from "./command.ts";
import { postDrain } from "./operators.ts";
import {
  findPlatform,
  type PlatformOptions,
  warnEditErr,
  withPlatformOptions,
} from "./platform.ts";

interface DrainOptions extends PlatformOptions {
  readonly undo?: boolean;
  readonly json?: boolean;
}

/** Registers the `drain` command. */
export const registerDrain: RegisterCommand = (cli, terminal) => {
  const command = cli.command(
    "drain <what> <name>",
    "Take a target (by id) or a host (by the URL of its operators' port) " +
      "out of service",
  );
  withPlatformOptions(command)
    .option("--undo", "With a target: return it to service")
    .option("--json", "Print one JSON object")
    .example("turmericchute drain target ordering-1-2")
    .example("turmericchute drain host http://10.0.0.7:7001")
    .action(async (kind: string, name: string, options: DrainOptions) => {
      switch (kind) {
        case "target":
          return await drainTarget(terminal, { name, options });
        case "host":
          return await drainHost(terminal, { url: name, options });
        default:
          terminal.warn(formatDiagnostic("action_unknown", {
            found: kind,
            allowed: "target, host",
          }));
          return EXIT_INVALID;
      }
    });
};

async function drainTarget(
  terminal: Terminal,
  args: { readonly name: string; readonly options: DrainOptions },
): Promise<ExitCode> {
  const { name, options } = args;
  const store = findPlatform(terminal, options);
  if (store.isErr()) {
    return store.error;
  }
  const target = asId<TargetId>(name);
  const leaving = !options.undo;
  const res = await markLeaving(store.value, { target, leaving });
  if (res.isErr()) {
    return warnEditErr(terminal, res.error);
  }
  const diagnostic = leaving ? "target_leaving" : "target_returned";
  terminal.print(
    options.json
      ? JSON.stringify({ target, leaving })
      : formatDiagnostic(diagnostic, { target }),
  );
  return EXIT_OK;
}

async function drainHost(
  terminal: Terminal,
  args: { readonly url: string; readonly options: DrainOptions },
): Promise<ExitCode> {
  const { url, options } = args;
  const res = await postDrain(url);
  if (res.isErr()) {
    const detail = res.error;
    terminal.warn(formatDiagnostic("host_unreachable", { url, detail }));
    return EXIT_FAILED;
  }
  terminal.print(
    options.json
      ? JSON.stringify({ url, state: "draining" })
      : formatDiagnostic("host_draining", { url }),
  );
  return EXIT_OK;
}
