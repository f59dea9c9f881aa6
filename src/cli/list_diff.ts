/** Compares lists by the names of their entries and writes the differences. */

import type { Difference } from "microdiff";
import { listDifferences } from "../core/lists.ts";

/** Fields that name an entry of a list, the first that it has. */
const NAME_FIELDS = [
  "workspace",
  "group",
  "target",
  "plan",
  "service",
  "class",
] as const;

/** Lists what differs between two lists, whatever the order of entries. */
export function compareLists(
  from: unknown,
  to: unknown,
): readonly Difference[] {
  return listDifferences(indexByName(from), indexByName(to));
}

/** Writes differences, one a line. */
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

/** Turns lists of named entries into mappings from name to entry. */
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
