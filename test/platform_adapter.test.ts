import { Buffer } from "node:buffer";
import fc from "fast-check";
import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { readFileSync } from "node:fs";
import { afterEach, expect, test, vi } from "vitest";
import { parse } from "yaml";
import { encodeAnswer } from "../platform/client_listener.ts";
import { createClientListener } from "../platform/client_listener.ts";
import { tryDecodeCatalog } from "../platform/decode_catalog.ts";
import { tryDecodeTarget } from "../platform/decode_target.ts";
import {
  encodeCommand,
  tryDecodePosition,
  tryDecodeStatement,
} from "../platform/line_codec.ts";
import {
  createLineReader,
  MAX_LINE_BYTES,
  splitFields,
} from "../platform/line_reader.ts";
import { createObjectStore } from "../platform/object_store.ts";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import { createMetrics } from "../src/host/metrics.ts";
import { validatePoolHostSettings } from "../src/generated/pool_host_validate.ts";
import { POOL_ERRORS, type PoolErrKind } from "../src/pooling/errors.ts";
import type { LogFields } from "../src/pooling/types.ts";
import { createPlatformServer } from "../standins/platform_server.ts";
import { listen } from "../standins/serve.ts";
import { startPoolFleet } from "./pool_fleet.ts";

const closables: { close(): unknown }[] = [];
afterEach(() => {
  closables.splice(0).forEach((closable) => closable.close());
  vi.useRealTimers();
});

test("lines are reassembled however the stream is split", () => {
  const line = fc.string({ maxLength: 30 }).map((text) =>
    text.replaceAll("\r", "").replaceAll("\n", "")
  );
  fc.assert(
    fc.property(
      fc.array(line, { maxLength: 8 }),
      fc.infiniteStream(fc.integer({ min: 1, max: 7 })),
      (lines, sizes) => {
        const reader = createLineReader();
        const readLines: string[] = [];
        let text = lines.map((lineText) => `${lineText}\r\n`).join("");
        while (text !== "") {
          const size = sizes.next().value as number;
          expect(reader.push(text.slice(0, size))).toBe(true);
          text = text.slice(size);
          for (let next; (next = reader.tryNext()) !== undefined;) {
            readLines.push(next);
          }
        }
        expect(readLines).toEqual(lines);
      },
    ),
    { seed: 5, numRuns: 300 },
  );
});

test("a line without an end is refused beyond the limit", () => {
  const reader = createLineReader();
  expect(reader.push("x".repeat(MAX_LINE_BYTES))).toBe(true);
  expect(reader.push("x")).toBe(false);
});

// A line end before it let a line without an end grow without a bound.
test("a line without an end is refused beyond the limit after complete lines", () => {
  const reader = createLineReader();
  expect(reader.push(`a\r\n${"x".repeat(MAX_LINE_BYTES)}`)).toBe(true);
  expect(reader.push("x")).toBe(false);
});

test("a complete line is refused beyond the limit", () => {
  const reader = createLineReader();
  expect(reader.push(`${"x".repeat(MAX_LINE_BYTES + 1)}\r\n`)).toBe(false);
  const later = createLineReader();
  expect(later.push(`a\r\n${"x".repeat(MAX_LINE_BYTES + 1)}\r\nb`)).toBe(
    false,
  );
});

test("a line of the longest length is read however its end is split", () => {
  const line = "x".repeat(MAX_LINE_BYTES);
  const chunkings = [[`${line}\r\n`], [`${line}\r`, "\n"], [line, "\r\n"]];
  for (const chunks of chunkings) {
    const reader = createLineReader();
    expect(chunks.map(reader.push)).toEqual(chunks.map(() => true));
    expect(reader.tryNext()?.length).toBe(MAX_LINE_BYTES);
    expect(reader.push(line)).toBe(true);
  }
});

