/** Reads, compares and changes the lists that operators edit. */

import { isDeepStrictEqual } from "node:util";
import { Err, Ok, type Result } from "ts-results-es";
import type { GroupsList } from "../generated/objects.ts";
import { sleep } from "./clock.ts";
import type { TargetId } from "./ids.ts";
import {
  LIST_NAMES,
  type ListName,
  type Lists,
  validateLists,
} from "./list_checks.ts";
import { type EditErr, putObject, updateObject } from "./object_edit.ts";
import { GROUPS_KEY, PLANS_KEY, SERVICES_KEY } from "./object_keys.ts";
import type { PlatformStore, StoredObject } from "./types.ts";

export {
  LIST_NAMES,
  type ListName,
  type ListProblem,
  type Lists,
  validateLists,
} from "./list_checks.ts";
export { type EditErr, listDifferences } from "./object_edit.ts";
export {
  issueWorkspaceKey,
  listKeys,
  rotateKey,
  withdrawKey,
} from "./key_list.ts";

const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 100;

const LIST_OBJECT_KEYS = {
  plans: PLANS_KEY,
  services: SERVICES_KEY,
  groups: GROUPS_KEY,
} as const;

/** Lists against which a change of each list is validated. */
const REFERENCED_LISTS = {
  plans: ["services"],
  services: ["plans", "groups"],
  groups: ["services"],
} as const satisfies Record<ListName, readonly ListName[]>;

/** Lists as stored in the platform; a missing list has version 0. */
export type StoredLists = { readonly [name in ListName]: StoredObject };

/** Reads all lists. */
export async function readLists(
  store: PlatformStore,
): Promise<Result<StoredLists, EditErr>> {
  const entries: [ListName, StoredObject][] = [];
  for (const name of LIST_NAMES) {
    const res = await store.get(LIST_OBJECT_KEYS[name]);
    if (res.isErr()) {
      return Err({ kind: "unreachable" });
    }
    entries.push([name, res.value]);
  }
  return Ok(Object.fromEntries(entries) as StoredLists);
}

/** Replacement of one list. */
export interface ListChange<Name extends ListName = ListName> {
  readonly list: Name;
  readonly value: Lists[Name];
  /** Stored list on which the change is based. */
  readonly base: StoredObject;
}

/**
 * Replaces a list if nobody else has changed it since `base` and if it is valid
 * together with the other lists. The lists it was validated against are stored
 * again unchanged, so that a concurrent change of one of them conflicts instead
 * of passing its own validation against the previous state of this list.
 */
export async function applyList(
  store: PlatformStore,
  change: ListChange,
): Promise<Result<StoredObject, EditErr>> {
  const { list, value, base } = change;
  let lastErr: EditErr = { kind: "unreachable" };
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    await sleep(RETRY_DELAY_MS * attempt * (0.5 + Math.random()));
    const stored = await readLists(store);
    if (stored.isErr()) {
      lastErr = stored.error;
      continue;
    }
    const problems = validateLists({
      ...toValues(stored.value),
      [list]: value,
    });
    if (problems.length > 0) {
      return Err({ kind: "invalid", problems });
    }
    const current = stored.value[list];
    const isUnchanged = isDeepStrictEqual(current.value, base.value);
    const res = isUnchanged
      ? await putWithReferences(store, stored.value, change)
      : await putObject(store, base, value);
    if (res.isOk() || !isRetryable(res.error, base)) {
      return res;
    }
    lastErr = res.error;
  }
  return Err(lastErr);
}

async function putWithReferences(
  store: PlatformStore,
  stored: StoredLists,
  { list, value }: ListChange,
): Promise<Result<StoredObject, EditErr>> {
  for (const name of REFERENCED_LISTS[list]) {
    const referenced = stored[name];
    if (referenced.version > 0) {
      const res = await putObject(store, referenced, referenced.value);
      if (res.isErr()) {
        return res;
      }
    }
  }
  return await putObject(store, stored[list], value);
}

/**
 * Returns whether an edit may be retried after a conflict: only if the content
 * of the list that the operator edits has not changed.
 */
function isRetryable(err: EditErr, base: StoredObject): boolean {
  return err.kind === "conflict" &&
    (err.current.key !== base.key ||
      isDeepStrictEqual(err.current.value, base.value));
}

function toValues(lists: StoredLists): { [name in ListName]?: unknown } {
  return Object.fromEntries(
    LIST_NAMES.map((name) => [name, lists[name].value]),
  );
}

/** Marks a target as leaving, or clears the mark. */
export async function markLeaving(
  store: PlatformStore,
  options: { readonly target: TargetId; readonly leaving: boolean },
): Promise<Result<StoredObject, EditErr>> {
  const { target, leaving } = options;
  return await updateObject<GroupsList>(store, GROUPS_KEY, (list) => {
    const groups = list?.groups ?? [];
    const all = groups.flatMap((group) => group.targets);
    if (!all.some((entry) => entry.target === target)) {
      return Err({ kind: "not_found", name: target });
    }
    return Ok({
      kind: "groups",
      groups: groups.map((group) => ({
        ...group,
        targets: group.targets.map((entry) =>
          entry.target === target ? { ...entry, leaving } : entry
        ),
      })),
    });
  });
}
