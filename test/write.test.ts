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
function addFrame(key: string, timeoutMs = 8_000): RequestFrame {
  const body = { op: "add", key, amount: 1 };
  return { ...createPutFrame(key, 0, { timeoutMs }), body } as RequestFrame;
}

function send(host: string, frame: RequestFrame): Promise<Answer> {
  return fleet.open(host).request(frame);
}

function errorOf(answer: Answer): string | undefined {
  return answer.kind === "failed" ? answer.failure.error : undefined;
}

describe("an unrepeatable write runs once", () => {
  // Covers the receipt at the pool host, the statement and the answer.
  const STEPS_MS = [0, 1, 2, 4, 8, 15, 30];

  test.each(STEPS_MS)("when its pool host dies after %i ms", async (ms) => {
    const sent = send(entryHost, addFrame("order"));
    await vi.advanceTimersByTimeAsync(ms);
    fleet.kill(group.poolHosts[0]!);
    expect(getResult(await settle(sent))).toBe(1);
    expect(group.countEntries("order")).toBe(1);
  });

  test.each(STEPS_MS)("when its answer is lost after %i ms", async (ms) => {
    const sent = send(entryHost, addFrame("order"));
    await vi.advanceTimersByTimeAsync(ms);
    fleet.partition(entryHost, group.poolHosts[0]!);
    expect(getResult(await settle(sent))).toBe(1);
    expect(group.countEntries("order")).toBe(1);
  });

  test.each(STEPS_MS)("when its primary is cut after %i ms", async (ms) => {
    const sent = send(entryHost, addFrame("order"));
    await vi.advanceTimersByTimeAsync(ms);
    group.targets[0]!.faults = { cutFrom: ["*"] };
    expect(getResult(await settle(sent))).toBe(1);
    expect(group.countEntries("order")).toBe(1);
  });

  test("when the caller repeats it on another host", async () => {
    const frame = addFrame("order");
    await settle(send("h1", frame));
    group.targets[0]!.faults = { cutFrom: ["*"] };
    const again = await settle(send("h2", frame));
    expect(again).toMatchObject({ kind: "done", result: 1, replayed: true });
    expect(group.countEntries("order")).toBe(1);
  });
});

describe("a not-run error is returned only if the write did not run", () => {
  async function expectNotRun(host: string, expected: string): Promise<void> {
    const frame = addFrame("order", 1_500);
    expect(errorOf(await settle(send(host, frame)))).toBe(expected);
    group.targets.forEach((target) => target.faults = {});
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.countEntries("order")).toBe(0);
  }

  test("unavailable: the majority is gone", async () => {
    group.targets.forEach((target) => target.faults = { cutFrom: ["*"] });
    await vi.advanceTimersByTimeAsync(2_000);
    const startedAt = Date.now();
    const answer = await settle(send(entryHost, addFrame("order")));
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

  test("overloaded: it would wait too long for a slot", async () => {
    group.targets[0]!.faults = { statementMs: 3_000 };
    const ahead = Array.from(
      { length: 9 },
      (_, n) => send(group.poolHosts[0]!, addFrame(`other-${n}`, 9_000)),
    );
    await vi.advanceTimersByTimeAsync(10);
    await expectNotRun(group.poolHosts[0]!, "overloaded");
    await settle(Promise.all(ahead));
  });

  test("unavailable: no primary came before the deadline", async () => {
    group.targets[0]!.faults = { cutFrom: ["*"] };
    await vi.advanceTimersByTimeAsync(700);
    const answer = await settle(send(entryHost, addFrame("order", 100)));
    expect(errorOf(answer)).toBe("unavailable");
    await vi.advanceTimersByTimeAsync(5_000);
    expect(group.getTerm()).toBe(2);
    expect(group.countEntries("order")).toBe(0);
  });

  test("cancelled: its outcome was requested first", async () => {
    const frame = addFrame("order");
    const ask = createFrame({ kind: "outcome", of: frame.id });
    const asked = await settle(send("h1", ask));
    expect(getResult(asked)).toEqual({ ran: false });
    expect(errorOf(await settle(send("h2", frame)))).toBe("cancelled");
    expect(group.countEntries("order")).toBe(0);
  });

  test("request_id_reused: the id belongs to another statement", async () => {
    const frame = addFrame("first");
    await settle(send("h1", frame));
    const other = { ...addFrame("order"), id: frame.id };
    expect(errorOf(await settle(send("h2", other)))).toBe("request_id_reused");
    expect(group.countEntries("order")).toBe(0);
  });
});

describe("an unknown outcome", () => {
  test("is returned at the deadline and resolved after recovery", async () => {
    const replicas = group.targets.slice(1);
    replicas.forEach((target) => target.faults = { frozen: true });
    const frame = addFrame("order", 900);
    const answer = await settle(send(entryHost, frame));
    expect(errorOf(answer)).toBe("outcome_unknown");
    replicas.forEach((target) => target.faults = {});
    const ask = createFrame({ kind: "outcome", of: frame.id });
    expect(getResult(await settle(send("h2", ask)))).toEqual({
      ran: true,
      result: 1,
    });
    expect(group.countEntries("order")).toBe(1);
  });

  test("of an unreplicated write on a lost primary is resolved as not run", async () => {
    const [old, ...replicas] = group.targets;
    old!.faults = { cutFrom: replicas.map(getTargetId) };
    const frame = addFrame("order", 300);
    expect(errorOf(await settle(send(entryHost, frame)))).toBe(
      "outcome_unknown",
    );
    old!.faults = { cutFrom: ["*"] };
    const ask = createFrame({ kind: "outcome", of: frame.id });
    expect(getResult(await settle(send("h1", ask)))).toEqual({ ran: false });
    old!.faults = {};
    expect(errorOf(await settle(send("h2", frame)))).toBe("cancelled");
    expect(group.countEntries("order")).toBe(0);
  });
});

test("each target has one open request for all the writes", async () => {
  let open = 0;
  let peak = 0;
  const [target] = group.targets.slice(1);
  const { control } = target!;
  target!.control = async (from, req) => {
    open += req.kind === "await" ? 1 : 0;
    peak = Math.max(peak, open);
    const res = await control(from, req);
    open -= req.kind === "await" ? 1 : 0;
    return res;
  };
  const writes = Array.from(
    { length: 12 },
    (_, n) => send(group.poolHosts[0]!, createPutFrame(`order-${n}`, n)),
  );
  (await settle(Promise.all(writes))).forEach(getResult);
  expect(peak).toBe(1);
});

test("a read does not wait for a target that stopped answering", async () => {
  const writer = fleet.open("h1");
  const { token } = await settle(
    writer.request(createPutFrame("order", "placed")),
  );
  await vi.advanceTimersByTimeAsync(500);
  group.targets.slice(1).forEach((target) => target.faults = { frozen: true });
  const startedAt = Date.now();
  const reader = fleet.open("h2", { token });
  expect(getResult(await settle(reader.request(createGetFrame("order"))))).toBe(
    "placed",
  );
  expect(Date.now() - startedAt).toBeLessThan(3_000);
});
