/** Sessions and session tokens, which carry a read floor for each group. */

import { Buffer } from "node:buffer";
import { pack, unpack } from "msgpackr";
import { Err, Ok, type Result } from "ts-results-es";
import type { Failure } from "./errors.ts";
import { asId, type GroupId, type HostId, type WorkspaceId } from "./ids.ts";
import { raisePosition } from "./position.ts";
import type { Position } from "./types.ts";

/** Maximum number of groups in one session token. */
const MAX_FLOORS = 64;

/** Session of a caller, with the read floor of each group that it has used. */
export interface Session {
  readonly id: string;
  readonly workspace: WorkspaceId;
  readonly floors: Map<GroupId, Position>;
}

const HOST_SEPARATOR = ".";

/** Builds the id of a session whose entry host is `host`. */
export function buildSessionId(host: HostId, suffix: string): string {
  return `${host}${HOST_SEPARATOR}${suffix}`;
}

/** Returns the entry host of a session. */
export function getSessionHost(session: string): HostId {
  return asId<HostId>(session.split(HOST_SEPARATOR)[0]!);
}

/** Raises the session's read floor of `group` to at least `position`. */
export function raiseFloor(
  session: Session,
  observed: { readonly group: GroupId; readonly position: Position },
): void {
  raisePosition(session.floors, observed.group, observed.position);
}

/** Encodes the read floors of a session as an opaque session token. */
export function encodeToken(session: Session): string {
  const floors = [...session.floors]
    .slice(-MAX_FLOORS)
    .map(([group, { term, pos }]) => [group, term, pos]);
  return Buffer.from(pack([session.workspace, floors])).toString("base64url");
}

/** Decodes the read floors of a session token issued for `workspace`. */
export function decodeToken(
  token: string,
  workspace: WorkspaceId,
): Result<Map<GroupId, Position>, Failure> {
  try {
    const decoded: unknown = unpack(Buffer.from(token, "base64url"));
    if (!isTokenContent(decoded) || decoded[0] !== workspace) {
      return Err({ error: "token_invalid" });
    }
    return Ok(
      new Map(decoded[1].map(([group, term, pos]) => [group, { term, pos }])),
    );
  } catch {
    return Err({ error: "token_invalid" });
  }
}

type TokenContent = readonly [
  WorkspaceId,
  readonly (readonly [GroupId, number, number])[],
];

function isTokenContent(value: unknown): value is TokenContent {
  return Array.isArray(value) && value.length === 2 &&
    typeof value[0] === "string" && Array.isArray(value[1]) &&
    value[1].length <= MAX_FLOORS && value[1].every(isFloorEntry);
}

function isFloorEntry(value: unknown): boolean {
  return Array.isArray(value) && value.length === 3 &&
    typeof value[0] === "string" &&
    Number.isSafeInteger(value[1]) && value[1] >= 0 &&
    Number.isSafeInteger(value[2]) && value[2] >= 0;
}