test("only valid statements are decoded", () => {
  const texts = [
    "BEGIN",
    "BEGIN READ",
    "BEGIN NOW",
    "COMMIT",
    "COMMIT x",
    "ROLLBACK",
    "READ a",
    "READ",
    "WRITE a b c",
    "WRITE a",
    "SET n v w",
    "SET n",
    "PREPARE s READ q",
    "PREPARE s DROP q",
    "EXEC s a",
    "EXEC s a b c",
    "DEALLOC s",
    "DEALLOC s t",
    "AFTER 1.2 READ a",
    "RESET",
    "STATUS",
    "PAUSE 3",
    "STEPDOWN 3",
    "",
    "read a",
  ];
  expect(
    Object.fromEntries(texts.map((text) => [text, tryDecodeStatement(text)])),
  ).toMatchSnapshot();
});

test("commands carry the text of the client unchanged", () => {
  const after = { term: 3, pos: 1207 };
  const id = asId<never>("5c0e");
  expect([
    encodeCommand({ kind: "run", id, text: "WRITE a  b \t c" }),
    encodeCommand({ kind: "run", id, text: "READ 1a4", after }),
    encodeCommand({ kind: "execute", id, name: "p1", args: "a b", after }),
    encodeCommand({ kind: "begin", isReadOnly: true, after }),
    encodeCommand({ kind: "commit", id, text: "COMMIT" }),
    encodeCommand({ kind: "step_down", term: 4 }),
  ]).toMatchSnapshot();
  expect(tryDecodePosition("3.1207")).toEqual(after);
  expect(tryDecodePosition("-")).toBeUndefined();
  expect(splitFields("a b c d", 3)).toEqual(["a", "b", "c d"]);
});

test("codes that promise no effect are sent only where nothing is kept", () => {
  const noEffectCodes = ["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE"];
  for (const [error, info] of Object.entries(POOL_ERRORS)) {
    const text = encodeAnswer({
      kind: "failed",
      error: error as PoolErrKind,
      detail: "why",
      state: "idle",
    });
    const code = text.split(" ")[1]!;
    if (noEffectCodes.includes(code)) {
      expect([error, info.keeps]).toEqual([error, "nothing"]);
    }
  }
});

const ENTRY = {
  service: "s",
  addr: "10.0.0.1:80",
  zone: "z",
  slots: 3,
  state: "ready",
  dbRole: "replica",
  born: 5,
};

function decodeEntry(value: unknown) {
  const key = asId<ObjectKey>("servers/i-1");
  return tryDecodeTarget({ key, version: 1, value });
}

test("an invalid registration is rejected", () => {
  expect(decodeEntry(ENTRY)).toMatchSnapshot();
  const invalid: unknown[] = [undefined, null, 7, "text", [], {}];
  for (const field of ["service", "addr", "zone", "state", "dbRole"]) {
    invalid.push({ ...ENTRY, [field]: undefined }, { ...ENTRY, [field]: 7 });
  }
  invalid.push(
    { ...ENTRY, state: "resting" },
    { ...ENTRY, dbRole: "leader" },
    { ...ENTRY, addr: "nowhere" },
    // To connect to such a port throws.
    { ...ENTRY, addr: "10.0.0.1:65536" },
    { ...ENTRY, addr: "10.0.0.1:0" },
    { ...ENTRY, born: 1.5 },
    { ...ENTRY, born: "5" },
    { ...ENTRY, born: 1e300 },
    // Fields of a line have no blanks.
    { ...ENTRY, service: "" },
    { ...ENTRY, service: "a b" },
    { ...ENTRY, service: "a\r\nQUERY - RESET" },
  );
  for (const value of invalid) {
    expect(decodeEntry(value)).toBeUndefined();
  }
});

test("a configuration is decoded into a catalog", () => {
  expect(tryDecodeCatalog({
    version: 7,
    routes: [
      {
        host: "db1",
        type: "bounded_staleness",
        timeoutMs: 2000,
        sloMs: 1200,
        prio: 2,
        service: "s",
        maxStaleMs: 1500,
        public: false,
      },
      { host: "db2", type: "read_your_writes", service: "s", maxStaleMs: 9 },
      { host: "db3", type: "something new", service: "s", public: true },
      { host: 4 },
      null,
    ],
    services: [{ name: "s", maxConns: 21, syncReplicas: 1 }, "x"],
    limits: { txIdleMs: 3000 },
    tenants: [{ name: "t", apiKeys: ["k", 5], ratePerS: 82, burst: 80 }, {}],
  })).toMatchSnapshot();
  for (const value of [undefined, null, 5, {}, { version: "7" }]) {
    expect(tryDecodeCatalog(value)).toBeUndefined();
  }
  // No later version would exceed it.
  expect(tryDecodeCatalog({ version: 1e300 })).toBeUndefined();
});

