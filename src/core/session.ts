/** Session tokens: the last acknowledged position in each group. */

import { Buffer } from "node:buffer";
import { pack, unpack } from "msgpackr";
import { Err, Ok, type Result } from "ts-results-es";
import type { Failure } from "./errors.ts";
import { asId, type GroupId, type HostId, type WorkspaceId } from "./ids.ts";
import { maxPosition } from "./position.ts";
import type { Position } from "./types.ts";

/** Groups that one token can carry. */
const MAX_FLOORS = 64;

/** The positions that a session has seen acknowledged. */
export interface Session {
  readonly id: string;
  readonly workspace: WorkspaceId;
  readonly floors: Map<GroupId, Position>;
}

const HOST_SEPARATOR = ".";

/** Builds the id of a session that `host` holds. */
export function buildSessionId(host: HostId, suffix: string): string {
  return `${host}${HOST_SEPARATOR}${suffix}`;
}

/** The host that holds a session. */
export function getSessionHost(session: string): HostId {
  return asId<HostId>(session.split(HOST_SEPARATOR)[0]!);
}

/** Notes that the session has seen `position` of `group`. */
export function raiseFloor(
  session: Session,
  observed: { readonly group: GroupId; readonly position: Position },
): void {
  const { group, position } = observed;
  const floor = session.floors.get(group);
  session.floors.set(group, floor ? maxPosition(floor, position) : position);
}

/** Writes the floors of a session as an opaque token. */
export function encodeToken(session: Session): string {
  const floors = [...session.floors]
    .slice(-MAX_FLOORS)
    .map(([group, { term, pos }]) => [group, term, pos]);
  return Buffer.from(pack([session.workspace, floors])).toString("base64url");
}

/** Reads the floors out of a token of the same workspace. */
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
