import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type ServiceId } from "../src/core/ids.ts";
import {
  type CommitBarrier,
  createCommitBarrier,
} from "../src/pooling/commit_barrier.ts";
import type { FailoverLease } from "../src/pooling/failover_lease.ts";

const SERVICE = asId<ServiceId>("ledger");
const LEASE: FailoverLease = {
  holder: asId("h1"),
  fencingToken: 7,
  era: 1,
  isDone: false,
};

let barrier: CommitBarrier;
beforeEach(() => {
  vi.useFakeTimers();
  barrier = createCommitBarrier({ info() {}, request() {} });
});
afterEach(() => {
  vi.useRealTimers();
});

function applyLease(change: Partial<FailoverLease>): void {
  barrier.applyLease(SERVICE, { ...LEASE, ...change });
}

/** States for commits of the terms 1 and 2. */
function listStates() {
  return [1, 2].map((term) => barrier.getState(SERVICE, term));
}

// Guards against a promise that ends with an earlier claim, or before its own.
test("a promise holds until its claim has ended without a promotion", () => {
  applyLease({ fencingToken: 5, isDone: true });
  barrier.promise(SERVICE, { term: 2, fencingToken: 7 });
  expect(listStates()).toEqual(["pending", "open"]);
  // The lease of a new claim carries the token of the one before.
  applyLease({ fencingToken: 5 });
  applyLease({ minTerm: 2 });
  expect(listStates()).toEqual(["pending", "open"]);
  applyLease({ isDone: true });
  expect(listStates()).toEqual(["open", "open"]);
});

// Guards against a promise to a claim that is over, which nobody would end.
test("a request of a claim that has ended withholds nothing", () => {
  applyLease({ isDone: true });
  barrier.promise(SERVICE, { term: 2, fencingToken: 7 });
  expect(listStates()).toEqual(["open", "open"]);
});

// Guards against an order without an answer, which takes effect after the claim.
test("commits stay withheld while an order may take effect", () => {
  applyLease({ minTerm: 2, openTarget: asId("t2"), isDone: true });
  expect(listStates()).toEqual(["pending", "open"]);
  applyLease({ fencingToken: 9, minTerm: 2, isDone: true });
  expect(listStates()).toEqual(["closed", "open"]);
});

// Guards against an acknowledgement that is handed out before the outcome.
test("an acknowledgement waits for the outcome of the failover", async () => {
  barrier.promise(SERVICE, { term: 2, fencingToken: 7 });
  const wait = () =>
    barrier.waitUntilOpen(SERVICE, { term: 1, timeoutMs: 1_000 });
  const early = wait();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await early).toBe(false);
  expect(barrier.getPendingMs(SERVICE)).toBe(1_000);
  const kept = wait();
  applyLease({ isDone: true });
  await vi.advanceTimersByTimeAsync(100);
  expect(await kept).toBe(true);
  expect(barrier.getPendingMs(SERVICE)).toBe(0);
  barrier.promise(SERVICE, { term: 2, fencingToken: 9 });
  const discarded = wait();
  applyLease({ fencingToken: 9, minTerm: 2, isDone: true });
  await vi.advanceTimersByTimeAsync(100);
  expect(await discarded).toBe(false);
});
