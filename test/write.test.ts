import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import type { RequestFrame } from "../src/core/entry.ts";
import { createFairQueue } from "../src/core/queue.ts";
import type { Answer } from "../src/core/types.ts";
import {
  createGetFrame,
  createPutFrame,
  getResult,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";
import { LAKAZ } from "../tools/workloads.ts";
import {
  createFrame,
  getTargetId,
  getTestGroup,
  type TestGroup,
} from "./group.ts";

let fleet: TestFleet;
let group: TestGroup;
let entryHost: string;

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet({ hosts: 5 });
  group = getTestGroup(fleet);
  // The entry host is not a pool host of the group.
  entryHost = fleet.hosts.find((h) => !group.poolHosts.includes(h.id))!.id;
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

/** Builds a write that increments a row, so that running twice is visible. */
function createAddFrame(key: string, timeoutMs = 8_000): RequestFrame {
  const body = { op: "add", key, amount: 1 };
  return { ...createPutFrame(key, 0, { timeoutMs }), body } as RequestFrame;
}

function send(host: string, frame: RequestFrame): Promise<Answer> {
  return fleet.openSession(host).request(frame);
}

function getError(answer: Answer): string | undefined {
  return answer.kind === "failed" ? answer.failure.error : undefined;
}

describe("an unrepeatable write runs once", () => {
  // Covers the receipt at the pool host, the statement and the answer.
  const STEPS_MS = [0, 1, 2, 4, 8, 15, 30];

  test.each(STEPS_MS)("when its pool host dies after %i ms", async (ms) => {
    const sent = send(entryHost, createAddFrame("order"));
    await vi.advanceTimersByTimeAsync(ms);
    fleet.kill(group.poolHosts[0]!);
    expect(getResult(await settle(sent))).toBe(1);
    expect(group.countEntries("order")).toBe(1);
  });

  test.each(STEPS_MS)("when its answer is lost after %i ms", async (ms) => {
    const sent = send(entryHost, createAddFrame("order"));
    await vi.advanceTimersByTimeAsync(ms);
    fleet.partition(entryHost, group.poolHosts[0]!);
    expect(getResult(await settle(sent))).toBe(1);
    expect(group.countEntries("order")).toBe(1);
  });

  test.each(STEPS_MS)("when its primary is lost after %i ms", async (ms) => {
    const sent = send(entryHost, createAddFrame("order"));
    await vi.advanceTimersByTimeAsync(ms);
    group.targets[0]!.faults = { cutFrom: ["*"] };
    expect(getResult(await settle(sent))).toBe(1);
    expect(group.countEntries("order")).toBe(1);
  });

  test("when the caller repeats it on another host", async () => {
    const frame = createAddFrame("order");
    await settle(send("h1", frame));
    group.targets[0]!.faults = { cutFrom: ["*"] };
    const repeated = await settle(send("h2", frame));
    expect(repeated).toMatchObject({ kind: "done", result: 1, replayed: true });
    expect(group.countEntries("order")).toBe(1);
  });
});

describe("a not-run error is returned only if the write did not run", () => {
  async function expectNotRun(host: string, expected: string): Promise<void> {
    const frame = createAddFrame("order", 1_500);
    expect(getError(await settle(send(host, frame)))).toBe(expected);
    group.targets.forEach((target) => target.faults = {});
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.countEntries("order")).toBe(0);
  }

  test("unavailable: the majority is gone", async () => {
    group.targets.forEach((target) => target.faults = { cutFrom: ["*"] });
    await vi.advanceTimersByTimeAsync(2_000);
    const startedAt = Date.now();
    const answer = await settle(send(entryHost, createAddFrame("order")));
    expect(answer).toMatchObject({
      failure: { error: "unavailable", retryAfterMs: expect.any(Number) },
    });
    // No answer can arrive, so the request fails long before its 8 s deadline.
    expect(Date.now() - startedAt).toBeLessThan(500);
    await expectNotRun(entryHost, "unavailable");
  });

  test("deadline_exceeded: the deadline passed before queuing", async () => {
    const queue = createFairQueue({
      limits: {
        tryTake: () => ({ isValid: () => true, settle() {} }),
        setWaiting() {},
        getWaitMs: () => 0,
        onChange: () => () => {},
      },
      slotsPerTarget: 3,
      maxInFlight: 3,
      random: () => 0,
    });
    const entered = await queue.enter(group.targets[0]!.core.status().target, {
      workspace: LAKAZ.workspaces[0]!.workspace,
      deadline: performance.now(),
    });
    expect(entered.isErr() && entered.error.error).toBe("deadline_exceeded");
    expect(group.countEntries("order")).toBe(0);
  });

  test("overloaded: the write would wait too long for a slot", async () => {
    group.targets[0]!.faults = { statementMs: 3_000 };
    const earlierWrites = Array.from(
      { length: 9 },
      (_, n) => send(group.poolHosts[0]!, createAddFrame(`other-${n}`, 9_000)),
    );
    await vi.advanceTimersByTimeAsync(10);
    await expectNotRun(group.poolHosts[0]!, "overloaded");
    await settle(Promise.all(earlierWrites));
  });

  test("unavailable: no primary came before the deadline", async () => {
    group.targets[0]!.faults = { cutFrom: ["*"] };
    await vi.advanceTimersByTimeAsync(700);
    const answer = await settle(send(entryHost, createAddFrame("order", 100)));
    expect(getError(answer)).toBe("unavailable");
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.getTerm()).toBe(2);
    expect(group.countEntries("order")).toBe(0);
  });

  test("cancelled: the outcome was requested before the write", async () => {
    const frame = createAddFrame("order");
    const outcomeFrame = createFrame({ kind: "outcome", of: frame.id });
    const outcome = await settle(send("h1", outcomeFrame));
    expect(getResult(outcome)).toEqual({ ran: false });
    expect(getError(await settle(send("h2", frame)))).toBe("cancelled");
    expect(group.countEntries("order")).toBe(0);
  });

  test("request_id_reused: the id belongs to another statement", async () => {
    const frame = createAddFrame("first");
    await settle(send("h1", frame));
    const other = { ...createAddFrame("order"), id: frame.id };
    expect(getError(await settle(send("h2", other)))).toBe("request_id_reused");
    expect(group.countEntries("order")).toBe(0);
  });
});

