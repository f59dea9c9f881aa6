/**
 * Load on the slots of one target, for tests without a network: operations of
 * the warehouse deployment through a dispatcher to a stand-in target whose own
 * queue is first come, first served.
 */

import { Ok } from "ts-results-es";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { vi } from "vitest";
import { nowMs, sleep } from "../src/core/clock.ts";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import {
  type Checkout,
  createDispatcher,
  type Dispatcher,
} from "../src/pooling/dispatch.ts";
import { createHealth } from "../src/pooling/health.ts";
import type {
  PoolIo,
  TargetCommand,
  TargetLink,
  TargetRecord,
  TargetReply,
} from "../src/pooling/types.ts";

/** An operation of the warehouse deployment (docs/design/hard_load.md). */
export interface LoadOperation {
  readonly priority: number;
  readonly ratePerS: number;
  readonly workMs: number;
  readonly transactionFraction: number;
  readonly objectiveMs: number;
}

export const OPERATIONS: readonly LoadOperation[] = [
  {
    priority: 0,
    ratePerS: 76,
    workMs: 11,
    transactionFraction: 0.4,
    objectiveMs: 801,
  },
  {
    priority: 1,
    ratePerS: 132,
    workMs: 55,
    transactionFraction: 0.1,
    objectiveMs: 1_201,
  },
  {
    priority: 2,
    ratePerS: 357,
    workMs: 33,
    transactionFraction: 0.12,
    objectiveMs: 3_001,
  },
];

/** Slots of a target of the warehouse deployment. */
export const SLOTS = 6;
/** Connections that its three holders have today. */
export const CONNECTIONS = 60;
/** Cost of opening a connection, in milliseconds of a slot. */
const DIAL_MS = 12;
/** Interval in which a host serves its queue again, as in pooler.ts. */
const MAINTENANCE_INTERVAL_MS = 100;
/** Statements of a transaction between its begin and its commit. */
const STATEMENTS_PER_TRANSACTION = 2;
/** Fraction of the objective for which an operation may wait for a slot. */
const MAX_WAIT_FRACTION = 0.5;

/** Settings of a run. */
export interface LoadOptions {
  /** How many operations arrive, as a fraction of the slots' time. */
  readonly utilization: number;
  readonly durationMs?: number;
  readonly workspaces?: number;
  /** Factor on the rate of a priority and workspace at a time. */
  getRateFactor?(
    options: {
      readonly priority: number;
      readonly workspace: number;
      readonly ms: number;
    },
  ): number;
  /** Fraction of the clients that leave within half of the objective. */
  readonly leavingFraction?: number;
  /** Factor on the work of a statement that starts at the target at a time. */
  getSlowness?(options: {
    readonly ms: number;
    readonly running: number;
  }): number;
  createDispatcher(target: TestTarget): Dispatcher;
}

/** Outcomes of the operations of a priority or workspace. */
export interface LoadCounts {
  offered: number;
  inTime: number;
  late: number;
  refused: number;
  left: number;
  /** Operations refused in an open transaction. */
  aborted: number;
  /** Statements that ran at the target after their client had left. */
  ranForNobody: number;
}

/** Result of a run. */
export interface LoadResult {
  readonly byPriority: readonly LoadCounts[];
  readonly byWorkspace: readonly LoadCounts[];
  /** Times in milliseconds from a refusal's arrival, all refused operations. */
  readonly refusedAfterMs: readonly number[];
  /** Most statements at work and waiting at the target at once. */
  readonly mostAtTarget: number;
}

/** Target with slots and a queue of its own. */
export interface TestTarget {
  readonly record: TargetRecord;
  readonly io: PoolIo;
  readonly random: () => number;
  countAtTarget(): number;
}

function createCounts(): LoadCounts {
  return {
    offered: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    left: 0,
    aborted: 0,
    ranForNobody: 0,
  };
}

