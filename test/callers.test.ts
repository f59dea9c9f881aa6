import { once } from "node:events";
import { request } from "node:http";
import { connect } from "node:net";
import { Err, Ok } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { WebSocket } from "ws";
import type { AnswerFrame } from "../src/core/answer.ts";
import type { Entry, RequestFrame } from "../src/core/entry.ts";
import type { Answer } from "../src/core/types.ts";
import {
  type CallerServer,
  createCallerServer,
} from "../src/host/caller_server.ts";
import {
  GOING_AWAY_CODE,
  HELLO_TIMEOUT_MS,
  MALFORMED_CODE,
  MAX_IN_FLIGHT,
  MAX_MALFORMED,
  NO_HELLO_CODE,
  PING_MS,
  REFUSED_CODE,
} from "../src/host/caller_socket.ts";

const MAX_FRAME_BYTES = 4_096;
const DRAIN_MS = 10_000;

let server: CallerServer;
let port: number;
let sockets: WebSocket[];
let handle: (frame: RequestFrame) => Promise<Answer>;

const entry: Entry = {
  open: (hello) =>
    hello.key === "good"
      ? Ok({ request: (frame) => handle(frame), end() {} })
      : Err({ error: "unauthenticated" }),
};

function done(frame: RequestFrame, result: unknown = "done"): Answer {
  return {
    kind: "done",
    id: frame.id,
    result,
    token: "",
    servedBy: "primary",
    replayed: false,
  };
}

async function startServer(maxConnections = 100): Promise<void> {
  server = createCallerServer({ entry }, {
    address: "127.0.0.1",
    port: 0,
    maxFrameBytes: MAX_FRAME_BYTES,
    maxConnections,
  });
  port = await server.listen();
}

beforeEach(async () => {
  vi.useFakeTimers();
  sockets = [];
  handle = (frame) => Promise.resolve(done(frame));
  await startServer();
});

afterEach(() => {
  sockets.forEach((ws) => ws.terminate());
  server.close();
  vi.useRealTimers();
});

async function open(options: { readonly autoPong?: boolean } = {}) {
  const ws = new WebSocket(`ws://127.0.0.1:${port}`, options);
  sockets.push(ws);
  await once(ws, "open");
  return ws;
}

async function openSession(): Promise<WebSocket> {
  const ws = await open();
  expect(await ask(ws, { kind: "hello", key: "good" })).toMatchObject({
    ok: true,
  });
  return ws;
}

async function ask(ws: WebSocket, frame: unknown): Promise<AnswerFrame> {
  ws.send(typeof frame === "string" ? frame : JSON.stringify(frame));
  return await nextFrame(ws);
}

async function nextFrame(ws: WebSocket): Promise<AnswerFrame> {
  const [data] = await once(ws, "message");
  return JSON.parse(`${data}`);
}

async function closeCode(ws: WebSocket): Promise<number> {
  const [code] = await once(ws, "close");
  return code;
}

function read(id: string, rest: object = {}) {
  return { kind: "read", id, service: "s", class: "c", body: 1, ...rest };
}

test("a caller without a hello is closed in time", async () => {
  const ws = await open();
  const closed = closeCode(ws);
  await vi.advanceTimersByTimeAsync(HELLO_TIMEOUT_MS);
  expect(await closed).toBe(NO_HELLO_CODE);
});

test("a caller with a hello stays", async () => {
  const ws = await openSession();
  await vi.advanceTimersByTimeAsync(HELLO_TIMEOUT_MS);
  expect(await ask(ws, read("r1"))).toMatchObject({ id: "r1", ok: true });
});

test("a refused hello is told and closed", async () => {
  const ws = await open();
  const closed = closeCode(ws);
  const answer = await ask(ws, { kind: "hello", key: "bad" });
  expect(answer).toMatchObject({ ok: false, error: "unauthenticated" });
  expect(await closed).toBe(REFUSED_CODE);
});

test("malformed frames are named, and too many of them close", async () => {
  const ws = await openSession();
  const closed = closeCode(ws);
  const answers = [
    await ask(ws, "{"),
    await ask(ws, "[1]"),
    await ask(ws, { kind: "nothing", id: "r1" }),
    await ask(ws, { kind: "read", id: "r2", service: 7 }),
    await ask(ws, read("r3", { extra: true })),
    await ask(ws, read("r4", { timeoutMs: -1 })),
  ];
  expect(answers.map((a) => a.ok || `${a.id}: ${a.error}: ${a.message}`))
    .toMatchInlineSnapshot(`
      [
        ": bad_request: The request is malformed. the frame is not JSON",
        ": bad_request: The request is malformed. / must be object",
        "r1: bad_request: The request is malformed. / value of tag "kind" must be in oneOf",
        "r2: bad_request: The request is malformed. / must have required property 'class'",
        "r3: bad_request: The request is malformed. / must NOT have additional properties",
        "r4: bad_request: The request is malformed. /timeoutMs must be >= 1",
      ]
    `);
  for (let count = answers.length; count < MAX_MALFORMED; count++) {
    ws.send("{");
  }
  expect(await closed).toBe(MALFORMED_CODE);
});

