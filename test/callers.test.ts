import { once } from "node:events";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
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
  MAX_IN_FLIGHT_REQUESTS,
  MAX_MALFORMED_FRAMES,
  NO_HELLO_CODE,
  PING_INTERVAL_MS,
  REFUSED_CODE,
} from "../src/host/caller_socket.ts";

const MAX_FRAME_BYTES = 4_096;
const DRAIN_MS = 10_000;
/** Size of an answer beyond what the buffers of the system hold. */
const LARGE_ANSWER_BYTES = 64 * 1024 * 1024;
/** End of an HTTP answer. */
const LAST_CHUNK = "\r\n0\r\n\r\n";

let server: CallerServer;
let port: number;
let sockets: WebSocket[];
let rawSockets: Socket[];
let handleRequest: (frame: RequestFrame) => Promise<Answer>;

const entry: Entry = {
  open: (hello) =>
    hello.key === "good"
      ? Ok({ request: (frame) => handleRequest(frame), end() {} })
      : Err({ error: "unauthenticated" }),
};

function createDoneAnswer(
  frame: RequestFrame,
  result: unknown = "done",
): Answer {
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
  rawSockets = [];
  handleRequest = (frame) => Promise.resolve(createDoneAnswer(frame));
  await startServer();
});

afterEach(() => {
  sockets.forEach((ws) => ws.terminate());
  rawSockets.forEach((socket) => socket.destroy());
  server.close();
  vi.useRealTimers();
});

async function openSocket(options: { readonly autoPong?: boolean } = {}) {
  const ws = new WebSocket(`ws://127.0.0.1:${port}`, options);
  sockets.push(ws);
  await once(ws, "open");
  return ws;
}

async function openSession(): Promise<WebSocket> {
  const ws = await openSocket();
  expect(await sendRequest(ws, { kind: "hello", key: "good" })).toMatchObject({
    ok: true,
  });
  return ws;
}

async function sendRequest(
  ws: WebSocket,
  frame: unknown,
): Promise<AnswerFrame> {
  ws.send(typeof frame === "string" ? frame : JSON.stringify(frame));
  return await receiveFrame(ws);
}

async function receiveFrame(ws: WebSocket): Promise<AnswerFrame> {
  const [data] = await once(ws, "message");
  return JSON.parse(`${data}`);
}

async function waitForCloseCode(ws: WebSocket): Promise<number> {
  const [code] = await once(ws, "close");
  return code;
}

function createRead(id: string, rest: object = {}) {
  return { kind: "read", id, service: "s", class: "c", body: 1, ...rest };
}

test("a connection without a hello frame is closed after a time-out", async () => {
  const ws = await openSocket();
  const closed = waitForCloseCode(ws);
  await vi.advanceTimersByTimeAsync(HELLO_TIMEOUT_MS);
  expect(await closed).toBe(NO_HELLO_CODE);
});

test("a caller that sent a hello stays connected", async () => {
  const ws = await openSession();
  await vi.advanceTimersByTimeAsync(HELLO_TIMEOUT_MS);
  expect(await sendRequest(ws, createRead("r1"))).toMatchObject({
    id: "r1",
    ok: true,
  });
});

test("a refused hello is answered and closes the connection", async () => {
  const ws = await openSocket();
  const closed = waitForCloseCode(ws);
  const answer = await sendRequest(ws, { kind: "hello", key: "bad" });
  expect(answer).toMatchObject({ ok: false, error: "unauthenticated" });
  expect(await closed).toBe(REFUSED_CODE);
});

