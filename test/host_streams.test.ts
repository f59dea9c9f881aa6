/** Streams between hosts over sockets, with malformed frames. */

import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { WebSocket, WebSocketServer } from "ws";
import { asId, type HostId } from "../src/core/ids.ts";
import {
  createHostStreams,
  type ListeningHostStreams,
} from "../src/host/host_streams.ts";
import { createMetrics } from "../src/host/metrics.ts";
import type {
  ForwardRequest,
  ForwardResponse,
  HostStream,
} from "../src/pooling/types.ts";

const ENTRY = asId<HostId>("h1");
const HOLDER = asId<HostId>("h2");

let entry: ListeningHostStreams;
let holder: ListeningHostStreams;
let holderAddress: string;
let received: ForwardRequest[];
let closed: string[];
let accepted: HostStream<ForwardResponse>[];

async function findAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `127.0.0.1:${port}`;
}

beforeEach(async () => {
  received = [];
  closed = [];
  accepted = [];
  const entryAddress = await findAddress();
  holderAddress = await findAddress();
  const addresses = new Map([[ENTRY, entryAddress], [HOLDER, holderAddress]]);
  const options = {
    log: { info() {}, request() {} },
    metrics: createMetrics(),
  };
  entry = createHostStreams(entryAddress, { ...options, self: ENTRY });
  holder = createHostStreams(holderAddress, { ...options, self: HOLDER });
  entry.setAddresses(addresses);
  holder.setAddresses(addresses);
  holder.onAccept((_, stream) => {
    accepted.push(stream);
    return {
      onMessage: (msg) => void received.push(msg),
      onClose: (detail) => void closed.push(detail),
    };
  });
  await holder.listen();
});

afterEach(() => {
  entry.close();
  holder.close();
});

function createRun(id: number, overrides: object = {}): ForwardRequest {
  return {
    kind: "run",
    id,
    channel: id,
    target: asId("t1"),
    incarnation: 1,
    priority: 1,
    waitMs: 100,
    isFirst: true,
    command: { kind: "status" },
    ...overrides,
  };
}

async function open(): Promise<{
  readonly stream: HostStream<ForwardRequest>;
  readonly responses: ForwardResponse[];
}> {
  const responses: ForwardResponse[] = [];
  const stream = await new Promise<HostStream<ForwardRequest>>((resolve) => {
    const opened = entry.open(HOLDER, {
      onOpen: () => resolve(opened),
      onMessage: (msg) => void responses.push(msg),
      onClose: (detail) => void closed.push(detail),
    });
  });
  return { stream, responses };
}

