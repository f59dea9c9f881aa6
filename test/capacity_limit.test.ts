import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { nowMs } from "../src/core/clock.ts";
import { createCapacityLimit } from "../src/pooling/capacity_limit.ts";

beforeEach(() => void vi.useFakeTimers({ now: 0 }));
afterEach(() => void vi.useRealTimers());

const SLOTS = 6;
const STEP_MS = 1;
/** Work of the operations of a deployment (docs/design/hard_load.md). */
const WORK_MS = [11, 55, 33];

interface Load {
  readonly durationMs: number;
  /** Factor on a statement's work, with `running` statements at the target. */
  getSlowness(options: {
    readonly ms: number;
    readonly running: number;
  }): number;
  /** Whether statements wait at all times; true by default. */
  readonly isSaturated?: boolean;
  /** Holders with a part of the slots each; one by default. */
  readonly holders?: number;
  readonly isProbing?: boolean;
}

interface Sample {
  readonly ms: number;
  /** Sum over the holders. */
  readonly limit: number;
  /** Work done until then, in milliseconds of an unloaded slot. */
  readonly doneMs: number;
}

/**
 * Lets holders run as many statements as their limits allow and returns their
 * limits over time.
 */
function simulate(load: Load): Sample[] {
  const { holders: holderCount = 1, isSaturated = true } = load;
  const generator = xoroshiro128plus(7);
  const random = () => (generator.next() >>> 0) / 2 ** 32;
  const holders = Array.from({ length: holderCount }, () => ({
    limit: createCapacityLimit({
      getMax: () => Math.ceil(SLOTS / holderCount),
      isProbing: load.isProbing ?? true,
    }),
    running: [] as {
      readonly kind: string;
      readonly since: number;
      readonly endAt: number;
      readonly workMs: number;
    }[],
  }));
  const samples: Sample[] = [];
  let doneMs = 0;
  for (let ms = 0; ms < load.durationMs; ms += STEP_MS) {
    for (const holder of holders) {
      for (const statement of [...holder.running]) {
        if (statement.endAt <= nowMs()) {
          const inUse = holder.running.length;
          holder.running.splice(holder.running.indexOf(statement), 1);
          doneMs += statement.workMs;
          holder.limit.record({
            kind: statement.kind,
            ms: nowMs() - statement.since,
            inUse,
            isQueued: isSaturated,
          });
        }
      }
      const wanted = isSaturated ? holder.limit.getLimit() : 1;
      while (holder.running.length < wanted) {
        const priority = Math.floor(random() * WORK_MS.length);
        const running = holders.reduce(
          (sum, other) => sum + other.running.length,
          1,
        );
        // Work varies by a quarter around its mean.
        const workMs = WORK_MS[priority]! * (0.75 + random() / 2);
        const slowness = load.getSlowness({ ms, running });
        holder.running.push({
          kind: `run ${priority}`,
          since: nowMs(),
          endAt: nowMs() + workMs * slowness,
          workMs,
        });
      }
    }
    if (ms % 100 === 0) {
      const limit = holders.reduce(
        (sum, holder) => sum + holder.limit.getLimit(),
        0,
      );
      samples.push({ ms, limit, doneMs });
    }
    vi.advanceTimersByTime(STEP_MS);
  }
  return samples;
}

function getMeanLimit(
  samples: readonly Sample[],
  { from, to = Infinity }: { readonly from: number; readonly to?: number },
): number {
  const chosen = samples.filter(({ ms }) => ms >= from && ms < to);
  return chosen.reduce((sum, { limit }) => sum + limit, 0) / chosen.length;
}

const MEAN_WORK_MS = 33;
/** Time in which a slower target and a recovery have to be followed. */
const FOLLOW_SLOWER_MS = 2_000;
const FOLLOW_FASTER_MS = 5_000;
const HOLDER_COUNTS = [1, 3];

/** Returns the work done per millisecond, in slots of an unloaded target. */
function getThroughput(
  samples: readonly Sample[],
  { from, to = Infinity }: { readonly from: number; readonly to?: number },
): number {
  const chosen = samples.filter(({ ms }) => ms >= from && ms < to);
  const [first, last] = [chosen[0]!, chosen.at(-1)!];
  return (last.doneMs - first.doneMs) / (last.ms - first.ms);
}

// Statements beyond the bend only make all of them slower: with all slots used,
// this target does the work of 1.5 slots, and of 3 at its best.
const bend = (running: number) =>
  running <= SLOTS / 2 ? 1 : (running / (SLOTS / 2)) ** 2;

