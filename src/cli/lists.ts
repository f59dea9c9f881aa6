/**
 * `turmericchute plans|services|groups`: applies, shows and compares the lists
 * that operators edit.
 */

import { formatDiagnostic } from "../core/diagnostics.ts";
import {
  applyList,
  LIST_NAMES,
  type ListChange,
  type ListName,
  readLists,
} from "../core/lists.ts";
import type { PlatformStore, StoredObject } from "../core/types.ts";
import {
  EXIT_FAILED,
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
  warnProblems,
} from "./command.ts";
import { compareLists, formatDifferences } from "./list_diff.ts";
import { digestList, formatList, readListFile } from "./list_file.ts";
import {
  findPlatform,
  type PlatformOptions,
  warnEditErr,
  withPlatformOptions,
} from "./platform.ts";

const ACTIONS = "apply, show, diff";

interface ListOptions extends PlatformOptions {
  readonly json?: boolean;
  readonly exitCode?: boolean;
}

interface ListCommand {
  readonly list: ListName;
  readonly file: string | undefined;
  readonly store: PlatformStore;
  readonly terminal: Terminal;
  readonly options: ListOptions;
}

const DESCRIPTIONS: Readonly<Record<ListName, string>> = {
  plans: "Plan of each workspace",
  services: "Rate limits and services of each plan",
  groups: "Database groups and their targets",
};

/** Registers the `plans`, `services` and `groups` commands. */
export const registerLists: RegisterCommand = (cli, terminal) => {
  for (const list of LIST_NAMES) {
    const command = cli.command(
      `${list} <action> [file]`,
      `${DESCRIPTIONS[list]}: ${ACTIONS}`,
    );
    withPlatformOptions(command)
      .option("--json", "Print one JSON object")
      .option("--exit-code", "With diff: exit with 1 if there are differences")
      .example(`turmericchute ${list} show > ${list}.yaml`)
      .example(`turmericchute ${list} diff ${list}.yaml`)
      .example(`turmericchute ${list} apply ${list}.yaml`)
      .action(async (action: string, file: string | undefined, options) => {
        const store = findPlatform(terminal, options);
        return store.isErr() ? store.error : await runAction(action, {
          list,
          file,
          store: store.value,
          terminal,
          options,
        });
      });
  }
};

async function runAction(
  action: string,
  command: ListCommand,
): Promise<ExitCode> {
  const { terminal } = command;
  switch (action) {
    case "show":
      return await show(command);
    case "diff":
      return await compare(command);
    case "apply":
      return await apply(command);
    default:
      terminal.warn(
        formatDiagnostic("action_unknown", { found: action, allowed: ACTIONS }),
      );
      return EXIT_INVALID;
  }
}

async function show(command: ListCommand): Promise<ExitCode> {
  const { list, store, terminal, options } = command;
  const lists = await readLists(store);
  if (lists.isErr()) {
    return warnEditErr(terminal, lists.error);
  }
  const { key, version, value } = lists.value[list];
  if (options.json) {
    terminal.print(JSON.stringify({ list, version, value }));
  } else if (version === 0) {
    terminal.warn(formatDiagnostic("name_unknown", { name: key }));
    return EXIT_FAILED;
  } else {
    terminal.print(formatList({ key, version, value }));
  }
  return EXIT_OK;
}

async function compare(command: ListCommand): Promise<ExitCode> {
  const { list, store, terminal, options } = command;
  const file = readCommandFile(command);
  if (typeof file === "number") {
    return file;
  }
  const lists = await readLists(store);
  if (lists.isErr()) {
    return warnEditErr(terminal, lists.error);
  }
  const differences = compareLists(lists.value[list].value, file.value);
  if (options.json) {
    terminal.print(JSON.stringify({ list, differences }));
  } else {
    formatDifferences(differences).forEach(terminal.print);
  }
  return options.exitCode && differences.length > 0 ? EXIT_FAILED : EXIT_OK;
}

async function apply(command: ListCommand): Promise<ExitCode> {
  const { list, store, terminal } = command;
  const file = readCommandFile(command);
  if (typeof file === "number") {
    return file;
  }
  const lists = await readLists(store);
  if (lists.isErr()) {
    return warnEditErr(terminal, lists.error);
  }
  const base = lists.value[list];
  if (file.base !== undefined && file.base !== digestList(base.value)) {
    return warnOutdated(command, { base, value: file.value });
  }
  const differences = compareLists(base.value, file.value);
  if (differences.length === 0 && base.version > 0) {
    return printApplied(command, { version: base.version, differences });
  }
  const value = file.value as ListChange["value"];
  const applied = await applyList(store, { list, value, base });
  return applied.isErr()
    ? warnEditErr(terminal, applied.error)
    : printApplied(command, { version: applied.value.version, differences });
}

function printApplied(
  command: ListCommand,
  result: {
    readonly version: number;
    readonly differences: ReturnType<typeof compareLists>;
  },
): ExitCode {
  const { list, terminal, options } = command;
  const { version, differences } = result;
  if (options.json) {
    terminal.print(JSON.stringify({ list, version, differences }));
  } else if (differences.length === 0) {
    terminal.print(formatDiagnostic("list_unchanged", { list }));
  } else {
    formatDifferences(differences).forEach(terminal.print);
    terminal.print(formatDiagnostic("list_applied", { list, version }));
  }
  return EXIT_OK;
}

/** Refuses an outdated file and prints how the stored list differs from it. */
function warnOutdated(
  command: ListCommand,
  change: { readonly base: StoredObject; readonly value: unknown },
): ExitCode {
  const { list, terminal } = command;
  const { version, value: storedValue } = change.base;
  terminal.warn(formatDiagnostic("list_outdated", { list, version }));
  formatDifferences(compareLists(change.value, storedValue)).forEach(
    terminal.warn,
  );
  return EXIT_FAILED;
}

/**
 * Reads the list file of a command, or prints its problems and returns the exit
 * code.
 */
function readCommandFile(command: ListCommand) {
  const { list, file, terminal } = command;
  if (file === undefined) {
    const what = "the name of a file, or - for the standard input,";
    terminal.warn(formatDiagnostic("argument_missing", { what }));
    return EXIT_INVALID;
  }
  const res = readListFile(list, file);
  return res.isErr()
    ? warnProblems(terminal, { file, problems: res.error })
    : res.value;
}
