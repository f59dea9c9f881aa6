/** Serves metrics, health and status to operators, on a separate port. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Settings } from "../generated/settings.ts";
import type { HostMetrics } from "./metrics.ts";
import type { HostState, HostStatus } from "./status.ts";
import { renderStatusPage } from "./status_page.ts";
import { listenAt } from "./listen.ts";

/** Time limit for receiving a complete request. */
const REQUEST_TIMEOUT_MS = 5_000;
const MAX_CONNECTIONS = 64;
/** The page loads no external resources and runs no scripts. */
const CONTENT_SECURITY_POLICY = "default-src 'none'; style-src 'unsafe-inline'";

/** Host state and operations that the server exposes. */
export interface OperatorsSource {
  readonly metrics: HostMetrics;
  /** Updates gauges before an export. */
  refreshGauges(): void;
  getState(): HostState;
  getStatus(): Promise<HostStatus>;
  /** Starts a drain, after which the process exits. */
  drain(): void;
}

/** Server that operators connect to. */
export interface OperatorsServer {
  /** Starts to listen; resolves with the port in use. */
  listen(): Promise<number>;
  close(): void;
}

interface Reply {
  readonly status: number;
  readonly type: string;
  readonly body: string;
}

/** Creates the operators' server of a host. */
export function createOperatorsServer(
  source: OperatorsSource,
  settings: NonNullable<Settings["operators"]>,
): OperatorsServer {
  const server = createServer((req, res) => void serve(req, res));
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = MAX_CONNECTIONS;

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    req.resume();
    const reply = await route(req).catch((): Reply => text(500, "failed\n"));
    res.writeHead(reply.status, {
      "content-type": reply.type,
      "cache-control": "no-store",
      "content-security-policy": CONTENT_SECURITY_POLICY,
      "x-content-type-options": "nosniff",
    });
    res.end(req.method === "HEAD" ? undefined : reply.body);
  }

  async function route(req: IncomingMessage): Promise<Reply> {
    const pathname = tryGetPath(req.url);
    if (pathname === "/drain") {
      return drain(req);
    }
    if (req.method !== "GET" && req.method !== "HEAD") {
      return text(405, "only GET\n");
    }
    switch (pathname) {
      case "/":
        return page(renderStatusPage(await source.getStatus()));
      case "/healthz":
        return text(200, "ok\n");
      case "/readyz":
        return source.getState() === "serving"
          ? text(200, "ready\n")
          : text(503, `${source.getState()}\n`);
      case "/metrics": {
        const { registry } = source.metrics;
        source.refreshGauges();
        return {
          status: 200,
          type: registry.contentType,
          body: await registry.metrics(),
        };
      }
      case "/status":
        return json(200, await source.getStatus());
      default:
        return text(404, "no such page\n");
    }
  }

  function drain(req: IncomingMessage): Reply {
    if (req.method !== "POST") {
      return text(405, "only POST\n");
    }
    // Browsers send the origin of the page with a POST. Refusing it keeps
    // third-party pages from draining a host (cross-site request forgery).
    if (req.headers.origin !== undefined) {
      return text(403, "not from a page\n");
    }
    source.drain();
    return json(202, { state: source.getState() });
  }

  return {
    listen: () => listenAt(server, settings),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

function tryGetPath(url: string | undefined): string | undefined {
  try {
    return new URL(url ?? "", "http://operators").pathname;
  } catch {
    return undefined;
  }
}

function text(status: number, body: string): Reply {
  return { status, type: "text/plain; charset=utf-8", body };
}

function page(body: string): Reply {
  return { status: 200, type: "text/html; charset=utf-8", body };
}

function json(status: number, body: unknown): Reply {
  return {
    status,
    type: "application/json",
    body: `${JSON.stringify(body)}\n`,
  };
}
