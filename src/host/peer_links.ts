/** Links between hosts: MessagePack frames over WebSocket. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { ConnectionOptions } from "node:tls";
import { pack } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import { assertNever } from "../core/errors.ts";
import type { HostId } from "../core/ids.ts";
import type { MetricsSink, PeerMessage } from "../core/types.ts";
import type { Settings } from "../generated/settings.ts";
import { listenAt } from "./listen.ts";
import { tryDecodePeerMessage } from "./peer_frames.ts";
import {
  createReloadingTls,
  createTlsServer,
  isAuthenticated,
  isCertificateFor,
  isLoopback,
} from "./tls.ts";
import { tryGetSender, tryOpenWebSocket } from "./web_socket.ts";
import { createWriteBatch, type WriteBatch } from "./write_batch.ts";

const MAX_PEER_FRAME_BYTES = 4 * 1024 * 1024;
/** Limit on unsent bytes of a link, beyond which messages are dropped. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
const RECONNECT_INTERVAL_MS = 200;
const CONNECT_TIMEOUT_MS = 2_000;
/** Maximum number of messages that are queued while a link opens. */
const MAX_PENDING_MESSAGES = 256;
/** Close code for a protocol violation. */
const MALFORMED_CODE = 1_008;

/** Links of one host to its peers. */
export interface PeerLinks {
  send(to: HostId, msg: PeerMessage): void;
  /** Starts to listen; rejects if the port cannot be bound. */
  listen(
    receive: (from: HostId, msg: PeerMessage) => void,
  ): Promise<void>;
  /** Updates the URLs of hosts that the settings do not list. */
  updateUrls(
    hosts: readonly { readonly host: HostId; readonly url: string }[],
  ): void;
  close(): void;
}

/** Creates the links of a host; each is opened on first use. */
export function createPeerLinks(
  settings: Settings,
  metrics: MetricsSink,
): PeerLinks {
  const configuredUrls = new Map(
    (settings.peers.known ?? []).map((peer) => [peer.host, peer.url]),
  );
  const urls = new Map(configuredUrls);
  const links = new Map<HostId, WebSocket>();
  const batches = new WeakMap<WebSocket, WriteBatch>();
  const lastAttempts = new Map<HostId, number>();
  const { tls: tlsFiles, address, port } = settings.peers;
  const tls = tlsFiles && createReloadingTls(tlsFiles);
  const server = createTlsServer(address, { tls, requestCert: true });
  // Attached to the server, it would throw the server's errors on.
  const wss = new WebSocketServer({
    noServer: true,
    verifyClient: ({ req }: { req: IncomingMessage }) =>
      tls === undefined || isSenderAuthenticated(req),
    perMessageDeflate: false,
    maxPayload: MAX_PEER_FRAME_BYTES,
  });

  server.on("upgrade", (req, socket, head) => {
    wss.handleUpgrade(
      req,
      socket,
      head,
      (ws) => wss.emit("connection", ws, req),
    );
  });

  /** Without TLS, only loopback URLs are allowed. */
  function isUrlAllowed(url: string): boolean {
    if (!URL.canParse(url)) {
      return false;
    }
    const { protocol, hostname } = new URL(url);
    return tls ? protocol === "wss:" : isLoopback(hostname);
  }

  function tryGetLink(to: HostId): WebSocket | undefined {
    const link = links.get(to);
    if (link && link.readyState <= WebSocket.OPEN) {
      return link;
    }
    const url = urls.get(to);
    const now = performance.now();
    if (
      !url || !isUrlAllowed(url) ||
      now - (lastAttempts.get(to) ?? -Infinity) < RECONNECT_INTERVAL_MS
    ) {
      return undefined;
    }
    lastAttempts.set(to, now);
    const newLink = tryOpenWebSocket(`${url}/?from=${settings.host}`, {
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      ...(tls ? { ...tls.content, ...getIdentityOptions(to) } : {}),
    });
    if (!newLink) {
      return undefined;
    }
    // Each queued message adds a listener for the `open` event.
    newLink.setMaxListeners(MAX_PENDING_MESSAGES);
    newLink.on("error", () => newLink.terminate());
    newLink.on(
      "upgrade",
      (res) => batches.set(newLink, createWriteBatch(res.socket)),
    );
    links.set(to, newLink);
    return newLink;
  }

  /** Counts control traffic; messages with statements are excluded. */
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
      const link = tryGetLink(to);
      if (!link) {
        return;
      }
      const data = pack(msg);
      countControl(msg, { bytes: data.length, direction: "out" });
      if (link.readyState === WebSocket.CONNECTING) {
        if (link.listenerCount("open") >= MAX_PENDING_MESSAGES) {
          return;
        }
        link.once("open", () => link.send(data));
      } else if (link.bufferedAmount < MAX_BUFFERED_BYTES) {
        batches.get(link)?.();
        link.send(data);
      }
    },
    async listen(receive) {
      wss.on("connection", (ws, req) => {
        const from = tryGetSender(req.url);
        ws.on("error", () => ws.terminate());
        if (!from) {
          ws.close(MALFORMED_CODE, "no sender");
          return;
        }
        ws.on("message", (data: Buffer) => {
          const msg = tryDecodePeerMessage(data);
          if (msg && isAllowedFrom(msg, from)) {
            countControl(msg, { bytes: data.length, direction: "in" });
            receive(from, msg);
          } else {
            ws.close(MALFORMED_CODE, "malformed message");
          }
        });
      });
      await listenAt(server, { address, port });
    },
    updateUrls(hosts) {
      hosts.filter(({ host }) => !configuredUrls.has(host))
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

/** Whether the certificate of a link matches the host in its URL. */
function isSenderAuthenticated(req: IncomingMessage): boolean {
  const from = tryGetSender(req.url);
  return from !== undefined && isAuthenticated(req, from);
}

/** Whether `from` may send a message: heartbeats only about itself. */
function isAllowedFrom(msg: PeerMessage, from: HostId): boolean {
  return msg.kind !== "heartbeat" || msg.host === from;
}

/** Returns TLS options that only accept the certificate of `host`. */
function getIdentityOptions(host: HostId): ConnectionOptions {
  return {
    servername: host,
    checkServerIdentity: (_name, cert) =>
      isCertificateFor(cert, host)
        ? undefined
        : new Error(`certificate does not match host ${host}`),
  };
}

/** Whether a message contains a statement of a caller or its answer. */
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
