/**
 * Streams of forwarded commands and of calls to the store: MessagePack frames
 * over WebSocket.
 */

import type { Buffer } from "node:buffer";
import { createServer, type IncomingMessage } from "node:http";
import { Packr } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import { withTimeout } from "../core/clock.ts";
import type { HostId } from "../core/ids.ts";
import type { MetricsSink } from "../core/types.ts";
import type { ForwardMessage } from "../generated/pool_forward.ts";
import { validateForwardMessage } from "../generated/pool_forward_validate.ts";
import type {
  ForwardRequest,
  ForwardResponse,
  HostStream,
  HostStreamHandlers,
  HostStreams,
  PoolLog,
} from "../pooling/types.ts";
import { listenAt } from "./listen.ts";
import { hasFeature, tryGetSender, tryOpenWebSocket } from "./web_socket.ts";
import { createWriteBatch, type WriteBatch } from "./write_batch.ts";

/** Longest frame; a statement and a row are at most a mebibyte each. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
/** Unsent bytes of a stream, beyond which the other host is given up. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
/**
 * Time for which a stream waits for this host to know its peers, in
 * milliseconds: when a whole fleet restarts, some learn them later.
 */
const ADDRESSES_TIMEOUT_MS = 500;
/** Before an IPv4 address on a socket that takes both versions. */
const IPV4_MAPPED_PREFIX = "::ffff:";
/** Close code for a protocol violation. */
const MALFORMED_CODE = 1_008;
/**
 * Feature that hosts state when a stream is opened: the fields about load. A
 * host of an earlier version ignores the statement and rejects the fields.
 */
const LOAD_FEATURE = "load";
const FEATURE_HEADER = "x-turmericchute-feature";

/** Streams between hosts, with the server that accepts them. */
export interface ListeningHostStreams extends HostStreams {
  listen(): Promise<void>;
  close(): void;
}

