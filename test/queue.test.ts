import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { nowMs, sleep } from "../src/core/clock.ts";
import { asId, type TargetId, type WorkspaceId } from "../src/core/ids.ts";
import {
  createFairQueue,
  type Queue,
  type QueueOptions,
} from "../src/core/queue.ts";
import { createFifoQueue } from "../tools/experiments/baselines.ts";

const TARGET = asId<TargetId>("t1");
const LARGE = asId<WorkspaceId>("large");
const SMALL = asId<WorkspaceId>("small");

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const UNLIMITED: QueueOptions["limits"] = {
  tryTake: () => ({ isValid: () => true, settle() {} }),
  setWaiting() {},
  getWaitMs: () => 0,
  onChange: () => () => {},
};

const OPTIONS: QueueOptions = {
  limits: UNLIMITED,
  slotsPerTarget: 2,
  maxInFlight: 2,
  random: () => 0.5,
};

/** Runs a statement of `ms`; returns its error and its wait for a slot. */
async function run(
  queue: Queue,
  statement: { workspace: WorkspaceId; ms: number; timeoutMs?: number },
): Promise<{ error: string | undefined; tookMs: number; retryMs?: number }> {
  const startedAt = nowMs();
  const slot = await queue.enter(TARGET, {
    workspace: statement.workspace,
    deadline: startedAt + (statement.timeoutMs ?? 5_000),
  });
  const tookMs = nowMs() - startedAt;
  if (slot.isErr()) {
    const { error, retryAfterMs = 0 } = slot.error;
    return { error, tookMs, retryMs: retryAfterMs };
  }
  await sleep(statement.ms);
  slot.value.release();
  return { error: undefined, tookMs };
}

/** Measures the longest wait of a small workspace during a flood by another. */
async function measureSmallWaitMs(queue: Queue): Promise<number> {
  const waits: number[] = [];
  for (let ms = 0; ms < 2_000; ms += 10) {
    void run(queue, { workspace: LARGE, ms: 20 });
    void run(queue, { workspace: LARGE, ms: 20 });
    if (ms % 100 === 0) {
      void run(queue, { workspace: SMALL, ms: 2 })
        .then(({ tookMs, error }) => waits.push(error ? Infinity : tookMs));
    }
    await vi.advanceTimersByTimeAsync(10);
  }
  await vi.advanceTimersByTimeAsync(6_000);
  return Math.max(...waits);
}

test("a flood does not delay another workspace", async () => {
  expect(await measureSmallWaitMs(createFairQueue(OPTIONS))).toBeLessThan(60);
});

test("a flood delays other workspaces in a FIFO queue", async () => {
  expect(await measureSmallWaitMs(createFifoQueue(OPTIONS))).toBeGreaterThan(
    60,
  );
});

test("a request that cannot be served in time is refused at once", async () => {
  const queue = createFairQueue(OPTIONS);
  const results: Awaited<ReturnType<typeof run>>[] = [];
  for (let count = 0; count < 200; count++) {
    void run(queue, { workspace: LARGE, ms: 20 }).then((r) => results.push(r));
    await vi.advanceTimersByTimeAsync(1);
  }
  await vi.advanceTimersByTimeAsync(5_000);
  const refused = results.filter((r) => r.error);
  expect(refused.length).toBeGreaterThan(0);
  expect(new Set(refused.map((r) => r.error))).toEqual(new Set(["overloaded"]));
  expect(Math.max(...refused.map((r) => r.tookMs))).toBe(0);
  expect(Math.min(...refused.map((r) => r.retryMs!))).toBeGreaterThan(0);
});

test("a rate-limited request gets a retry delay", async () => {
  const queue = createFairQueue({
    ...OPTIONS,
    limits: { ...UNLIMITED, tryTake: () => undefined, getWaitMs: () => 2_000 },
  });
  const result = await run(queue, { workspace: LARGE, ms: 1 });
  expect(result).toEqual({ error: "rate_limited", tookMs: 0, retryMs: 2_500 });
});

test("statements in flight follow the concurrency of the target", async () => {
  const queue = createFairQueue({ ...OPTIONS, maxInFlight: 20 });
  let running = 0;
  let peak = 0;
  async function runShared(): Promise<void> {
    const slot = await queue.enter(TARGET, {
      workspace: LARGE,
      deadline: nowMs() + 5_000,
    });
    if (slot.isErr()) {
      return;
    }
    running++;
    peak = Math.max(peak, running);
    // The target runs two statements in parallel and queues the others.
    await sleep(10 * Math.max(1, running / 2));
    running--;
    slot.value.release();
  }
  for (let ms = 0; ms < 4_000; ms += 2) {
    void runShared();
    peak = ms === 1_000 ? 0 : peak;
    await vi.advanceTimersByTimeAsync(2);
  }
  expect(peak).toBeLessThanOrEqual(6);
});

test("a hung statement does not block later ones of its workspace", async () => {
  const queue = createFairQueue(OPTIONS);
  const hung = run(queue, { workspace: SMALL, ms: 4_000, timeoutMs: 6_000 });
  await vi.advanceTimersByTimeAsync(4_000);
  await hung;
  const errors: (string | undefined)[] = [];
  for (let n = 0; n < 10; n++) {
    // Other requests continue but leave one slot free.
    void run(queue, { workspace: LARGE, ms: 20 });
    void run(queue, { workspace: SMALL, ms: 2 })
      .then(({ error }) => errors.push(error));
    await vi.advanceTimersByTimeAsync(50);
  }
  expect(errors).toEqual(Array.from({ length: 10 }, () => undefined));
});

test("the retry delay is bounded when the wait is unknown", async () => {
  const queue = createFairQueue({
    ...OPTIONS,
    limits: { ...UNLIMITED, getWaitMs: () => Infinity },
  });
  const { error, retryMs } = await run(queue, { workspace: SMALL, ms: 2 });
  expect(error).toBe("rate_limited");
  expect(retryMs).toBeLessThanOrEqual(90_000);
});
