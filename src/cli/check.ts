/** `turmericchute check`: checks a settings file. */

import { formatDiagnostic } from "../core/diagnostics.ts";
import { formatFileProblem } from "../core/file_problems.ts";
import { loadSettings } from "../host/settings.ts";
import {
  EXIT_INVALID,
  EXIT_OK,
  type RegisterCommand,
  warnProblems,
} from "./command.ts";

/** Registers the `check` command. */
export const registerCheck: RegisterCommand = (cli, terminal) => {
  cli.command("check <settings>", "List every problem in a settings file")
    .option("--json", "Print the problems as one JSON list")
    .example("turmericchute check host.yaml")
    .action((file: string, { json }: { readonly json?: boolean }) => {
      const settings = loadSettings(file);
      const problems = settings.isErr() ? settings.error : [];
      if (json) {
        const list = problems.map((problem) => ({
          file,
          path: problem.path,
          message: problem.text,
          line: formatFileProblem(file, problem),
        }));
        terminal.print(JSON.stringify(list));
        return settings.isOk() ? EXIT_OK : EXIT_INVALID;
      }
      if (settings.isErr()) {
        return warnProblems(terminal, { file, problems });
      }
      const { host } = settings.value;
      terminal.print(
        `${file}: ${formatDiagnostic("settings_valid", { host })}`,
      );
      return EXIT_OK;
    });
};
