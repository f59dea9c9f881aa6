/** API keys of callers, stored as salted SHA-256 hashes. */

import { Buffer } from "node:buffer";
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import { asId, type KeyId, type WorkspaceId } from "./ids.ts";
import type { KeyRecord } from "../generated/objects.ts";

const KEY_PREFIX = "tck";
const KEY_ID_BYTES = 9;
const SECRET_BYTES = 24;
const SALT_BYTES = 16;

/** A new key: the record is stored, the secret is shown once. */
export interface IssuedKey {
  readonly record: KeyRecord;
  readonly secret: string;
}

/** Generates a new random key for a workspace. */
export function issueKey(workspace: WorkspaceId): IssuedKey {
  const keyId = randomBytes(KEY_ID_BYTES).toString("hex");
  const secret = `${KEY_PREFIX}_${keyId}_${
    randomBytes(SECRET_BYTES).toString("hex")
  }`;
  const salt = randomBytes(SALT_BYTES).toString("base64url");
  const record: KeyRecord = {
    keyId: asId<KeyId>(keyId),
    workspace,
    salt,
    hash: hashSecret(secret, salt).toString("base64url"),
    issuedAt: new Date().toISOString(),
  };
  return { record, secret };
}

/** Extracts the public key id from a secret, or undefined if malformed. */
export function tryParseKeyId(secret: string): KeyId | undefined {
  const match = /^tck_([0-9a-f]{18})_[0-9a-f]{48}$/.exec(secret);
  return match ? asId<KeyId>(match[1]!) : undefined;
}

/** Checks in constant time whether a secret belongs to a key record. */
export function matchesSecret(record: KeyRecord, secret: string): boolean {
  const expected = Buffer.from(record.hash, "base64url");
  const actual = hashSecret(secret, record.salt);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

function hashSecret(secret: string, salt: string): Buffer {
  return createHash("sha256").update(salt).update(secret).digest();
}
