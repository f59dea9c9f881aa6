/** Serves a target stand-in over WebSocket; faults are set over HTTP. */

import type { Buffer } from "node:buffer";
import type { Server } from "node:http";
import { pack, unpack } from "msgpackr";
import type { Result } from "ts-results-es";
import { type WebSocket, WebSocketServer } from "ws";
import { asId, type TargetId } from "../src/core/ids.ts";
import type {
  ControlReq,
  RunReq,
  RunRes,
  TargetErr,
  TargetStatus,
} from "../src/core/types.ts";
import type { TargetCall, TargetReturn } from "../src/host/target_driver.ts";
import { createJsonServer, type JsonResponse, readJson } from "./serve.ts";
import type { FetchReq, FetchRes } from "./target_core.ts";
import {
  createTargetNode,
  type TargetFaults,
  type TargetNode,
  type TargetOptions,
} from "./target_node.ts";

const FETCH_TIMEOUT_MS = 500;
const TOO_MANY_CONNECTIONS_CODE = 4_029;

/** Creates the server of one target; the caller makes it listen. */
export function createTargetServer(options: TargetOptions): Server {
  const node = createTargetNode(options, fetchEntries);
  const server = createJsonServer(async (url, req): Promise<JsonResponse> => {
    switch (url.pathname) {
      case "/control/faults":
        node.faults = (await readJson(req) ?? {}) as TargetFaults;
        if (node.faults.down) {
          wss.clients.forEach((ws) => ws.terminate());
        }
        return { body: node.faults };
      case "/control/log":
        return { body: { status: node.core.status(), log: node.core.log } };
      case "/control/status":
        return { body: node.core.status() };
      case "/control/evidence":
        return { body: collectEvidence(node) };
      case "/fetch": {
        const res = await node.fetch(await readJson(req) as FetchReq);
        return res ? { body: res } : { status: 409, body: null };
      }
      default:
        return { status: 404, body: null };
    }
  });
  const wss = new WebSocketServer({ server, perMessageDeflate: false });
  wss.on("connection", (ws, req) => {
    const query = new URL(req.url ?? "/", "ws://target").searchParams;
    const from = query.get("from") ?? "";
    node.recordSender(from, query.get("domain") ?? "");
    node.scanForKeys(`${req.url} ${req.rawHeaders.join(" ")}`);
    ws.on("error", () => ws.terminate());
    if (node.faults.down) {
      ws.terminate();
      return;
    }
    if (query.get("channel") === "data") {
      serveData(node, ws, from);
    } else {
      serveControl(node, ws, from);
    }
  });
  return server;
}

/** Returns the logs and statements that the checker reads. */
function collectEvidence(node: TargetNode) {
  const { core, keyHits } = node;
  const { log, discarded, statements } = core;
  return { status: core.status(), log, discarded, statements, keyHits };
}

function serveData(node: TargetNode, ws: WebSocket, from: string): void {
  const conn = node.tryOpen(from);
  if (!conn) {
    ws.close(TOO_MANY_CONNECTIONS_CODE, "too many connections");
    return;
  }
  ws.on("close", conn.end);
  ws.on("message", async (data: Buffer) => {
    node.scanForKeys(data.toString("latin1"));
    const { rid, req } = unpack(data) as TargetCall;
    reply(ws, rid, await conn.run(req as RunReq));
  });
  void node.waitUntilReady(from).then((isReady) =>
    isReady && ws.send(pack("ready"))
  );
}

function serveControl(node: TargetNode, ws: WebSocket, from: string): void {
  ws.on("message", async (data: Buffer) => {
    node.scanForKeys(data.toString("latin1"));
    const { rid, req } = unpack(data) as TargetCall;
    reply(ws, rid, await node.control(from, req as ControlReq));
  });
  if (!node.isUnreachableFrom(from)) {
    ws.send(pack("ready"));
  }
}

function reply(
  ws: WebSocket,
  rid: number,
  res: Result<RunRes | TargetStatus, TargetErr> | undefined,
): void {
  if (res && ws.readyState === ws.OPEN) {
    const frame: TargetReturn = res.isOk()
      ? { rid, ok: res.value }
      : { rid, err: res.error };
    ws.send(pack(frame));
  }
}

async function fetchEntries(
  url: string,
  req: FetchReq,
): Promise<FetchRes | undefined> {
  try {
    const res = await fetch(`${url.replace("ws", "http")}/fetch`, {
      method: "POST",
      body: JSON.stringify(req),
      signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
    });
    return res.ok ? await res.json() as FetchRes : undefined;
  } catch {
    return undefined;
  }
}

/** Parses the command-line options of a target. */
export function parseTargetOptions(
  options: Readonly<Record<string, string | number | boolean>>,
): TargetOptions {
  return {
    target: asId<TargetId>(`${options.target}`),
    initialRole: options.follow === undefined ? { kind: "primary" } : {
      kind: "replica",
      of: asId<TargetId>(`${options.follow}`),
      url: `${options.followUrl}`,
    },
    slots: Number(options.slots),
    maxConnections: Number(options.maxConnections),
    connectMs: Number(options.connectMs),
    statementMs: Number(options.statementMs),
    latencyMs: Number(options.latencyMs),
    lagMs: Number(options.lagMs),
    ...(options.latencyByDomain === undefined ? {} : {
      latencyMsByDomain: JSON.parse(`${options.latencyByDomain}`),
    }),
  };
}
