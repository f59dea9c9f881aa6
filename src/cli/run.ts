/** `turmericchute run`: runs a host until a signal stops it. */

import process from "node:process";
import { runHost } from "../daemon/run_host.ts";
import { formatDiagnostic } from "../core/diagnostics.ts";
import { loadSettings } from "../host/settings.ts";
import type { Settings } from "../generated/settings.ts";
import {
  EXIT_OK,
  type RegisterCommand,
  type Terminal,
  warnProblems,
} from "./command.ts";

/** Registers the `run` command. */
export const registerRun: RegisterCommand = (cli, terminal) => {
  cli.command("run <settings>", "Run a host")
    .example("turmericchute run host.yaml")
    .action(async (file: string) => {
      const settings = loadSettings(file);
      if (settings.isErr()) {
        return warnProblems(terminal, { file, problems: settings.error });
      }
      warnUnencrypted(terminal, settings.value);
      const running = await runHost(settings.value);
      // The first signal drains the host, the second one ends the drain.
      let signalCount = 0;
      const onSignal = () =>
        ++signalCount === 1 ? void running.drain() : running.abortDrain();
      process.on("SIGTERM", onSignal);
      process.on("SIGINT", onSignal);
      const { host } = settings.value;
      terminal.print(formatDiagnostic("host_ready", { host }));
      await running.stopped;
      terminal.print(formatDiagnostic("host_stopped", { host }));
      return EXIT_OK;
    });
};

/** Warns about ports without TLS certificates. */
function warnUnencrypted(terminal: Terminal, settings: Settings): void {
  const roles = (["callers", "peers"] as const)
    .filter((role) => !settings[role].tls).join(" and ");
  if (roles !== "") {
    const { host } = settings;
    terminal.warn(formatDiagnostic("host_unencrypted", { host, roles }));
  }
}