test("malformed frames are refused, and too many close the connection", async () => {
  const ws = await openSession();
  const closed = waitForCloseCode(ws);
  const answers = [
    await sendRequest(ws, "{"),
    await sendRequest(ws, "[1]"),
    await sendRequest(ws, { kind: "nothing", id: "r1" }),
    await sendRequest(ws, { kind: "read", id: "r2", service: 7 }),
    await sendRequest(ws, createRead("r3", { extra: true })),
    await sendRequest(ws, createRead("r4", { timeoutMs: -1 })),
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
  for (let count = answers.length; count < MAX_MALFORMED_FRAMES; count++) {
    ws.send("{");
  }
  expect(await closed).toBe(MALFORMED_CODE);
});

test("a frame that is nested too deep is refused", async () => {
  const ws = await openSession();
  const deep = `${"[".repeat(1_000)}${"]".repeat(1_000)}`;
  const frame = JSON.stringify(createRead("r1")).replace("1}", `${deep}}`);
  expect(await sendRequest(ws, frame)).toMatchObject({
    id: "r1",
    ok: false,
    error: "bad_request",
    run: "not_run",
  });
});

test("a frame that is too large closes only its connection", async () => {
  const other = await openSession();
  const ws = await openSession();
  const closed = waitForCloseCode(ws);
  ws.send("x".repeat(MAX_FRAME_BYTES + 1));
  expect(await closed).toBe(1_009);
  expect(await sendRequest(other, createRead("r1"))).toMatchObject({
    ok: true,
  });
});

test("a half-open connection is terminated", async () => {
  const ws = await openSocket({ autoPong: false });
  await sendRequest(ws, { kind: "hello", key: "good" });
  const closed = waitForCloseCode(ws);
  await vi.advanceTimersByTimeAsync(2 * PING_INTERVAL_MS);
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

test("concurrent requests on one connection are limited", async () => {
  handleRequest = () => new Promise(() => {});
  const ws = await openSession();
  for (let index = 0; index < MAX_IN_FLIGHT_REQUESTS; index++) {
    ws.send(JSON.stringify(createRead(`r${index}`)));
  }
  const answer = await sendRequest(ws, createRead("last"));
  expect(answer).toMatchObject({ id: "last", error: "overloaded" });
});

test("an exception is answered as internal and does not stop the host", async () => {
  handleRequest = () => Promise.reject(new Error("fault"));
  const ws = await openSession();
  const answer = await sendRequest(ws, createRead("r1"));
  expect(answer).toMatchObject({ error: "internal", run: "unknown" });
  handleRequest = (frame) => Promise.resolve(createDoneAnswer(frame));
  expect(await sendRequest(ws, createRead("r2"))).toMatchObject({ ok: true });
});

test("a drain interrupts no request and no transaction", async () => {
  const pending: (() => void)[] = [];
  const ws = await openSession();
  handleRequest = (frame) => Promise.resolve(createDoneAnswer(frame, "tx1"));
  await sendRequest(ws, { kind: "begin", id: "b1", service: "s" });
  handleRequest = (frame) =>
    new Promise((resolve) =>
      pending.push(() => resolve(createDoneAnswer(frame)))
    );
  ws.send(JSON.stringify(createRead("r1")));
  await vi.waitFor(() => expect(pending).toHaveLength(1));

  const stopped = server.drain(DRAIN_MS);
  expect(await receiveFrame(ws)).toMatchObject({ error: "shutting_down" });
  expect(await sendRequest(ws, createRead("r2"))).toMatchObject({
    error: "shutting_down",
    run: "not_run",
  });
  await vi.advanceTimersByTimeAsync(1_000);
  pending[0]!();
  expect(await receiveFrame(ws)).toMatchObject({ id: "r1", ok: true });

  handleRequest = (frame) => Promise.resolve(createDoneAnswer(frame));
  const end = { kind: "end", id: "e1", service: "s", tx: "tx1", end: "commit" };
  expect(await sendRequest(ws, end)).toMatchObject({ id: "e1", ok: true });
  const closed = waitForCloseCode(ws);
  await vi.advanceTimersByTimeAsync(1_000);
  await stopped;
  expect(await closed).toBe(GOING_AWAY_CODE);
});

/** Resolves when the server has handed a large answer to the connection. */
function answerLarge(): Promise<void> {
  return new Promise((resolve) => {
    handleRequest = (frame) => {
      setImmediate(resolve);
      const result = "x".repeat(LARGE_ANSWER_BYTES);
      return Promise.resolve(createDoneAnswer(frame, result));
    };
  });
}

/** Drains and closes the server, as a host does when it stops. */
async function stopServer(): Promise<void> {
  await server.drain(DRAIN_MS);
  server.close();
}

// Guards against connections terminated while an answer is still buffered.
test("a stop waits for a WebSocket caller that reads its answer slowly", async () => {
  const answered = answerLarge();
  const ws = await openSession();
  const closed = waitForCloseCode(ws);
  ws.pause();
  ws.send(JSON.stringify(createRead("r1")));
  await answered;
  const stopped = stopServer();
  await vi.advanceTimersByTimeAsync(DRAIN_MS / 2);
  const received: string[] = [];
  const receivedAll = new Promise<void>((resolve) => {
    ws.on("message", (data) => {
      received.push((JSON.parse(`${data}`) as AnswerFrame).id);
      if (received.length === 2) {
        resolve();
      }
    });
  });
  ws.resume();
  await Promise.race([receivedAll, closed]);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(received).toEqual(["r1", ""]);
  expect(await closed).toBe(GOING_AWAY_CODE);
  await stopped;
});

// Guards against connections terminated with requests in flight unanswered.
test("a request that outlasts a drain is told what became of it", async () => {
  const started: string[] = [];
  handleRequest = (frame) => (started.push(frame.id), new Promise(() => {}));
  const ws = await openSession();
  const received: AnswerFrame[] = [];
  ws.on("message", (data) => received.push(JSON.parse(`${data}`)));
  const closed = waitForCloseCode(ws);
  const [write, end] = [{ kind: "write" }, { kind: "end", service: "s" }];
  const frames = [
    createRead("read"),
    createRead("write", write),
    { kind: "begin", id: "begin", service: "s" },
    { kind: "outcome", id: "outcome", service: "s", of: "o1" },
    createRead("tx-write", { ...write, tx: "tx1" }),
    { ...end, id: "rollback", tx: "tx2", end: "rollback" },
    createRead("committed-write", { ...write, tx: "tx3" }),
    { ...end, id: "commit", tx: "tx3", end: "commit" },
  ];
  frames.forEach((frame) => ws.send(JSON.stringify(frame)));
  await vi.waitFor(() => expect(started).toHaveLength(frames.length));
  const stopped = stopServer();
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  expect(await closed).toBe(GOING_AWAY_CODE);
  await stopped;
  expect(received.map((a) => a.ok || `${a.id}: ${a.error}, ${a.run}`))
    .toEqual([
      ": shutting_down, not_run",
      "read: shutting_down, not_run",
      "write: outcome_unknown, unknown",
      "begin: shutting_down, not_run",
      "outcome: outcome_unknown, unknown",
      "tx-write: transaction_lost, rolled_back",
      "rollback: transaction_lost, rolled_back",
      "committed-write: outcome_unknown, unknown",
      "commit: outcome_unknown, unknown",
    ]);
});

// Guards against a connection that is opened while the others are closed.
test("a caller that connects when a drain has ended is told so and closed", async () => {
  const socket = connect(port, "127.0.0.1");
  rawSockets.push(socket);
  await once(socket, "connect");
  const stopped = stopServer();
  await vi.advanceTimersByTimeAsync(1_000);
  const ws = new WebSocket(`ws://127.0.0.1:${port}`, {
    createConnection: () => socket,
  });
  sockets.push(ws);
  const closed = waitForCloseCode(ws);
  expect(await receiveFrame(ws)).toMatchObject({ error: "shutting_down" });
  expect(await closed).toBe(GOING_AWAY_CODE);
  await stopped;
});

test("a request that crosses the close of a drain is not run", async () => {
  const started: string[] = [];
  handleRequest = (frame) => {
    started.push(frame.id);
    return Promise.resolve(createDoneAnswer(frame));
  };
  const ws = await openSession();
  const closed = waitForCloseCode(ws);
  ws.pause();
  const stopped = server.drain(DRAIN_MS);
  await vi.advanceTimersByTimeAsync(1_000);
  ws.send(JSON.stringify(createRead("r1")));
  ws.resume();
  expect(await closed).toBe(GOING_AWAY_CODE);
  await stopped;
  expect(started).toEqual([]);
});

async function post(body: string, headers: Record<string, string> = {}) {
  const res = await fetch(`http://127.0.0.1:${port}/`, {
    method: "POST",
    headers: { authorization: "Bearer good", ...headers },
    body,
  });
  return { status: res.status, frame: await res.json() as AnswerFrame };
}

test("an HTTP request is answered with the status of its outcome", async () => {
  const good = await post(JSON.stringify(createRead("r1")));
  expect(good).toMatchObject({ status: 200, frame: { id: "r1", ok: true } });
  const bad = await post("{");
  expect(bad).toMatchObject({ status: 400, frame: { error: "bad_request" } });
  const key = { authorization: "Bearer bad" };
  const unknown = await post(JSON.stringify(createRead("r1")), key);
  expect(unknown.status).toBe(401);
});

/** Writes the text of requests to a connection of its own. */
async function sendRaw(
  text: string,
  options: { allowHalfOpen?: boolean } = {},
) {
  const socket = connect({ port, host: "127.0.0.1", ...options });
  rawSockets.push(socket);
  await once(socket, "connect");
  socket.write(text);
  return socket;
}

function createRawPost(
  body: string,
  headers: Record<string, string | number> = {},
): string {
  const lines = Object.entries({
    host: "127.0.0.1",
    authorization: "Bearer good",
    "content-length": body.length,
    ...headers,
  }).map(([name, value]) => `${name}: ${value}`);
  return ["POST / HTTP/1.1", ...lines, "", body].join("\r\n");
}

/** Resolves with a whole answer, or with its part if the connection ends. */
function readAnswer(socket: Socket): Promise<string> {
  socket.setEncoding("utf8");
  socket.on("error", () => {});
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk: string) => {
      text += chunk;
      if (chunk.endsWith(LAST_CHUNK)) {
        resolve(text);
      }
    });
    socket.on("close", () => resolve(text));
  });
}

