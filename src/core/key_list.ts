/** The list of keys: issue, list, withdraw and rotate them. */

import { Err, Ok, type Result } from "ts-results-es";
import type { KeyRecord, KeysList, PlansList } from "../generated/objects.ts";
import type { KeyId, WorkspaceId } from "./ids.ts";
import { type IssuedKey, issueKey } from "./keys.ts";
import { type EditErr, updateObject } from "./object_edit.ts";
import { KEYS_KEY, PLANS_KEY } from "./object_keys.ts";
import type { PlatformStore } from "./types.ts";

type KeyChange = (keys: readonly KeyRecord[]) => Result<KeyRecord[], EditErr>;

async function updateKeys(
  store: PlatformStore,
  change: KeyChange,
): Promise<Result<void, EditErr>> {
  const res = await updateObject<KeysList>(
    store,
    KEYS_KEY,
    (list) =>
      change(list?.keys ?? [])
        .map((keys): KeysList => ({ kind: "keys", keys })),
  );
  return res.map(() => undefined);
}

/** Issues a key; its secret is in the result only and cannot be read later. */
export async function issueWorkspaceKey(
  store: PlatformStore,
  workspace: WorkspaceId,
): Promise<Result<IssuedKey, EditErr>> {
  const plans = await store.get(PLANS_KEY);
  if (plans.isErr()) {
    return Err({ kind: "unreachable" });
  }
  const held = plans.value.value as PlansList | undefined;
  if (!held?.workspaces.some((entry) => entry.workspace === workspace)) {
    return Err({ kind: "not_found", name: workspace });
  }
  const issued = issueKey(workspace);
  const res = await updateKeys(
    store,
    (keys) => Ok(upsertRecord(keys, issued.record)),
  );
  return res.map(() => issued);
}

/** Withdraws a key; withdrawing it again changes nothing. */
export async function withdrawKey(
  store: PlatformStore,
  keyId: KeyId,
): Promise<Result<void, EditErr>> {
  const withdrawnAt = new Date().toISOString();
  return await updateKeys(
    store,
    (keys) => changeRecord(keys, keyId, { withdrawnAt }),
  );
}

/** Issues a key in place of another, which stays valid for `overlapMs`. */
export async function rotateKey(
  store: PlatformStore,
  options: { readonly keyId: KeyId; readonly overlapMs: number },
): Promise<Result<IssuedKey, EditErr>> {
  const { keyId, overlapMs } = options;
  const expiresAt = new Date(Date.now() + overlapMs).toISOString();
  let issued: IssuedKey | undefined;
  const res = await updateKeys(store, (keys) => {
    const old = keys.find((key) => key.keyId === keyId && !key.withdrawnAt);
    if (!old) {
      return Err({ kind: "not_found", name: keyId });
    }
    issued ??= issueKey(old.workspace);
    return changeRecord(upsertRecord(keys, issued.record), keyId, {
      expiresAt,
    });
  });
  return res.map(() => issued!);
}

/** Lists the records of the keys, which hold no secret. */
export async function listKeys(
  store: PlatformStore,
): Promise<Result<readonly KeyRecord[], EditErr>> {
  const res = await store.get(KEYS_KEY);
  return res
    .map((object) => (object.value as KeysList | undefined)?.keys ?? [])
    .mapErr((): EditErr => ({ kind: "unreachable" }));
}

/** Adds a record that an earlier, unanswered attempt may have added. */
function upsertRecord(
  keys: readonly KeyRecord[],
  record: KeyRecord,
): KeyRecord[] {
  return [...keys.filter((key) => key.keyId !== record.keyId), record];
}

function changeRecord(
  keys: readonly KeyRecord[],
  keyId: KeyId,
  change: Partial<KeyRecord>,
): Result<KeyRecord[], EditErr> {
  if (!keys.some((key) => key.keyId === keyId)) {
    return Err({ kind: "not_found", name: keyId });
  }
  return Ok(
    keys.map((key) =>
      key.keyId === keyId && !key.withdrawnAt ? { ...key, ...change } : key
    ),
  );
}
