/** Serves one-shot HTTP requests, each in its own session. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { type AnswerFrame, toFrame } from "../core/answer.ts";
import type { Entry } from "../core/entry.ts";
import {
  type ErrorKind,
  type Failure,
  getErrorAnswer,
} from "../core/errors.ts";
import type { HelloFrame } from "../generated/caller.ts";
import {
  decodeCallerFrame,
  encodeAnswer,
  type FrameErr,
  toFailedFrame,
} from "./caller_frames.ts";

const SESSION_TOKEN_HEADER = "x-session-token";
const MS_PER_SECOND = 1_000;
/**
 * Errors after which the connection is closed. The rest of a body that is too
 * large is not read, so the connection cannot be reused. Closing after a wrong
 * key allows one attempt per connection and affects only the caller that sent
 * the key.
 */
const CONNECTION_CLOSING_ERRORS: ReadonlySet<string> = new Set<ErrorKind>([
  "too_large",
  "unauthenticated",
]);

/** Reads, runs and answers one request. */
export async function serveCallerHttp(
  exchange: { readonly req: IncomingMessage; readonly res: ServerResponse },
  options: { readonly entry: Entry; readonly maxBytes: number },
): Promise<void> {
  const { req, res } = exchange;
  try {
    writeAnswer(res, await runRequest(req, options));
  } catch {
    writeAnswer(res, toFailedFrame("", { error: "internal" }));
  }
}

async function runRequest(
  req: IncomingMessage,
  options: { readonly entry: Entry; readonly maxBytes: number },
): Promise<AnswerFrame> {
  const text = await readText(req, options.maxBytes);
  const frame = text.andThen(decodeCallerFrame);
  if (frame.isErr()) {
    return toFailedFrame(frame.error.id, frame.error.failure);
  }
  if (frame.value.kind === "hello") {
    const detail = "a session needs a WebSocket";
    return toFailedFrame("", { error: "bad_request", detail });
  }
  const session = options.entry.open(readHello(req));
  if (session.isErr()) {
    return toFailedFrame(frame.value.id, session.error);
  }
  try {
    return toFrame(await session.value.request(frame.value));
  } finally {
    session.value.end();
  }
}

function readHello(req: IncomingMessage): HelloFrame {
  const key = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")?.[1];
  const token = req.headers[SESSION_TOKEN_HEADER];
  return {
    kind: "hello",
    ...(key ? { key } : {}),
    ...(typeof token === "string" && token !== "" ? { token } : {}),
  };
}

function writeAnswer(res: ServerResponse, frame: AnswerFrame): void {
  if (frame.ok) {
    res.writeHead(200, { "content-type": "application/json" });
    res.end(encodeAnswer(frame));
    return;
  }
  const error = frame.error as Failure["error"];
  const { retryAfterMs } = frame;
  res.writeHead(getErrorAnswer(error).httpStatus, {
    "content-type": "application/json",
    ...(CONNECTION_CLOSING_ERRORS.has(error) ? { connection: "close" } : {}),
    ...(retryAfterMs === undefined
      ? {}
      : { "retry-after": `${Math.ceil(retryAfterMs / MS_PER_SECOND)}` }),
  });
  res.end(encodeAnswer(frame));
}

/** Reads a body as UTF-8; fails with `too_large` beyond `maxBytes`. */
async function readText(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, FrameErr>> {
  const decoder = new TextDecoder();
  let text = "";
  let size = 0;
  for await (const chunk of req.iterator({ destroyOnReturn: false })) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > maxBytes) {
      const detail = `at most ${maxBytes} bytes`;
      return Err({ id: "", failure: { error: "too_large", detail } });
    }
    text += decoder.decode(bytes, { stream: true });
  }
  return Ok(text + decoder.decode());
}