/** Returns a seeded source of numbers in [0, 1). */
function createRandom(): () => number {
  const generator = xoroshiro128plus(20_261_204);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Dispatcher with all the target's slots and connections. */
export function createLoadDispatcher(
  { io, record }: TestTarget,
  options: Partial<Parameters<typeof createDispatcher>[1]> = {},
): Dispatcher {
  const dispatcher = createDispatcher(io, {
    health: createHealth(),
    getDefaultWorkspace: () => undefined,
    tryGetSlotBudget: () => record.slots,
    ...options,
  });
  dispatcher.setAllowances(() => ({
    cap: CONNECTIONS,
    idleCap: CONNECTIONS,
  }));
  return dispatcher;
}

/** The dispatcher before slots were scheduled. */
export function createUnscheduledDispatcher(target: TestTarget): Dispatcher {
  return createLoadDispatcher(target, { tryGetSlotBudget: () => undefined });
}

function createTestTarget(options: LoadOptions): {
  readonly target: TestTarget;
  getMost(): number;
} {
  const random = createRandom();
  const waiting: (() => void)[] = [];
  const startedAt = nowMs();
  let running = 0;
  let most = 0;

  /** Runs work in a slot of the target, after what came before. */
  async function work(ms: number): Promise<void> {
    most = Math.max(most, running + waiting.length + 1);
    if (running >= SLOTS) {
      await new Promise<void>((resolve) => waiting.push(resolve));
    } else {
      running++;
    }
    const slowness =
      options.getSlowness?.({ ms: nowMs() - startedAt, running }) ?? 1;
    await sleep(ms * slowness);
    const next = waiting.shift();
    if (next) {
      next();
    } else {
      running--;
    }
  }

  const record = {
    id: "t1",
    service: "ledger",
    domain: "d1",
    address: "127.0.0.1:1",
    incarnation: 1,
    slots: SLOTS,
  } as unknown as TargetRecord;

  function createLink(workspace: WorkspaceId): TargetLink {
    let isOpen = true;
    return {
      target: record,
      workspace,
      isOpen: () => isOpen,
      close: () => void (isOpen = false),
      async send(command: TargetCommand): Promise<TargetReply> {
        const workMs = "text" in command ? Number(command.text) : 0;
        await work(workMs);
        const isEnd = command.kind === "commit" || command.kind === "run" &&
            command.id.startsWith("single");
        return {
          kind: "done",
          rows: [],
          signature: "-",
          state: isEnd ? "idle" : "open",
          position: undefined,
        };
      },
    };
  }
  const io = {
    dialer: {
      async dial(_: TargetRecord, dialed: { workspace: WorkspaceId }) {
        await work(DIAL_MS);
        return Ok(createLink(dialed.workspace));
      },
    },
    log: { info() {}, request() {} },
    metrics: { count() {}, add() {}, observe() {}, set() {} },
    random,
  } as unknown as PoolIo;
  return {
    target: {
      record,
      io,
      random,
      countAtTarget: () => running + waiting.length,
    },
    getMost: () => most,
  };
}

/** Runs a load; the verdict is the same in every run. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { workspaces = 20, durationMs = 20_000, leavingFraction = 0 } = options;
  const { target, getMost } = createTestTarget(options);
  const dispatcher = options.createDispatcher(target);
  const random = createRandom();
  const byPriority = OPERATIONS.map(createCounts);
  const byWorkspace = Array.from({ length: workspaces }, createCounts);
  const refusedAfterMs: number[] = [];
  const startedAt = nowMs();
  const totalMsPerS = OPERATIONS.reduce(
    (sum, { ratePerS, workMs }) => sum + ratePerS * workMs,
    0,
  );
  const scale = options.utilization * SLOTS * 1_000 / totalMsPerS;

  async function run(
    { priority, workMs, transactionFraction, objectiveMs }: LoadOperation,
    workspace: number,
  ): Promise<void> {
    const since = nowMs();
    const all = [byPriority[priority]!, byWorkspace[workspace]!];
    const record = (name: keyof LoadCounts) =>
      all.forEach((counts) => counts[name]++);
    record("offered");
    const controller = new AbortController();
    if (random() < leavingFraction) {
      setTimeout(
        () => controller.abort(),
        random() * objectiveMs * MAX_WAIT_FRACTION,
      );
    }
    const isTransaction = random() < transactionFraction;
    const acquired = await dispatcher.acquire({
      service: target.record.service,
      workspace: asId<WorkspaceId>(`w${workspace}`),
      priority,
      deadline: since + objectiveMs * MAX_WAIT_FRACTION,
      objectiveAt: since + objectiveMs,
      signal: controller.signal,
      listCandidates: () => [target.record],
    });
    if (acquired.isErr()) {
      if (controller.signal.aborted) {
        record("left");
      } else {
        record("refused");
        refusedAfterMs.push(nowMs() - since);
      }
      return;
    }
    const isLeft = controller.signal.aborted;
    const isDone = isTransaction
      ? await runTransaction(acquired.value, workMs)
      : await send(acquired.value, { id: "single", workMs });
    acquired.value.release(true);
    if (isLeft) {
      record("ranForNobody");
    }
    if (!isDone) {
      record("aborted");
    } else if (controller.signal.aborted) {
      record("left");
    } else {
      record(nowMs() - since <= objectiveMs ? "inTime" : "late");
    }
  }

  async function send(
    { pooled }: Checkout,
    { id, workMs, kind = "run" }: {
      readonly id: string;
      readonly workMs: number;
      readonly kind?: "run" | "commit";
    },
  ): Promise<boolean> {
    const reply = await pooled.link.send({
      kind,
      id: asId(id),
      text: String(workMs),
    });
    return reply.kind === "done";
  }

  async function runTransaction(
    checkout: Checkout,
    workMs: number,
  ): Promise<boolean> {
    await checkout.pooled.link.send({ kind: "begin", isReadOnly: false });
    const part = workMs / (STATEMENTS_PER_TRANSACTION + 1);
    for (let n = 0; n < STATEMENTS_PER_TRANSACTION; n++) {
      if (!await send(checkout, { id: "part", workMs: part })) {
        return false;
      }
    }
    return await send(checkout, { id: "end", workMs: part, kind: "commit" });
  }

  async function offer(
    operation: LoadOperation,
    workspace: number,
  ): Promise<void> {
    const { priority } = operation;
    const perMs = operation.ratePerS * scale / workspaces / 1_000;
    for (;;) {
      const ms = nowMs() - startedAt;
      const factor = options.getRateFactor?.({ priority, workspace, ms }) ?? 1;
      await sleep(-Math.log(1 - random()) / (perMs * factor));
      if (nowMs() - startedAt >= durationMs) {
        return;
      }
      void run(operation, workspace);
    }
  }

  for (const operation of OPERATIONS) {
    for (let workspace = 0; workspace < workspaces; workspace++) {
      void offer(operation, workspace);
    }
  }
  const timer = setInterval(dispatcher.serveQueue, MAINTENANCE_INTERVAL_MS);
  await vi.advanceTimersByTimeAsync(durationMs + 30_000);
  clearInterval(timer);
  dispatcher.close();
  return { byPriority, byWorkspace, refusedAfterMs, mostAtTarget: getMost() };
}

/** Returns the part of the offered operations that were answered in time. */
export function getServedPart(counts: readonly LoadCounts[]): number {
  const sum = (name: keyof LoadCounts) =>
    counts.reduce((total, count) => total + count[name], 0);
  return sum("inTime") / (sum("offered") - sum("left"));
}
