import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { nowMs } from "../src/core/clock.ts";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import {
  createFairOrder,
  type FairOrder,
  type OrderedStatement,
  PRIORITY_FLOOR,
} from "../src/pooling/fair_order.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

interface TestStatement extends OrderedStatement {
  readonly name: string;
  readonly workMs: number;
}

function createStatement(options: Partial<TestStatement>): TestStatement {
  return {
    name: "",
    workspace: asId("w1"),
    priority: 1,
    isInTransaction: false,
    objectiveAt: nowMs() + 60_000,
    workMs: 10,
    ...options,
  };
}

/** Serves one statement after the other for `ms`; returns them in order. */
function serve(
  order: FairOrder<TestStatement>,
  { ms, onServed = () => {} }: {
    readonly ms: number;
    onServed?(statement: TestStatement): void;
  },
): TestStatement[] {
  const served: TestStatement[] = [];
  const endAt = nowMs() + ms;
  while (nowMs() < endAt) {
    let next: TestStatement | undefined;
    const charge = order.takeNext((statement) => {
      next = statement;
      return true;
    });
    if (!charge || !next) {
      break;
    }
    served.push(next);
    vi.advanceTimersByTime(next.workMs);
    charge.settle(next.workMs);
    onServed(next);
  }
  return served;
}

function sumWorkMs(
  served: readonly TestStatement[],
  isCounted: (statement: TestStatement) => boolean,
): number {
  return served.filter(isCounted).reduce((sum, { workMs }) => sum + workMs, 0);
}

const SERVE_MS = 10_000;
/** Statements of each priority and workspace that wait at any time. */
const BACKLOG = 8;

/** Serves priorities that always have waiting statements. */
function serveSaturated(
  priorities: readonly number[],
  options?: { readonly priorityFloor: number },
): number[] {
  const order = createFairOrder<TestStatement>(options);
  for (const priority of priorities) {
    for (let n = 0; n < BACKLOG; n++) {
      order.add(createStatement({ priority }));
    }
  }
  const served = serve(order, {
    ms: SERVE_MS,
    onServed: ({ priority }) => order.add(createStatement({ priority })),
  });
  return priorities.map((priority) =>
    sumWorkMs(served, (statement) => statement.priority === priority)
  );
}

// Lower priorities were never served while a higher one had statements waiting.
test("a saturating highest priority leaves each lower one its floor", () => {
  const [highest, ...lower] = serveSaturated([0, 1, 2]);
  // One statement of each priority may be at work at the end.
  const floorMs = SERVE_MS * PRIORITY_FLOOR * 0.75;
  lower.forEach((ms) => expect(ms).toBeGreaterThanOrEqual(floorMs));
  expect(highest).toBeGreaterThanOrEqual(
    SERVE_MS * (1 - lower.length * PRIORITY_FLOOR),
  );
});

test("without a floor the lower priorities are not served at all", () => {
  const [, ...lower] = serveSaturated([0, 1, 2], { priorityFloor: 0 });
  expect(lower).toEqual([0, 0]);
});

/** Serves a workspace with seven times the statements of two others. */
function serveHotWorkspace(
  toFlow: (workspace: WorkspaceId) => WorkspaceId,
): { readonly hotMs: number; readonly othersMs: number } {
  const order = createFairOrder<TestStatement>();
  const names = ["hot", "a", "b"];
  const add = (name: string) =>
    order.add(createStatement({ name, workspace: toFlow(asId(name)) }));
  for (const name of names) {
    const count = name === "hot" ? BACKLOG * 7 : BACKLOG;
    Array.from({ length: count }, () => add(name));
  }
  const served = serve(order, {
    ms: SERVE_MS,
    onServed: ({ name }) => add(name),
  });
  return {
    hotMs: sumWorkMs(served, ({ name }) => name === "hot"),
    othersMs: sumWorkMs(served, ({ name }) => name !== "hot"),
  };
}

// Arrival order gave a workspace with more statements more of the target.
test("a workspace with 7 times the statements gets no more than the others", () => {
  const { hotMs, othersMs } = serveHotWorkspace((workspace) => workspace);
  expect(hotMs).toBeLessThanOrEqual(othersMs / 2 + BACKLOG * 10);
});

test("in one flow for all workspaces the hot one takes most of the target", () => {
  const { hotMs, othersMs } = serveHotWorkspace(() => asId("all"));
  expect(hotMs).toBeGreaterThan(othersMs);
});

// By the number of statements, a workspace with long ones got 5 times as much.
test("workspaces share the time and not the number of statements", () => {
  const order = createFairOrder<TestStatement>();
  const add = (name: string) =>
    order.add(createStatement({
      name,
      workspace: asId(name),
      workMs: name === "long" ? 50 : 10,
    }));
  Array.from({ length: BACKLOG }, () => ["long", "short"].forEach(add));
  const served = serve(order, {
    ms: SERVE_MS,
    onServed: ({ name }) => add(name),
  });
  const longMs = sumWorkMs(served, ({ name }) => name === "long");
  const shortMs = sumWorkMs(served, ({ name }) => name === "short");
  expect(Math.abs(longMs - shortMs)).toBeLessThanOrEqual(SERVE_MS * 0.05);
});

// A commit that waited behind new statements held locks and its connection.
test("a statement of an open transaction goes before new ones of priority 0", () => {
  const order = createFairOrder<TestStatement>();
  order.add(createStatement({ name: "new", priority: 0 }));
  order.add(
    createStatement({ name: "commit", priority: 2, isInTransaction: true }),
  );
  expect(serve(order, { ms: 20 }).map(({ name }) => name)).toEqual([
    "commit",
    "new",
  ]);
});

// A statement whose objective had passed was served before one in time.
test("the earliest deadline that can be met is first, and missed ones last", () => {
  const order = createFairOrder<TestStatement>();
  const objectives = { missed: 1, late: 500, early: 100 };
  for (const [name, ms] of Object.entries(objectives)) {
    order.add(createStatement({ name, objectiveAt: nowMs() + ms }));
  }
  expect(serve(order, { ms: 30 }).map(({ name }) => name)).toEqual([
    "early",
    "late",
    "missed",
  ]);
});

test("a statement that cannot start does not hold up the next one", () => {
  const order = createFairOrder<TestStatement>();
  const blocked = createStatement({ name: "blocked" });
  order.add(blocked);
  order.add(createStatement({ name: "ready", workspace: asId("w2") }));
  order.takeNext(({ name }) => name === "ready");
  expect(order.size).toBe(1);
  order.remove(blocked);
  expect(order.size).toBe(0);
});
