/** Decodes the frames of callers and encodes the answers. */

import { Err, Ok, type Result } from "ts-results-es";
import { type AnswerFrame, toFrame } from "../core/answer.ts";
import type { Failure } from "../core/errors.ts";
import { asId, type ReqId } from "../core/ids.ts";
import { isNestedWithin } from "../core/nesting.ts";
import type { CallerFrame } from "../generated/caller.ts";
import { validateCallerFrame } from "../generated/caller_validate.ts";

/** Levels of nesting that a frame may have. */
export const MAX_FRAME_DEPTH = 32;
const MAX_ID_CHARS = 64;

/** Why a frame was refused, with its request id as far as it has one. */
export interface FrameErr {
  readonly id: string;
  readonly failure: Failure;
}

/** Decodes a frame and checks it against the schema. */
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

/** The frame that refuses a request. */
export function toFailedFrame(id: string, failure: Failure): AnswerFrame {
  return toFrame({ kind: "failed", id: asId<ReqId>(id), failure, token: "" });
}

/** Writes a frame; a result that JSON cannot hold is told as a fault. */
export function encodeAnswer(frame: AnswerFrame): string {
  try {
    return JSON.stringify(frame, toJsonValue);
  } catch {
    return JSON.stringify(toFailedFrame(frame.id, { error: "internal" }));
  }
}

/** Integers beyond 2^53 of targets are written as text. */
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
