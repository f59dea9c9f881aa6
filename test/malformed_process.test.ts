import { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import {
  mkdirSync,
  readFileSync,
  rmdirSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { connect, createServer, type Server } from "node:net";
import fc from "fast-check";
import { pack } from "msgpackr";
import { afterEach, expect, test, vi } from "vitest";
import { WebSocket } from "ws";
import { sleep } from "../src/core/clock.ts";
import {
  editText,
  mutatedBytes,
  mutatedJson,
  mutatedText,
  TEXT_EDITS,
  type TextEdit,
} from "./mutations.ts";
import {
  type ForeignObject,
  type PoolProcess,
  type PoolProcessOptions,
  startPoolProcess,
} from "./pool_process.ts";
import {
  createStoreRelay,
  RESPONSE_DAMAGES,
  type StoreRelay,
} from "./store_relay.ts";

const POLL_INTERVAL_MS = 10;
/** A fixed seed gives the same values in every run. */
const SEED = 20_261_204;

vi.setConfig({ testTimeout: 120_000 });

const started: PoolProcess[] = [];
afterEach(async () => {
  await Promise.all(started.splice(0).map((host) => host.stop()));
});

async function start(options: PoolProcessOptions): Promise<PoolProcess> {
  const host = await startPoolProcess(options);
  started.push(host);
  return host;
}

function sample<T>(arbitrary: fc.Arbitrary<T>, numRuns: number): T[] {
  return fc.sample(arbitrary, { seed: SEED, numRuns });
}

async function waitFor(
  host: PoolProcess,
  isDone: () => boolean | Promise<boolean>,
): Promise<void> {
  let exit: unknown;
  void host.exited.then((code) => exit = code);
  while (!(await isDone())) {
    expect({ exit, crash: findCrash(host) }).toEqual({});
    await sleep(POLL_INTERVAL_MS);
  }
}

function findCrash(host: PoolProcess) {
  return host.logLines.find(({ msg }) => `${msg}`.endsWith("crashed"));
}

/** Reads in a new session; returns the lines of the answer. */
async function tryRead(
  host: PoolProcess,
  database: string,
): Promise<readonly string[]> {
  const client = host.connect();
  const opened = await client.start(database);
  const answer = opened.lines[0]?.startsWith("READY")
    ? await client.query("witness", "READ a")
    : opened;
  client.socket.destroy();
  return answer.lines;
}

/** Waits until a new session on the database gets a row from a target. */
function waitUntilServed(host: PoolProcess, database: string): Promise<void> {
  return waitFor(
    host,
    async () => (await tryRead(host, database)).includes("DONE signed-witness"),
  );
}

test("a host outlives any responses of the store and follows it again", async () => {
  let relay: StoreRelay | undefined;
  const host = await start({
    createStoreRelay(port) {
      relay = createStoreRelay(port);
      return relay.server;
    },
  });
  relay!.damage(sample(RESPONSE_DAMAGES, 200));
  let count = 0;
  await waitFor(host, () => {
    count++;
    host.put("servers", "foreign", { count });
    host.put("config", "foreign", { count });
    return relay!.countLeft() === 0;
  });
  const version = host.logLines
    .filter(({ msg }) => msg === "configuration_applied")
    .map(({ version }) => Number(version)).at(-1)!;
  host.addRoute("added", version + 1);
  host.registerTargets();
  await waitUntilServed(host, "added");
  expect(findCrash(host)).toBeUndefined();
});

const DAMAGED_NAMES = ["\ud800", "", "a b", "a\r\nQUIT", "__proto__", "\u0000"];
const VALUES: readonly unknown[] = [
  undefined,
  null,
  5,
  "text",
  [],
  {},
  [null],
  { domain: 5, peers: 7, beat: "x", incarnation: null },
  { domain: null, peers: "::::", beat: 1e300, incarnation: "now" },
  { domain: {}, peers: "/x?y#z:80", beat: 3, incarnation: 1 },
  { holder: 4, fencingToken: "x", era: {}, isDone: 1, openTarget: [] },
  { shares: { h1: null }, wants: 4 },
];

function createForeignObjects(): readonly ForeignObject[] {
  const target = {
    service: "ledger",
    addr: "127.0.0.1:1",
    zone: "d0",
    slots: 4,
    state: "draining",
    dbRole: "replica",
    born: 7,
  };
  const entries = sample(mutatedJson([target]), 150);
  return [
    ...[
      "servers/",
      "config/",
      "turmericchute-fleet/",
      "turmericchute-fleet/host.",
      "turmericchute-fleet/duty.",
    ]
      .flatMap((prefix) =>
        VALUES.flatMap((spec, index) =>
          [`v${index}`, DAMAGED_NAMES[index]].flatMap((name) =>
            name === undefined ? [] : [toObject(prefix + name, spec)]
          )
        )
      ),
    ...entries.map((spec, index) => toObject(`servers/e${index}`, spec)),
  ];
}

function toObject(key: string, spec: unknown): ForeignObject {
  const slash = key.indexOf("/");
  return { kind: key.slice(0, slash), name: key.slice(slash + 1), spec };
}

// Guards against a record of a host without a value: it ended the process.
test("a host starts and serves among any entries of other writers", async () => {
  const host = await start({ objects: createForeignObjects() });
  await waitUntilServed(host, "orders");
  await waitUntilServed(host, "reports");
  host.addRoute("added", 2);
  await waitUntilServed(host, "added");
  expect(findCrash(host)).toBeUndefined();
});

/** Names that objects of JavaScript have, and numbers that are none. */
const WORDS = [
  "constructor",
  "__proto__",
  "toString",
  "READY",
  "DONE",
  "ERR",
  "ROW",
  "READY constructor 1.0",
  "READY I",
  "READY I 1.x",
  "READY I -1.0",
  "READY I 99999999999999999999.1",
  "READY I 1.99999999999999999999",
  "ERR constructor x",
  "ERR __proto__ x",
  "ERR",
  "ERR BUSY",
  "DONE a\r\nDONE b",
  "ROW replica x 1.0 y z NaN 1e999",
  "ROW replica 1",
  "READY I 1.0\r\nREADY I 1.0",
  "\u0000\u00ff",
  "",
];

interface ReplyDamage {
  readonly line: string | undefined;
  readonly edit: TextEdit;
}

const REPLY_DAMAGES: fc.Arbitrary<ReplyDamage> = fc.record({
  line: fc.oneof(
    fc.constantFrom(...WORDS),
    fc.constant("x".repeat(1_100_000)),
    fc.constant(undefined),
  ),
  edit: TEXT_EDITS,
});

/** Creates a relay that damages a part of what a target sends. */
function createTargetRelay(
  port: number,
  tryNext: () => ReplyDamage | undefined,
): Server {
  return createServer((client) => {
    const target = connect({ host: "127.0.0.1", port });
    target.setEncoding("latin1");
    client.pipe(target);
    client.on("error", () => target.destroy());
    client.on("close", () => target.destroy());
    target.on("error", () => client.destroy());
    target.on("close", () => client.destroy());
    target.on("data", (chunk: string) => {
      const damage = tryNext();
      client.write(damage ? damageReply(chunk, damage) : chunk, "latin1");
    });
  });
}

/** Replaces a line of the chunk or edits the chunk as a text. */
function damageReply(chunk: string, { line, edit }: ReplyDamage): string {
  if (line === undefined) {
    return editText(chunk, edit);
  }
  const lines = chunk.split("\r\n");
  lines[edit.offset % lines.length] = line;
  return lines.join("\r\n");
}

const ERR_LINE =
  /^ERR (BUSY|ABORTED|INDOUBT|FAILED|NODB|NOAUTH|NOSTMT|MALFORMED) /;
const READY_LINE = /^READY [ITE] (-|\d{1,16}\.\d{1,16})$/;

test("a host outlives any replies of targets and answers every statement", async () => {
  let left = sample(REPLY_DAMAGES, 200);
  const hostile = new Set(["t2", "t3"]);
  const host = await start({
    createTargetRelay: (target, port) =>
      createTargetRelay(
        port,
        () => hostile.has(target) ? left.shift() : undefined,
      ),
  });
  const writer = host.connect();
  await writer.start("orders");
  const reader = host.connect();
  await reader.start("reports");
  let count = 0;
  await waitFor(host, async () => {
    count++;
    const written = await writer.query(`w${count}`, `WRITE a ${count}`);
    expect(written.lines).toContain(`DONE signed-w${count}`);
    const read = await reader.query(`r${count}`, "READ a");
    expect(read.isComplete).toBe(true);
    expect(read.lines.at(-1)).toMatch(READY_LINE);
    if (!read.lines.at(-2)!.startsWith("DONE")) {
      expect(read.lines.at(-2)).toMatch(ERR_LINE);
    }
    return left.length === 0;
  });
  // An edit may raise a position, and a primary's word on that counts.
  left = sample(
    REPLY_DAMAGES.filter(({ line }) => line !== undefined),
    60,
  );
  hostile.add("t1");
  await waitFor(host, async () => {
    await Promise.all([tryRead(host, "orders"), tryRead(host, "reports")]);
    return left.length === 0;
  });
  await waitUntilServed(host, "orders");
  await waitUntilServed(host, "reports");
  expect(findCrash(host)).toBeUndefined();
});

/** Sends bytes over a new connection and waits until it is closed. */
function sendBytes(port: number, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => resolve());
    socket.on("data", () => {});
    socket.end(bytes);
  });
}

