/** Serves callers over WebSocket sessions and one-shot HTTP requests. */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { nowMs, waitUntil, withTimeout } from "../core/clock.ts";
import type { Host } from "../core/host.ts";
import type { Settings } from "../generated/settings.ts";
import { type CallerHttpRequest, serveCallerHttp } from "./caller_http.ts";
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
   * finish and for their answers to be sent. Then answers the rest with what
   * became of it, closes all connections and waits a limited time for callers
   * to end them. Waits for no more requests once `signal` is aborted.
   */
  drain(timeoutMs: number, signal?: AbortSignal): Promise<void>;
  close(): void;
}

/** Creates the server for the callers of `host`. */
export function createCallerServer(
  host: Pick<Host, "entry">,
  settings: Settings["callers"],
): CallerServer {
  const maxBytes = settings.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES;
  const sockets = new Set<CallerSocket>();
  const httpRequests = new Map<Socket, Set<CallerHttpRequest>>();
  let isDraining = false;
  let isClosing = false;

  const tls = settings.tls && createReloadingTls(settings.tls);
  const server = createTlsServer(settings.address, { tls });
  server.on("request", (req, res) => {
    const requests = getHttpRequests(req.socket);
    const request = serveCallerHttp({ req, res }, {
      entry: host.entry,
      maxBytes,
      isDraining,
      endsConnection: () => isDraining && requests.size === 1,
    });
    requests.add(request);
    res.once("finish", () => requests.delete(request));
  });
  // A caller may end its side of the connection once it has sent its request.
  Object.assign(server, { httpAllowHalfOpen: true });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = settings.maxConnections ?? DEFAULT_MAX_CONNECTIONS;

  const wss = new WebSocketServer({
    noServer: true,
    maxPayload: maxBytes,
    perMessageDeflate: false,
  });
  server.on("upgrade", (req, stream, head) => {
    wss.handleUpgrade(req, stream, head, serveWebSocket);
  });

  function serveWebSocket(ws: WebSocket, req: IncomingMessage): void {
    const socket = serveCallerSocket(ws, {
      entry: host.entry,
      corkSocket: createWriteBatch(req.socket),
    });
    sockets.add(socket);
    ws.on("close", () => sockets.delete(socket));
    if (isDraining) {
      socket.drain();
    }
    if (isClosing) {
      socket.close();
    }
  }

  /** Returns the requests of a connection whose answers are not sent. */
  function getHttpRequests(socket: Socket): Set<CallerHttpRequest> {
    const requests = httpRequests.get(socket) ?? new Set();
    if (!httpRequests.has(socket)) {
      httpRequests.set(socket, requests);
      socket.once("close", () => httpRequests.delete(socket));
    }
    return requests;
  }

  function listHttpRequests(): readonly CallerHttpRequest[] {
    return [...httpRequests.values()].flatMap((requests) => [...requests]);
  }

  function isIdle(): boolean {
    return !listHttpRequests().some((request) => request.isAccepted) &&
      [...sockets].every((s) => s.isIdle());
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
        listHttpRequests().length,
      ),
    async drain(timeoutMs, signal) {
      const deadline = nowMs() + timeoutMs;
      const noticeMs = Math.min(DRAIN_NOTICE_MS, timeoutMs);
      const isAborted = () => signal?.aborted === true;
      isDraining = true;
      sockets.forEach((socket) => socket.drain());
      await waitUntil(isAborted, noticeMs);
      await waitUntil(() => isAborted() || isIdle(), deadline - nowMs());
      isClosing = true;
      sockets.forEach((socket) => socket.close());
      listHttpRequests().forEach((request) => request.abandon());
      const closeDeadline = nowMs() + CLOSE_TIMEOUT_MS;
      await waitUntil(() => listHttpRequests().length === 0, CLOSE_TIMEOUT_MS);
      // Not earlier: the server destroys a connection as idle once its answer
      // is complete, even if the answer is still buffered.
      const ended = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      await withTimeout(ended, {
        ms: closeDeadline - nowMs(),
        fallback: undefined,
      });
    },
    close,
  };
}
