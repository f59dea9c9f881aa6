/** Serves callers over WebSocket sessions and one-shot HTTP requests. */

import { WebSocketServer } from "ws";
import { nowMs, sleep } from "../core/clock.ts";
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

/** Server that callers connect to. */
export interface CallerServer {
  /** Starts to listen; resolves with the port in use. */
  listen(): Promise<number>;
  /** Returns the number of open WebSocket connections. */
  countConnections(): number;
  /** Returns the number of unanswered requests. */
  countInFlight(): number;
  /**
   * Waits up to `timeoutMs` for running requests and open transactions to
   * finish, then closes all connections.
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
  let httpInFlight = 0;
  let isDraining = false;

  const tls = settings.tls && createReloadingTls(settings.tls);
  const server = createTlsServer(settings.address, { tls });
  server.on("request", async (req, res) => {
    if (isDraining) {
      res.writeHead(503, { connection: "close" });
      res.end(JSON.stringify(toFailedFrame("", { error: "shutting_down" })));
      return;
    }
    httpInFlight++;
    const { entry } = host;
    await serveCallerHttp({ req, res }, { entry, maxBytes });
    httpInFlight--;
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

  function isIdle(): boolean {
    return httpInFlight === 0 && [...sockets].every((s) => s.isIdle());
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
      [...sockets].reduce((sum, s) => sum + s.countInFlight(), httpInFlight),
    async drain(timeoutMs) {
      const deadline = nowMs() + timeoutMs;
      isDraining = true;
      server.close();
      sockets.forEach((socket) => socket.drain());
      await sleep(Math.min(DRAIN_NOTICE_MS, timeoutMs));
      while (!isIdle() && nowMs() < deadline) {
        await sleep(IDLE_POLL_INTERVAL_MS);
      }
      sockets.forEach((socket) => socket.close());
    },
    close,
  };
}
