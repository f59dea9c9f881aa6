/** First phase: finds the workspace of the key that a caller presents. */

import { Err, Ok, type Result } from "ts-results-es";
import type { Configuration } from "./configuration.ts";
import type { Failure } from "./errors.ts";
import type { KeyId, WorkspaceId } from "./ids.ts";
import { isSecretOf, tryGetKeyId } from "./keys.ts";

/** A caller whose key was found valid when it connected. */
export interface Caller {
  readonly workspace: WorkspaceId;
  readonly keyId: KeyId;
}

/** Finds the caller that holds `secret`. */
export function authenticate(
  cfg: Configuration,
  secret: string | undefined,
): Result<Caller, Failure> {
  const keyId = tryGetKeyId(secret ?? "");
  const record = keyId && cfg.tryKey(keyId);
  if (!record || record.withdrawnAt || !isSecretOf(record, secret!)) {
    return Err({ error: "unauthenticated" });
  }
  return Ok({ workspace: record.workspace, keyId: record.keyId });
}

/** Tells whether the key of a connected caller is still in force. */
export function isKeyInForce(cfg: Configuration, caller: Caller): boolean {
  const record = cfg.tryKey(caller.keyId);
  return record !== undefined && record.withdrawnAt === undefined &&
    record.workspace === caller.workspace;
}