// Guards against values that harm other routes and sessions: a timer beyond its
// range ends at once, a fraction as priority is refused by other hosts, which
// end the stream of all sessions, and a blank in a name shifts the fields.
test("a configuration keeps numbers that can be used, and names of the wire", () => {
  const catalog = tryDecodeCatalog({
    version: 7,
    routes: [
      { host: "db1", service: "s", timeoutMs: 1e300, sloMs: -5, prio: 1.4 },
      { host: "db2", service: "a b" },
      { host: "db3", service: "" },
    ],
    services: [{ name: "s" }, { name: "a\r\nb" }, { name: "" }],
    limits: { txIdleMs: -1 },
    tenants: [
      { name: "", apiKeys: ["k1"] },
      { name: "a b", apiKeys: ["k2"] },
      { name: "t", apiKeys: ["k3"] },
    ],
  })!;
  expect([...catalog.routes.keys()]).toEqual(["db1"]);
  expect(catalog.routes.get(asId("db1"))).toMatchObject({
    statementTimeoutMs: 2_147_483_647,
    objectiveMs: 1_000,
    priority: 1,
  });
  expect(catalog.transactionIdleMs).toBe(3_000);
  expect([...catalog.services.keys()]).toEqual(["s"]);
  expect([...catalog.quotas.keys()]).toEqual(["t"]);
  expect([...catalog.workspaceByKey]).toEqual([["k3", "t"]]);
});

test("rates of cold targets and the time left of a cold one are decoded", () => {
  const catalog = tryDecodeCatalog({
    version: 1,
    services: [
      { name: "a", coldS: 20, coldPerS: 30 },
      { name: "b", coldS: 20, coldPerS: 0 },
      { name: "c", coldPerS: "30" },
    ],
  })!;
  expect([...catalog.services.values()].map(({ cold }) => cold))
    .toEqual([{ durationMs: 20_000, ratePerS: 30 }, undefined, undefined]);
  const decode = (coldLeftMs: unknown) =>
    tryDecodeTarget({
      key: asId<ObjectKey>("servers/t1"),
      version: 1,
      value: {
        service: "a",
        addr: "10.0.0.1:1",
        zone: "z1",
        slots: 4,
        state: "ready",
        dbRole: "replica",
        coldLeftMs,
      },
    });
  expect(
    [1_500, 0, -1, "9", undefined].map((value) => decode(value)?.coldLeftMs),
  ).toEqual([1_500, undefined, undefined, undefined, undefined]);
});

// Guards against homes that are lost or opened by an entry of another form.
test("home regions of routes and tenants are decoded", () => {
  const catalog = tryDecodeCatalog({
    version: 1,
    routes: [
      { host: "a", service: "s", homeRegions: ["r1", 5] },
      { host: "b", service: "s", homeRegions: [] },
    ],
    tenants: [
      { name: "t", homeRegions: ["r1", "r2"] },
      { name: "u", homeRegions: [] },
      { name: "v", homeRegions: "r1" },
    ],
  })!;
  expect([...catalog.routes.values()].map(({ homeRegions }) => homeRegions))
    .toEqual([["r1", ""], undefined]);
  expect([...catalog.homesByWorkspace!])
    .toEqual([["t", ["r1", "r2"]], ["v", ["r1"]]]);
});