// Guards against connections destroyed while an answer is still buffered.
test("a stop waits for an HTTP caller that reads its answer slowly", async () => {
  const answered = answerLarge();
  const socket = await sendRaw(createRawPost(JSON.stringify(createRead("r1"))));
  await answered;
  const stopped = stopServer();
  await vi.advanceTimersByTimeAsync(DRAIN_MS / 2);
  const text = await readAnswer(socket);
  expect(text.length).toBeGreaterThan(LARGE_ANSWER_BYTES);
  expect(text.endsWith(LAST_CHUNK)).toBe(true);
  await vi.advanceTimersByTimeAsync(DRAIN_MS / 4);
  await stopped;
});

// Guards against connections destroyed with requests in flight unanswered.
test("an HTTP request that outlasts a drain is told what became of it", async () => {
  const started: string[] = [];
  handleRequest = (frame) => (started.push(frame.id), new Promise(() => {}));
  const [read, write] = ["read", "write"].map((kind) =>
    post(JSON.stringify(createRead(kind, { kind }))).catch(() => "no answer")
  );
  const partial = await sendRaw(createRawPost("{", { "content-length": 9 }));
  await vi.waitFor(() => {
    expect(started).toHaveLength(2);
    expect(server.countInFlight()).toBe(3);
  });
  const stopped = stopServer();
  await vi.advanceTimersByTimeAsync(2 * DRAIN_MS);
  expect(await Promise.all([read, write])).toMatchObject([
    { status: 503, frame: { id: "read", run: "not_run" } },
    { status: 504, frame: { id: "write", run: "unknown" } },
  ]);
  expect(await readAnswer(partial)).toContain('"error":"shutting_down"');
  await stopped;
  expect(started).toEqual(["read", "write"]);
});

