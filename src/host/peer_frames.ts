/** Decodes frames from peers. */

import type { Buffer } from "node:buffer";
import { unpack } from "msgpackr";
import { isNestedWithin } from "../core/nesting.ts";
import type { PeerMessage } from "../core/types.ts";
import { validatePeerMessage } from "../generated/peer_validate.ts";

/** Maximum nesting depth of a message, including the statement in it. */
export const MAX_PEER_DEPTH = 48;

/** Decodes a frame; returns undefined if it is not a valid message. */
export function tryDecodePeerMessage(data: Buffer): PeerMessage | undefined {
  const msg = tryUnpack(data);
  return isNestedWithin(msg, MAX_PEER_DEPTH) && validatePeerMessage(msg)
    ? msg
    : undefined;
}

/** Unpacks MessagePack; undefined if the data is malformed. */
export function tryUnpack(data: Buffer): unknown {
  try {
    return unpack(data);
  } catch {
    return undefined;
  }
}