const SCRIPT = [
  "START reports key-1\r\nQUERY a READ x\r\nQUERY b SET n v\r\nQUIT\r\n",
  "START orders key-1\r\nQUERY a BEGIN\r\nQUERY b WRITE x y\r\nQUERY c COMMIT\r\n",
  "START orders key-1\r\nQUERY a PREPARE s READ x\r\nQUERY b EXEC s z\r\nQUERY c DEALLOC s\r\n",
  "START constructor __proto__\r\nQUERY a SET __proto__ x\r\n",
  "START orders key-1\r\nQUERY a SET __proto__ x\r\nQUERY b PREPARE constructor READ x\r\nQUERY c EXEC toString z\r\n",
  "GET / HTTP/1.1\r\nhost: x\r\n\r\n",
];

test("a host outlives any bytes on its ports", async () => {
  const host = await start({});
  const witness = host.connect();
  await witness.start("orders");
  const inputs = sample(
    fc.oneof(
      mutatedText(SCRIPT).map((text) => Buffer.from(text, "latin1")),
      fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
    ),
    300,
  );
  const { clients, health, metrics, peers } = host.ports;
  const oversized = Buffer.alloc(1_200_000, "x");
  for (const [index, bytes] of [...inputs, oversized].entries()) {
    const port = [
      clients,
      clients,
      clients,
      health,
      metrics,
      peers,
    ][index % 6]!;
    await sendBytes(port, bytes);
    if (index % 10 === 0) {
      const answer = await witness.query(`w${index}`, `WRITE a ${index}`);
      expect(answer.lines).toContain(`DONE signed-w${index}`);
    }
  }
  await waitUntilServed(host, "reports");
  expect(findCrash(host)).toBeUndefined();
});

