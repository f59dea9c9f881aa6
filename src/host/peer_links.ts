/** Links between hosts: WebSocket frames packed with msgpackr. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { ConnectionOptions } from "node:tls";
import { pack, unpack } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import { assertNever } from "../core/errors.ts";
import { asId, type HostId } from "../core/ids.ts";
import type { MetricsSink, PeerMessage } from "../core/types.ts";
import { validatePeerMessage } from "../generated/peer_validate.ts";
import type { Settings } from "../generated/settings.ts";
import {
  createReloadedTls,
  createTlsServer,
  isAuthenticated,
  isLoopback,
  isNamed,
} from "./tls.ts";
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
  /** Takes the addresses of hosts that the settings do not name. */
  learn(
    hosts: readonly { readonly host: HostId; readonly url: string }[],
  ): void;
  close(): void;
}

/** Creates the links; a link is opened when it is first needed. */
export function createPeerLinks(
  settings: Settings,
  metrics: MetricsSink,
): PeerLinks {
  const known = new Map(
    (settings.peers.known ?? []).map((peer) => [peer.host, peer.url]),
  );
  const urls = new Map(known);
  const links = new Map<HostId, WebSocket>();
  const batches = new WeakMap<WebSocket, WriteBatch>();
  const triedAt = new Map<HostId, number>();
  const { tls: files, address, port } = settings.peers;
  const tls = files && createReloadedTls(files);
  const server = createTlsServer(address, { tls, requestCert: true });
  const wss = new WebSocketServer({
    server,
    verifyClient: ({ req }: { req: IncomingMessage }) =>
      tls === undefined || isAuthenticated(req, getSender(req)),
    perMessageDeflate: false,
    maxPayload: MAX_PEER_FRAME_BYTES,
  });

  /** Without TLS a link must not leave the machine. */
  function isAllowed(url: string): boolean {
    const { protocol, hostname } = new URL(url);
    return tls ? protocol === "wss:" : isLoopback(hostname);
  }

  function tryLink(to: HostId): WebSocket | undefined {
    const link = links.get(to);
    if (link && link.readyState <= WebSocket.OPEN) {
      return link;
    }
    const url = urls.get(to);
    const now = performance.now();
    if (
      !url || !isAllowed(url) ||
      now - (triedAt.get(to) ?? -Infinity) < RECONNECT_MS
    ) {
      return undefined;
    }
    triedAt.set(to, now);
    const opened = new WebSocket(`${url}/?from=${settings.host}`, {
      perMessageDeflate: false,
      ...(tls ? { ...tls.content, ...identify(to) } : {}),
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
        const from = getSender(req);
        ws.on("error", () => ws.terminate());
        ws.on("message", (data: Buffer) => {
          const msg = tryUnpack(data);
          if (validatePeerMessage(msg) && isFrom(msg, from)) {
            countControl(msg, { bytes: data.length, direction: "in" });
            receive(from, msg);
          } else {
            ws.close(1008, "malformed message");
          }
        });
      });
      return new Promise((resolve) => server.listen(port, address, resolve));
    },
    learn(hosts) {
      hosts.filter(({ host }) => !known.has(host))
        .forEach(({ host, url }) => urls.set(host, url));
    },
    close() {
      tls?.stop();
      links.forEach((link) => link.terminate());
      wss.clients.forEach((client) => client.terminate());
      server.close();
    },
  };
}

/** The host that opened a link, as it says. */
function getSender(req: IncomingMessage): HostId {
  const query = new URL(req.url ?? "/", "ws://peer").searchParams;
  return asId<HostId>(query.get("from") ?? "");
}

/** A host speaks of its own state only. */
function isFrom(msg: PeerMessage, from: HostId): boolean {
  return msg.kind !== "heartbeat" || msg.host === from;
}

/** Options by which a link is opened to `host` only. */
function identify(host: HostId): ConnectionOptions {
  return {
    servername: host,
    checkServerIdentity: (_name, cert) =>
      isNamed(cert, host)
        ? undefined
        : new Error(`the certificate is not that of ${host}`),
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