describe("an unknown outcome", () => {
  test("is returned at the deadline and resolved after recovery", async () => {
    const replicas = group.targets.slice(1);
    replicas.forEach((target) => target.faults = { frozen: true });
    const frame = createAddFrame("order", 900);
    const answer = await settle(send(entryHost, frame));
    expect(getError(answer)).toBe("outcome_unknown");
    replicas.forEach((target) => target.faults = {});
    const outcomeFrame = createFrame({ kind: "outcome", of: frame.id });
    expect(getResult(await settle(send("h2", outcomeFrame)))).toEqual({
      ran: true,
      result: 1,
    });
    expect(group.countEntries("order")).toBe(1);
  });

  test("of an unreplicated write on a lost primary is resolved as not run", async () => {
    const [oldPrimary, ...replicas] = group.targets;
    oldPrimary!.faults = { cutFrom: replicas.map(getTargetId) };
    const frame = createAddFrame("order", 300);
    expect(getError(await settle(send(entryHost, frame)))).toBe(
      "outcome_unknown",
    );
    oldPrimary!.faults = { cutFrom: ["*"] };
    const outcomeFrame = createFrame({ kind: "outcome", of: frame.id });
    expect(getResult(await settle(send("h1", outcomeFrame)))).toEqual({
      ran: false,
    });
    oldPrimary!.faults = {};
    expect(getError(await settle(send("h2", frame)))).toBe("cancelled");
    expect(group.countEntries("order")).toBe(0);
  });
});

test("a replica has one pending await request for all concurrent writes", async () => {
  let openRequests = 0;
  let maxOpenRequests = 0;
  const [target] = group.targets.slice(1);
  const { control } = target!;
  target!.control = async (from, req) => {
    openRequests += req.kind === "await" ? 1 : 0;
    maxOpenRequests = Math.max(maxOpenRequests, openRequests);
    const res = await control(from, req);
    openRequests -= req.kind === "await" ? 1 : 0;
    return res;
  };
  const writes = Array.from(
    { length: 12 },
    (_, n) => send(group.poolHosts[0]!, createPutFrame(`order-${n}`, n)),
  );
  (await settle(Promise.all(writes))).forEach(getResult);
  expect(maxOpenRequests).toBe(1);
});

test("a read does not wait for a target that stopped answering", async () => {
  const writer = fleet.openSession("h1");
  const { token } = await settle(
    writer.request(createPutFrame("order", "placed")),
  );
  await vi.advanceTimersByTimeAsync(500);
  group.targets.slice(1).forEach((target) => target.faults = { frozen: true });
  const startedAt = Date.now();
  const reader = fleet.openSession("h2", { token });
  expect(getResult(await settle(reader.request(createGetFrame("order"))))).toBe(
    "placed",
  );
  expect(Date.now() - startedAt).toBeLessThan(3_000);
});