const DATAGRAMS: readonly unknown[] = [
  { kind: "borrow", id: 1, workspace: "w1", count: 1 },
  { kind: "lend", id: 1, workspace: "w1", count: 1 },
  { kind: "ask_floor", id: 1, service: "ledger" },
  { kind: "tell_floor", id: 1, term: 1, pos: 2, ageMs: 1 },
  { kind: "ask_version", id: 1 },
  { kind: "tell_version", id: 1, version: 1 },
  { kind: "borrow", id: 1e300, workspace: "constructor", count: 1e300 },
  { kind: "ask_floor", id: 1e300, service: "__proto__" },
];

const RUN = {
  kind: "run",
  id: 1,
  channel: 1,
  target: "t1",
  incarnation: 0,
  workspace: "w1",
  priority: 0,
  waitMs: 5,
  variables: [{ name: "n", value: "v" }],
  prepared: { access: "read", shape: "x" },
  isFirst: true,
  command: { kind: "execute", id: "e", args: "z" },
};
const FRAMES: readonly unknown[] = [
  RUN,
  { ...RUN, command: { kind: "run", id: "f", text: "READ x" } },
  { ...RUN, command: { kind: "begin", isReadOnly: true } },
  { ...RUN, command: { kind: "commit", id: "g", text: "COMMIT" } },
  { ...RUN, waitMs: 1e300, command: { kind: "rollback" } },
  { kind: "close", channel: 1 },
  { kind: "reply", id: 1, reply: { kind: "lost", detail: "x" } },
];

