/** Reads and formats lists as YAML with the digest of the stored list. */

import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import { stringify } from "yaml";
import type { ListName } from "../core/lists.ts";
import {
  createFileProblem,
  describeErrors,
  type FileProblem,
} from "../core/file_problems.ts";
import type { StoredObject } from "../core/types.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";
import { parseYaml } from "../host/settings.ts";

const BASE_LINE_PATTERN = /^# base: ([0-9a-f]+)$/m;
const DIGEST_CHARS = 16;

/** List read from an operator's file. */
export interface ListFile {
  readonly value: unknown;
  /** Digest of the stored list that the file is based on, if it has one. */
  readonly base: string | undefined;
}

/** Formats a stored list as YAML, with its version and digest in comments. */
export function formatList(object: StoredObject): string {
  const { kind: _, ...fields } = object.value as { readonly kind: string };
  return [
    `# ${object.key}, version ${object.version}`,
    `# base: ${digestList(object.value)}`,
    stringify(fields).trimEnd(),
  ].join("\n");
}

/** Returns a digest that shows whether a list has changed. */
export function digestList(value: unknown): string {
  return createHash("sha256").update(JSON.stringify(value) ?? "").digest("hex")
    .slice(0, DIGEST_CHARS);
}

/**
 * Reads a list from a file, or from the standard input if the name is `-`, and
 * validates it against its schema.
 */
export function readListFile(
  list: ListName,
  file: string,
): Result<ListFile, readonly FileProblem[]> {
  let text: string;
  try {
    text = readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (err) {
    const detail = err instanceof Error ? err.message : `${err}`;
    return Err([createFileProblem("", "file_unreadable", { detail })]);
  }
  return parseYaml(text).andThen((parsed) => {
    const value = withKind(list, parsed);
    return validatePlatformObject(value)
      ? Ok({ value, base: BASE_LINE_PATTERN.exec(text)?.[1] })
      : Err(describeErrors(validatePlatformObject.errors ?? []));
  });
}

function withKind(list: ListName, value: unknown): unknown {
  return typeof value === "object" && value !== null && !Array.isArray(value)
    ? { ...value, kind: list }
    : value;
}
