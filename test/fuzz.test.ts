import { Buffer } from "node:buffer";
import fc from "fast-check";
import { pack } from "msgpackr";
import { expect, test, vi } from "vitest";
import type { RequestFrame } from "../src/core/entry.ts";
import { asId, type HostId, type WorkspaceId } from "../src/core/ids.ts";
import { decodeToken, encodeToken } from "../src/core/session.ts";
import type { PeerMessage } from "../src/core/types.ts";
import {
  decodeCallerFrame,
  encodeAnswer,
  MAX_FRAME_DEPTH,
} from "../src/host/caller_frames.ts";
import { tryDecodePeerMessage } from "../src/host/peer_frames.ts";
import { checkSettings, parseYaml } from "../src/host/settings.ts";
import { decodeTraceLine } from "../tools/trace_file.ts";
import {
  createGetFrame,
  createPutFrame,
  settle,
  startTestFleet,
} from "./fleet.ts";
import { mutatedBytes, mutatedJson, mutatedText } from "./mutations.ts";

/** A fixed seed gives the same values in every run. */
const RUN_OPTIONS = { seed: 20_260_101, numRuns: 1_000 };
const REFILL_MS = 5_000;
const FLEET_RUN_OPTIONS = { ...RUN_OPTIONS, numRuns: 150 };

const CALLER_FRAMES = [
  { kind: "hello", key: "k", token: "t" },
  { kind: "read", id: "r", service: "s", class: "c", body: { op: "get" } },
  { kind: "write", id: "r", service: "s", class: "c", body: 1, tx: "h1/x" },
  { kind: "begin", id: "r", service: "s", timeoutMs: 10 },
  { kind: "end", id: "r", service: "s", tx: "h1/x", end: "commit" },
  { kind: "outcome", id: "r", service: "s", of: "q" },
];

const EXEC = {
  kind: "exec",
  workspace: "archive",
  group: "ordering-1",
  op: { kind: "read", id: "r", class: "c", body: { op: "get", key: "k" } },
  budgetMs: 10,
  session: "h2.s",
  floor: { term: 1, pos: 2 },
};

const PEER_MESSAGES = [
  { kind: "call", rid: 1, req: EXEC },
  {
    kind: "call",
    rid: 2,
    req: {
      ...EXEC,
      op: { kind: "write", id: "r", class: "c", body: 1, repeatable: true },
    },
  },
  { kind: "call", rid: 3, req: { kind: "pull", versions: [] } },
  { kind: "return", rid: 1, res: { kind: "refused", error: "unavailable" } },
  {
    kind: "return",
    rid: 2,
    res: { kind: "exec", outcome: { kind: "failed", error: "internal" } },
  },
  {
    kind: "heartbeat",
    host: "h2",
    domain: "curepipe",
    incarnation: "i",
    leaving: false,
    seq: 1,
    revision: 3,
    versions: [{ key: "config/plans", version: 3 }],
  },
] as unknown as readonly PeerMessage[];

const TRACE_LINE = {
  atMs: 9,
  workspace: "w",
  session: "s",
  service: "ordering",
  class: "status_lookup",
  access: "read",
  body: { op: "get", key: "k" },
};

const SETTINGS = `
host: h1
domain: curepipe
region: mauritius
callers: { address: 127.0.0.1, port: 7000 }
peers: { address: 127.0.0.1, port: 7002, known: [] }
platform: { url: "http://127.0.0.1:7004" }
`;

test("any caller frame is decoded or refused with a reason", () => {
  const texts = CALLER_FRAMES.map((frame) => JSON.stringify(frame));
  const frames = fc.oneof(
    fc.string(),
    fc.json(),
    mutatedText(texts),
    mutatedJson(CALLER_FRAMES).map((frame) => JSON.stringify(frame)),
  );
  fc.assert(
    fc.property(frames, (text) => {
      const frame = decodeCallerFrame(text);
      if (frame.isOk()) {
        expect(CALLER_FRAMES.map((f) => f.kind)).toContain(frame.value.kind);
      } else {
        expect(frame.error.failure.error).toBe("bad_request");
        expect(frame.error.failure.detail).not.toBe("");
        expect(frame.error.id.length).toBeLessThanOrEqual(64);
      }
    }),
    RUN_OPTIONS,
  );
});

test("nesting beyond the limit is refused, however deep", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 100_000 }), (depth) => {
      const body = `${"[".repeat(depth)}${"]".repeat(depth)}`;
      const text = JSON.stringify(CALLER_FRAMES[1])
        .replace('{"op":"get"}', body);
      expect(decodeCallerFrame(text).isOk()).toBe(depth <= MAX_FRAME_DEPTH);
    }),
    { ...RUN_OPTIONS, numRuns: 50 },
  );
});

