import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { getConnectionShare } from "../src/core/connections.ts";
import type { CallerSession } from "../src/core/entry.ts";
import type { Answer } from "../src/core/types.ts";
import type { TxId } from "../src/core/ids.ts";
import {
  createGetFrame,
  createPutFrame,
  getResult,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";
import { createFrame, getTestGroup, type TestGroup } from "./group.ts";

const TRANSACTION_TIMEOUT_MS = 2_000;

let fleet: TestFleet;
let group: TestGroup;
let entryHost: string;

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet({
    hosts: 5,
    settings: { requests: { transactionTimeoutMs: TRANSACTION_TIMEOUT_MS } },
  });
  group = getTestGroup(fleet);
  entryHost = fleet.hosts.find((h) => !group.poolHosts.includes(h.id))!.id;
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

async function begin(session: CallerSession): Promise<TxId> {
  const begun = await settle(session.request(createFrame({ kind: "begin" })));
  return getResult(begun) as TxId;
}

function commit(
  session: CallerSession,
  tx: TxId,
  id?: string,
): Promise<Answer> {
  return session.request(createFrame({ kind: "end", tx, end: "commit" }, id));
}

/** Begins a transaction and writes one row in it. */
async function beginWrite(session: CallerSession, key: string): Promise<TxId> {
  const tx = await begin(session);
  getResult(
    await settle(session.request(createPutFrame(key, "placed", { tx }))),
  );
  return tx;
}

async function expectLost(answer: Promise<Answer>, key: string): Promise<void> {
  expect(await settle(answer)).toMatchObject({
    failure: { error: "transaction_lost" },
  });
  expect(group.countEntries(key)).toBe(0);
}

describe("a transaction", () => {
  test("commits atomically and is visible only afterwards", async () => {
    const session = fleet.openSession(entryHost);
    const tx = await beginWrite(session, "order");
    const otherSession = fleet.openSession("h1");
    const before = await settle(otherSession.request(createGetFrame("order")));
    expect(getResult(before)).toBeNull();
    const inside = await settle(
      session.request(createGetFrame("order", { tx })),
    );
    expect(getResult(inside)).toBe("placed");
    getResult(await settle(commit(session, tx)));
    const after = await settle(
      fleet.openSession("h1").request(createGetFrame("order")),
    );
    expect(getResult(after)).toBe("placed");
  });

  test("cannot be used by another session or workspace", async () => {
    const tx = await beginWrite(fleet.openSession(entryHost), "order");
    for (const workspace of [undefined, "archive"]) {
      const otherSession = fleet.openSession(
        entryHost,
        workspace ? { workspace } : {},
      );
      await expectLost(
        otherSession.request(createGetFrame("order", { tx })),
        "order",
      );
      await expectLost(commit(otherSession, tx), "order");
    }
  });

  test("does not see writes of an interleaved transaction on the same pool", async () => {
    const sessions = [
      fleet.openSession(entryHost),
      fleet.openSession(entryHost),
    ];
    const txs = [];
    for (const [n, session] of sessions.entries()) {
      txs.push(await beginWrite(session, `order-${n}`));
    }
    for (const [n, session] of sessions.entries()) {
      const tx = txs[n]!;
      const frame = createGetFrame(`order-${1 - n}`, { tx });
      expect(getResult(await settle(session.request(frame)))).toBeNull();
    }
    fleet.kill(entryHost);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(group.countEntries("order-0")).toBe(0);
    expect(group.countEntries("order-1")).toBe(0);
  });
});

describe("a transaction is rolled back", () => {
  /** Fails unless a transaction can begin on every pooled connection. */
  async function expectConnectionsFree(): Promise<void> {
    const count = getConnectionShare(group.info.targets, 3);
    for (let n = 0; n < count; n++) {
      const frame = { ...createFrame({ kind: "begin" }), timeoutMs: 100 };
      const session = fleet.openSession(group.poolHosts[0]!);
      getResult(await settle(session.request(frame)));
    }
  }

  test("when its session ends", async () => {
    const session = fleet.openSession(entryHost);
    await beginWrite(session, "order");
    session.end();
    await vi.advanceTimersByTimeAsync(100);
    expect(group.countEntries("order")).toBe(0);
    await expectConnectionsFree();
  });

  // The end of the session reached the pool host before the transaction was
  // open there, which then held its connection until its timeout.
  test.each([0, 1, 2, 4, 6])(
    "when its session ends %i ms after the begin was sent",
    async (ms) => {
      const session = fleet.openSession(entryHost);
      const begun = session.request(createFrame({ kind: "begin" }));
      await vi.advanceTimersByTimeAsync(ms);
      session.end();
      await settle(begun);
      await vi.advanceTimersByTimeAsync(100);
      await expectConnectionsFree();
    },
  );

  test("when its entry host dies", async () => {
    await beginWrite(fleet.openSession(entryHost), "order");
    fleet.kill(entryHost);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(group.countEntries("order")).toBe(0);
    await expectConnectionsFree();
  });

  test("when its pool host dies", async () => {
    const session = fleet.openSession(entryHost);
    const tx = await beginWrite(session, "order");
    fleet.kill(group.poolHosts[0]!);
    await expectLost(commit(session, tx), "order");
  });

  test("when its primary is lost", async () => {
    const session = fleet.openSession(entryHost);
    const tx = await beginWrite(session, "order");
    group.targets[0]!.faults = { cutFrom: ["*"] };
    await expectLost(commit(session, tx), "order");
    expect(group.getPrimary()).not.toBe(group.targets[0]);
  });

  test("when it takes too long", async () => {
    const session = fleet.openSession(entryHost);
    const tx = await beginWrite(session, "order");
    await vi.advanceTimersByTimeAsync(TRANSACTION_TIMEOUT_MS + 100);
    await expectLost(commit(session, tx), "order");
    await expectConnectionsFree();
  });
});

describe("a commit whose answer is lost is resolved by its id", () => {
  const STEPS_MS = [0, 1, 2, 4, 8, 15, 30];

  test.each(STEPS_MS)("with its pool host dead after %i ms", async (ms) => {
    const session = fleet.openSession(entryHost);
    const tx = await beginWrite(session, "order");
    const pendingCommit = commit(session, tx);
    await vi.advanceTimersByTimeAsync(ms);
    fleet.kill(group.poolHosts[0]!);
    const answer = await settle(pendingCommit);
    const isDone = answer.kind === "done";
    expect(group.countEntries("order")).toBe(isDone ? 1 : 0);
    expect(isDone || answer.failure.error).not.toBe("outcome_unknown");
  });

  test.each(STEPS_MS)("with its primary lost after %i ms", async (ms) => {
    const session = fleet.openSession(entryHost);
    const tx = await beginWrite(session, "order");
    const pendingCommit = commit(session, tx, "commit-1");
    await vi.advanceTimersByTimeAsync(ms);
    group.targets[0]!.faults = { cutFrom: ["*"] };
    const answer = await settle(pendingCommit);
    const isDone = answer.kind === "done";
    expect(group.countEntries("order")).toBe(isDone ? 1 : 0);
    expect(isDone || answer.failure.error).not.toBe("outcome_unknown");
    // Another host reports the same outcome.
    const outcomeFrame = createFrame({ kind: "outcome", of: "commit-1" });
    const outcome = await settle(fleet.openSession("h1").request(outcomeFrame));
    expect(getResult(outcome)).toMatchObject({ ran: isDone });
  });
});
