/**
 * Admission at 76 entry hosts by the waits that one holder reports, at twice the
 * load that its slots can serve.
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { sleep } from "../src/core/clock.ts";
import { asId } from "../src/core/ids.ts";
import {
  createSlotScheduler,
  type SlotStatement,
} from "../src/pooling/slot_scheduler.ts";
import {
  decideByWait,
  getWaitRetryAfterMs,
} from "../src/pooling/wait_admission.ts";
import {
  createWaitReports,
  MAX_REPORT_AGE_MS,
} from "../src/pooling/wait_reports.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const HOSTS = 76;
const WORKSPACES = 20;
const SLOTS = 6;
const WORK_MS = 33;
const OVERLOAD = 2;
/** Half of the objective of the highest priority. */
const LEFT_MS = 400;
const DELAY_MS = 1;
const WARM_UP_MS = 3_000;
const END_MS = 13_000;
const WINDOW_MS = 500;

function createRandom(): () => number {
  const generator = xoroshiro128plus(76);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Returns what the holder was sent and what it served, by window. */
async function runHosts(
  { maxAgeMs }: { readonly maxAgeMs?: number } = {},
) {
  const random = createRandom();
  const scheduler = createSlotScheduler({ getLimit: () => SLOTS });
  const windows = Array.from(
    { length: Math.ceil(END_MS / WINDOW_MS) },
    () => ({ sent: 0, served: 0, refusedByHolder: 0, refusedAtEntry: 0 }),
  );
  const startedAt = performance.now();
  const getWindow = () =>
    windows[
      Math.min(
        windows.length - 1,
        Math.floor((performance.now() - startedAt) / WINDOW_MS),
      )
    ]!;

  async function serve(workspace: string): Promise<void> {
    const request = { workspace: asId<never>(workspace), priority: 0 };
    const isAdmitted = scheduler.getExpectedWaitMs(request) <= LEFT_MS;
    scheduler.recordAdmission(request, isAdmitted);
    if (!isAdmitted) {
      getWindow().refusedByHolder++;
      return;
    }
    await new Promise<void>((resolve) => {
      const statement: SlotStatement = {
        ...request,
        isInTransaction: false,
        objectiveAt: performance.now() + 2 * LEFT_MS,
        hasConnection: () => true,
        tryStart(slot) {
          clearTimeout(timer);
          void sleep(WORK_MS).then(() => {
            slot.release();
            getWindow().served++;
            resolve();
          });
          return true;
        },
      };
      const timer = setTimeout(() => {
        scheduler.leave(statement, { isTooLate: true });
        getWindow().refusedByHolder++;
        resolve();
      }, LEFT_MS);
      scheduler.enter(statement);
    });
  }

  async function runHost(index: number): Promise<void> {
    const reports = createWaitReports(
      maxAgeMs === undefined ? {} : { maxAgeMs },
    );
    const workspace = asId<never>(`w${index % WORKSPACES}`);
    const path = {
      holder: asId<never>("h1"),
      target: asId<never>("t1"),
      workspace,
    };
    const perMs = OVERLOAD * SLOTS / WORK_MS / HOSTS;
    while (performance.now() - startedAt < END_MS) {
      await sleep(-Math.log(1 - random()) / perMs);
      const decision = decideByWait([reports.tryGet(path, 0)], {
        leftMs: LEFT_MS,
        random,
      });
      if (decision.kind === "refused") {
        getWindow().refusedAtEntry++;
        continue;
      }
      getWindow().sent++;
      void sleep(DELAY_MS).then(() => serve(workspace)).then(() => {
        const waits = scheduler.listExpectedWaits(workspace);
        setTimeout(() => reports.record(path, waits), DELAY_MS);
      });
    }
  }

  for (let index = 0; index < HOSTS; index++) {
    void runHost(index);
  }
  await vi.advanceTimersByTimeAsync(END_MS + 10_000);
  return windows.slice(WARM_UP_MS / WINDOW_MS, -1);
}

/** Statements that the slots can serve in a window. */
const CAPACITY = SLOTS * WINDOW_MS / WORK_MS;

// Hosts that all refused by one threshold left slots idle until the reports
// were too old, and then all sent at once.
test("76 hosts with the same reports keep the slots in use", async () => {
  const windows = await runHosts();
  for (const { served, sent } of windows) {
    expect(served).toBeGreaterThanOrEqual(CAPACITY * 0.95);
    // Never more than what was offered, and never less than can be served.
    expect(sent).toBeGreaterThanOrEqual(CAPACITY);
  }
});

// Each of them went over the network and used a token of its quota.
test("entry hosts refuse a part of what the holder would refuse", async () => {
  const count = (windows: Awaited<ReturnType<typeof runHosts>>) =>
    windows.reduce((sum, { refusedByHolder }) => sum + refusedByHolder, 0);
  const refused = count(await runHosts());
  const refusedWithoutReports = count(await runHosts({ maxAgeMs: 0 }));
  expect(refused).toBeLessThan(refusedWithoutReports);
});

const LONG_WAIT = { waitMs: 10 * LEFT_MS, ageMs: 0 };

test("a tenth of the statements is admitted whatever wait is reported", () => {
  const decide = (random: number) =>
    decideByWait([LONG_WAIT], { leftMs: LEFT_MS, random: () => random }).kind;
  expect([0.05, 0.5].map(decide)).toEqual(["admitted", "refused"]);
});

test("a statement is refused only if the wait at each target is too long", () => {
  const decide = (...waits: Parameters<typeof decideByWait>[0]) =>
    decideByWait(waits, { leftMs: LEFT_MS, random: () => 0.5 }).kind;
  expect(decide(LONG_WAIT, { waitMs: 10, ageMs: 0 })).toBe("admitted");
  expect(decide(LONG_WAIT, undefined)).toBe("admitted");
  expect(decide()).toBe("admitted");
  expect(decide(LONG_WAIT, LONG_WAIT)).toBe("refused");
});

/** Decision on a statement `ms` after the report of a long wait. */
function decideAfter(ms: number, maxAgeMs?: number): string {
  const reports = createWaitReports(
    maxAgeMs === undefined ? {} : { maxAgeMs },
  );
  const path = {
    holder: asId<never>("h1"),
    target: asId<never>("t1"),
    workspace: asId<never>("w1"),
  };
  reports.record(path, [{ priority: 0, waitMs: LONG_WAIT.waitMs }]);
  vi.advanceTimersByTime(ms);
  return decideByWait([reports.tryGet(path, 1)], {
    leftMs: LEFT_MS,
    random: () => 0.5,
  }).kind;
}

// A report from the end of a burst kept statements away from an idle holder.
test("a report older than 1 s is not used", () => {
  expect(decideAfter(MAX_REPORT_AGE_MS)).toBe("refused");
  expect(decideAfter(MAX_REPORT_AGE_MS + 1)).toBe("admitted");
});

test("without aging an old report still refuses", () => {
  expect(decideAfter(MAX_REPORT_AGE_MS + 1, Infinity)).toBe("refused");
});

// Statements that were refused together came back together.
test("retry delays are spread, and higher priorities come back first", () => {
  const random = createRandom();
  const draw = (priority: number) =>
    Array.from({ length: 200 }, () =>
      getWaitRetryAfterMs({
        waitMs: 2 * LEFT_MS,
        leftMs: LEFT_MS,
        priority,
        random,
      })).sort((a, b) => a - b);
  const [first, second] = [draw(0), draw(1)];
  expect(first[0]).toBeGreaterThanOrEqual(LEFT_MS);
  expect(first.at(-1)! - first[0]!).toBeGreaterThanOrEqual(LEFT_MS);
  expect(second[100]).toBeGreaterThan(first[100]!);
});