test("any answer is written as JSON", () => {
  const results = fc.oneof(
    fc.anything({ withBigInt: true, withDate: true, withMap: true }),
    fc.nat(20_000).map((depth) => {
      let value: unknown = 0;
      for (let level = 0; level < depth; level++) {
        value = [value];
      }
      return value;
    }),
  );
  fc.assert(
    fc.property(results, (result) => {
      const text = encodeAnswer({
        id: "r1",
        ok: true,
        result,
        token: "",
        servedBy: "primary",
      });
      expect(JSON.parse(text)).toMatchObject({ id: "r1" });
    }),
    RUN_OPTIONS,
  );
});

test("any peer frame is decoded or dropped", () => {
  const packed = PEER_MESSAGES.map((msg) => pack(msg) as Buffer);
  const frames = fc.oneof(
    fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
    mutatedBytes(packed),
    mutatedJson(PEER_MESSAGES).map((msg) => pack(msg) as Buffer),
    fc.nat(20_000).map((depth) =>
      Buffer.concat([Buffer.alloc(depth, 0x91), Buffer.from([0])])
    ),
  );
  const kinds = ["call", "return", "heartbeat", "undefined"];
  fc.assert(
    fc.property(frames, (bytes) => {
      expect(kinds).toContain(`${tryDecodePeerMessage(bytes)?.kind}`);
    }),
    RUN_OPTIONS,
  );
});

test("any session token is decoded or refused", () => {
  const workspace = asId<WorkspaceId>("archive");
  const validToken = encodeToken({
    id: "h1.s",
    workspace,
    floors: new Map([[asId("ordering-1"), { term: 2, pos: 7 }]]),
  });
  expect(decodeToken(validToken, workspace).isOk()).toBe(true);
  expect(decodeToken(validToken, asId("litigants")).isOk()).toBe(false);
  const bytes = Buffer.from(validToken, "base64url");
  const tokens = fc.oneof(
    fc.string(),
    fc.base64String(),
    mutatedText([validToken]),
    mutatedBytes([bytes]).map((b) => b.toString("base64url")),
  );
  fc.assert(
    fc.property(tokens, (token) => {
      const floors = decodeToken(token, workspace);
      if (floors.isErr()) {
        expect(floors.error.error).toBe("token_invalid");
        return;
      }
      for (const { term, pos } of floors.value.values()) {
        expect(Number.isSafeInteger(term) && Number.isSafeInteger(pos))
          .toBe(true);
      }
    }),
    RUN_OPTIONS,
  );
});

test("any settings are accepted or every problem has a text", () => {
  const texts = fc.oneof(
    fc.string(),
    fc.json(),
    mutatedText([SETTINGS]),
    fc.nat(200).map((depth) => "[".repeat(depth)),
    fc.constant("a: &a [1]\nb: &b [*a, *a]\nc: [*b, *b, *c]"),
  );
  fc.assert(
    fc.property(texts, (text) => {
      const settings = parseYaml(text).andThen(checkSettings);
      if (settings.isErr()) {
        expect(settings.error.length).toBeGreaterThan(0);
        settings.error.forEach((problem) => expect(problem.text).not.toBe(""));
      }
    }),
    RUN_OPTIONS,
  );
});

test("any line of a trace is decoded or refused with a reason", () => {
  const lines = fc.oneof(
    fc.string(),
    fc.json(),
    mutatedText([JSON.stringify(TRACE_LINE)]),
    mutatedJson([TRACE_LINE]).map((line) => JSON.stringify(line)),
  );
  fc.assert(
    fc.property(lines, (text) => {
      const line = decodeTraceLine(text);
      if (line.isErr()) {
        expect(line.error.length).toBeGreaterThan(0);
      } else {
        expect(["read", "write"]).toContain(line.value.access);
      }
    }),
    RUN_OPTIONS,
  );
});

test("a host keeps serving after any valid frames and messages", async () => {
  vi.useFakeTimers();
  const fleet = await startTestFleet();
  const { host } = fleet.getHost("h1");
  const session = fleet.openSession("h1");
  const frames = fc.oneof(
    mutatedJson(CALLER_FRAMES),
    mutatedJson([createGetFrame("k"), createPutFrame("k", 1)]),
  ).filter((frame) => {
    const decoded = decodeCallerFrame(JSON.stringify(frame));
    return decoded.isOk() && decoded.value.kind !== "hello";
  });
  const messages = mutatedJson(PEER_MESSAGES)
    .map((msg) => tryDecodePeerMessage(pack(msg) as Buffer))
    .filter((msg) => msg !== undefined);
  await fc.assert(
    fc.asyncProperty(frames, messages, async (frame, msg) => {
      host.receivePeer(asId<HostId>("h2"), msg);
      const answer = await settle(session.request(frame as RequestFrame));
      expect(["done", "failed"]).toContain(answer.kind);
    }),
    FLEET_RUN_OPTIONS,
  );
  // Lets the token bucket of the workspace refill.
  await vi.advanceTimersByTimeAsync(REFILL_MS);
  const answer = await settle(session.request(createPutFrame("last", 1)));
  expect(answer).toMatchObject({ kind: "done" });
  fleet.stop();
  vi.useRealTimers();
}, 60_000);
