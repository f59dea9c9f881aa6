/** `turmericchute keys`: issues, withdraws, rotates and lists keys. */

import Table from "cli-table3";
import { formatDiagnostic } from "../core/diagnostics.ts";
import { asId, type KeyId, type WorkspaceId } from "../core/ids.ts";
import type { IssuedKey } from "../core/keys.ts";
import {
  issueWorkspaceKey,
  listKeys,
  rotateKey,
  withdrawKey,
} from "../core/lists.ts";
import type { PlatformStore } from "../core/types.ts";
import type { KeyRecord } from "../generated/objects.ts";
import {
  EXIT_INVALID,
  EXIT_OK,
  type ExitCode,
  type RegisterCommand,
  type Terminal,
} from "./command.ts";
import {
  findPlatform,
  type PlatformOptions,
  warnEditErr,
  withPlatformOptions,
} from "./platform.ts";

const ACTIONS = "issue, withdraw, rotate, list";
const DEFAULT_OVERLAP_MS = 3_600_000;

interface KeyOptions extends PlatformOptions {
  readonly json?: boolean;
  readonly overlapMs: number;
}

interface KeyCommand {
  /** Workspace for `issue` and `list`, otherwise the id of a key. */
  readonly name: string | undefined;
  readonly store: PlatformStore;
  readonly terminal: Terminal;
  readonly options: KeyOptions;
}

/** Registers the `keys` command. */
export const registerKeys: RegisterCommand = (cli, terminal) => {
  const command = cli.command(
    "keys <action> [name]",
    `Keys of callers: ${ACTIONS}`,
  );
  withPlatformOptions(command)
    .option("--json", "Print one JSON value")
    .option(
      "--overlap-ms <ms>",
      "With rotate: time that the old key stays valid",
      {
        default: DEFAULT_OVERLAP_MS,
      },
    )
    .example("turmericchute keys issue archive > archive.key")
    .example("turmericchute keys list archive")
    .example("turmericchute keys rotate 0f3a… --overlap-ms 60000")
    .example("turmericchute keys withdraw 0f3a…")
    .action(async (action: string, name: string | undefined, options) => {
      const store = findPlatform(terminal, options);
      return store.isErr() ? store.error : await runAction(action, {
        name,
        store: store.value,
        terminal,
        options,
      });
    });
};

async function runAction(
  action: string,
  command: KeyCommand,
): Promise<ExitCode> {
  const { name, terminal } = command;
  if (action === "list") {
    return await list(command);
  }
  if (!["issue", "withdraw", "rotate"].includes(action)) {
    terminal.warn(
      formatDiagnostic("action_unknown", { found: action, allowed: ACTIONS }),
    );
    return EXIT_INVALID;
  }
  if (name === undefined) {
    const what = action === "issue"
      ? "the name of a workspace"
      : "the id of a key";
    terminal.warn(formatDiagnostic("argument_missing", { what }));
    return EXIT_INVALID;
  }
  switch (action) {
    case "issue":
      return await issue(command, asId<WorkspaceId>(name));
    case "withdraw":
      return await withdraw(command, asId<KeyId>(name));
    default:
      return await rotate(command, asId<KeyId>(name));
  }
}

async function issue(
  command: KeyCommand,
  workspace: WorkspaceId,
): Promise<ExitCode> {
  const { store, terminal } = command;
  const issued = await issueWorkspaceKey(store, workspace);
  if (issued.isErr()) {
    return warnEditErr(terminal, issued.error);
  }
  const { keyId } = issued.value.record;
  return printIssuedKey(command, {
    issued: issued.value,
    message: formatDiagnostic("key_issued", { keyId, workspace }),
  });
}

async function rotate(command: KeyCommand, oldKeyId: KeyId): Promise<ExitCode> {
  const { store, terminal, options } = command;
  const { overlapMs } = options;
  if (!Number.isInteger(overlapMs) || overlapMs < 0) {
    terminal.warn(formatDiagnostic("option_invalid", {
      option: "overlap-ms",
      found: `${overlapMs}`,
      allowed: "an integer of at least 0",
    }));
    return EXIT_INVALID;
  }
  const issued = await rotateKey(store, { keyId: oldKeyId, overlapMs });
  if (issued.isErr()) {
    return warnEditErr(terminal, issued.error);
  }
  const { keyId } = issued.value.record;
  return printIssuedKey(command, {
    issued: issued.value,
    message: formatDiagnostic("key_rotated", {
      keyId,
      old: oldKeyId,
      overlapMs,
    }),
  });
}

/**
 * Prints a key. Without `--json`, the standard output gets nothing but the
 * secret, so that it can be redirected to a file.
 */
function printIssuedKey(
  command: KeyCommand,
  output: { readonly issued: IssuedKey; readonly message: string },
): ExitCode {
  const { terminal, options } = command;
  const { record, secret } = output.issued;
  if (options.json) {
    const { keyId, workspace } = record;
    terminal.print(JSON.stringify({ keyId, workspace, secret }));
  } else {
    terminal.warn(output.message);
    terminal.print(secret);
  }
  return EXIT_OK;
}

async function withdraw(command: KeyCommand, keyId: KeyId): Promise<ExitCode> {
  const { store, terminal, options } = command;
  const res = await withdrawKey(store, keyId);
  if (res.isErr()) {
    return warnEditErr(terminal, res.error);
  }
  terminal.print(
    options.json
      ? JSON.stringify({ keyId, withdrawn: true })
      : formatDiagnostic("key_withdrawn", { keyId }),
  );
  return EXIT_OK;
}

async function list(command: KeyCommand): Promise<ExitCode> {
  const { name, store, terminal, options } = command;
  const keys = await listKeys(store);
  if (keys.isErr()) {
    return warnEditErr(terminal, keys.error);
  }
  const selected = keys.value.filter((key) =>
    name === undefined || key.workspace === name
  );
  if (options.json) {
    const records = selected.map(({ salt: _salt, hash: _hash, ...rest }) =>
      rest
    );
    terminal.print(JSON.stringify(records));
    return EXIT_OK;
  }
  const table = new Table({
    head: ["Key", "Workspace", "Issued", "State"],
    style: { head: [], border: [] },
  });
  table.push(...selected.map((key) => [
    key.keyId,
    key.workspace,
    key.issuedAt,
    describeState(key),
  ]));
  terminal.print(table.toString());
  return EXIT_OK;
}

function describeState(key: KeyRecord): string {
  if (key.withdrawnAt) {
    return `withdrawn ${key.withdrawnAt}`;
  }
  return key.expiresAt ? `valid until ${key.expiresAt}` : "valid";
}