test("a frame that is nested too deep is refused", async () => {
  const ws = await openSession();
  const deep = `${"[".repeat(1_000)}${"]".repeat(1_000)}`;
  const frame = JSON.stringify(read("r1")).replace("1}", `${deep}}`);
  expect(await ask(ws, frame)).toMatchObject({
    id: "r1",
    ok: false,
    error: "bad_request",
    run: "not_run",
  });
});

test("a frame that is too large closes only its connection", async () => {
  const other = await openSession();
  const ws = await openSession();
  const closed = closeCode(ws);
  ws.send("x".repeat(MAX_FRAME_BYTES + 1));
  expect(await closed).toBe(1_009);
  expect(await ask(other, read("r1"))).toMatchObject({ ok: true });
});

test("a half-open connection is ended", async () => {
  const ws = await open({ autoPong: false });
  await ask(ws, { kind: "hello", key: "good" });
  const closed = closeCode(ws);
  await vi.advanceTimersByTimeAsync(2 * PING_MS);
  expect(await closed).toBe(1_006);
});

test("connections beyond the limit are refused", async () => {
  server.close();
  await startServer(1);
  await openSession();
  const ws = new WebSocket(`ws://127.0.0.1:${port}`);
  sockets.push(ws);
  const [err] = await once(ws, "error");
  expect(err).toBeInstanceOf(Error);
});

test("requests at once on one connection are bounded", async () => {
  handle = () => new Promise(() => {});
  const ws = await openSession();
  for (let index = 0; index < MAX_IN_FLIGHT; index++) {
    ws.send(JSON.stringify(read(`r${index}`)));
  }
  const answer = await ask(ws, read("last"));
  expect(answer).toMatchObject({ id: "last", error: "overloaded" });
});

test("a fault of the host is told and the host lives on", async () => {
  handle = () => Promise.reject(new Error("fault"));
  const ws = await openSession();
  const answer = await ask(ws, read("r1"));
  expect(answer).toMatchObject({ error: "internal", run: "unknown" });
  handle = (frame) => Promise.resolve(done(frame));
  expect(await ask(ws, read("r2"))).toMatchObject({ ok: true });
});

test("a planned stop cuts no request and no transaction", async () => {
  const held: (() => void)[] = [];
  const ws = await openSession();
  handle = (frame) => Promise.resolve(done(frame, "tx1"));
  await ask(ws, { kind: "begin", id: "b1", service: "s" });
  handle = (frame) =>
    new Promise((resolve) => held.push(() => resolve(done(frame))));
  ws.send(JSON.stringify(read("r1")));
  await vi.waitFor(() => expect(held).toHaveLength(1));

  const stopped = server.drain(DRAIN_MS);
  expect(await nextFrame(ws)).toMatchObject({ error: "shutting_down" });
  expect(await ask(ws, read("r2"))).toMatchObject({
    error: "shutting_down",
    run: "not_run",
  });
  await vi.advanceTimersByTimeAsync(1_000);
  held[0]!();
  expect(await nextFrame(ws)).toMatchObject({ id: "r1", ok: true });

  handle = (frame) => Promise.resolve(done(frame));
  const end = { kind: "end", id: "e1", service: "s", tx: "tx1", end: "commit" };
  expect(await ask(ws, end)).toMatchObject({ id: "e1", ok: true });
  const closed = closeCode(ws);
  await vi.advanceTimersByTimeAsync(1_000);
  await stopped;
  expect(await closed).toBe(GOING_AWAY_CODE);
});

async function post(body: string, headers: Record<string, string> = {}) {
  const res = await fetch(`http://127.0.0.1:${port}/`, {
    method: "POST",
    headers: { authorization: "Bearer good", ...headers },
    body,
  });
  return { status: res.status, frame: await res.json() as AnswerFrame };
}

test("one request over HTTP is answered with the status of its kind", async () => {
  const good = await post(JSON.stringify(read("r1")));
  expect(good).toMatchObject({ status: 200, frame: { id: "r1", ok: true } });
  const bad = await post("{");
  expect(bad).toMatchObject({ status: 400, frame: { error: "bad_request" } });
  const key = { authorization: "Bearer bad" };
  const unknown = await post(JSON.stringify(read("r1")), key);
  expect(unknown.status).toBe(401);
});

test("a body that is too large is refused", async () => {
  const answer = await post("x".repeat(MAX_FRAME_BYTES + 1));
  expect(answer).toMatchObject({ status: 413, frame: { error: "too_large" } });
});

test("a truncated body and a torn handshake leave the host alive", async () => {
  const req = request({
    port,
    method: "POST",
    headers: { "content-length": 9 },
  });
  req.on("error", () => {});
  req.write("{");
  await once(req, "socket");
  req.destroy();
  const socket = connect(port);
  socket.write("GET / HTTP/1.1\r\nUpgrade: webso");
  await once(socket, "connect");
  socket.destroy();
  const answer = await post(JSON.stringify(read("r1")));
  expect(answer.status).toBe(200);
});
