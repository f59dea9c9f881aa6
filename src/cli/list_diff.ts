/** Compares lists by the names of their entries and formats differences. */

import type { Difference } from "microdiff";
import { listDifferences } from "../core/lists.ts";

/** Fields that can name a list entry, in order of precedence. */
const NAME_FIELDS = [
  "workspace",
  "group",
  "target",
  "plan",
  "service",
  "class",
] as const;

/** Lists the differences between two lists, ignoring the order of entries. */
export function compareLists(
  from: unknown,
  to: unknown,
): readonly Difference[] {
  return listDifferences(indexByName(from), indexByName(to));
}

/** Formats differences, one per line. */
export function formatDifferences(
  differences: readonly Difference[],
): string[] {
  return differences.map(formatDifference);
}

function formatDifference(difference: Difference): string {
  const path = difference.path.join(".");
  switch (difference.type) {
    case "CREATE":
      return `+ ${path}: ${JSON.stringify(difference.value)}`;
    case "REMOVE":
      return `- ${path}: ${JSON.stringify(difference.oldValue)}`;
    case "CHANGE":
      return `~ ${path}: ${JSON.stringify(difference.oldValue)} -> ${
        JSON.stringify(difference.value)
      }`;
  }
}

/** Converts arrays of uniquely named entries to objects keyed by name. */
function indexByName(value: unknown): unknown {
  if (Array.isArray(value)) {
    const names = value.map(tryGetName);
    const hasUniqueNames = names.every((name) => name !== undefined) &&
      new Set(names).size === names.length;
    return hasUniqueNames
      ? Object.fromEntries(value.map((v, i) => [names[i], indexByName(v)]))
      : value.map(indexByName);
  }
  if (typeof value !== "object" || value === null) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).map(([key, entry]) => [key, indexByName(entry)]),
  );
}

function tryGetName(entry: unknown): string | undefined {
  if (typeof entry !== "object" || entry === null) {
    return undefined;
  }
  const fields = entry as Readonly<Record<string, unknown>>;
  const name = NAME_FIELDS.find((field) => typeof fields[field] === "string");
  return name && `${fields[name]}`;
}
