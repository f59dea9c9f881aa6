/** Issues, lists, withdraws and rotates the API keys stored in the platform. */

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

/**
 * Issues an API key for a workspace. The secret is not stored, so it cannot be
 * read again. Fails with `not_found` if no plan is assigned to the workspace.
 */
export async function issueWorkspaceKey(
  store: PlatformStore,
  workspace: WorkspaceId,
): Promise<Result<IssuedKey, EditErr>> {
  const plans = await store.get(PLANS_KEY);
  if (plans.isErr()) {
    return Err({ kind: "unreachable" });
  }
  const plansList = plans.value.value as PlansList | undefined;
  if (!plansList?.workspaces.some((entry) => entry.workspace === workspace)) {
    return Err({ kind: "not_found", name: workspace });
  }
  const issued = issueKey(workspace);
  const res = await updateKeys(
    store,
    (keys) => Ok(upsertRecord(keys, issued.record)),
  );
  return res.map(() => issued);
}

/** Withdraws a key. Withdrawing it again is a no-op. */
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

/** Issues a replacement for a key; the old key expires after `overlapMs`. */
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

/** Lists the records of all keys. Records contain no secrets. */
export async function listKeys(
  store: PlatformStore,
): Promise<Result<readonly KeyRecord[], EditErr>> {
  const res = await store.get(KEYS_KEY);
  return res
    .map((object) => (object.value as KeysList | undefined)?.keys ?? [])
    .mapErr((): EditErr => ({ kind: "unreachable" }));
}

/** Adds a record; replaces it if an unanswered attempt has added it. */
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