// Guards against answering before the body is read, without the request's id.
test("a draining host refuses requests on open HTTP connections by their id", async () => {
  const body = (id: string) => JSON.stringify(createRead(id));
  const socket = await sendRaw(createRawPost(body("r1")));
  expect(await readAnswer(socket)).toContain('"id":"r1","ok":true');
  const stopped = stopServer();
  const [head, rest] = createRawPost(body("r2")).split("{", 2);
  socket.write(head!);
  await vi.advanceTimersByTimeAsync(1);
  socket.write(`{${rest}`);
  const answer = await readAnswer(socket);
  expect(answer).toContain('"id":"r2","ok":false,"error":"shutting_down"');
  expect(answer).toMatch(/connection: close/i);
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  await stopped;
});

test("a drain waits for a request whose body is still being received", async () => {
  const [head, rest] = createRawPost(JSON.stringify(createRead("r1")))
    .split("{", 2);
  const socket = await sendRaw(head!);
  await vi.waitFor(() => expect(server.countInFlight()).toBe(1));
  const stopped = stopServer();
  await vi.advanceTimersByTimeAsync(DRAIN_MS / 2);
  socket.write(`{${rest}`);
  const answer = await readAnswer(socket);
  expect(answer).toContain('"id":"r1","ok":true');
  expect(answer).toMatch(/connection: close/i);
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  await stopped;
});

