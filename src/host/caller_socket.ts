/** Serves one WebSocket connection of a caller. */

import type { Buffer } from "node:buffer";
import type { WebSocket } from "ws";
import { type AnswerFrame, toFrame } from "../core/answer.ts";
import type { CallerSession, Entry, RequestFrame } from "../core/entry.ts";
import { toAbandonedFailure } from "../core/outcome.ts";
import type { HelloFrame } from "../generated/caller.ts";
import {
  decodeCallerFrame,
  encodeAnswer,
  toFailedFrame,
} from "./caller_frames.ts";
import type { WriteBatch } from "./write_batch.ts";

/** Time limit for the first hello after connecting. */
export const HELLO_TIMEOUT_MS = 5_000;
/** Interval between pings; a caller that misses one is disconnected. */
export const PING_INTERVAL_MS = 15_000;
/** Maximum number of unanswered requests of one connection. */
export const MAX_IN_FLIGHT_REQUESTS = 256;
/** Number of malformed frames after which a connection is closed. */
export const MAX_MALFORMED_FRAMES = 16;
/** Limit on buffered answers, beyond which a connection is closed. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
const RETRY_AFTER_MS = 100;

/** Close code of a planned shutdown; unanswered requests were not run. */
export const GOING_AWAY_CODE = 1_001;
/** Close code after too many malformed frames. */
export const MALFORMED_CODE = 1_008;
/** Close code for a refused session. */
export const REFUSED_CODE = 4_401;
/** Close code for a caller that sent no hello in time. */
export const NO_HELLO_CODE = 4_408;
/** Close code for a caller that does not read its answers. */
export const SLOW_READER_CODE = 4_413;

/** Connection of a caller, as used by the server. */
export interface CallerSocket {
  countInFlight(): number;
  /**
   * Whether every answer has left the buffers of this process and no
   * transaction is open.
   */
  isIdle(): boolean;
  /** Refuses new requests, except those of open transactions. */
  drain(): void;
  /**
   * Answers the requests in flight with what became of them, and closes the
   * connection with GOING_AWAY_CODE.
   */
  close(): void;
}

/** Serves a connection until it is closed. */
export function serveCallerSocket(
  ws: WebSocket,
  options: { readonly entry: Entry; readonly corkSocket: WriteBatch },
): CallerSocket {
  let session: CallerSession | undefined;
  const inFlight = new Set<RequestFrame>();
  let malformedCount = 0;
  let isDraining = false;
  let isResponsive = true;
  const openTransactions = new Set<string>();

  const helloTimer = setTimeout(
    () => ws.close(NO_HELLO_CODE, "no hello in time"),
    HELLO_TIMEOUT_MS,
  );
  const pingTimer = setInterval(() => {
    if (!isResponsive) {
      ws.terminate();
      return;
    }
    isResponsive = false;
    ws.ping();
  }, PING_INTERVAL_MS);

  function send(frame: AnswerFrame): void {
    if (ws.readyState !== ws.OPEN) {
      return;
    }
    if (ws.bufferedAmount > MAX_BUFFERED_BYTES) {
      ws.close(SLOW_READER_CODE, "answers are not read");
      ws.terminate();
      return;
    }
    write(frame);
  }

  function write(frame: AnswerFrame): void {
    options.corkSocket();
    ws.send(encodeAnswer(frame));
  }

  function openSession(hello: HelloFrame): void {
    const opened = options.entry.open(hello);
    if (opened.isErr()) {
      send(toFailedFrame("", opened.error));
      ws.close(REFUSED_CODE, opened.error.error);
      return;
    }
    clearTimeout(helloTimer);
    session?.end();
    session = opened.value;
    openTransactions.clear();
    ws.send(JSON.stringify({ id: "", ok: true, result: "hello" }));
  }

  function tryGetRefusal(frame: RequestFrame): AnswerFrame | undefined {
    if (!session) {
      return toFailedFrame(frame.id, { error: "unauthenticated" });
    }
    const tx = "tx" in frame ? frame.tx : undefined;
    if (isDraining && (tx === undefined || !openTransactions.has(tx))) {
      return toFailedFrame(frame.id, { error: "shutting_down" });
    }
    return inFlight.size < MAX_IN_FLIGHT_REQUESTS
      ? undefined
      : toFailedFrame(frame.id, {
        error: "overloaded",
        detail:
          `at most ${MAX_IN_FLIGHT_REQUESTS} requests of a connection at once`,
        retryAfterMs: RETRY_AFTER_MS,
      });
  }

  async function handleRequest(frame: RequestFrame): Promise<void> {
    const refusal = tryGetRefusal(frame);
    if (refusal) {
      send(refusal);
      return;
    }
    inFlight.add(frame);
    const answerFrame = await runRequest(session!, frame);
    inFlight.delete(frame);
    trackTransaction(frame, answerFrame);
    send(answerFrame);
  }

  function trackTransaction(
    frame: RequestFrame,
    answerFrame: AnswerFrame,
  ): void {
    if (frame.kind === "begin" && answerFrame.ok) {
      openTransactions.add(`${answerFrame.result}`);
    } else if (frame.kind === "end") {
      openTransactions.delete(frame.tx);
    } else if ("tx" in frame && frame.tx && isRolledBack(answerFrame)) {
      openTransactions.delete(frame.tx);
    }
  }

  function handleMessage(data: Buffer): void {
    // The connection is closing. The caller sees the close code and treats a
    // request that arrives now as not run.
    if (ws.readyState !== ws.OPEN) {
      return;
    }
    const frame = decodeCallerFrame(data.toString("utf8"));
    if (frame.isErr()) {
      malformedCount++;
      send(toFailedFrame(frame.error.id, frame.error.failure));
      if (malformedCount >= MAX_MALFORMED_FRAMES) {
        ws.close(MALFORMED_CODE, "too many malformed frames");
      }
    } else if (frame.value.kind === "hello") {
      openSession(frame.value);
    } else {
      void handleRequest(frame.value);
    }
  }

  ws.on("message", handleMessage);
  ws.on("pong", () => isResponsive = true);
  ws.on("error", () => ws.terminate());
  ws.on("close", () => {
    clearTimeout(helloTimer);
    clearInterval(pingTimer);
    session?.end();
  });

  return {
    countInFlight: () => inFlight.size,
    isIdle: () =>
      inFlight.size === 0 && openTransactions.size === 0 &&
      ws.bufferedAmount === 0,
    drain() {
      isDraining = true;
      // The limit on buffered answers does not apply: the notice must not cost
      // a caller the answer that it is still reading.
      if (ws.readyState === ws.OPEN) {
        write(toFailedFrame("", { error: "shutting_down" }));
      }
    },
    close() {
      if (ws.readyState !== ws.OPEN) {
        return;
      }
      for (const frame of inFlight) {
        const failure = toAbandonedFailure(frame, inFlight);
        write(toFailedFrame(frame.id, failure));
      }
      ws.close(GOING_AWAY_CODE, "the host is stopping");
    },
  };
}

/** Runs a request; an exception is answered with an `internal` error. */
async function runRequest(
  session: CallerSession,
  frame: RequestFrame,
): Promise<AnswerFrame> {
  try {
    return toFrame(await session.request(frame));
  } catch {
    return toFailedFrame(frame.id, { error: "internal" });
  }
}

function isRolledBack(answerFrame: AnswerFrame): boolean {
  return !answerFrame.ok && answerFrame.run === "rolled_back";
}
