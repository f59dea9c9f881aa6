/** First request phase: authenticates the key that a caller presents. */

import { Err, Ok, type Result } from "ts-results-es";
import type { KeyRecord } from "../generated/objects.ts";
import type { Configuration } from "./configuration.ts";
import type { Failure } from "./errors.ts";
import type { Freshness } from "./freshness.ts";
import type { KeyId, WorkspaceId } from "./ids.ts";
import { matchesSecret, tryParseKeyId } from "./keys.ts";

/** Identity of a caller whose key was valid when it connected. */
export interface Caller {
  readonly workspace: WorkspaceId;
  readonly keyId: KeyId;
}

/** Dependencies of authentication. */
export interface AuthenticateContext {
  readonly cfg: Configuration;
  readonly freshness: Freshness;
}

/** Returns the workspace and key id that `secret` belongs to. */
export function authenticate(
  ctx: AuthenticateContext,
  secret: string | undefined,
): Result<Caller, Failure> {
  if (!ctx.freshness.isConfirmed()) {
    return Err({ error: "configuration_unconfirmed" });
  }
  const keyId = tryParseKeyId(secret ?? "");
  const record = keyId && ctx.cfg.tryKey(keyId);
  if (!record || !isValid(record) || !matchesSecret(record, secret!)) {
    return Err({ error: "unauthenticated" });
  }
  return Ok({ workspace: record.workspace, keyId: record.keyId });
}

/** Checks that the key of a connected caller is still valid. */
export function checkCaller(
  ctx: AuthenticateContext,
  caller: Caller,
): Result<void, Failure> {
  if (!ctx.freshness.isConfirmed()) {
    return Err({ error: "configuration_unconfirmed" });
  }
  return isKeyValid(ctx.cfg, caller)
    ? Ok(undefined)
    : Err({ error: "unauthenticated" });
}

/** Returns true if a caller's key is neither withdrawn nor expired. */
export function isKeyValid(cfg: Configuration, caller: Caller): boolean {
  const record = cfg.tryKey(caller.keyId);
  return record !== undefined && isValid(record) &&
    record.workspace === caller.workspace;
}

function isValid(record: KeyRecord): boolean {
  return record.withdrawnAt === undefined &&
    (record.expiresAt === undefined ||
      Date.now() < Date.parse(record.expiresAt));
}
