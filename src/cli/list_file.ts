/** Lists as files: YAML that remembers what it was written from. */

import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import { stringify } from "yaml";
import type { ListName } from "../core/lists.ts";
import {
  createFileProblem,
  describeErrors,
  type FileProblem,
} from "../core/mistakes.ts";
import type { StoredObject } from "../core/types.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";
import { parseYaml } from "../host/settings.ts";

const BASE_LINE_PATTERN = /^# base: ([0-9a-f]+)$/m;
const DIGEST_CHARS = 16;

/** A list that an operator wrote. */
export interface ListFile {
  readonly value: unknown;
  /** Digest of the list that the file was written from, if it names one. */
  readonly base: string | undefined;
}

/** Writes a list the way operators edit it. */
export function formatList(object: StoredObject): string {
  const { kind: _, ...fields } = object.value as { readonly kind: string };
  return [
    `# ${object.key}, version ${object.version}`,
    `# base: ${digestList(object.value)}`,
    stringify(fields).trimEnd(),
  ].join("\n");
}

/** Digest by which a changed list is told from an unchanged one. */
export function digestList(value: unknown): string {
  return createHash("sha256").update(JSON.stringify(value) ?? "").digest("hex")
    .slice(0, DIGEST_CHARS);
}

/** Reads a list and names every mistake in its form. */
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
