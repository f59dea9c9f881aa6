import { createServer, type Socket } from "node:net";
import { once } from "node:events";
import { afterEach, expect, test } from "vitest";
import { MAX_LINE_BYTES } from "../platform/line_reader.ts";
import { createTargetDialer } from "../platform/target_link.ts";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import type { TargetRecord } from "../src/pooling/types.ts";
import { listen } from "../standins/serve.ts";

const READY = "READY I 1.4\r\n";
const WORKSPACE = asId<WorkspaceId>("w1");
/** Beyond the memory that the kernel keeps for one connection on loopback. */
const UNREAD_COMMAND_COUNT = 64;
const UNREAD_COMMAND_BYTES = 524_288;

const closables: { close(): unknown }[] = [];
afterEach(() => closables.splice(0).forEach((closable) => closable.close()));

/**
 * Starts a target that leaves its own side open when the host ends the
 * connection, and dials it. The socket is the target's end of the connection.
 */
async function dialTarget(onStart: (socket: Socket) => void) {
  const sockets: Socket[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => onStart(socket));
  });
  closables.push({
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  });
  const port = await listen(server, 0);
  const target = {
    id: "t1",
    service: "ledger",
    address: `127.0.0.1:${port}`,
  } as unknown as TargetRecord;
  const dialed = await createTargetDialer().dial(target, {
    workspace: WORKSPACE,
    timeoutMs: 60_000,
  });
  if (dialed.isOk()) {
    closables.push(dialed.value);
  }
  return { dialed, socket: sockets[0]! };
}

/** Longer than a line may be. */
const OVERLONG_TEXT = "x".repeat(MAX_LINE_BYTES + 1);

function createWrite(id: string, text = "WRITE a 1") {
  return { kind: "run", id: asId<never>(id), text } as const;
}

// The FIN was noticed only once all that had been written before was sent,
// which never happens with a target that does not read.
test("a target that ends the connection without reading loses all pending commands", async () => {
  const { dialed, socket } = await dialTarget((socket) => {
    socket.pause();
    socket.write(READY);
  });
  const link = dialed.unwrap();
  const text = `WRITE a ${"x".repeat(UNREAD_COMMAND_BYTES)}`;
  const replies = Array.from(
    { length: UNREAD_COMMAND_COUNT },
    (_, index) => link.send(createWrite(`r${index}`, text)),
  );
  socket.end();
  const kinds = new Set((await Promise.all(replies)).map(({ kind }) => kind));
  expect([...kinds]).toEqual(["lost"]);
  expect(link.isOpen()).toBe(false);
});

test("replies before the end of the connection count, later commands are lost", async () => {
  const { dialed, socket } = await dialTarget((socket) => socket.write(READY));
  const link = dialed.unwrap();
  const replies = [link.send(createWrite("r1")), link.send(createWrite("r2"))];
  await once(socket, "data");
  socket.end(`DONE sig\r\n${READY}`);
  expect((await Promise.all(replies)).map(({ kind }) => kind)).toEqual([
    "done",
    "lost",
  ]);
  expect(link.isOpen()).toBe(false);
});

test("the end of an idle connection closes it on the host too", async () => {
  const { dialed, socket } = await dialTarget((socket) =>
    socket.end(READY).resume()
  );
  await once(socket, "close");
  expect(dialed.unwrap().isOpen()).toBe(false);
});

// What came in one chunk with the ready message was dropped.
test("a message that nobody asked for ends the connection, also right after the start", async () => {
  const { dialed, socket } = await dialTarget((socket) =>
    socket.write(`${READY}ERR FAILED shutting down\r\n`)
  );
  await once(socket, "end");
  expect(dialed.unwrap().isOpen()).toBe(false);
});

// The begin of a line on an idle connection became part of the answer to the
// next command.
test("a line begun while no command is pending ends the connection", async () => {
  const atStart = await dialTarget((socket) =>
    socket.write(`${READY}DONE other`)
  );
  const link = atStart.dialed.unwrap();
  const reply = link.send(createWrite("r1"));
  atStart.socket.once("data", () => atStart.socket.write(`\r\n${READY}`));
  expect((await reply).kind).toBe("lost");

  const afterReply = await dialTarget((socket) => socket.write(READY));
  const replies = [afterReply.dialed.unwrap().send(createWrite("r1"))];
  await once(afterReply.socket, "data");
  afterReply.socket.write(`DONE sig\r\n${READY}DONE other`);
  await Promise.all(replies);
  replies.push(afterReply.dialed.unwrap().send(createWrite("r2")));
  afterReply.socket.once(
    "data",
    () => afterReply.socket.write(`\r\n${READY}`),
  );
  expect((await Promise.all(replies)).map(({ kind }) => kind)).toEqual([
    "done",
    "lost",
  ]);
});

