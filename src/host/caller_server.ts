/** Takes callers over WebSocket sessions and one-shot HTTP requests. */

import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type WebSocket, WebSocketServer } from "ws";
import { toFrame } from "../core/answer.ts";
import type { CallerSession, RequestFrame } from "../core/entry.ts";
import { type Failure, getErrorAnswer } from "../core/errors.ts";
import type { Host } from "../core/host.ts";
import { asId, type ReqId } from "../core/ids.ts";
import type { CallerFrame, HelloFrame } from "../generated/caller.ts";
import { validateCallerFrame } from "../generated/caller_validate.ts";
import type { Settings } from "../generated/settings.ts";
import { createWriteBatch } from "./write_batch.ts";

const DEFAULT_MAX_FRAME_BYTES = 256 * 1024;
const TOKEN_HEADER = "x-session-token";
/** Close code for a session that is refused. */
const REFUSED_CLOSE_CODE = 4_401;

/** The server that callers connect to. */
export interface CallerServer {
  listen(): Promise<void>;
  close(): void;
}

/** Creates the server for the callers of `host`. */
export function createCallerServer(
  host: Host,
  settings: Settings["callers"],
): CallerServer {
  const maxPayload = settings.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES;
  const server = createServer((req, res) => void serveHttp(req, res));
  const wss = new WebSocketServer({
    server,
    maxPayload,
    perMessageDeflate: false,
  });

  async function serveHttp(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const frame = await readFrame(req, maxPayload);
    if (!frame || frame.kind === "hello") {
      return answerHttp(res, failedFrame("", { error: "bad_request" }));
    }
    const token = req.headers[TOKEN_HEADER];
    const hello: HelloFrame = { kind: "hello" };
    const key = getBearer(req);
    const session = host.entry.open({
      ...hello,
      ...(key ? { key } : {}),
      ...(typeof token === "string" ? { token } : {}),
    });
    if (session.isErr()) {
      return answerHttp(res, failedFrame(frame.id, session.error));
    }
    const answer = await session.value.request(frame);
    session.value.end();
    answerHttp(res, toFrame(answer));
  }

  function serveWebSocket(ws: WebSocket, req: IncomingMessage): void {
    const beginWrite = createWriteBatch(req.socket);
    let session: CallerSession | undefined;

    async function answerRequest(frame: RequestFrame): Promise<void> {
      const frameOut = session
        ? toFrame(await session.request(frame))
        : failedFrame(frame.id, { error: "unauthenticated" });
      if (ws.readyState === ws.OPEN) {
        beginWrite();
        ws.send(JSON.stringify(frameOut));
      }
    }

    function openSession(hello: HelloFrame): void {
      const opened = host.entry.open(hello);
      if (opened.isErr()) {
        ws.send(JSON.stringify(failedFrame("", opened.error)));
        ws.close(REFUSED_CLOSE_CODE, opened.error.error);
        return;
      }
      session?.end();
      session = opened.value;
      ws.send(JSON.stringify({ id: "", ok: true, result: "hello" }));
    }

    ws.on("message", (data: Buffer) => {
      const frame = tryParse(data.toString("utf8"));
      if (!frame) {
        ws.send(JSON.stringify(failedFrame("", { error: "bad_request" })));
      } else if (frame.kind === "hello") {
        openSession(frame);
      } else {
        void answerRequest(frame);
      }
    });
    ws.on("error", () => ws.terminate());
    ws.on("close", () => session?.end());
  }

  wss.on("connection", serveWebSocket);
  return {
    listen: () =>
      new Promise((resolve) =>
        server.listen(settings.port, settings.address, resolve)
      ),
    close() {
      wss.clients.forEach((client) => client.terminate());
      server.close();
    },
  };
}

function failedFrame(
  id: string,
  failure: Failure,
): ReturnType<typeof toFrame> {
  return toFrame({ kind: "failed", id: asId<ReqId>(id), failure, token: "" });
}

function answerHttp(
  res: ServerResponse,
  frame: ReturnType<typeof toFrame>,
): void {
  const status = frame.ok
    ? 200
    : getErrorAnswer(frame.error as Failure["error"]).httpStatus;
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(frame));
}

function getBearer(req: IncomingMessage): string | undefined {
  return /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")?.[1];
}

function tryParse(text: string): CallerFrame | undefined {
  try {
    const frame: unknown = JSON.parse(text);
    return validateCallerFrame(frame) ? frame : undefined;
  } catch {
    return undefined;
  }
}

async function readFrame(
  req: IncomingMessage,
  maxBytes: number,
): Promise<CallerFrame | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    size += chunk.length;
    if (size > maxBytes) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return tryParse(chunks.map((chunk) => chunk.toString("utf8")).join(""));
}
