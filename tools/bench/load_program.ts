/**
 * Closed-loop load generator: sends reads for a fixed time, with a fixed number
 * in flight on each connection. Prints the counts and latencies as JSON.
 */

import { Buffer } from "node:buffer";
import process from "node:process";
import { cac } from "cac";
import { build, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import { pack, unpack } from "msgpackr";
import { WebSocket } from "ws";
import { sleep } from "../../src/core/clock.ts";

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const WARM_UP_MS = 1_000;
const ROW_COUNT = 100;

/** Result that the program prints as one line of JSON. */
export interface LoadReport {
  readonly statements: number;
  readonly failed: number;
  readonly seconds: number;
  /** Latencies in microseconds, as a compressed HDR histogram in base64. */
  readonly histogram: string;
}

/** Encoding of requests and answers in one mode. */
interface Codec {
  readonly hello: string | undefined;
  encode(id: number): Buffer | string;
  /** Decodes an answer; undefined for any other frame. */
  tryDecode(data: Buffer): DecodedAnswer | undefined;
}

interface DecodedAnswer {
  readonly id: number;
  readonly ok: boolean;
}

type Mode = "echo" | "target" | "host";

function createGetBody(
  id: number,
): { readonly op: string; readonly key: string } {
  return { op: "get", key: `order-${id % ROW_COUNT}` };
}

function createMsgpackCodec(workspace: string): Codec {
  return {
    hello: undefined,
    encode: (id) =>
      pack({
        rid: id,
        req: { kind: "read", workspace, body: createGetBody(id) },
      }),
    tryDecode(data) {
      const frame: unknown = unpack(data);
      return typeof frame === "object" && frame !== null && "rid" in frame
        ? { id: Number(frame.rid), ok: !("err" in frame) }
        : undefined;
    },
  };
}

function createJsonCodec(key: string, service: string): Codec {
  return {
    hello: JSON.stringify({ kind: "hello", key }),
    encode: (id) =>
      JSON.stringify({
        kind: "read",
        id: `${id}`,
        service,
        class: "status_lookup",
        body: createGetBody(id),
      }),
    tryDecode(data) {
      const frame = JSON.parse(data.toString("utf8"));
      return frame.id ? { id: Number(frame.id), ok: frame.ok } : undefined;
    },
  };
}

async function run(options: {
  readonly url: string;
  readonly codec: Codec;
  readonly connections: number;
  readonly inFlight: number;
  readonly seconds: number;
}): Promise<LoadReport> {
  const { codec } = options;
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  let statements = 0;
  let failed = 0;
  let isMeasuring = false;
  let isRunning = true;
  let nextId = 1;

  function openConnection(): Promise<WebSocket> {
    const ws = new WebSocket(options.url, { perMessageDeflate: false });
    const sentAt = new Map<number, number>();
    function sendNext(): void {
      if (isRunning && ws.readyState === WebSocket.OPEN) {
        const id = nextId++;
        sentAt.set(id, performance.now());
        ws.send(codec.encode(id));
      }
    }
    ws.on("message", (data: Buffer) => {
      const res = codec.tryDecode(data);
      const requestSentAt = res && sentAt.get(res.id);
      if (!res || requestSentAt === undefined) {
        return;
      }
      sentAt.delete(res.id);
      if (isMeasuring) {
        statements += res.ok ? 1 : 0;
        failed += res.ok ? 0 : 1;
        histogram.recordValue(
          Math.max(
            1,
            Math.round((performance.now() - requestSentAt) * US_PER_MS),
          ),
        );
      }
      sendNext();
    });
    return new Promise((resolve, reject) => {
      ws.on("error", reject);
      ws.on("open", async () => {
        if (codec.hello) {
          ws.send(codec.hello);
        }
        await sleep(WARM_UP_MS / 2);
        for (let i = 0; i < options.inFlight; i++) {
          sendNext();
        }
        resolve(ws);
      });
    });
  }

  const sockets = await Promise.all(
    Array.from({ length: options.connections }, openConnection),
  );
  await sleep(WARM_UP_MS);
  isMeasuring = true;
  const startedAt = performance.now();
  process.send?.("started");
  await sleep(options.seconds * MS_PER_SECOND);
  isMeasuring = false;
  process.send?.("ended");
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  isRunning = false;
  sockets.forEach((ws) => ws.terminate());
  return {
    statements,
    failed,
    seconds,
    histogram: encodeIntoCompressedBase64(histogram),
  };
}

const cli = cac("load_program");
cli.command("<mode> <url>", "Load an echo server, a target or a host")
  .option("--key <key>", "API key of the caller", { default: "" })
  .option("--service <service>", "Service to send requests to", {
    default: "ordering",
  })
  .option("--connections <n>", "Number of connections", { default: 8 })
  .option("--in-flight <n>", "Requests in flight per connection", {
    default: 16,
  })
  .option("--seconds <s>", "Measurement time in seconds", { default: 4 })
  .action(async (mode: Mode, url: string, options) => {
    const codec = mode === "host"
      ? createJsonCodec(options.key, options.service)
      : createMsgpackCodec("bench");
    console.log(JSON.stringify(await run({ ...options, url, codec })));
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