// The text was kept until the time for the dial was over.
test("a target that answers the start with an overlong line is refused", async () => {
  const { dialed, socket } = await dialTarget((socket) =>
    socket.write(OVERLONG_TEXT)
  );
  expect(dialed.unwrapErr()).toEqual({
    code: "other",
    detail: "a message of the target is too long",
  });
  socket.destroy();
});

test("an overlong line ends the connection with its pending commands", async () => {
  const { dialed, socket } = await dialTarget((socket) => socket.write(READY));
  const link = dialed.unwrap();
  const replies = [link.send(createWrite("r1")), link.send(createWrite("r2"))];
  await once(socket, "data");
  socket.write(`DONE sig\r\n${READY}ROW ${OVERLONG_TEXT}`);
  const [first, second] = await Promise.all(replies);
  expect(second).toEqual({
    kind: "lost",
    detail: "a message of the target is too long",
  });
  expect(["done", "lost"]).toContain(first!.kind);
  expect(link.isOpen()).toBe(false);
});

// Guards against names that every object has, which passed for codes and states,
// and numbers that cannot be compared, which stayed as positions for ever.
test.each([
  "DONE sig\r\nREADY constructor 1.4",
  "DONE sig\r\nREADY __proto__ 1.4",
  "DONE sig\r\nREADY i 1.4",
  "DONE sig\r\nREADY",
  "DONE sig\r\nREADY I 99999999999999999999.1",
  "DONE sig\r\nREADY I 1.99999999999999999999",
  "DONE sig\r\nREADY I 1",
  "DONE sig\r\nDONE other\r\nREADY I 1.4",
  "ERR BUSY t1\r\nDONE other\r\nREADY I 1.4",
  "DONE sig\r\nROW late\r\nREADY I 1.4",
  "READY I 1.4",
])("a reply that does not follow the protocol is lost: %j", async (text) => {
  const { dialed, socket } = await dialTarget((socket) => socket.write(READY));
  const link = dialed.unwrap();
  const reply = link.send(createWrite("r1"));
  await once(socket, "data");
  socket.write(`${text}\r\n`);
  expect((await reply).kind).toBe("lost");
  expect(link.isOpen()).toBe(false);
});

test.each(["constructor", "__proto__", "toString", "", "NOVEL"])(
  "an unknown error code of a target is no other one: %j",
  async (code) => {
    const { dialed, socket } = await dialTarget((socket) =>
      socket.write(READY)
    );
    const reply = dialed.unwrap().send(createWrite("r1"));
    await once(socket, "data");
    socket.write(`ERR ${code} text\r\n${READY}`);
    expect(await reply).toMatchObject({ kind: "error", code: "other" });
    const refused = await dialTarget((socket) =>
      socket.write(`ERR ${code} text\r\n`)
    );
    expect(refused.dialed.unwrapErr().code).toBe("other");
  },
);

test.each([
  "replica 1 1.4 0 12 2 17 more",
  "replica 1 1.4 0 12 2",
  "replica x 1.4 0 12 2 17",
  "replica 1 1.4 NaN 12 2 17",
  "replica 1 1.4 0 Infinity 2 17",
  "replica 1 1.4 0 12  17",
  "replica 1 1.4 0 12 2 0x",
  "replica 1 99999999999999999999.4 0 12 2 17",
  "constructor 1 1.4 0 12 2 17",
])("a status with fields that are no numbers is no report: %j", (row) => {
  const { tryParseReport } = createTargetDialer();
  const reply = (text: string) =>
    ({
      kind: "done",
      rows: [text],
      signature: "-",
      state: "idle",
      position: undefined,
    }) as const;
  expect(tryParseReport(reply("replica 1 1.4 0 12.5 2 17"))).toEqual({
    role: "replica",
    term: 1,
    position: { term: 1, pos: 4 },
    pausedTerm: 0,
    lagMs: 12.5,
    busy: 2,
    connections: 17,
  });
  const report = tryParseReport(reply(row));
  // More fields may come with a later protocol.
  expect(report === undefined).toBe(!row.endsWith("more"));
});