test("the deployment template gives valid settings", () => {
  const fields: Record<string, string> = {
    "node|json": `"n1"`,
    "zone|json": `"z1"`,
    "zones|json": `{"z1":"r1"}`,
    "listen.front|json": `"10.0.0.1:1"`,
    "listen.ready|json": `"10.0.0.1:2"`,
    ip: "10.0.0.1",
    "portRange.0": "7000",
    "portRange.1": "7001",
    "platform.addr|json": `"10.0.0.2:1"`,
    "cloud.addr|json": `"10.0.0.3:1"`,
    "bounds.configMs|json": "4000",
    "bounds.stableMs|json": "5000",
    "bounds.graceS|json": "6",
    "bounds.quotaWindowS|json": "5",
    "bounds.quotaOver|json": "0.1",
    "bounds.quotaSlack|json": "20",
  };
  const render = (given: Record<string, string>) =>
    readFileSync("deploy/pool_host.yaml", "utf8")
      .replace(
        /\{\{#(.*?)\}\}(.*?)\{\{\/\1\}\}/gs,
        (_, name: string, text: string) =>
          given[`${name}|json`] === undefined ? "" : text,
      )
      .replace(/\{\{(.*?)\}\}/g, (_, name: string) => given[name] ?? "MISSING");
  const text = render(fields);
  expect(text).not.toContain("MISSING");
  const settings = parse(text);
  expect(validatePoolHostSettings(settings)).toBe(true);
  expect(settings.evacuationInForceMs).toBeUndefined();
  const extended = parse(render({
    ...fields,
    "bounds.evacMs|json": "5000",
    "bounds.coldOver|json": "1.5",
    "bounds.coldSlack|json": "5",
  }));
  expect(validatePoolHostSettings(extended)).toBe(true);
  expect(extended).toMatchObject({
    evacuationInForceMs: 5_000,
    coldLimit: { factor: 1.5, statements: 5 },
  });
  expect(validatePoolHostSettings({ host: "n1" })).toBe(false);
  expect(validatePoolHostSettings.errors!.length).toBeGreaterThan(5);
});

async function startStore(): Promise<ReturnType<typeof createObjectStore>> {
  const server = createPlatformServer();
  closables.push(server);
  const port = await listen(server, 0);
  return createObjectStore(`http://127.0.0.1:${port}`, { caller: "test" });
}

test("the store client creates, replaces, lists and watches", async () => {
  const store = await startStore();
  const key = asId<ObjectKey>("things/a b");
  expect((await store.get(key)).unwrap().version).toBe(0);
  const created = (await store.put(key, { n: 1 }, { ifVersion: 0 })).unwrap();
  const stale = await store.put(key, { n: 2 }, { ifVersion: 0 });
  expect(stale.isErr() && stale.error).toEqual({
    kind: "conflict",
    current: created,
  });
  const { revision, objects } = (await store.list("things/")).unwrap();
  expect(objects).toEqual([created]);
  const watching = store.watch("things/", { after: revision, waitMs: 5_000 });
  const condition = { ifVersion: created.version };
  const replaced = (await store.put(key, { n: 3 }, condition)).unwrap();
  expect((await watching).unwrap().objects).toEqual([replaced]);
});

async function startFixedResponse(
  status: number,
  body: string,
): Promise<ReturnType<typeof createObjectStore>> {
  const server: Server = createServer((_req, res) => {
    res.statusCode = status;
    res.end(body);
  });
  closables.push(server);
  const port = await listen(server, 0);
  return createObjectStore(`http://127.0.0.1:${port}`, { caller: "test" });
}

test("a watch that allows late changes sends staleOk", async () => {
  const urls: string[] = [];
  const server = createServer((req, res) => {
    urls.push(req.url ?? "");
    res.end(JSON.stringify({ events: [], currentRev: 3 }));
  });
  closables.push(server);
  const port = await listen(server, 0);
  const store = createObjectStore(`http://127.0.0.1:${port}`, {
    caller: "test",
  });
  await store.watch("things/", { after: 3, waitMs: 10 });
  await store.watch("things/", { after: 3, waitMs: 10, mayBeLate: true });
  expect(urls).toEqual([
    "/objects/things?watch=3&waitMs=10",
    "/objects/things?watch=3&waitMs=10&staleOk=1",
  ]);
});

test("responses of the store are mapped to results and errors", async () => {
  const cases: readonly [number, string][] = [
    [200, "not json"],
    [200, "{}"],
    [200, `{"items":[7,null,{"meta":{}}],"currentRev":3}`],
    [400, "{}"],
    [410, "{}"],
    [429, "{}"],
    [503, ""],
  ];
  const seen: unknown[] = [];
  for (const [status, body] of cases) {
    const store = await startFixedResponse(status, body);
    const listed = await store.list("things/");
    const options = { after: 1, waitMs: 10 };
    const watched = await store.watch("things/", options);
    seen.push({
      status,
      body,
      list: listed.isOk() ? listed.value : listed.error,
      watch: watched.isOk() ? watched.value : watched.error,
    });
  }
  expect(seen).toMatchSnapshot();
});

// Guards against an entry that hides the others: a name that cannot be encoded
// threw, and a page that ended in one without a revision began again.
test("a list goes on after items that cannot be read", async () => {
  const good = (name: string) => ({ meta: { name, rev: 1 }, spec: name });
  const pages: Readonly<Record<string, readonly unknown[]>> = {
    "": [good("a"), { meta: { name: "b", rev: "x" } }],
    b: [{ meta: { name: "c" } }, good("d"), {
      meta: { name: "\ud800", rev: 1 },
    }],
    d: [good("e"), { meta: { name: "f", rev: 0 } }, null],
    f: [good("g")],
  };
  const server = createServer((req, res) => {
    const after = new URL(req.url!, "http://store").searchParams.get("after");
    const items = pages[after ?? ""];
    res.end(
      JSON.stringify({ items, truncated: after !== "f", currentRev: 3 }),
    );
  });
  closables.push(server);
  const port = await listen(server, 0);
  const store = createObjectStore(`http://127.0.0.1:${port}`, {
    caller: "test",
  });
  const { objects } = (await store.list("things/")).unwrap();
  expect(objects.map(({ value }) => value)).toEqual(["a", "d", "e", "g"]);
});

// Guards against a revision that no later one exceeds, and version 0, which
// says that an object was removed.
test.each(["1e300", "-1", "1.5", "1e999", '"7"', "null"])(
  "a revision that is none is not taken: %s",
  async (rev) => {
    const items = `[{"meta":{"name":"a","rev":${rev}},"spec":1}]`;
    const events = `[{"object":{"meta":{"name":"a","rev":${rev}}}}]`;
    const listed = await startFixedResponse(
      200,
      `{"items":${items},"events":${events},"currentRev":4}`,
    );
    expect((await listed.list("things/")).unwrap().objects).toEqual([]);
    const options = { after: 1, waitMs: 10 };
    expect((await listed.watch("things/", options)).unwrap().objects)
      .toEqual([]);
    const current = await startFixedResponse(
      200,
      `{"items":[],"events":[],"currentRev":${rev}}`,
    );
    expect((await current.list("things/")).isErr()).toBe(true);
    expect((await current.watch("things/", options)).isErr()).toBe(true);
  },
);

test("a response that does not end is given up", async () => {
  const server = createServer((_req, res) => {
    const chunk = Buffer.alloc(1024 * 1024, " ");
    const write = () => {
      while (!res.destroyed && res.write(chunk));
    };
    res.on("drain", write);
    write();
  });
  closables.push(server);
  const port = await listen(server, 0);
  const store = createObjectStore(`http://127.0.0.1:${port}`, {
    caller: "test",
    timeoutMs: 200_000,
  });
  expect((await store.list("things/")).unwrapErr().kind).toBe("unreachable");
});

// Load: a configuration of a thousand routes over a slow link. Guards against a
// host that gives up each download while it goes on, and never gets the change.
test("a response that goes on arriving is not given up", async () => {
  const body = JSON.stringify({ items: [], currentRev: 3 });
  const pieces = body.match(/.{1,5}/g)!;
  const server = createServer((_req, res) => {
    const writeNext = () => {
      const piece = pieces.shift();
      if (piece === undefined) {
        res.end();
      } else {
        res.write(piece);
        setTimeout(writeNext, 500);
      }
    };
    writeNext();
  });
  closables.push(server);
  const port = await listen(server, 0);
  const store = createObjectStore(`http://127.0.0.1:${port}`, {
    caller: "test",
    timeoutMs: 2_000,
  });
  expect((await store.list("things/")).unwrap().revision).toBe(3);
});

/** Reads from a socket until `count` ready messages have arrived. */
function readAnswers(socket: Socket, count: number): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.setEncoding("latin1");
    const finish = () => {
      socket.removeAllListeners("data");
      resolve(text);
    };
    socket.on("data", (chunk) => {
      text += chunk;
      if ((text.match(/^READY/gm) ?? []).length >= count) {
        finish();
      }
    });
    socket.on("close", finish);
  });
}

