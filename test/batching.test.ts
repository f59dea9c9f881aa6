import { Ok } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import { planRound, type RoundPlanner } from "../src/pooling/batching.ts";
import { createDispatcher } from "../src/pooling/dispatch.ts";
import { createHealth } from "../src/pooling/health.ts";
import type { PoolIo, TargetRecord } from "../src/pooling/types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const TARGET = {
  id: "t1",
  service: "ledger",
  domain: "d1",
  incarnation: 1,
} as unknown as TargetRecord;
const WORKSPACES = Array.from(
  { length: 8 },
  (_, n) => asId<WorkspaceId>(`w${n}`),
);
/** Two round trips between regions and the target's connection set-up. */
const DIAL_MS = 92;
/** One round trip between regions and the execution of a statement. */
const STATEMENT_MS = 64;
const CONNECTION_COUNT = 3;
const MAX_WAIT_MS = 500;

/** Baseline: serves statements in order of arrival. */
const planInOrder: RoundPlanner = (waiting) =>
  waiting.map((waiter) => ({ waiter, isOwnWorkspaceOnly: false }));

/**
 * Offers one statement every `everyMs` for 20 s, spread over all workspaces.
 */
async function offerLoad(plan: RoundPlanner, everyMs: number) {
  const counts = { served: 0, refused: 0, dials: 0 };
  const waitedMs = new Map<WorkspaceId, number>();
  const dispatcher = createDispatcher({
    dialer: {
      async dial(target: TargetRecord, options: { workspace: WorkspaceId }) {
        counts.dials++;
        await new Promise((resolve) => setTimeout(resolve, DIAL_MS));
        return Ok({
          target,
          workspace: options.workspace,
          isOpen: () => true,
          close() {},
        });
      },
    },
    log: { info() {}, request() {} },
    metrics: { count() {}, add() {}, observe() {}, set() {} },
    random: () => 0.5,
  } as unknown as PoolIo, {
    health: createHealth(),
    getDefaultWorkspace: () => WORKSPACES[0],
    plan,
  });
  dispatcher.setAllowances(() => ({
    cap: CONNECTION_COUNT,
    idleCap: CONNECTION_COUNT,
  }));
  const running: Promise<void>[] = [];

  async function run(workspace: WorkspaceId): Promise<void> {
    const startedAt = performance.now();
    const acquired = await dispatcher.acquire({
      service: TARGET.service,
      workspace,
      priority: 1,
      deadline: startedAt + MAX_WAIT_MS,
      listCandidates: () => [TARGET],
    });
    if (acquired.isErr()) {
      counts.refused++;
      return;
    }
    const waited = performance.now() - startedAt;
    waitedMs.set(workspace, Math.max(waited, waitedMs.get(workspace) ?? 0));
    await new Promise((resolve) => setTimeout(resolve, STATEMENT_MS));
    acquired.value.release(true);
    counts.served++;
  }

  for (let n = 0; n < 20_000 / everyMs; n++) {
    running.push(run(WORKSPACES[n * 5 % WORKSPACES.length]!));
    await vi.advanceTimersByTimeAsync(everyMs);
  }
  await vi.advanceTimersByTimeAsync(2_000);
  await Promise.all(running);
  return { ...counts, maxWaitedMs: Math.max(...waitedMs.values()) };
}

test("an overloaded host replaces fewer connections and serves more statements", async () => {
  const ordered = await offerLoad(planInOrder, 30);
  const batched = await offerLoad(planRound, 30);
  expect(batched.dials).toBeLessThan(ordered.dials / 2);
  expect(batched.served).toBeGreaterThan(ordered.served * 1.25);
  // No statement waits beyond its deadline, whichever others are served first.
  expect(batched.maxWaitedMs).toBeLessThanOrEqual(MAX_WAIT_MS);
});

test("batching changes nothing while few statements wait", async () => {
  const ordered = await offerLoad(planInOrder, 120);
  const batched = await offerLoad(planRound, 120);
  expect(batched).toEqual(ordered);
});

test("an urgent statement takes any connection before all others", () => {
  const waiting = [
    { name: "a", since: 300, deadline: 800 },
    { name: "b", since: 0, deadline: 500 },
  ];
  const steps = planRound(waiting, 450)
    .map(({ waiter, isOwnWorkspaceOnly }) =>
      `${waiter.name}${isOwnWorkspaceOnly ? " own" : ""}`
    );
  expect(steps).toEqual(["b", "a own", "b own", "a", "b"]);
});
