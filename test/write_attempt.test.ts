import { Ok } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { sendWithAbort } from "../src/core/abortable_send.ts";
import { nowMs, sleep } from "../src/core/clock.ts";
import { asId, type TargetId, type WorkspaceId } from "../src/core/ids.ts";
import type { SendContext } from "../src/core/send.ts";
import type { TargetInfo } from "../src/core/types.ts";
import type { AnswerWaiter } from "../src/core/answer_waiter.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const QUEUE_MS = 100;
const workspace = asId<WorkspaceId>("archive");
const target = { target: asId<TargetId>("t1") } as TargetInfo;

test("a statement aborted in the queue is reported as not sent", async () => {
  let runs = 0;
  const conn = { run: () => Promise.resolve(runs++) };
  const slot = { isValid: () => true, detach() {}, release() {} };
  const ctx = {
    io: { metrics: { count() {}, observe() {} } },
    queue: { enter: () => sleep(QUEUE_MS).then(() => Ok(slot)) },
    connections: { acquire: () => Promise.resolve(Ok(conn)), release() {} },
  } as unknown as SendContext;
  const watch = {
    waitFor: (promise: Promise<unknown>) =>
      Promise.race([promise, sleep(QUEUE_MS / 2).then(() => undefined)]),
  } as unknown as AnswerWaiter;
  const attempted = sendWithAbort({ ...ctx, answerWaiter: watch }, {
    request: {
      target,
      workspace,
      req: { kind: "rollback" },
      deadline: nowMs() + 1_000,
    },
    shouldAbort: () => true,
  });
  await vi.advanceTimersByTimeAsync(2 * QUEUE_MS);
  expect((await attempted).unwrapErr()).toMatchObject({
    err: { kind: "unreachable", sent: false },
  });
  expect(runs).toBe(0);
});
