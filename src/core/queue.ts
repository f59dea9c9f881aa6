/**
 * Fair queue at a pool: requests wait until their workspace has a rate-limit
 * token and their target has a free slot.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "./clock.ts";
import {
  type ConcurrencyLimit,
  createConcurrencyLimit,
} from "./concurrency.ts";
import type { Failure } from "./errors.ts";
import { createFlows, type Flow, type Flows } from "./flows.ts";
import type { TargetId, WorkspaceId } from "./ids.ts";
import type { Limits } from "./limits.ts";
import { getRetryAfterMs } from "./retry_delay.ts";
import type { Token } from "./token_stock.ts";
import type { Stoppable } from "./types.ts";

/** Longest time that a request waits in a queue. */
export const MAX_WAIT_MS = 1_500;

/** A request with a longer expected wait is refused immediately. */
const MAX_EXPECTED_WAIT_MS = 400;
const MIN_RETRY_AFTER_MS = 20;
/** Upper bound on the retry delay before jitter, also for an unknown wait. */
const MAX_RETRY_AFTER_MS = 60_000;

/** Permission to run one statement at a target, with its rate-limit token. */
export interface Slot {
  /**
   * Returns true while the rate-limit token is valid; to be checked immediately
   * before the statement is sent.
   */
  isValid(): boolean;
  /** Frees the slot for the next statement but keeps the token in use. */
  detach(): void;
  /** Frees slot and token: the statement has ended or will not be sent. */
  release(): void;
}

/** Assigns the slots of the targets of one group to waiting requests. */
export interface Queue extends Stoppable {
  enter(
    target: TargetId,
    options: { readonly workspace: WorkspaceId; readonly deadline: number },
  ): Promise<Result<Slot, Failure>>;
}

/** Rate limits and concurrency limits of a queue. */
export interface QueueOptions {
  readonly limits: Pick<
    Limits,
    "tryTake" | "setWaiting" | "getWaitMs" | "onChange"
  >;
  /** Initial concurrency limit: statements that a target runs in parallel. */
  readonly slotsPerTarget: number;
  /** Maximum number of statements from this host in flight at one target. */
  readonly maxInFlight: number;
  random(): number;
}

interface Waiter {
  readonly workspace: WorkspaceId;
  readonly flow: Flow<Waiter>;
  readonly deadline: number;
  settle(result: Result<Slot, Failure>): void;
}

interface TargetQueue {
  readonly flows: Flows<Waiter>;
  readonly concurrency: ConcurrencyLimit;
  inFlight: number;
}

