/**
 * Loads on the slots of one target, served by the dispatcher with and without
 * its scheduler. Bounds come from docs/design/hard_load.md: the highest priority
 * is the best served, and a hot workspace does not take the others' capacity.
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  createLoadDispatcher,
  createUnscheduledDispatcher,
  getServedPart,
  type LoadOptions,
  runLoad,
  SLOTS,
} from "./slot_load.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Part of a priority within capacity that has to be answered in time. */
const MIN_SERVED = 0.99;

const run = (load: Omit<LoadOptions, "createDispatcher">) =>
  runLoad({ ...load, createDispatcher: createLoadDispatcher });
const runUnscheduled = (load: Omit<LoadOptions, "createDispatcher">) =>
  runLoad({ ...load, createDispatcher: createUnscheduledDispatcher });

const BURSTS = [
  {
    name: "a burst of the lowest priority at 2.5 times",
    load: {
      utilization: 0.7,
      getRateFactor: ({ priority }: { readonly priority: number }) =>
        priority === 2 ? 2.5 : 1,
    },
  },
  {
    name: "a burst of the highest priority at 1.9 times",
    load: {
      utilization: 1,
      getRateFactor: ({ priority }: { readonly priority: number }) =>
        priority === 0 ? 1.9 : 1,
    },
  },
  {
    name: "a target at half its speed",
    load: {
      utilization: 0.7,
      getSlowness: ({ ms }: { readonly ms: number }) => ms > 5_000 ? 2 : 1,
    },
  },
  {
    name: "a target that is 5 times slower for 6.5 s",
    load: {
      utilization: 0.6,
      getSlowness: ({ ms }: { readonly ms: number }) =>
        ms > 5_000 && ms < 11_500 ? 5 : 1,
    },
  },
  {
    name: "a target whose latency bends at half its slots",
    load: {
      utilization: 0.4,
      getSlowness: ({ running }: { readonly running: number }) =>
        running <= SLOTS / 2 ? 1 : (running / (SLOTS / 2)) ** 2,
    },
  },
];

test.each(BURSTS)(
  "$name leaves the highest priority served",
  async ({ load }) => {
    const { byPriority, mostAtTarget } = await run(load);
    expect(getServedPart([byPriority[0]!])).toBeGreaterThanOrEqual(MIN_SERVED);
    expect(mostAtTarget).toBeLessThanOrEqual(SLOTS);
    byPriority.forEach(({ aborted }) => expect(aborted).toBe(0));
  },
);

// The order before: all connections are used, and the target queues.
test.each(BURSTS)(
  "$name fails the highest priority without a scheduler",
  async ({ load }) => {
    const { byPriority } = await runUnscheduled(load);
    expect(getServedPart([byPriority[0]!])).toBeLessThan(MIN_SERVED);
  },
);

/**
 * The demand of the other workspaces fits in their fair share of what higher
 * priorities leave, with a margin for its variation.
 */
const HOT_WORKSPACES = [
  { hot: 1, factor: 7, utilization: 0.7 },
  { hot: 3, factor: 4, utilization: 0.7 },
  { hot: 3, factor: 7, utilization: 0.6 },
];
const toHotLoad = (
  { hot, factor, utilization }: (typeof HOT_WORKSPACES)[number],
) => ({
  utilization,
  getRateFactor: ({ workspace }: { readonly workspace: number }) =>
    workspace < hot ? factor : 1,
});

test.each(HOT_WORKSPACES)(
  "$hot workspaces at $factor times leave the others served",
  async (load) => {
    const { byWorkspace } = await run(toHotLoad(load));
    expect(getServedPart(byWorkspace.slice(load.hot))).toBeGreaterThanOrEqual(
      MIN_SERVED,
    );
  },
);

test.each(HOT_WORKSPACES)(
  "$hot workspaces at $factor times take the others' slots without a scheduler",
  async (load) => {
    const { byWorkspace } = await runUnscheduled(toHotLoad(load));
    expect(getServedPart(byWorkspace.slice(load.hot))).toBeLessThan(MIN_SERVED);
  },
);

const LEAVING_LOAD = { utilization: 1.1, leavingFraction: 0.2 };

// Statements without a client took the slots of others.
test("a fifth of the clients leaving takes no slot from the others", async () => {
  const { byPriority } = await run(LEAVING_LOAD);
  byPriority.forEach(({ ranForNobody }) => expect(ranForNobody).toBe(0));
  expect(getServedPart(byPriority.slice(0, 2))).toBeGreaterThanOrEqual(
    MIN_SERVED,
  );
});

test("a fifth of the clients leaving costs the others without a scheduler", async () => {
  const { byPriority } = await runUnscheduled(LEAVING_LOAD);
  expect(getServedPart(byPriority.slice(0, 2))).toBeLessThan(MIN_SERVED);
});
