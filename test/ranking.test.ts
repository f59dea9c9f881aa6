import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type TargetId } from "../src/core/ids.ts";
import type { Dispatcher } from "../src/pooling/dispatch.ts";
import { createClockJumpDetector } from "../src/pooling/clock_jumps.ts";
import {
  type AgedPosition,
  createPositionHistory,
} from "../src/pooling/position_history.ts";
import { createHealth, type Health } from "../src/pooling/health.ts";
import { rankReadTargets } from "../src/pooling/ranking.ts";
import type { TargetRecord } from "../src/pooling/types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const createPosition = (term: number, pos: number) => ({ term, pos });
const PRIMARY = asId<TargetId>("t1");
const REPLICA = asId<TargetId>("t2");
const TARGETS = ["t1", "t2"].map((id) => ({
  id,
  domain: "d1",
})) as unknown as readonly TargetRecord[];
const FLOOR: AgedPosition = { position: createPosition(1, 50), ageMs: 1_400 };

/** Every target has an idle connection; the primary is busier. */
const dispatcher = {
  getLoad: (id: TargetId) => id === PRIMARY ? 0.9 : 0,
  tryFindSource: () => ({ kind: "idle" }),
} as unknown as Dispatcher;

function rank(health: Health, floor = FLOOR): readonly TargetId[] {
  return rankReadTargets(
    TARGETS,
    {
      topology: { domain: asId("d1"), regions: new Map() },
      health,
      dispatcher,
      primary: PRIMARY,
      floor,
      workspace: asId("w"),
      context: { variables: new Map() },
    } as Parameters<typeof rankReadTargets>[1],
  ).map(({ id }) => id);
}

const report = { isPaused: false, received: { term: 1, pos: 0 } };

test("a replica that reports a long lag is avoided until it may have caught up", () => {
  const health = createHealth();
  health.recordReport(REPLICA, { ...report, lagMs: 15_000 });
  expect(rank(health)).toEqual([PRIMARY]);
  vi.advanceTimersByTime(13_000);
  expect(rank(health)).toEqual([PRIMARY]);
  vi.advanceTimersByTime(1_000);
  expect(rank(health)).toEqual([REPLICA, PRIMARY]);
});

test("a replica that was behind a read floor is tried again after half the floor's age", () => {
  const health = createHealth();
  health.recordLagging(REPLICA, 1_400);
  health.recordLagging(REPLICA, 1_400);
  expect(rank(health)).toEqual([PRIMARY]);
  vi.advanceTimersByTime(650);
  expect(rank(health)).toEqual([PRIMARY]);
  vi.advanceTimersByTime(100);
  expect(rank(health)).toEqual([REPLICA, PRIMARY]);
});

test("a replica that lags is still better than a primary that fails", () => {
  const health = createHealth();
  health.recordReport(REPLICA, { ...report, lagMs: 15_000 });
  health.recordFailure(PRIMARY);
  expect(rank(health)).toEqual([REPLICA, PRIMARY]);
});

test("the read floor from a session's own commit has the age of that commit", () => {
  const history = createPositionHistory(createClockJumpDetector());
  const addSample = (pos: number) =>
    history.record(createPosition(1, pos), performance.now());
  addSample(10);
  vi.advanceTimersByTime(1_000);
  addSample(20);
  vi.advanceTimersByTime(500);
  const tryReadFloor = (pos: number) =>
    history.tryReadFloor({
      maxStaleMs: 2_500,
      sessionPosition: createPosition(1, pos),
    });
  expect(tryReadFloor(5)).toEqual({
    position: createPosition(1, 10),
    ageMs: 1_500,
  });
  expect(tryReadFloor(15)).toEqual({
    position: createPosition(1, 15),
    ageMs: 500,
  });
  // Newer than every sample: the time since it was reached is unknown.
  expect(tryReadFloor(25)).toEqual({
    position: createPosition(1, 25),
    ageMs: 0,
  });
});
