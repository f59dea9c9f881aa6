/** Links between hosts: WebSocket frames packed with msgpackr. */

import type { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { pack, unpack } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import { assertNever } from "../core/errors.ts";
import { asId, type HostId } from "../core/ids.ts";
import type { MetricsSink, PeerMessage } from "../core/types.ts";
import { validatePeerMessage } from "../generated/peer_validate.ts";
import type { Settings } from "../generated/settings.ts";
import { createWriteBatch, type WriteBatch } from "./write_batch.ts";

const MAX_PEER_FRAME_BYTES = 4 * 1024 * 1024;
/** A link with more unsent bytes than this drops messages. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
const RECONNECT_MS = 200;

/** The links of one host. */
export interface PeerLinks {
  send(to: HostId, msg: PeerMessage): void;
  listen(
    receive: (from: HostId, msg: PeerMessage) => void,
  ): Promise<void>;
  close(): void;
}

/** Creates the links; a link is opened when it is first needed. */
export function createPeerLinks(
  settings: Settings,
  metrics: MetricsSink,
): PeerLinks {
  const urls = new Map(
    (settings.peers.known ?? []).map((peer) => [peer.host, peer.url]),
  );
  const links = new Map<HostId, WebSocket>();
  const batches = new WeakMap<WebSocket, WriteBatch>();
  const triedAt = new Map<HostId, number>();
  const server: Server = createServer();
  const wss = new WebSocketServer({
    server,
    perMessageDeflate: false,
    maxPayload: MAX_PEER_FRAME_BYTES,
  });

  function tryLink(to: HostId): WebSocket | undefined {
    const link = links.get(to);
    if (link && link.readyState <= WebSocket.OPEN) {
      return link;
    }
    const url = urls.get(to);
    const now = performance.now();
    if (!url || now - (triedAt.get(to) ?? -Infinity) < RECONNECT_MS) {
      return undefined;
    }
    triedAt.set(to, now);
    const opened = new WebSocket(`${url}/?from=${settings.host}`, {
      perMessageDeflate: false,
    });
    opened.on("error", () => opened.terminate());
    opened.on(
      "upgrade",
      (res) => batches.set(opened, createWriteBatch(res.socket)),
    );
    links.set(to, opened);
    return opened;
  }

  /** Counts what the host spends on control; statements are not counted. */
  function countControl(
    msg: PeerMessage,
    frame: { readonly bytes: number; readonly direction: "in" | "out" },
  ): void {
    if (isStatement(msg)) {
      return;
    }
    const labels = { channel: "peer", direction: frame.direction };
    metrics.count("control_messages_total", labels);
    metrics.add("control_bytes_total", frame.bytes, labels);
  }

  return {
    send(to, msg) {
      const link = tryLink(to);
      if (!link) {
        return;
      }
      const data = pack(msg);
      countControl(msg, { bytes: data.length, direction: "out" });
      if (link.readyState === WebSocket.CONNECTING) {
        link.once("open", () => link.send(data));
      } else if (link.bufferedAmount < MAX_BUFFERED_BYTES) {
        batches.get(link)?.();
        link.send(data);
      }
    },
    listen(receive) {
      wss.on("connection", (ws, req) => {
        const query = new URL(req.url ?? "/", "ws://peer").searchParams;
        const from = asId<HostId>(query.get("from") ?? "");
        ws.on("error", () => ws.terminate());
        ws.on("message", (data: Buffer) => {
          const msg = tryUnpack(data);
          if (validatePeerMessage(msg)) {
            countControl(msg, { bytes: data.length, direction: "in" });
            receive(from, msg);
          } else {
            ws.close(1008, "malformed message");
          }
        });
      });
      const { address, port } = settings.peers;
      return new Promise((resolve) => server.listen(port, address, resolve));
    },
    close() {
      links.forEach((link) => link.terminate());
      wss.clients.forEach((client) => client.terminate());
      server.close();
    },
  };
}

function tryUnpack(data: Buffer): unknown {
  try {
    return unpack(data);
  } catch {
    return undefined;
  }
}

/** Tells whether a message carries a statement of a caller or its answer. */
function isStatement(msg: PeerMessage): boolean {
  switch (msg.kind) {
    case "call":
      return msg.req.kind === "exec";
    case "return":
      return msg.res.kind === "exec";
    case "heartbeat":
      return false;
    default:
      return assertNever(msg);
  }
}