/** Starts a listener on a real socket, in front of a pool fleet. */
async function startListener(
  { clock = "real", workMs = 5 }: {
    /** Clock after the start; the fleet itself starts on the paused one. */
    readonly clock?: "real" | "paused";
    readonly workMs?: number;
  } = {},
) {
  const fleet = await startPoolFleet({ group: { workMs } });
  closables.push({ close: () => fleet.stop() });
  if (clock === "real") {
    vi.useRealTimers();
  }
  const logged: unknown[] = [];
  const record = (event: string, fields: LogFields) =>
    void logged.push({ event, ...fields });
  const listener = createClientListener(fleet.poolers[0]!, {
    address: "127.0.0.1:0",
    log: { info: record, request: record },
    metrics: createMetrics(),
  });
  const port = await listener.listen();
  closables.push(listener);
  const openSocket = (allowHalfOpen = false) =>
    connect({ host: "127.0.0.1", port, allowHalfOpen });
  return { fleet, listener, logged, openSocket };
}

/** Collects the lines that a socket receives. */
function collectLines(socket: Socket): () => string[] {
  let text = "";
  socket.setEncoding("latin1");
  socket.on("data", (chunk) => text += chunk);
  return () => text.split("\r\n").slice(0, -1);
}

/** Lets real sockets make progress, beside the paused clock, until `isDone`. */
async function turnUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Advances the paused clock, beside real sockets, until `isDone`. */
async function advanceUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) {
    await vi.advanceTimersByTimeAsync(1);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("an overlong message is refused after the answers to those before it", async () => {
  const { openSocket } = await startListener({
    clock: "paused",
    workMs: 300,
  });
  const client = openSocket();
  const lines = collectLines(client);
  client.write("START orders key1\r\nQUERY 1 WRITE a 1\r\nQUERY 2 SET a ");
  client.write("x".repeat(MAX_LINE_BYTES + 1));
  await advanceUntil(() => client.readableEnded);
  expect(lines().map((line) => line.split(" ")[0])).toEqual([
    "READY",
    "ROW",
    "DONE",
    "READY",
    "ERR",
  ]);
});

// Guards against a session that stays open in a stop, since its client sends one
// statement after another.
test("a draining listener ends a session after the answer to its statement", async () => {
  const { listener, openSocket } = await startListener({
    clock: "paused",
    workMs: 300,
  });
  const client = openSocket();
  const lines = collectLines(client);
  client.write("START orders key1\r\nQUERY 1 SET a b\r\n");
  await advanceUntil(() => lines().length === 3);
  client.write("QUERY 2 READ a\r\n");
  await advanceUntil(() => listener.countStatements() === 1);
  listener.drain();
  await advanceUntil(() => client.readableEnded);
  expect(lines().slice(3)).toEqual([
    "ROW row of READ a",
    "DONE signed-2",
    expect.stringMatching(/^READY I /),
    "ERR BUSY the host is stopping; connect again",
  ]);
});

// Guards against a session that ends as it opens: its client may read READY and
// the reason for the end together, and gets no line for what it sends then.
test("a draining listener answers the first statement of a session it has opened", async () => {
  const { listener, openSocket } = await startListener({
    clock: "paused",
    workMs: 300,
  });
  const client = openSocket();
  const lines = collectLines(client);
  client.write("START orders key1\r\n");
  await turnUntil(() => lines().length === 1);
  listener.drain();
  client.write("QUERY 1 READ a\r\n");
  await turnUntil(() =>
    listener.countStatements() === 1 || client.readableEnded
  );
  await advanceUntil(() => client.readableEnded);
  expect(lines()).toEqual([
    "READY I -",
    "ROW row of READ a",
    "DONE signed-1",
    expect.stringMatching(/^READY I /),
    "ERR BUSY the host is stopping; connect again",
  ]);
});

test("a draining listener ends a session whose client sends no statement", async () => {
  const { listener, openSocket } = await startListener({ clock: "paused" });
  const early = openSocket();
  const earlyLines = collectLines(early);
  early.write("START orders key1\r\n");
  await turnUntil(() => earlyLines().length === 1);
  listener.drain();
  const late = openSocket();
  const lateLines = collectLines(late);
  late.write("START orders key1\r\n");
  await advanceUntil(() => early.readableEnded && late.readableEnded);
  const told = ["READY I -", "ERR BUSY the host is stopping; connect again"];
  expect([earlyLines(), lateLines()]).toEqual([told, told]);
});

test("the first statement after a key is withdrawn gets a whole answer", async () => {
  const { fleet, openSocket } = await startListener({ clock: "paused" });
  let isWithdrawn = false;
  const client = openSocket();
  const lines = collectLines(client);
  client.write("START orders key1\r\n");
  await turnUntil(() => lines().length === 1);
  fleet.poolers[0]!.onCatalogChange(() => isWithdrawn = true);
  fleet.setCatalog({ workspaceByKey: new Map() });
  await advanceUntil(() => isWithdrawn);
  client.write("QUERY 1 READ a\r\n");
  await turnUntil(() => client.readableEnded);
  expect(lines()).toEqual([
    "READY I -",
    "ERR NOAUTH the key is unknown or withdrawn",
    "READY I -",
  ]);
});

test("statements that are read after the end of their session leave a line each", async () => {
  const { listener, logged, openSocket } = await startListener({
    clock: "paused",
  });
  const client = openSocket(true);
  const lines = collectLines(client);
  client.write("START orders key1\r\nQUERY 1 SET a b\r\n");
  await turnUntil(() => lines().length === 3);
  listener.drain();
  await turnUntil(() => client.readableEnded);
  client.write("QUERY 2 READ a\r\nQUERY 3 RE");
  await new Promise((resolve) => setImmediate(resolve));
  client.end("AD a\r\n");
  await turnUntil(() => listener.countConnections() === 0);
  const left = openSocket().resume();
  left.write("START orders key1\r\nQUIT\r\nQUERY 4 READ a\r\n");
  await turnUntil(() => left.readableEnded);
  const workspace = "w1";
  // The first line is that of the drain.
  expect(logged.slice(1)).toEqual(
    ["2", "3", "4"].map((id) => ({
      event: "statement_dropped",
      id,
      workspace,
    })),
  );
});

// Guards against connections that are closed with unread input, which resets
// them: the client may lose the last message.
test("an ended connection is read for a time before it is closed", async () => {
  const { listener, openSocket } = await startListener();
  vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] });
  const client = openSocket(true);
  client.write("START orders key1\r\nQUERY 0 SET a b\r\n");
  await readAnswers(client, 2);
  const ended = new Promise((resolve) => client.on("end", resolve));
  listener.drain();
  client.resume();
  await ended;
  client.write("QUERY 1 READ a\r\n");
  vi.advanceTimersByTime(400);
  for (let turn = 0; turn < 20; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  expect(listener.countConnections()).toBe(1);
  while (listener.countConnections() > 0) {
    vi.advanceTimersByTime(100);
    await new Promise((resolve) => setImmediate(resolve));
  }
  client.destroy();
});