async function waitFor(isDone: () => boolean): Promise<void> {
  while (!isDone()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

// Field names are sent once for each stream and shape of message.
test("messages of many shapes arrive in order and unchanged", async () => {
  const { stream, responses } = await open();
  const texts = ["", "a b", "é", "x".repeat(70_000)];
  const sent = Array.from({ length: 300 }, (_, id) =>
    createRun(id, {
      ...(id % 2 ? { workspace: `w${id}` } : {}),
      ...(id % 3
        ? { variables: [{ name: `n${id}`, value: texts[id % 4]! }] }
        : {}),
      ...(id % 5 ? { prepared: { access: "read", shape: `s${id}` } } : {}),
      command: [
        { kind: "begin", isReadOnly: true, after: { term: 1, pos: id } },
        { kind: "begin", isReadOnly: false },
        { kind: "commit", id: `c${id}`, text: "COMMIT" },
        { kind: "rollback" },
        { kind: "run", id: `r${id}`, text: "READ k" },
        {
          kind: "run",
          id: `r${id}`,
          text: "READ k",
          after: { term: 1, pos: 2 },
        },
        { kind: "execute", id: `e${id}`, args: texts[id % 4] },
        { kind: "status" },
      ][id % 8],
    }));
  sent.forEach(stream.send);
  await waitFor(() => received.length === sent.length);
  expect(received).toEqual(sent);
  const reply: ForwardResponse = {
    kind: "reply",
    id: 1,
    reply: { kind: "done", rows: ["r"], signature: "s", state: "idle" },
  };
  accepted[0]!.send(reply);
  accepted[0]!.send({ kind: "leaving" });
  await waitFor(() => responses.length === 2);
  expect(responses).toEqual([reply, { kind: "leaving" }]);
});

test("a host that is not registered is refused", async () => {
  const ws = new WebSocket(`ws://${holderAddress}/?from=h9`);
  const [err] = await once(ws, "error") as [Error];
  expect(err.message).toContain("401");
  expect(accepted).toEqual([]);
});

// Pattern: a whole fleet restarts, and some hosts know their peers later.
test("a stream waits until its holder knows its peers", async () => {
  const address = await findAddress();
  const late = createHostStreams(address, {
    self: HOLDER,
    log: { info() {}, request() {} },
    metrics: createMetrics(),
  });
  await late.listen();
  const addresses = new Map([[ENTRY, "127.0.0.1:1"], [HOLDER, address]]);
  entry.setAddresses(addresses);
  const opened = open();
  late.setAddresses(addresses);
  await opened;
  late.close();
});

test("a registered host is refused from another address", async () => {
  holder.setAddresses(new Map([[ENTRY, "7.0.0.1:1"]]));
  const ws = new WebSocket(`ws://${holderAddress}/?from=h1`);
  const [err] = await once(ws, "error") as [Error];
  expect(err.message).toContain("401");
});

test("a host whose port is in use goes on without accepting streams", async () => {
  const events: string[] = [];
  const second = createHostStreams(holderAddress, {
    self: HOLDER,
    log: { info: (event) => void events.push(event), request() {} },
    metrics: createMetrics(),
  });
  await second.listen();
  expect(events).toEqual(["host_streams_failed"]);
});

test("malformed frames end their own stream and nothing else", async () => {
  const { stream } = await open();
  const valid = new Packr({ sequential: true }).pack(createRun(1));
  const frames = [
    ...fc.sample(fc.uint8Array({ maxLength: 200 }), {
      seed: 20_261_204,
      numRuns: 40,
    }),
    ...fc.sample(
      fc.tuple(fc.nat(valid.length - 1), fc.nat(255)),
      { seed: 20_261_204, numRuns: 40 },
    ).map(([at, byte]) => {
      const frame = Uint8Array.from(valid);
      frame[at] = byte;
      return frame;
    }),
  ];
  for (const frame of frames) {
    const ws = new WebSocket(`ws://${holderAddress}/?from=h1`);
    await once(ws, "open");
    ws.send(frame);
    ws.close();
    await once(ws, "close");
  }
  stream.send(createRun(7));
  await waitFor(() => received.some((msg) => "id" in msg && msg.id === 7));
});

test("a stream to an address at which nobody listens is closed", async () => {
  entry.setAddresses(new Map([[HOLDER, await findAddress()]]));
  const detail = await new Promise<string>((resolve) =>
    entry.open(HOLDER, { onOpen() {}, onMessage() {}, onClose: resolve })
  );
  expect(detail).toContain("ECONNREFUSED");
});

test("calls to the store and their replies pass with values as they are", async () => {
  const replies: ForwardResponse[] = [];
  const stream = entry.open(HOLDER, {
    onOpen: () =>
      stream.send({
        kind: "store_call",
        id: 4,
        request: {
          kind: "put",
          key: asId("fleet/a"),
          value: { list: [1, { x: null }] },
          ifVersion: 0,
        },
      }),
    onMessage: (msg) => void replies.push(msg),
    onClose: (detail) => void closed.push(detail),
  });
  await vi.waitFor(() => expect(received).toHaveLength(1));
  accepted[0]!.send({
    kind: "store_reply",
    id: 4,
    era: 2,
    result: {
      kind: "conflict",
      current: { key: asId("fleet/a"), version: 7, value: { list: [] } },
    },
  });
  await vi.waitFor(() => expect(replies).toHaveLength(1));
  expect({ received, replies, closed }).toMatchSnapshot();
  stream.close();
});

// A host of an earlier version rejects unknown fields and closes the stream, so
// a rolling replacement would have closed every stream.
test("only hosts that state the feature are sent the fields about load", async () => {
  const { stream } = await open();
  expect(stream.acceptsLoadFields?.()).toBe(true);
  await waitFor(() => accepted.length === 1);
  expect(accepted[0]!.acceptsLoadFields?.()).toBe(true);
  // As an earlier version opens a stream.
  const earlier = new WebSocket(`ws://${holderAddress}/?from=${ENTRY}`);
  await once(earlier, "open");
  await waitFor(() => accepted.length === 2);
  expect(accepted[1]!.acceptsLoadFields?.()).toBe(false);
  earlier.terminate();
});

test("a holder of an earlier version is not sent the fields about load", async () => {
  holder.close();
  const port = Number(holderAddress.split(":")[1]);
  const earlier = new WebSocketServer({ host: "127.0.0.1", port });
  await once(earlier, "listening");
  const { stream } = await open();
  expect(stream.acceptsLoadFields?.()).toBe(false);
  earlier.clients.forEach((client) => client.terminate());
  earlier.close();
});
