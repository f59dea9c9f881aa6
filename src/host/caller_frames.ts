/** Decodes frames from callers and encodes the answers. */

import { Err, Ok, type Result } from "ts-results-es";
import { type AnswerFrame, toFrame } from "../core/answer.ts";
import type { Failure } from "../core/errors.ts";
import { asId, type ReqId } from "../core/ids.ts";
import { isNestedWithin } from "../core/nesting.ts";
import type { CallerFrame } from "../generated/caller.ts";
import { validateCallerFrame } from "../generated/caller_validate.ts";

/** Maximum nesting depth of a frame. */
export const MAX_FRAME_DEPTH = 32;
const MAX_ID_CHARS = 64;

/** Reason for refusing a frame; `id` is empty if no valid id was found. */
export interface FrameErr {
  readonly id: string;
  readonly failure: Failure;
}

/** Decodes a frame and validates it against the schema. */
export function decodeCallerFrame(
  text: string,
): Result<CallerFrame, FrameErr> {
  const frame = tryParse(text);
  if (frame === undefined) {
    return refuse("", "the frame is not JSON");
  }
  if (!isNestedWithin(frame, MAX_FRAME_DEPTH)) {
    const detail = `the frame is nested deeper than ${MAX_FRAME_DEPTH} levels`;
    return refuse(getId(frame), detail);
  }
  if (validateCallerFrame(frame)) {
    return Ok(frame);
  }
  const err = validateCallerFrame.errors?.[0];
  const detail = `${err?.instancePath || "/"} ${
    err?.message ?? "is not valid"
  }`;
  return refuse(getId(frame), detail);
}

/** Returns the frame that reports a failed request. */
export function toFailedFrame(id: string, failure: Failure): AnswerFrame {
  return toFrame({ kind: "failed", id: asId<ReqId>(id), failure, token: "" });
}

/**
 * Encodes a frame as JSON. A result that JSON cannot represent is replaced by
 * an `internal` error.
 */
export function encodeAnswer(frame: AnswerFrame): string {
  try {
    return JSON.stringify(frame, toJsonValue);
  } catch {
    return JSON.stringify(toFailedFrame(frame.id, { error: "internal" }));
  }
}

/** Targets can return integers beyond 2^53; they are written as strings. */
function toJsonValue(_key: string, value: unknown): unknown {
  return typeof value === "bigint" ? `${value}` : value;
}

function tryParse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function getId(frame: unknown): string {
  const id = typeof frame === "object" && frame !== null && "id" in frame
    ? frame.id
    : undefined;
  return typeof id === "string" && id.length <= MAX_ID_CHARS ? id : "";
}

function refuse(id: string, detail: string): Result<never, FrameErr> {
  return Err({ id, failure: { error: "bad_request", detail } });
}
