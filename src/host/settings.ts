/** Loads and validates the settings of a host. */

import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import { LineCounter, parseDocument } from "yaml";
import {
  createFileProblem,
  describeErrors,
  type FileProblem,
} from "../core/file_problems.ts";
import type { Settings } from "../generated/settings.ts";
import { validateSettings } from "../generated/settings_validate.ts";
import { isLoopback } from "./tls.ts";

/** Servers that require certificates unless they use a loopback address. */
const ENCRYPTED_ROLES = ["callers", "peers"] as const;

/** Reads a YAML file without validating it against a schema. */
export function readYaml(
  file: string,
): Result<unknown, readonly FileProblem[]> {
  try {
    return parseYaml(readFileSync(file, "utf8"));
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    return Err([createFileProblem("", "file_unreadable", { detail })]);
  }
}

/** Parses YAML text; returns every syntax error with its position. */
export function parseYaml(
  text: string,
): Result<unknown, readonly FileProblem[]> {
  try {
    return parseDocumentText(text);
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    return Err([createFileProblem("", "yaml_invalid", { detail })]);
  }
}

function parseDocumentText(
  text: string,
): Result<unknown, readonly FileProblem[]> {
  const lineCounter = new LineCounter();
  const doc = parseDocument(text, { lineCounter, prettyErrors: false });
  if (doc.errors.length === 0) {
    return Ok(doc.toJS());
  }
  return Err(doc.errors.map((err) => {
    const { line, col } = lineCounter.linePos(err.pos[0]);
    const detail = err.message.split("\n")[0]!;
    return createFileProblem(`${line}:${col}`, "yaml_invalid", { detail });
  }));
}

/** Validates parsed settings; returns all problems found. */
export function checkSettings(
  value: unknown,
): Result<Settings, readonly FileProblem[]> {
  const isValid = validateSettings(value);
  const problems = [
    ...describeErrors(validateSettings.errors ?? []),
    ...checkCrossFieldRules(value),
  ];
  return isValid && problems.length === 0 ? Ok(value) : Err(problems);
}

/** Loads and validates settings from a YAML file. */
export function loadSettings(
  file: string,
): Result<Settings, readonly FileProblem[]> {
  return readYaml(file).andThen(checkSettings).andThen((settings) => {
    const problems = checkTlsFiles(settings);
    return problems.length > 0 ? Err(problems) : Ok(settings);
  });
}

/** Returns a problem for each TLS file that cannot be read. */
function checkTlsFiles(settings: Settings): FileProblem[] {
  return ENCRYPTED_ROLES.flatMap((role) =>
    Object.entries(settings[role].tls ?? {}).flatMap(([key, file]) => {
      const detail = tryGetReadError(file);
      const path = `${role}.tls.${key}`;
      return detail === undefined
        ? []
        : [createFileProblem(path, "file_unreadable", { detail })];
    })
  );
}

/** Returns the error message if a file cannot be read. */
function tryGetReadError(file: string): string | undefined {
  try {
    readFileSync(file);
    return undefined;
  } catch (err) {
    return err instanceof Error ? err.message : `${err}`;
  }
}

/**
 * Checks rules across several fields. The value may be invalid by the schema,
 * so each rule is only applied to fields of the expected type.
 */
function checkCrossFieldRules(value: unknown): FileProblem[] {
  return [
    ...checkTimeouts(value),
    ...checkPorts(value),
    ...checkKnownHosts(value),
    ...checkTls(value),
  ];
}

/** Requires certificates for every server that is not on loopback. */
function checkTls(value: unknown): FileProblem[] {
  return ENCRYPTED_ROLES.flatMap((role) => {
    const server = getField(value, role);
    const address = getField(server, "address");
    const isUnprotected = typeof address === "string" && !isLoopback(address) &&
      getField(server, "tls") === undefined;
    return isUnprotected
      ? [createFileProblem(`${role}.tls`, "tls_missing", { address })]
      : [];
  });
}

function checkTimeouts(value: unknown): FileProblem[] {
  const requests = getField(value, "requests");
  const timeoutMs = getField(requests, "defaultTimeoutMs");
  const limit = getField(requests, "maxTimeoutMs");
  if (typeof timeoutMs !== "number" || typeof limit !== "number") {
    return [];
  }
  return timeoutMs <= limit ? [] : [
    createFileProblem("requests.defaultTimeoutMs", "value_above", {
      found: timeoutMs,
      other: "requests.maxTimeoutMs",
      limit,
    }),
  ];
}

function checkPorts(value: unknown): FileProblem[] {
  const locations = ["callers", "operators", "peers"].flatMap((role) => {
    const address = getField(getField(value, role), "address");
    const port = getField(getField(value, role), "port");
    return typeof port === "number" && port > 0
      ? [{ path: `${role}.port`, found: `${address}:${port}` }]
      : [];
  });
  return findDuplicates(locations);
}

function checkKnownHosts(value: unknown): FileProblem[] {
  const known = getField(getField(value, "peers"), "known");
  if (!Array.isArray(known)) {
    return [];
  }
  const locations = known.map((peer, index) => ({
    path: `peers.known[${index}].host`,
    found: getField(peer, "host"),
  }));
  const ownHost = { path: "host", found: getField(value, "host") };
  return findDuplicates([ownHost, ...locations]);
}

interface ValueLocation {
  readonly path: string;
  readonly found: unknown;
}

function findDuplicates(locations: readonly ValueLocation[]): FileProblem[] {
  const firstPaths = new Map<string, string>();
  const problems: FileProblem[] = [];
  for (const { path, found } of locations) {
    if (typeof found !== "string") {
      continue;
    }
    const other = firstPaths.get(found);
    if (other) {
      problems.push(
        createFileProblem(path, "value_repeated", { found, other }),
      );
    } else {
      firstPaths.set(found, path);
    }
  }
  return problems;
}

function getField(value: unknown, key: string): unknown {
  return typeof value === "object" && value !== null
    ? (value as Readonly<Record<string, unknown>>)[key]
    : undefined;
}