/** Creates a queue in which every workspace gets an equal share of a target. */
export function createFairQueue(options: QueueOptions): Queue {
  const { limits } = options;
  const targets = new Map<TargetId, TargetQueue>();
  const waiting = new Map<WorkspaceId, number>();
  const queueId = {};

  function getTarget(target: TargetId): TargetQueue {
    const existing = targets.get(target);
    if (existing) {
      return existing;
    }
    const queue: TargetQueue = {
      flows: createFlows(),
      concurrency: createConcurrencyLimit({
        initial: options.slotsPerTarget,
        max: options.maxInFlight,
      }),
      inFlight: 0,
    };
    targets.set(target, queue);
    return queue;
  }

  function changeWaiting(workspace: WorkspaceId, change: number): void {
    const count = (waiting.get(workspace) ?? 0) + change;
    if (count > 0) {
      waiting.set(workspace, count);
    } else {
      waiting.delete(workspace);
    }
    limits.setWaiting(queueId, { workspace, count });
  }

  /** Estimates the time that a new request of `flow` waits for a slot. */
  function getSlotWaitMs(queue: TargetQueue, flow: Flow<Waiter>): number {
    const others = queue.flows.listBacklogged().filter((f) => f !== flow);
    const { limit } = queue.concurrency;
    const isFree = queue.inFlight < limit;
    if (isFree && others.length + flow.waiting.length === 0) {
      // With no other flow waiting, past use beyond the share delays nobody.
      return 0;
    }
    const ahead = flow.waiting.length * flow.costMs;
    const lag = queue.flows.getVirtualDelay(flow) + ahead;
    const shareMs = lag * (others.length + 1) / limit;
    return shareMs + (isFree ? 0 : flow.costMs / limit);
  }

  function refuse(error: "rate_limited" | "overloaded", waitMs: number) {
    const retryAfterMs = getRetryAfterMs(waitMs, {
      minMs: MIN_RETRY_AFTER_MS,
      maxMs: MAX_RETRY_AFTER_MS,
      random: options.random(),
    });
    return Err({ error, retryAfterMs });
  }

  /** Refuses a request whose expected wait exceeds its limit. */
  function tryRefuse(
    queue: TargetQueue,
    request: { readonly flow: Flow<Waiter>; readonly leftMs: number },
  ): Err<Failure> | undefined {
    const { flow } = request;
    const { workspace } = flow;
    const leftMs = Math.min(MAX_EXPECTED_WAIT_MS, request.leftMs);
    const tokenWaitMs = limits.getWaitMs(
      workspace,
      waiting.get(workspace) ?? 0,
    );
    if (tokenWaitMs > leftMs) {
      return refuse("rate_limited", tokenWaitMs);
    }
    const slotWaitMs = getSlotWaitMs(queue, flow);
    return slotWaitMs > leftMs ? refuse("overloaded", slotWaitMs) : undefined;
  }

  function createSlot(
    queue: TargetQueue,
    grant: { readonly flow: Flow<Waiter>; readonly token: Token },
  ): Slot {
    const { flow, token } = grant;
    const chargedMs = flow.costMs;
    const startedAt = nowMs();
    let isAttached = true;

    function detach(): void {
      if (!isAttached) {
        return;
      }
      isAttached = false;
      const ms = nowMs() - startedAt;
      const { inFlight } = queue;
      queue.concurrency.recordDuration(flow.workspace, { ms, inFlight });
      queue.flows.charge(flow, { chargedMs, ms });
      queue.inFlight--;
      serve(queue);
    }

    return {
      isValid: token.isValid,
      detach,
      release() {
        token.settle();
        detach();
      },
    };
  }

  function serve(queue: TargetQueue): void {
    while (queue.inFlight < queue.concurrency.limit) {
      let token: Token | undefined;
      const waiter = queue.flows.dequeue((flow) => {
        token = limits.tryTake(flow.workspace);
        return token && flow.waiting[0];
      });
      if (!waiter || !token) {
        return;
      }
      queue.inFlight++;
      const { flow } = waiter;
      waiter.settle(Ok(createSlot(queue, { flow, token })));
    }
  }

  /** Refuses requests whose tokens will not arrive in time, last ones first. */
  function refuseUnservable(workspace: WorkspaceId): void {
    const waiters = [...targets.values()].flatMap((queue) =>
      queue.flows.listBacklogged()
        .filter((flow) => flow.workspace === workspace)
        .flatMap((flow) => flow.waiting)
    );
    waiters.sort((a, b) => b.deadline - a.deadline);
    for (const [index, waiter] of waiters.entries()) {
      const ahead = waiters.length - index - 1;
      const waitMs = limits.getWaitMs(workspace, ahead);
      if (waitMs <= waiter.deadline - nowMs()) {
        return;
      }
      waiter.settle(refuse("rate_limited", waitMs));
    }
  }

  function enqueue(
    queue: TargetQueue,
    request: { readonly flow: Flow<Waiter>; readonly leftMs: number },
  ): Promise<Result<Slot, Failure>> {
    const { flow, leftMs } = request;
    const { workspace } = flow;
    return new Promise((resolve) => {
      const timer = setTimeout(expire, leftMs);
      const waiter: Waiter = {
        workspace,
        flow,
        deadline: nowMs() + leftMs,
        settle(result) {
          clearTimeout(timer);
          const index = flow.waiting.indexOf(waiter);
          if (index >= 0) {
            flow.waiting.splice(index, 1);
          }
          changeWaiting(workspace, -1);
          resolve(result);
        },
      };
      function expire(): void {
        const isSlotFree = queue.inFlight < queue.concurrency.limit;
        waiter.settle(
          isSlotFree
            ? refuse("rate_limited", limits.getWaitMs(workspace, 0))
            : refuse("overloaded", getSlotWaitMs(queue, flow)),
        );
      }
      queue.flows.enqueue(flow, waiter);
      changeWaiting(workspace, 1);
      serve(queue);
    });
  }

  const unsubscribe = limits.onChange((workspace) => {
    if (waiting.has(workspace)) {
      targets.forEach(serve);
      refuseUnservable(workspace);
    }
  });

  return {
    enter(target, { workspace, deadline }) {
      const queue = getTarget(target);
      const flow = queue.flows.get(workspace);
      const leftMs = Math.min(MAX_WAIT_MS, deadline - nowMs());
      if (leftMs <= 0) {
        return Promise.resolve(Err({ error: "deadline_exceeded" }));
      }
      const refused = tryRefuse(queue, { flow, leftMs });
      return refused
        ? Promise.resolve(refused)
        : enqueue(queue, { flow, leftMs });
    },
    stop: unsubscribe,
  };
}
