/** Connects to targets over WebSocket, for data and for control. */

import { Buffer } from "node:buffer";
import { pack } from "msgpackr";
import { Err, Ok, type Result } from "ts-results-es";
import { WebSocket } from "ws";
import type { DomainId, HostId, TargetId } from "../core/ids.ts";
import type {
  ControlReq,
  MetricsSink,
  RunReq,
  RunRes,
  TargetConn,
  TargetDriver,
  TargetErr,
  TargetInfo,
  TargetStatus,
} from "../core/types.ts";
import { tryUnpack } from "./peer_frames.ts";
import { tryOpenWebSocket } from "./web_socket.ts";
import { createWriteBatch, type WriteBatch } from "./write_batch.ts";

const CONNECT_TIMEOUT_MS = 2_000;
/** Close code of a target that has reached its connection limit. */
const TOO_MANY_CONNECTIONS_CODE = 4_029;

/** Frame sent to a target. */
export interface TargetCall {
  readonly rid: number;
  readonly req: RunReq | ControlReq;
}

/** Frame received from a target. */
export type TargetReturn =
  | { readonly rid: number; readonly ok: RunRes | TargetStatus }
  | { readonly rid: number; readonly err: TargetErr };

/** Frame of a target: `ready` once it has accepted the channel, or a return. */
type TargetFrame = "ready" | TargetReturn;

/** Counts a frame of a channel. */
type CountFrame = (bytes: number, direction: "in" | "out") => void;

type Settle = (result: Result<unknown, TargetErr>) => void;

interface Channel {
  isOpen(): boolean;
  call(
    req: RunReq | ControlReq,
    timeoutMs: number,
  ): Promise<Result<unknown, TargetErr>>;
  close(): void;
}

/** Opens a channel that matches returns to calls by request id (`rid`). */
function openChannel(
  url: string,
  countFrame: CountFrame = () => {},
): Promise<Result<Channel, TargetErr>> {
  return new Promise((resolve) => {
    const ws = tryOpenWebSocket(url, {
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
    });
    if (!ws) {
      const detail = "the URL is not valid";
      resolve(Err({ kind: "unreachable", sent: false, detail }));
      return;
    }
    const pendingCalls = new Map<number, Settle>();
    let nextRid = 1;
    let isReady = false;
    let corkSocket: WriteBatch = () => {};

    function fail(kind: TargetErr["kind"], detail?: string): void {
      const details = detail === undefined ? {} : { detail };
      resolve(Err({ kind, sent: false, ...details }));
      for (const settle of [...pendingCalls.values()]) {
        settle(Err({ kind: "no_answer", sent: true, ...details }));
      }
      pendingCalls.clear();
    }

    const channel: Channel = {
      isOpen: () => ws.readyState === WebSocket.OPEN,
      call: (req, timeoutMs) =>
        new Promise((resolveCall) => {
          if (ws.readyState !== WebSocket.OPEN) {
            resolveCall(Err({ kind: "unreachable", sent: false }));
            return;
          }
          const rid = nextRid++;
          const timer = setTimeout(
            () => settle(Err({ kind: "no_answer", sent: true })),
            timeoutMs,
          );
          const settle: Settle = (result) => {
            clearTimeout(timer);
            pendingCalls.delete(rid);
            resolveCall(result);
          };
          pendingCalls.set(rid, settle);
          const data = pack({ rid, req } satisfies TargetCall);
          countFrame(data.length, "out");
          corkSocket();
          ws.send(data);
        }),
      close: () => ws.terminate(),
    };
    ws.on("upgrade", (res) => corkSocket = createWriteBatch(res.socket));
    ws.on("message", (data: Buffer) => {
      countFrame(data.length, "in");
      const frame = tryDecodeFrame(data);
      if (frame === undefined) {
        ws.terminate();
        fail("unreachable", "the target sent a malformed frame");
        return;
      }
      if (frame === "ready") {
        isReady = true;
        resolve(Ok(channel));
        return;
      }
      pendingCalls.get(frame.rid)?.(
        "ok" in frame ? Ok(frame.ok) : Err(frame.err),
      );
    });
    ws.on("error", () => fail("unreachable"));
    ws.on("close", (code) => {
      const isRefused = !isReady && code === TOO_MANY_CONNECTIONS_CODE;
      fail(isRefused ? "connection_refused" : "unreachable");
    });
    setTimeout(() => {
      if (!isReady) {
        ws.terminate();
        fail("unreachable");
      }
    }, CONNECT_TIMEOUT_MS).unref();
  });
}

/** Decodes a frame; undefined if it is neither `ready` nor a return. */
function tryDecodeFrame(data: Buffer): TargetFrame | undefined {
  const frame = tryUnpack(data);
  if (frame === "ready") {
    return frame;
  }
  if (!isRecord(frame) || typeof frame.rid !== "number") {
    return undefined;
  }
  const isValid = "ok" in frame ? isRecord(frame.ok) : isTargetErr(frame.err);
  return isValid ? frame as unknown as TargetReturn : undefined;
}

function isTargetErr(value: unknown): boolean {
  return isRecord(value) && typeof value.kind === "string" &&
    typeof value.sent === "boolean";
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null;
}

/** Creates the driver that connects a host to targets. */
export function createTargetDriver(
  self: { readonly host: HostId; readonly domain: DomainId },
  metrics: MetricsSink,
): TargetDriver & { close(): void } {
  const controlChannels = new Map<
    TargetId,
    Promise<Result<Channel, TargetErr>>
  >();

  function getUrl(target: TargetInfo, channel: "data" | "control"): string {
    const query = new URLSearchParams({
      channel,
      from: self.host,
      domain: self.domain,
    });
    return `${target.url}/?${query}`;
  }

  function countControl(bytes: number, direction: "in" | "out"): void {
    const labels = { channel: "target", direction };
    metrics.count("control_messages_total", labels);
    metrics.add("control_bytes_total", bytes, labels);
  }

  async function getControlChannel(
    target: TargetInfo,
  ): Promise<Result<Channel, TargetErr>> {
    const existing = controlChannels.get(target.target);
    if (existing) {
      const channel = await existing;
      if (channel.isOk() && channel.value.isOpen()) {
        return channel;
      }
    }
    if (controlChannels.get(target.target) === existing) {
      controlChannels.set(
        target.target,
        openChannel(getUrl(target, "control"), countControl),
      );
    }
    return await controlChannels.get(target.target)!;
  }

  return {
    async connect(target) {
      const channel = await openChannel(getUrl(target, "data"));
      if (channel.isErr()) {
        return channel;
      }
      const { isOpen, call, close } = channel.value;
      const conn: TargetConn = {
        target: target.target,
        isOpen,
        run: async (req, timeoutMs) =>
          (await call(req, timeoutMs)) as Result<RunRes, TargetErr>,
        close,
      };
      return Ok(conn);
    },
    async control(target, req, timeoutMs) {
      const channel = await getControlChannel(target);
      if (channel.isErr()) {
        return channel;
      }
      const res = await channel.value.call(req, timeoutMs);
      return res as Result<TargetStatus, TargetErr>;
    },
    close() {
      for (const opening of controlChannels.values()) {
        void opening.then((c) => c.isOk() && c.value.close());
      }
    },
  };
}
