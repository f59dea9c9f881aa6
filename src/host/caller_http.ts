/** Serves one-shot HTTP requests, each in its own session. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { type AnswerFrame, toFrame } from "../core/answer.ts";
import type { Entry, RequestFrame } from "../core/entry.ts";
import {
  type ErrorKind,
  type Failure,
  getErrorAnswer,
} from "../core/errors.ts";
import { toAbandonedFailure } from "../core/outcome.ts";
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

/** Request over HTTP, as used by the server. */
export interface CallerHttpRequest {
  /** Whether the request was accepted, rather than refused by a drain. */
  readonly isAccepted: boolean;
  /** Answers with what became of the request, if it is not answered. */
  abandon(): void;
}

interface ServeOptions {
  readonly entry: Entry;
  readonly maxBytes: number;
  /** Whether a request that arrives now is refused. */
  readonly isDraining: boolean;
  /** Whether the connection ends with the answer that is written now. */
  endsConnection(): boolean;
}

/** Reads, runs and answers one request; a refused one is read to its end. */
export function serveCallerHttp(
  exchange: { readonly req: IncomingMessage; readonly res: ServerResponse },
  options: ServeOptions,
): CallerHttpRequest {
  const { req, res } = exchange;
  let frame: RequestFrame | undefined;

  function answer(answerFrame: AnswerFrame): void {
    if (!res.writableEnded) {
      // A connection that is closed before the body is read is reset, which
      // can cost the caller the answer.
      const closes = req.complete && options.endsConnection();
      writeAnswer(res, { frame: answerFrame, closes });
    }
  }

  async function serve(): Promise<void> {
    const decoded = await readFrame(req, options.maxBytes);
    if (decoded.isErr()) {
      answer(toFailedFrame(decoded.error.id, decoded.error.failure));
    } else if (!res.writableEnded) {
      frame = decoded.value;
      if (options.isDraining) {
        answer(toFailedFrame(frame.id, { error: "shutting_down" }));
        return;
      }
      answer(await runRequest(req, { frame, entry: options.entry }));
    }
  }

  serve().catch(() => answer(toFailedFrame("", { error: "internal" })));
  return {
    isAccepted: !options.isDraining,
    abandon() {
      answer(
        frame
          ? toFailedFrame(frame.id, toAbandonedFailure(frame, [frame]))
          : toFailedFrame("", { error: "shutting_down" }),
      );
    },
  };
}

/** Reads the frame of a request. */
async function readFrame(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<RequestFrame, FrameErr>> {
  const text = await readText(req, maxBytes);
  return text.andThen(decodeCallerFrame).andThen(
    (frame): Result<RequestFrame, FrameErr> => {
      if (frame.kind !== "hello") {
        return Ok(frame);
      }
      const detail = "a session needs a WebSocket";
      return Err({ id: "", failure: { error: "bad_request", detail } });
    },
  );
}

async function runRequest(
  req: IncomingMessage,
  options: { readonly frame: RequestFrame; readonly entry: Entry },
): Promise<AnswerFrame> {
  const { frame } = options;
  const session = options.entry.open(readHello(req));
  if (session.isErr()) {
    return toFailedFrame(frame.id, session.error);
  }
  try {
    return toFrame(await session.value.request(frame));
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

function writeAnswer(
  res: ServerResponse,
  answer: { readonly frame: AnswerFrame; readonly closes: boolean },
): void {
  const { frame, closes } = answer;
  const error = frame.ok ? undefined : frame.error as Failure["error"];
  const retryAfterMs = frame.ok ? undefined : frame.retryAfterMs;
  const isClosing = closes ||
    (error !== undefined && CONNECTION_CLOSING_ERRORS.has(error));
  res.writeHead(error ? getErrorAnswer(error).httpStatus : 200, {
    "content-type": "application/json",
    ...(isClosing ? { connection: "close" } : {}),
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