/** Sends a frame over a new stream; resolves once it is answered or closed. */
function sendFrame(port: number, frame: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const ws = new WebSocket(`ws://127.0.0.1:${port}/?from=p1`);
    ws.on("error", () => ws.terminate());
    ws.on("close", () => resolve());
    ws.on("message", () => ws.close());
    // A frame without an answer is followed by one that ends the stream.
    ws.on("open", () => {
      ws.send(frame);
      ws.send(Buffer.from("end"));
    });
  });
}

test("a host outlives any datagrams and streams of other hosts", async () => {
  const socket = createSocket("udp4");
  await new Promise<void>((resolve) => socket.bind(0, "127.0.0.1", resolve));
  socket.on("message", () => {});
  const host = await start({
    objects: [toObject("turmericchute-fleet/host.p1", {
      incarnation: 1,
      beat: 1,
      peers: `127.0.0.1:${socket.address().port}`,
      domain: "d0",
      firstEra: 1,
    })],
  });
  const witness = host.connect();
  await witness.start("orders");
  const bytes = (values: readonly unknown[]) =>
    sample(
      fc.oneof(
        mutatedJson(values).map((msg) => pack(msg) as Buffer),
        mutatedBytes(values.map((msg) => pack(msg) as Buffer)),
      ),
      200,
    );
  for (const data of bytes(DATAGRAMS)) {
    socket.send(data, host.ports.peers, "127.0.0.1");
  }
  for (const [index, frame] of bytes(FRAMES).entries()) {
    await sendFrame(host.ports.peers, frame);
    if (index % 10 === 0) {
      const answer = await witness.query(`w${index}`, `WRITE a ${index}`);
      expect(answer.lines).toContain(`DONE signed-w${index}`);
    }
  }
  await waitUntilServed(host, "reports");
  expect(findCrash(host)).toBeUndefined();
  socket.close();
});

test("a host outlives any settings that it is told to read again", async () => {
  const host = await start({});
  const file = host.settingsFile;
  const settings = readFileSync(file, "utf8");
  const countReloads = () =>
    host.logLines.filter(({ msg }) => msg === "settings_reloaded").length;
  const reload = async () => {
    const before = countReloads();
    host.kill("SIGHUP");
    await waitFor(host, () => countReloads() > before);
  };
  for (const text of sample(mutatedText([settings]), 40)) {
    writeFileSync(file, text);
    await reload();
  }
  rmSync(file);
  await reload();
  mkdirSync(file);
  await reload();
  rmdirSync(file);
  writeFileSync(file, Buffer.from([0xff, 0xfe, 0x00]));
  await reload();
  await waitUntilServed(host, "orders");
  expect(findCrash(host)).toBeUndefined();
});
