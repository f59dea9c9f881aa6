/** Serves callers over WebSocket sessions and one-shot HTTP requests. */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { WebSocketServer } from "ws";
import { nowMs, sleep, withTimeout } from "../core/clock.ts";
import type { Host } from "../core/host.ts";
import type { Settings } from "../generated/settings.ts";
import { toFailedFrame } from "./caller_frames.ts";
import { serveCallerHttp } from "./caller_http.ts";
import { type CallerSocket, serveCallerSocket } from "./caller_socket.ts";
import { createReloadingTls, createTlsServer } from "./tls.ts";
import { createWriteBatch } from "./write_batch.ts";
import { listenAt } from "./listen.ts";

const DEFAULT_MAX_FRAME_BYTES = 256 * 1024;
const DEFAULT_MAX_CONNECTIONS = 10_000;
/** Time limit for receiving a complete HTTP request. */
const REQUEST_TIMEOUT_MS = 10_000;
/** Time between announcing a drain to callers and closing connections. */
const DRAIN_NOTICE_MS = 500;
const IDLE_POLL_INTERVAL_MS = 20;
/**
 * Time after the end of a drain for callers to receive what the system still
 * buffers and to end their connections.
 */
const CLOSE_TIMEOUT_MS = 2_000;

/** Server that callers connect to. */
export interface CallerServer {
  /** Starts to listen; resolves with the port in use. */
  listen(): Promise<number>;
  /** Returns the number of open WebSocket connections. */
  countConnections(): number;
  /**
   * Returns the number of requests that are not answered; a request over HTTP
   * counts until its whole answer has left the buffers of this process.
   */
  countInFlight(): number;
  /**
   * Waits up to `timeoutMs` for running requests and open transactions to
   * finish and for their answers to be sent, then closes all connections and
   * waits a limited time for callers to end them.
   */
  drain(timeoutMs: number): Promise<void>;
  close(): void;
}

/** Creates the server for the callers of `host`. */
export function createCallerServer(
  host: Pick<Host, "entry">,
  settings: Settings["callers"],
): CallerServer {
  const maxBytes = settings.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES;
  const sockets = new Set<CallerSocket>();
  const httpRequests = new Map<Socket, number>();
  let isDraining = false;

  const tls = settings.tls && createReloadingTls(settings.tls);
  const server = createTlsServer(settings.address, { tls });
  server.on("request", (req, res) => {
    if (isDraining) {
      res.writeHead(503, { connection: "close" });
      res.end(JSON.stringify(toFailedFrame("", { error: "shutting_down" })));
      return;
    }
    trackHttpRequest(req.socket, res);
    void serveCallerHttp({ req, res }, { entry: host.entry, maxBytes });
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = settings.maxConnections ?? DEFAULT_MAX_CONNECTIONS;

  const wss = new WebSocketServer({
    server,
    maxPayload: maxBytes,
    perMessageDeflate: false,
  });
  wss.on("connection", (ws, req) => {
    const socket = serveCallerSocket(ws, {
      entry: host.entry,
      corkSocket: createWriteBatch(req.socket),
    });
    sockets.add(socket);
    ws.on("close", () => sockets.delete(socket));
    if (isDraining) {
      socket.drain();
    }
  });

  /** Counts a request until its answer is sent or its connection is closed. */
  function trackHttpRequest(socket: Socket, res: ServerResponse): void {
    const count = httpRequests.get(socket);
    if (count === undefined) {
      socket.once("close", () => httpRequests.delete(socket));
    }
    httpRequests.set(socket, (count ?? 0) + 1);
    res.once("finish", () => {
      httpRequests.set(socket, httpRequests.get(socket)! - 1);
    });
  }

  function countHttpRequests(): number {
    return [...httpRequests.values()].reduce((sum, count) => sum + count, 0);
  }

  function isIdle(): boolean {
    return countHttpRequests() === 0 && [...sockets].every((s) => s.isIdle());
  }

  function close(): void {
    tls?.stop();
    wss.clients.forEach((client) => client.terminate());
    server.close();
    server.closeAllConnections();
  }

  return {
    listen: () => listenAt(server, settings),
    countConnections: () => sockets.size,
    countInFlight: () =>
      [...sockets].reduce(
        (sum, socket) => sum + socket.countInFlight(),
        countHttpRequests(),
      ),
    async drain(timeoutMs) {
      const deadline = nowMs() + timeoutMs;
      isDraining = true;
      sockets.forEach((socket) => socket.drain());
      await sleep(Math.min(DRAIN_NOTICE_MS, timeoutMs));
      while (!isIdle() && nowMs() < deadline) {
        await sleep(IDLE_POLL_INTERVAL_MS);
      }
      sockets.forEach((socket) => socket.close());
      // Not earlier: the server destroys a connection as idle once its answer
      // is complete, even if the answer is still buffered.
      const ended = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      await withTimeout(ended, { ms: CLOSE_TIMEOUT_MS, fallback: undefined });
    },
    close,
  };
}