test.each(HOLDER_COUNTS)(
  "%i holders find the bend at half of the slots",
  (holders) => {
    const samples = simulate({
      durationMs: 20_000,
      holders,
      getSlowness: ({ running }) => bend(running),
    });
    const settled = { from: FOLLOW_FASTER_MS };
    expect(getThroughput(samples, settled)).toBeGreaterThan(SLOTS / 2 * 0.7);
    expect(getMeanLimit(samples, settled)).toBeLessThan(SLOTS * 0.75);
  },
);

/** A target that is as slow at first as it is later with all slots used. */
const getColdSlowness = ({ ms, running }: {
  readonly ms: number;
  readonly running: number;
}) => ms < 500 ? bend(SLOTS) : bend(running);

// What was measured under load became the baseline, and nothing seemed slow.
test("a probe finds the baseline of a target that was slow from the start", () => {
  const samples = simulate({
    durationMs: 20_000,
    getSlowness: getColdSlowness,
  });
  expect(getThroughput(samples, { from: FOLLOW_FASTER_MS * 2 }))
    .toBeGreaterThan(SLOTS / 2 * 0.7);
});

test("without probes the baseline of such a target stays that of the load", () => {
  const samples = simulate({
    durationMs: 20_000,
    getSlowness: getColdSlowness,
    isProbing: false,
  });
  expect(getThroughput(samples, { from: FOLLOW_FASTER_MS * 2 }))
    .toBeLessThan(SLOTS / 2 * 0.7);
});

// A limit relative to a common time left a slow target with one slot.
test.each([1, 2, 5])("a target of speed %i uses all its slots", (speed) => {
  const samples = simulate({
    durationMs: 20_000,
    getSlowness: () => 1 / speed,
  });
  expect(getMeanLimit(samples, { from: 0 })).toBeGreaterThan(SLOTS * 0.9);
});

const SLOW_FROM_MS = 10_000;
const SLOW_TO_MS = 16_500;
const SLOW_FACTOR = 5;

// A target that is slow for another reason than its load does not get faster
// with fewer statements; a limit of 1 would cost five sixths of its work.
test.each(HOLDER_COUNTS)(
  "%i holders follow a target that is 5 times slower for 6.5 s",
  (holders) => {
    const samples = simulate({
      durationMs: 30_000,
      holders,
      getSlowness: ({ ms }) =>
        ms >= SLOW_FROM_MS && ms < SLOW_TO_MS ? SLOW_FACTOR : 1,
    });
    const slow = { from: SLOW_FROM_MS + FOLLOW_SLOWER_MS, to: SLOW_TO_MS };
    const recovered = { from: SLOW_TO_MS + FOLLOW_FASTER_MS };
    expect(getThroughput(samples, slow)).toBeGreaterThan(
      SLOTS / SLOW_FACTOR * 0.75,
    );
    expect(getThroughput(samples, recovered)).toBeGreaterThan(SLOTS * 0.9);
  },
);

function createRecorder() {
  let max = SLOTS;
  const limit = createCapacityLimit({ getMax: () => max });
  return {
    limit,
    setMax: (next: number) => max = next,
    record(ms: number, options: { readonly isQueued?: boolean } = {}) {
      vi.advanceTimersByTime(ms / SLOTS);
      limit.record({
        kind: "run 0",
        ms,
        inUse: SLOTS,
        isQueued: true,
        ...options,
      });
    },
  };
}

// One statement that hung took the limit down to 1.
test("one statement that takes 100 times as long does not lower the limit", () => {
  const { limit, record } = createRecorder();
  for (let n = 0; n < 200; n++) {
    record(n === 100 ? MEAN_WORK_MS * 100 : MEAN_WORK_MS);
    expect(limit.getLimit()).toBeGreaterThanOrEqual(SLOTS / 2);
  }
  expect(limit.getLimit()).toBe(SLOTS);
});

test("the limit does not grow where no statement waits", () => {
  const { limit, record } = createRecorder();
  Array.from({ length: 50 }, () => record(MEAN_WORK_MS));
  Array.from({ length: 20 }, () => record(MEAN_WORK_MS * 2));
  const lowered = limit.getLimit();
  expect(lowered).toBeLessThan(SLOTS);
  for (let n = 0; n < 500; n++) {
    record(MEAN_WORK_MS, { isQueued: false });
  }
  expect(limit.getLimit()).toBe(lowered);
});

test("the limit stays between one and the slots that are stated", () => {
  const { limit, record, setMax } = createRecorder();
  for (let n = 0; n < 500; n++) {
    record(MEAN_WORK_MS * (1 + n % 7));
    expect(limit.getLimit()).toBeGreaterThanOrEqual(1);
    expect(limit.getLimit()).toBeLessThanOrEqual(SLOTS);
  }
  setMax(2);
  expect(limit.getLimit()).toBeLessThanOrEqual(2);
});
