/** Formats the errors of a generated validator as diagnostics. */

import type { AnySchemaObject, ErrorObject } from "ajv";
import { closest, distance } from "fastest-levenshtein";
import {
  type DiagnosticFields,
  type DiagnosticName,
  formatDiagnostic,
  getDiagnosticCode,
} from "./diagnostics.ts";

/** Maximum length of a value in a message, in characters. */
const MAX_FOUND_CHARS = 60;
/** Maximum edit distance between a word and the suggested one. */
const MAX_SUGGESTION_EDITS = 2;

/** A validation problem in a file. */
export interface FileProblem {
  /** Location such as `peers.known[0].url`; empty for the whole file. */
  readonly path: string;
  readonly name: DiagnosticName;
  readonly text: string;
}

/** Creates a problem from a diagnostic. */
export function createFileProblem<N extends DiagnosticName>(
  path: string,
  name: N,
  fields: DiagnosticFields<N>,
): FileProblem {
  return { path, name, text: formatDiagnostic(name, fields) };
}

/** Formats a problem as one line: file, location, text and code. */
export function formatFileProblem(file: string, problem: FileProblem): string {
  const location = problem.path ? `${file}: ${problem.path}` : file;
  return `${location}: ${problem.text} [${getDiagnosticCode(problem.name)}]`;
}

/**
 * Converts validator errors to problems without duplicates. The validator must
 * be generated with Ajv's `verbose` option.
 */
export function describeErrors(
  errors: readonly ErrorObject[],
): readonly FileProblem[] {
  const problems = errors.map(describeError);
  const unique = new Map(
    problems.map((problem) => [`${problem.path}\n${problem.text}`, problem]),
  );
  return [...unique.values()];
}

function describeError(err: ErrorObject): FileProblem {
  const path = toPath(err.instancePath);
  const schema = err.parentSchema ?? {};
  switch (err.keyword) {
    case "additionalProperties":
      return describeUnknownKey(path, {
        key: `${err.params.additionalProperty}`,
        allowed: Object.keys(schema.properties ?? {}),
      });
    case "required": {
      const key = `${err.params.missingProperty}`;
      const allowed = describeSchema(schema.properties?.[key] ?? {});
      return createFileProblem(joinPath(path, key), "key_missing", { allowed });
    }
    case "discriminator":
      return createFileProblem(
        joinPath(path, `${err.params.tag}`),
        "value_invalid",
        {
          found: describeValue(err.params.tagValue),
          allowed: "the kind of an object of the platform",
        },
      );
    default:
      return createFileProblem(path, "value_invalid", {
        found: describeValue(err.data),
        allowed: describeSchema(schema),
      });
  }
}

function describeUnknownKey(
  path: string,
  unknownKey: { readonly key: string; readonly allowed: readonly string[] },
): FileProblem {
  const keyPath = joinPath(path, unknownKey.key);
  const allowed = unknownKey.allowed.join(", ");
  const suggestion = trySuggest(unknownKey.key, unknownKey.allowed);
  return suggestion
    ? createFileProblem(keyPath, "key_misspelt", { suggestion, allowed })
    : createFileProblem(keyPath, "key_unknown", { allowed });
}

/** Returns the allowed word that `found` is probably a misspelling of. */
export function trySuggest(
  found: string,
  allowed: readonly string[],
): string | undefined {
  const lower = found.toLowerCase();
  const best = closest(lower, allowed.map((word) => word.toLowerCase()));
  const isClose = best !== undefined &&
    distance(lower, best) <= Math.min(MAX_SUGGESTION_EDITS, best.length / 2);
  return isClose ? allowed.find((w) => w.toLowerCase() === best) : undefined;
}

/** Describes the values that a schema allows. */
function describeSchema(schema: AnySchemaObject): string {
  if (schema.const !== undefined) {
    return JSON.stringify(schema.const);
  }
  if (schema.enum) {
    return schema.enum.join(" or ");
  }
  switch (schema.type) {
    case "integer":
      return `an integer${describeRange(schema)}`;
    case "number":
      return `a number${describeRange(schema)}`;
    case "string":
      return schema.pattern ? `text that matches ${schema.pattern}` : "text";
    case "boolean":
      return "true or false";
    case "array":
      return "a list";
    case "object":
      return `a mapping with ${
        Object.keys(schema.properties ?? {}).join(", ")
      }`;
    default:
      return "another value";
  }
}

function describeRange(schema: AnySchemaObject): string {
  const { minimum, maximum, exclusiveMinimum } = schema;
  if (exclusiveMinimum !== undefined) {
    return ` above ${exclusiveMinimum}`;
  }
  if (minimum !== undefined && maximum !== undefined) {
    return ` from ${minimum} to ${maximum}`;
  }
  return minimum === undefined ? "" : ` of at least ${minimum}`;
}

/** Describes a value in a few words, or by its JSON text. */
export function describeValue(value: unknown): string {
  if (value === undefined) {
    return "nothing";
  }
  if (Array.isArray(value)) {
    return "a list";
  }
  if (typeof value === "object" && value !== null) {
    return "a mapping";
  }
  const text = JSON.stringify(value);
  return text.length > MAX_FOUND_CHARS
    ? `${text.slice(0, MAX_FOUND_CHARS)}…`
    : text;
}

/** Converts a JSON pointer to a path such as `peers.known[0].url`. */
function toPath(pointer: string): string {
  return pointer.split("/").slice(1)
    .map((part) => part.replaceAll("~1", "/").replaceAll("~0", "~"))
    .reduce(joinPath, "");
}

function joinPath(path: string, key: string): string {
  if (/^\d+$/.test(key)) {
    return `${path}[${key}]`;
  }
  return path ? `${path}.${key}` : key;
}
