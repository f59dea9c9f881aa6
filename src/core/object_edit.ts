/** Conditional updates of platform objects that tolerate lost responses. */

import { isDeepStrictEqual } from "node:util";
import diff, { type Difference } from "microdiff";
import { Err, Ok, type Result } from "ts-results-es";
import { sleep } from "./clock.ts";
import type { ListProblem } from "./list_checks.ts";
import type { PlatformStore, StoredObject } from "./types.ts";

const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 100;

/** Reason why an edit was not accepted. */
export type EditErr =
  | { readonly kind: "invalid"; readonly problems: readonly ListProblem[] }
  /** The object was changed since it was read. */
  | {
    readonly kind: "conflict";
    readonly current: StoredObject;
    /** Differences from the object that the edit is based on to `current`. */
    readonly differences: readonly Difference[];
  }
  /** The edit may or may not have taken effect. */
  | { readonly kind: "unknown" }
  /** The edit was not made. */
  | { readonly kind: "unreachable" }
  | { readonly kind: "rejected"; readonly detail: string }
  | { readonly kind: "not_found"; readonly name: string };

/** Lists the differences between two values of an object. */
export function listDifferences(
  from: unknown,
  to: unknown,
): readonly Difference[] {
  return diff(toRecord(from), toRecord(to));
}

/**
 * Replaces `base` with `value`. If a response is lost, reads the object back to
 * find out whether the write took effect.
 */
export async function putObject(
  store: PlatformStore,
  base: StoredObject,
  value: unknown,
): Promise<Result<StoredObject, EditErr>> {
  let mayHaveApplied = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const res = await store.put(base.key, value, { ifVersion: base.version });
    if (res.isOk()) {
      return res;
    }
    if (res.error.kind === "rejected") {
      return Err(res.error);
    }
    mayHaveApplied ||= res.error.kind === "unreachable" ||
      res.error.kind === "outdated";
    const current = res.error.kind === "conflict"
      ? res.error.current
      : await tryReadBack(store, base);
    if (current && current.version !== base.version) {
      return mayHaveApplied && isOwnWrite(current, { base, value })
        ? Ok(current)
        : Err(toConflict(base, current));
    }
    await sleep(RETRY_DELAY_MS);
  }
  return Err({ kind: mayHaveApplied ? "unknown" : "unreachable" });
}

/**
 * Applies `change` to the current value of an object. After a conflict,
 * `change` is applied again to the newer value.
 */
export async function updateObject<T>(
  store: PlatformStore,
  key: StoredObject["key"],
  change: (value: T | undefined) => Result<T, EditErr>,
): Promise<Result<StoredObject, EditErr>> {
  let lastRes: Result<StoredObject, EditErr> = Err({ kind: "unreachable" });
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const base = await store.get(key);
    if (base.isErr()) {
      await sleep(RETRY_DELAY_MS);
      continue;
    }
    const value = change(base.value.value as T | undefined);
    if (value.isErr()) {
      return value;
    }
    lastRes = await putObject(store, base.value, value.value);
    if (lastRes.isOk() || lastRes.error.kind !== "conflict") {
      return lastRes;
    }
    await sleep(RETRY_DELAY_MS * attempt);
  }
  return lastRes;
}

function isOwnWrite(
  current: StoredObject,
  attempted: { readonly base: StoredObject; readonly value: unknown },
): boolean {
  return current.version === attempted.base.version + 1 &&
    isDeepStrictEqual(current.value, attempted.value);
}

async function tryReadBack(
  store: PlatformStore,
  base: StoredObject,
): Promise<StoredObject | undefined> {
  const res = await store.get(base.key);
  return res.isOk() ? res.value : undefined;
}

function toConflict(base: StoredObject, current: StoredObject): EditErr {
  const differences = listDifferences(base.value, current.value);
  return { kind: "conflict", current, differences };
}

function toRecord(value: unknown): Record<string, unknown> {
  return typeof value === "object" && value !== null
    ? value as Record<string, unknown>
    : {};
}