/** Creates the streams of the host with this `address`, as `HOST:PORT`. */
export function createHostStreams(
  address: string,
  options: {
    readonly self: HostId;
    readonly log: PoolLog;
    readonly metrics: MetricsSink;
  },
): ListeningHostStreams {
  const { self, log, metrics } = options;
  const addresses = new Map<HostId, string>();
  let resolveAddressesKnown = () => {};
  const addressesKnown = new Promise<void>((resolve) => {
    resolveAddressesKnown = resolve;
  });
  const server = createServer();
  const wss = new WebSocketServer({
    server,
    perMessageDeflate: false,
    maxPayload: MAX_FRAME_BYTES,
    verifyClient: (
      { req }: { req: IncomingMessage },
      answer: (isAccepted: boolean) => void,
    ) =>
      void withTimeout(addressesKnown, {
        ms: ADDRESSES_TIMEOUT_MS,
        fallback: undefined,
      }).then(() => answer(tryFindSender(req) !== undefined)),
  });

  /** Returns the registered host of a request; undefined if there is none. */
  function tryFindSender(req: IncomingMessage): HostId | undefined {
    const from = tryGetSender(req.url);
    const ip = from && addresses.get(from)?.split(":")[0];
    const remote = req.socket.remoteAddress?.replace(IPV4_MAPPED_PREFIX, "");
    return ip !== undefined && remote === ip ? from : undefined;
  }

  /** Encodes and decodes the frames of one WebSocket. */
  function createStream<Out extends ForwardMessage>(
    ws: WebSocket,
    req?: IncomingMessage,
  ): { stream: HostStream<Out>; attach(handlers: AnyHandlers): void } {
    // Field names are sent once for each stream.
    const packr = new Packr({ sequential: true });
    const unpackr = new Packr({ sequential: true });
    let batch: WriteBatch | undefined = req && createWriteBatch(req.socket);
    let acceptsLoadFields = hasFeature(req?.url, LOAD_FEATURE);
    return {
      stream: {
        send(msg) {
          if (ws.readyState !== WebSocket.OPEN) {
            return;
          }
          if (ws.bufferedAmount > MAX_BUFFERED_BYTES) {
            log.info("host_stream_full", { bytes: ws.bufferedAmount });
            ws.terminate();
            return;
          }
          batch?.();
          ws.send(packr.pack(msg));
        },
        ping: () => ws.readyState === WebSocket.OPEN && ws.ping(),
        acceptsLoadFields: () => acceptsLoadFields,
        close: () => ws.terminate(),
      },
      attach(handlers) {
        let closeDetail = "the connection was closed";
        ws.on("error", (err) => {
          closeDetail = err.message;
          ws.terminate();
        });
        ws.on("close", () => handlers.onClose(closeDetail));
        ws.on("ping", () => handlers.onAlive?.());
        ws.on("pong", () => handlers.onAlive?.());
        ws.on("message", (data: Buffer) => {
          const msg = tryDecode(unpackr, data);
          if (!msg || !handlers.accepts(msg)) {
            metrics.count("host_stream_errors_total", {});
            closeDetail = "a malformed message";
            ws.close(MALFORMED_CODE, closeDetail);
            return;
          }
          handlers.onMessage(msg);
        });
        ws.on("upgrade", (res) => {
          batch = createWriteBatch(res.socket);
          acceptsLoadFields = res.headers[FEATURE_HEADER] === LOAD_FEATURE;
        });
      },
    };
  }

  return {
    setAddresses(known) {
      addresses.clear();
      known.forEach((hostAddress, host) => addresses.set(host, hostAddress));
      resolveAddressesKnown();
    },
    open(to, handlers) {
      const ws = tryOpenWebSocket(
        `ws://${addresses.get(to) ?? ""}/?from=${
          encodeURIComponent(self)
        }&feature=${LOAD_FEATURE}`,
        { perMessageDeflate: false },
      );
      if (!ws) {
        setImmediate(() => handlers.onClose("no address"));
        return {
          send() {},
          ping() {},
          close() {},
          acceptsLoadFields: () => false,
        };
      }
      const { stream, attach } = createStream<ForwardRequest>(ws);
      attach({
        ...handlers,
        accepts: isResponse,
        onMessage: (msg) => handlers.onMessage(msg as ForwardResponse),
      });
      ws.on("open", handlers.onOpen);
      return stream;
    },
    onAccept(accept) {
      wss.on(
        "headers",
        (headers) => headers.push(`${FEATURE_HEADER}: ${LOAD_FEATURE}`),
      );
      wss.on("connection", (ws, req) => {
        const from = tryFindSender(req);
        if (from === undefined) {
          ws.terminate();
          return;
        }
        const { stream, attach } = createStream<ForwardResponse>(ws, req);
        const handlers = accept(from, stream);
        attach({
          ...handlers,
          accepts: (msg) => !isResponse(msg),
          onMessage: (msg) => handlers.onMessage(msg as ForwardRequest),
        });
      });
    },
    async listen() {
      const [host = "", port = "0"] = address.split(":");
      // It passes the errors of its server on.
      wss.on(
        "error",
        (err) => log.info("host_streams_failed", { detail: err.message }),
      );
      // Without its port, this host holds connections only for itself.
      await listenAt(server, { address: host, port: Number(port) })
        .catch(() => undefined);
    },
    close() {
      wss.clients.forEach((client) => client.terminate());
      server.close();
    },
  };
}

interface AnyHandlers extends HostStreamHandlers<ForwardMessage> {
  /** Whether the other end may send this kind of message. */
  accepts(msg: ForwardMessage): boolean;
}

function isResponse({ kind }: ForwardMessage): boolean {
  return kind === "reply" || kind === "leaving" || kind === "store_reply" ||
    kind === "reader_changes" || kind === "reader_ages";
}

function tryDecode(packr: Packr, data: Buffer): ForwardMessage | undefined {
  try {
    const msg: unknown = packr.unpack(data);
    return validateForwardMessage(msg) ? msg : undefined;
  } catch {
    // The message handler counts it and closes the stream.
    return undefined;
  }
}
