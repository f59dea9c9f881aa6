import { createServer, type Server } from "node:http";
import type { Buffer } from "node:buffer";
import { pack, unpack } from "msgpackr";
import { afterEach, beforeEach, expect, test } from "vitest";
import { type WebSocket, WebSocketServer } from "ws";
import { asId, type DomainId, type HostId } from "../src/core/ids.ts";
import type { RunReq, TargetDriver, TargetInfo } from "../src/core/types.ts";
import { createMetrics } from "../src/host/metrics.ts";
import {
  createTargetDriver,
  type TargetCall,
} from "../src/host/target_driver.ts";
import { listen } from "../standins/serve.ts";

/** Long enough that no verdict depends on it. */
const TIMEOUT_MS = 200_000;
const REQ = { kind: "status" } as unknown as RunReq;

let server: Server;
let wss: WebSocketServer;
let driver: TargetDriver & { close(): void };
let target: TargetInfo;
/** Answers a call with the frame, or with the bytes, that it returns. */
let answer: (rid: number) => Uint8Array;

beforeEach(async () => {
  server = createServer();
  const port = await listen(server, 0);
  wss = new WebSocketServer({ server });
  wss.on("connection", (ws: WebSocket) => {
    ws.on("error", () => ws.terminate());
    ws.on("message", (data: Buffer) => {
      const { rid } = unpack(data) as TargetCall;
      ws.send(answer(rid));
    });
    ws.send(pack("ready"));
  });
  driver = createTargetDriver({
    host: asId<HostId>("h1"),
    domain: asId<DomainId>("port-louis"),
  }, createMetrics());
  target = { target: "t1", url: `ws://127.0.0.1:${port}` } as TargetInfo;
});

afterEach(() => {
  driver.close();
  wss.clients.forEach((ws) => ws.terminate());
  server.close();
});

async function call() {
  const conn = (await driver.connect(target)).unwrap();
  const res = await conn.run(REQ, TIMEOUT_MS);
  const isOpen = conn.isOpen();
  conn.close();
  return { res, isOpen };
}

// The exception in the handler of the message ended the process.
test.each<[string, (rid: number) => Uint8Array]>([
  ["bytes that are not MessagePack", () => pack({ rid: 1 }).subarray(0, 4)],
  ["a null frame", () => pack(null)],
  ["a frame without a request id", () => pack({ ok: {} })],
  ["a frame without result and error", (rid) => pack({ rid })],
  ["an error that is not an object", (rid) => pack({ rid, err: null })],
  ["a result that is not an object", (rid) => pack({ rid, ok: 7 })],
])("%s ends only the connection to the target", async (_name, malformed) => {
  answer = malformed;
  const { res, isOpen } = await call();
  expect(res.unwrapErr()).toMatchObject({ kind: "no_answer", sent: true });
  expect(isOpen).toBe(false);
  answer = (rid) => pack({ rid, ok: { result: 1 } });
  expect((await call()).res.unwrap()).toEqual({ result: 1 });
});

test("a return to a call that nobody waits for is ignored", async () => {
  answer = (rid) => pack({ rid, ok: { result: rid } });
  const conn = (await driver.connect(target)).unwrap();
  wss.clients.forEach((ws) => ws.send(pack({ rid: 99, ok: { result: 0 } })));
  expect((await conn.run(REQ, TIMEOUT_MS)).unwrap()).toEqual({ result: 1 });
  conn.close();
});

// The constructor threw, and the promise was rejected instead of answered.
test.each(["no url", "ftp://127.0.0.1", "ws://127.0.0.1/#part"])(
  "a target with the URL %s is unreachable",
  async (url) => {
    const res = await driver.connect({ ...target, url });
    expect(res.unwrapErr()).toMatchObject({ kind: "unreachable", sent: false });
  },
);
