/** Simpler policies that experiments put in place of the product's. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "../../src/core/clock.ts";
import type { Failure } from "../../src/core/errors.ts";
import type { TargetId, WorkspaceId } from "../../src/core/ids.ts";
import type { Limits, LimitsOptions } from "../../src/core/limits.ts";
import type { Queue, QueueOptions, Slot } from "../../src/core/queue.ts";
import type { HostIo } from "../../src/core/types.ts";

const MS_PER_SECOND = 1_000;
const MAX_QUEUED = 200;
const RETRY_AFTER_MS = 200;

interface Bucket {
  tokens: number;
  at: number;
}

/** Gives each host of the settings an equal, fixed share. */
export function createStaticLimits(
  _io: HostIo,
  options: LimitsOptions,
): Limits {
  const buckets = new Map<WorkspaceId, Bucket>();

  function getBucket(workspace: WorkspaceId): Bucket & { rate: number } {
    const plan = options.cfg.tryAllowance(workspace)!;
    const rate = plan.ratePerSecond / options.configuredHostCount /
      MS_PER_SECOND;
    const burst = plan.burst / options.configuredHostCount;
    const now = nowMs();
    const bucket = buckets.get(workspace) ?? { tokens: burst, at: now };
    bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.at) * rate);
    bucket.at = now;
    buckets.set(workspace, bucket);
    return Object.assign(bucket, { rate });
  }

  return {
    start() {},
    stop() {},
    setWaiting() {},
    ready: () => Promise.resolve(),
    onChange: () => () => {},
    receive: () => Promise.reject(new Error("no messages")),
    listSeats: () => [],
    release: () => Promise.resolve(),
    getWaitMs(workspace, ahead) {
      const { tokens, rate } = getBucket(workspace);
      return tokens >= ahead + 1 ? 0 : Infinity / rate;
    },
    tryTake(workspace) {
      const bucket = getBucket(workspace);
      if (bucket.tokens < 1) {
        return undefined;
      }
      bucket.tokens -= 1;
      return { isValid: () => true, settle() {} };
    },
  };
}

interface Waiter {
  readonly workspace: WorkspaceId;
  readonly deadline: number;
  settle(result: Result<Slot, Failure>): void;
}

interface TargetSlots {
  free: number;
  readonly waiting: Waiter[];
}

/** Serves each target first in, first out, with a fixed limit in flight. */
export function createFifoQueue(options: QueueOptions): Queue {
  const { limits } = options;
  const targets = new Map<TargetId, TargetSlots>();
  const counts = new Map<WorkspaceId, number>();
  const id = {};

  function addWaiting(workspace: WorkspaceId, change: number): void {
    const count = (counts.get(workspace) ?? 0) + change;
    counts.set(workspace, count);
    limits.setWaiting(id, { workspace, count });
  }

  function getSlots(target: TargetId): TargetSlots {
    const found = targets.get(target) ??
      { free: options.maxInFlight, waiting: [] };
    targets.set(target, found);
    return found;
  }

  function serve(slots: TargetSlots): void {
    while (slots.free > 0) {
      const waiter = slots.waiting.find((w) => w.deadline > nowMs());
      const token = waiter && limits.tryTake(waiter.workspace);
      if (!waiter || !token) {
        return;
      }
      slots.free--;
      let held = true;
      const detach = () => {
        slots.free += held ? 1 : 0;
        held = false;
        serve(slots);
      };
      const release = () => {
        token.settle();
        detach();
      };
      waiter.settle(Ok({ isValid: token.isValid, detach, release }));
    }
  }

  const unsubscribe = limits.onChange(() => targets.forEach(serve));

  return {
    enter(target, { workspace, deadline }) {
      const slots = getSlots(target);
      if (limits.getWaitMs(workspace, 0) === Infinity) {
        const retryAfterMs = RETRY_AFTER_MS;
        return Promise.resolve(Err({ error: "rate_limited", retryAfterMs }));
      }
      if (slots.waiting.length >= MAX_QUEUED) {
        const retryAfterMs = RETRY_AFTER_MS;
        return Promise.resolve(Err({ error: "overloaded", retryAfterMs }));
      }
      return new Promise((resolve) => {
        const timer = setTimeout(
          () => waiter.settle(Err({ error: "deadline_exceeded" })),
          Math.max(0, deadline - nowMs()),
        );
        const waiter: Waiter = {
          workspace,
          deadline,
          settle(result) {
            clearTimeout(timer);
            slots.waiting.splice(slots.waiting.indexOf(waiter), 1);
            addWaiting(workspace, -1);
            resolve(result);
          },
        };
        slots.waiting.push(waiter);
        addWaiting(workspace, 1);
        serve(slots);
      });
    },
    stop: unsubscribe,
  };
}
