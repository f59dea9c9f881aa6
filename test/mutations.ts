/** Generators of damaged messages, for tests with fast-check. */

import { Buffer } from "node:buffer";
import fc from "fast-check";

type Container = Record<string, unknown>;

/** Change of one field of a JSON value; removes it without a replacement. */
export interface JsonEdit {
  readonly index: number;
  readonly replacement: unknown;
}

/** Replacement of a part of a text; cuts the text off if it is empty. */
export interface TextEdit {
  readonly offset: number;
  readonly length: number;
  readonly replacement: string;
}

/** Generates edits of JSON values. */
export const JSON_EDITS: fc.Arbitrary<JsonEdit> = fc.record({
  index: fc.nat(30),
  replacement: fc.oneof(fc.jsonValue({ maxDepth: 4 }), fc.constant(undefined)),
});

/** Generates edits of texts. */
export const TEXT_EDITS: fc.Arbitrary<TextEdit> = fc.record({
  offset: fc.nat(),
  length: fc.nat(20),
  replacement: fc.string(),
});

/** Returns a copy of the value with one field replaced, removed or added. */
export function editJson(value: unknown, edit: JsonEdit): unknown {
  const { index, replacement } = edit;
  const copy = structuredClone(value);
  const containers = listContainers(copy);
  const container = containers[index % containers.length];
  if (!container) {
    return replacement;
  }
  const keys = [...Object.keys(container), "extra"];
  const key = keys[index % keys.length]!;
  if (replacement === undefined) {
    delete container[key];
  } else {
    container[key] = replacement;
  }
  return copy;
}

/** Returns the text with a part replaced or cut off. */
export function editText(text: string, edit: TextEdit): string {
  const { offset, length, replacement } = edit;
  const start = offset % (text.length + 1);
  return replacement === ""
    ? text.slice(0, start)
    : text.slice(0, start) + replacement + text.slice(start + length);
}

/** Generates a JSON value with one field replaced, removed or added. */
export function mutatedJson(
  values: readonly unknown[],
): fc.Arbitrary<unknown> {
  return fc.tuple(fc.constantFrom(...values), JSON_EDITS)
    .map(([value, edit]) => editJson(value, edit));
}

function listContainers(value: unknown): Container[] {
  if (typeof value !== "object" || value === null) {
    return [];
  }
  return [value as Container, ...Object.values(value).flatMap(listContainers)];
}

/** Generates a truncated text, or one with a part replaced. */
export function mutatedText(texts: readonly string[]): fc.Arbitrary<string> {
  return fc.tuple(fc.constantFrom(...texts), TEXT_EDITS)
    .map(([text, edit]) => editText(text, edit));
}

/** Generates truncated bytes, or ones with a part replaced. */
export function mutatedBytes(
  buffers: readonly Buffer[],
): fc.Arbitrary<Buffer> {
  return fc.tuple(
    fc.constantFrom(...buffers),
    fc.nat(),
    fc.uint8Array({ maxLength: 8 }),
  ).map(([bytes, offset, replacement]) => {
    const start = offset % (bytes.length + 1);
    return replacement.length === 0
      ? Buffer.from(bytes.subarray(0, start))
      : Buffer.concat([
        bytes.subarray(0, start),
        replacement,
        bytes.subarray(start + replacement.length),
      ]);
  });
}
