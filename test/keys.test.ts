import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { pack } from "msgpackr";
import { IDLE_TIMEOUT_MS } from "../src/core/connections.ts";
import type { CallerSession, RequestFrame } from "../src/core/entry.ts";
import {
  asId,
  type KeyId,
  type ReqId,
  type TxId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import { issueKey, matchesSecret, tryParseKeyId } from "../src/core/keys.ts";
import { rotateKey, withdrawKey } from "../src/core/lists.ts";
import type { Answer } from "../src/core/types.ts";
import { LAKAZ } from "../tools/workloads.ts";
import {
  createGetFrame,
  createPutFrame,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";

/** Time within which every host refuses a withdrawn key (issue 6). */
const REVOCATION_MS = 5_000;
const WORKSPACE = LAKAZ.workspaces[0]!.workspace;

let fleet: TestFleet;
let store: MemoryStore;

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet({ hosts: 5 });
  store = createMemoryStore(fleet.platform);
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

function getKeyId(workspace: WorkspaceId): KeyId {
  return tryParseKeyId(fleet.keys.get(workspace)!)!;
}

function tryOpenSession(host: string, secret: string): string {
  const opened = fleet.getHost(host).host.entry
    .open({ kind: "hello", key: secret });
  return opened.isErr() ? opened.error.error : "opened";
}

async function request(
  session: CallerSession,
  frame: RequestFrame,
): Promise<string> {
  const answer: Answer = await settle(session.request(frame));
  return answer.kind === "done" ? "done" : answer.failure.error;
}

function createBeginFrame(id: string): RequestFrame {
  return { kind: "begin", id: asId<ReqId>(id), service: LAKAZ.service };
}

test("a withdrawn key is refused on open sessions and in transactions", async () => {
  const sessions = fleet.hosts.map(({ id }) => fleet.openSession(id));
  const begun = await settle(sessions[0]!.request(createBeginFrame("begin-1")));
  expect(begun.kind).toBe("done");
  const tx = begun.kind === "done" ? begun.result as TxId : undefined;
  expect(await request(sessions[0]!, createPutFrame("row", 1, { tx: tx! })))
    .toBe(
      "done",
    );
  // h4 is partitioned from the platform, h5 from the platform and all peers.
  fleet.partition("h4", "platform");
  ["platform", "h1", "h2", "h3", "h4"].forEach((n) => fleet.partition("h5", n));
  (await settle(withdrawKey(store, getKeyId(WORKSPACE)))).unwrap();
  await vi.advanceTimersByTimeAsync(REVOCATION_MS);
  const refusals = await Promise.all(
    sessions.map((session) => request(session, createGetFrame("row"))),
  );
  expect(refusals).toEqual([
    ...Array.from({ length: 4 }, () => "unauthenticated"),
    "configuration_unconfirmed",
  ]);
  expect(await request(sessions[0]!, createPutFrame("row", 2, { tx: tx! })))
    .toBe("unauthenticated");
  const opened = fleet.hosts.map(({ id }) =>
    tryOpenSession(id, fleet.keys.get(WORKSPACE)!)
  );
  expect(opened).toEqual(refusals);
});

test("a transaction is rolled back when its key is withdrawn", async () => {
  let endCount = 0;
  for (const node of fleet.targets.values()) {
    const { tryOpen } = node;
    node.tryOpen = (from) => {
      const conn = tryOpen(from);
      return conn && { ...conn, end: () => (endCount++, conn.end()) };
    };
  }
  // Waits until the idle connections that bypass the counter are closed.
  await vi.advanceTimersByTimeAsync(IDLE_TIMEOUT_MS + 1_000);
  expect(endCount).toBe(0);
  const session = fleet.openSession("h1");
  const begun = await settle(session.request(createBeginFrame("begin-1")));
  expect(begun.kind).toBe("done");
  expect(endCount).toBe(0);
  (await settle(withdrawKey(store, getKeyId(WORKSPACE)))).unwrap();
  // Shorter than the transaction timeout.
  await vi.advanceTimersByTimeAsync(REVOCATION_MS);
  expect(endCount).toBe(1);
});

test("a key is rotated with overlap", async () => {
  const old = fleet.keys.get(WORKSPACE)!;
  const rotated = (await settle(rotateKey(store, {
    keyId: getKeyId(WORKSPACE),
    overlapMs: 20_000,
  }))).unwrap();
  await vi.advanceTimersByTimeAsync(REVOCATION_MS);
  expect([tryOpenSession("h2", old), tryOpenSession("h2", rotated.secret)])
    .toEqual(["opened", "opened"]);
  await vi.advanceTimersByTimeAsync(20_000);
  expect([tryOpenSession("h2", old), tryOpenSession("h2", rotated.secret)])
    .toEqual(["unauthenticated", "opened"]);
});

test("only the exact secret of a key is accepted", () => {
  const { record, secret } = issueKey(WORKSPACE);
  const other = issueKey(WORKSPACE);
  expect(matchesSecret(record, secret)).toBe(true);
  const changed = secret.slice(0, -1) + (secret.endsWith("0") ? "1" : "0");
  expect(matchesSecret(record, changed)).toBe(false);
  expect(matchesSecret(record, other.secret)).toBe(false);
  expect(matchesSecret({ ...record, hash: "" }, secret)).toBe(false);
  const validKey = fleet.keys.get(WORKSPACE)!;
  const guesses = [
    "",
    "tck",
    validKey.slice(0, -1),
    `${validKey}0`,
    validKey.toUpperCase(),
  ];
  expect(guesses.map((guess) => tryOpenSession("h1", guess)))
    .toEqual(guesses.map(() => "unauthenticated"));
});

test("no key reaches a target, a log or an answer", async () => {
  const received: string[] = [];
  for (const node of fleet.targets.values()) {
    const { tryOpen, control } = node;
    node.control = (from, req) => {
      received.push(pack([from, req]).toString("latin1"));
      return control(from, req);
    };
    node.tryOpen = (from) => {
      const conn = tryOpen(from);
      return conn && {
        ...conn,
        run(req) {
          received.push(pack([from, req]).toString("latin1"));
          return conn.run(req);
        },
      };
    };
  }
  const outputs: unknown[] = [];
  for (const [workspace, key] of fleet.keys) {
    const session = fleet.openSession("h1", { workspace });
    outputs.push(await settle(session.request(createPutFrame("row", "x"))));
    outputs.push(await settle(session.request(createGetFrame("row"))));
    outputs.push(
      await settle(session.request(createBeginFrame(`begin-${workspace}`))),
    );
    session.end();
    outputs.push(
      fleet.getHost("h2").host.entry
        .open({ kind: "hello", key: `${key}0` }),
    );
  }
  await vi.advanceTimersByTimeAsync(1_000);
  outputs.push(fleet.hosts.map((host) => host.log));
  outputs.push(
    fleet.hosts.map(({ host }) => host.membership.listHostVersions()),
  );
  expect(received.length).toBeGreaterThan(3 * fleet.keys.size);
  const all = [...received, JSON.stringify(outputs)].join("\n");
  for (const secret of fleet.keys.values()) {
    expect(all).not.toContain(secret);
    expect(all).not.toContain(secret.split("_")[2]);
  }
});