// Guards against a drain that new callers can prolong.
test("a drain does not wait for requests that it refuses", async () => {
  const ws = await openSession();
  const closed = waitForCloseCode(ws);
  const stopped = stopServer();
  const partial = await sendRaw(createRawPost("{", { "content-length": 9 }));
  const answer = readAnswer(partial);
  await vi.waitFor(() => expect(server.countInFlight()).toBe(1));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await closed).toBe(GOING_AWAY_CODE);
  expect(await answer).toContain('"error":"shutting_down"');
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  await stopped;
});

// Guards against a listener that is closed before callers know of the drain.
test("a draining host tells new callers that it is stopping", async () => {
  const stopped = stopServer();
  const frame = JSON.stringify(createRead("r1"));
  expect(await post(frame)).toMatchObject({
    status: 503,
    frame: { id: "r1", error: "shutting_down", run: "not_run" },
  });
  const ws = new WebSocket(`ws://127.0.0.1:${port}`);
  sockets.push(ws);
  expect(await receiveFrame(ws)).toMatchObject({ error: "shutting_down" });
  expect(await sendRequest(ws, { kind: "hello", key: "good" })).toMatchObject({
    ok: true,
  });
  expect(await sendRequest(ws, createRead("r2"))).toMatchObject({
    id: "r2",
    error: "shutting_down",
    run: "not_run",
  });
  const closed = waitForCloseCode(ws);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await closed).toBe(GOING_AWAY_CODE);
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  await stopped;
});

// Guards against ending the connection when the caller has sent its request.
test("an HTTP caller that ends its side of the connection gets its answer", async () => {
  const pending: (() => void)[] = [];
  handleRequest = (frame) =>
    new Promise((resolve) =>
      pending.push(() => resolve(createDoneAnswer(frame)))
    );
  const socket = await sendRaw("", { allowHalfOpen: true });
  socket.end(createRawPost(JSON.stringify(createRead("r1"))));
  const answer = readAnswer(socket);
  await vi.waitFor(() => expect(pending).toHaveLength(1));
  await vi.advanceTimersByTimeAsync(100);
  pending[0]!();
  expect(await answer).toContain('"id":"r1","ok":true');
});

// Guards against closing the connection after the first of several answers.
test("a drain answers all requests that wait on one HTTP connection", async () => {
  const pending: (() => void)[] = [];
  handleRequest = (frame) =>
    new Promise((resolve) =>
      pending.push(() => resolve(createDoneAnswer(frame)))
    );
  const requests = ["r1", "r2"].map((id) =>
    createRawPost(JSON.stringify(createRead(id)))
  );
  const socket = await sendRaw(requests.join(""));
  await vi.waitFor(() => expect(pending).toHaveLength(2));
  const stopped = stopServer();
  pending[0]!();
  expect(await readAnswer(socket)).toContain('"id":"r1","ok":true');
  pending[1]!();
  expect(await readAnswer(socket)).toContain('"id":"r2","ok":true');
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  await stopped;
});

test("a body that is too large is refused", async () => {
  const answer = await post("x".repeat(MAX_FRAME_BYTES + 1));
  expect(answer).toMatchObject({ status: 413, frame: { error: "too_large" } });
});

test("a truncated body or an aborted handshake does not stop the host", async () => {
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
  const answer = await post(JSON.stringify(createRead("r1")));
  expect(answer.status).toBe(200);
});