// Guards against a statement that crosses the end of its session: without a
// message before the end its client can't tell that it was not executed.
test("a client whose key is withdrawn is told before its session ends", async () => {
  const { fleet, openSocket } = await startListener();
  const client = openSocket();
  client.write("START orders key1\r\n");
  expect(await readAnswers(client, 1)).toBe("READY I -\r\n");
  fleet.setCatalog({ workspaceByKey: new Map() });
  expect(await readAnswers(client, 1)).toBe(
    "ERR NOAUTH the key is unknown or withdrawn\r\n",
  );
});

test("sessions over sockets: pipelined statements, split lines, malformed input, refusals", async () => {
  const { listener, openSocket } = await startListener();

  const unknown = openSocket();
  unknown.write("START nothing key1\r\n");
  expect(await readAnswers(unknown, 1)).toMatch(/^ERR NODB /);
  const refused = openSocket();
  refused.write("START orders wrong\r\n");
  expect(await readAnswers(refused, 1)).toMatch(/^ERR NOAUTH /);
  const malformed = openSocket();
  malformed.write("GET / HTTP/1.1\r\n");
  expect(await readAnswers(malformed, 1)).toMatch(/^ERR MALFORMED /);

  const client = openSocket();
  client.write("START orders key1\r\nQUERY 1 SET a b\r\nQUERY 2 PRE");
  client.write("PARE s READ q\r\nQUERY 3 EXEC t x\r\nNONSENSE\r\nQUERY 4 COM");
  client.write("MIT\r\n");
  expect((await readAnswers(client, 6)).split("\r\n")).toEqual([
    "READY I -",
    "DONE -",
    "READY I -",
    "DONE -",
    "READY I -",
    "ERR NOSTMT no statement was prepared under this name",
    "READY I -",
    "ERR MALFORMED not a statement",
    "READY I -",
    "ERR MALFORMED no transaction is open",
    "READY I -",
    "",
  ]);
  const closed = new Promise((resolve) => client.on("close", resolve));
  listener.drain();
  await closed;
  await vi.waitFor(() => expect(listener.countConnections()).toBe(0));
});

