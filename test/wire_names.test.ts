import type { Server } from "node:net";
import { connect } from "node:net";
import fc from "fast-check";
import { afterEach, expect, test, vi } from "vitest";
import {
  createClientListener,
  encodeAnswer,
} from "../platform/client_listener.ts";
import { tryDecodeCatalog } from "../platform/decode_catalog.ts";
import { encodeStart, isWireName } from "../platform/line_codec.ts";
import { createTargetDialer } from "../platform/target_link.ts";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import { createMetrics } from "../src/host/metrics.ts";
import { listen } from "../standins/serve.ts";
import { createStatementGroup } from "../standins/statement_group.ts";
import { createStatementServer } from "../standins/statement_server.ts";
import { startPoolFleet } from "./pool_fleet.ts";

const NAMES = ["adam", "šdam", "dam", "žluť", "ĊčĊ", "日本", "🐝hive"];

const closables: { close(): unknown }[] = [];
afterEach(() => {
  closables.splice(0).forEach((closable) => closable.close());
  vi.useRealTimers();
});

// Guards against names that lose bits on their way to a target: statements of
// one workspace then run under the name of another.
test("a target is told the name of the workspace as it is configured", async () => {
  const service = asId<Parameters<typeof encodeStart>[0]["service"]>("záznamy");
  const group = createStatementGroup({ service, ids: ["úl-1"] });
  const [target] = group.targets;
  const server: Server = createStatementServer(group, target!.record.id);
  const port = await listen(server, 0);
  closables.push(server);
  for (const name of NAMES) {
    const link = (await createTargetDialer().dial(
      { ...target!.record, address: `127.0.0.1:${port}` },
      { workspace: asId<WorkspaceId>(name), timeoutMs: 2_000 },
    )).unwrap();
    await link.send({ kind: "run", id: asId("r1"), text: "READ k" });
    link.close();
  }
  expect(group.runs.map(({ workspace }) => workspace)).toEqual(NAMES);
});

// Guards against two names that are sent alike, and against a name that ends the
// message in which it is sent.
test("each name has an encoding of its own, without blanks and line ends", () => {
  const target = { service: asId<never>("s"), id: asId<never>("t") };
  const encode = (name: string) => encodeStart(target, asId(name));
  fc.assert(
    fc.property(
      fc.string({ unit: "binary" }).filter(isWireName),
      fc.string({ unit: "binary" }).filter(isWireName),
      (a, b) => {
        expect(encode(a) === encode(b)).toBe(a === b);
        expect(encode(a).split(" ")).toHaveLength(4);
        expect(encode(a).split("\r\n")).toHaveLength(2);
        expect(encode(a)).toMatch(/^[^\u0100-\uffff]*$/);
      },
    ),
    { seed: 7, numRuns: 2_000 },
  );
});

test("a workspace whose name has no encoding is left out", () => {
  const catalog = tryDecodeCatalog({
    version: 1,
    tenants: [
      { name: "a\ud800", apiKeys: ["k1"] },
      { name: "b", apiKeys: ["k2"] },
    ],
  });
  expect([...catalog!.workspaceByKey]).toEqual([["k2", "b"]]);
});

/** Returns the first line that the listener answers to a session's start. */
async function start(
  port: number,
  message: Buffer | string,
): Promise<string> {
  const socket = connect({ host: "127.0.0.1", port });
  socket.write(message);
  return await new Promise((resolve) => {
    socket.setEncoding("latin1");
    socket.once("data", (chunk) => {
      socket.destroy();
      resolve(String(chunk).split(" ")[0]!.trim());
    });
  });
}

// Guards against a key whose bytes, read as one character each, are the key of
// another workspace; and against keys that nobody can use.
test("names and keys of clients are read as UTF-8", async () => {
  const fleet = await startPoolFleet();
  closables.push({ close: () => fleet.stop() });
  fleet.setCatalog({
    workspaceByKey: new Map([["klíč", asId("w1")], ["kÃ©", asId("w1")]]),
  });
  await vi.advanceTimersByTimeAsync(2_000);
  vi.useRealTimers();
  const log = { info() {}, request() {} };
  const listener = createClientListener(fleet.poolers[0]!, {
    address: "127.0.0.1:0",
    log,
    metrics: createMetrics(),
  });
  closables.push(listener);
  const port = await listener.listen();
  expect(await start(port, "START orders klíč\r\n")).toBe("READY");
  expect(await start(port, "START orders kÃ©\r\n")).toBe("READY");
  expect(await start(port, "START orders ké\r\n")).toBe("ERR");
  expect(await start(port, Buffer.from("START orders klíč\r\n", "latin1")))
    .toBe("ERR");
  expect(await start(port, "START orders \ufeffklíč\r\n")).toBe("ERR");
});

// Guards against a detail with letters whose lowest bytes are CR and LF.
test("the text of a failure is one line", () => {
  const text = encodeAnswer({
    kind: "failed",
    error: "overloaded",
    detail: "waits for čĊDONE x\r\nREADY",
    state: "idle",
  });
  const bytes = Buffer.from(text, "latin1").toString("latin1");
  expect(bytes.split("\r\n")).toHaveLength(3);
});