// The rejection ended the process, and with it the sessions of all clients.
test("an exception in a statement fails it and ends only its session", async () => {
  const fleet = await startPoolFleet();
  vi.useRealTimers();
  closables.push({ close: () => fleet.stop() });
  const pooler = fleet.poolers[0]!;
  const openSession = pooler.openSession;
  vi.spyOn(pooler, "openSession").mockImplementation((options) =>
    openSession(options).map((session) => {
      const execute = session.execute;
      vi.spyOn(session, "execute").mockImplementation((id, statement) =>
        id === "broken"
          ? Promise.reject(new Error("no such link"))
          : execute(id, statement)
      );
      return session;
    })
  );
  const logLines: [string, LogFields][] = [];
  const metrics = createMetrics();
  const counted = vi.spyOn(metrics, "count");
  const listener = createClientListener(pooler, {
    address: "127.0.0.1:0",
    log: {
      info: (event, fields) => void logLines.push([event, fields]),
      request() {},
    },
    metrics,
  });
  const port = await listener.listen();
  closables.push(listener);
  const openSocket = () => connect({ host: "127.0.0.1", port });

  const other = openSocket();
  other.write("START orders key1\r\n");
  await readAnswers(other, 1);
  const client = openSocket();
  const closed = new Promise((resolve) => client.on("close", resolve));
  client.write("START orders key1\r\nQUERY broken SET a b\r\n");
  client.write("QUERY next SET a b\r\n");
  expect((await readAnswers(client, 4)).split("\r\n")).toEqual([
    "READY I -",
    "ERR FAILED the statement failed on this host; it may have run",
    "READY I -",
    "ERR ABORTED the session ended before this statement",
    "READY I -",
    "",
  ]);
  client.end();
  await closed;
  await vi.waitFor(() => expect(listener.countConnections()).toBe(1));
  expect(listener.countStatements()).toBe(0);
  expect(logLines).toEqual([["statement_crashed", {
    id: "broken",
    workspace: "w1",
    detail: expect.stringMatching(/^Error: no such link\n +at /),
  }]]);
  expect(counted).toHaveBeenCalledWith("refusals_total", {
    workspace: "w1",
    error: "failed",
  });
  other.write("QUERY 1 SET a b\r\n");
  expect(await readAnswers(other, 1)).toBe("DONE -\r\nREADY I -\r\n");
  other.destroy();
});

// The client asked for the same page again without end.
test.each([
  ["no item can be decoded", [{ spec: 1 }]],
  ["the items are those of the page before", [{ meta: { name: "a", rev: 1 } }]],
])(
  "a list ends if a truncated page brings nothing new: %s",
  async (_name, items) => {
    let requests = 0;
    const server = createServer((_req, res) => {
      requests++;
      const truncated = requests < 10;
      res.end(JSON.stringify({ items, truncated, currentRev: 1 }));
    });
    const port = await listen(server, 0);
    closables.push(server);
    const store = createObjectStore(`http://127.0.0.1:${port}`, {
      caller: "h",
    });
    expect(await store.list("kind/")).toMatchObject({
      error: { kind: "rejected" },
    });
    expect(requests).toBeLessThanOrEqual(2);
  },
);
