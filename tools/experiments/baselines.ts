/** Simpler baseline policies that experiments compare with the product's. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "../../src/core/clock.ts";
import type { Failure } from "../../src/core/errors.ts";
import type { TargetId, WorkspaceId } from "../../src/core/ids.ts";
import type { Limits, LimitsOptions } from "../../src/core/limits.ts";
import type { Queue, QueueOptions, Slot } from "../../src/core/queue.ts";
import type { HostIo } from "../../src/core/types.ts";

const MS_PER_SECOND = 1_000;
const MAX_QUEUED_PER_TARGET = 200;
const RETRY_AFTER_MS = 200;

interface Bucket {
  tokens: number;
  refilledAtMs: number;
}

/** Rate limits with an equal, fixed share for each host in the settings. */
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
    const bucket = buckets.get(workspace) ??
      { tokens: burst, refilledAtMs: now };
    bucket.tokens = Math.min(
      burst,
      bucket.tokens + (now - bucket.refilledAtMs) * rate,
    );
    bucket.refilledAtMs = now;
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

interface QueuedRequest {
  readonly workspace: WorkspaceId;
  readonly deadline: number;
  resolve(result: Result<Slot, Failure>): void;
}

interface TargetSlots {
  free: number;
  readonly queued: QueuedRequest[];
}

/**
 * First-in, first-out queue for each target with a fixed limit of statements in
 * flight.
 */
export function createFifoQueue(options: QueueOptions): Queue {
  const { limits } = options;
  const targets = new Map<TargetId, TargetSlots>();
  const counts = new Map<WorkspaceId, number>();
  const waiter = {};

  function changeWaitingCount(workspace: WorkspaceId, change: number): void {
    const count = (counts.get(workspace) ?? 0) + change;
    counts.set(workspace, count);
    limits.setWaiting(waiter, { workspace, count });
  }

  function getSlots(target: TargetId): TargetSlots {
    const slots = targets.get(target) ??
      { free: options.maxInFlight, queued: [] };
    targets.set(target, slots);
    return slots;
  }

  function serveQueue(slots: TargetSlots): void {
    while (slots.free > 0) {
      const request = slots.queued.find((w) => w.deadline > nowMs());
      const token = request && limits.tryTake(request.workspace);
      if (!request || !token) {
        return;
      }
      slots.free--;
      let isHeld = true;
      const detach = () => {
        slots.free += isHeld ? 1 : 0;
        isHeld = false;
        serveQueue(slots);
      };
      const release = () => {
        token.settle();
        detach();
      };
      request.resolve(Ok({ isValid: token.isValid, detach, release }));
    }
  }

  const unsubscribe = limits.onChange(() => targets.forEach(serveQueue));

  return {
    enter(target, { workspace, deadline }) {
      const slots = getSlots(target);
      if (limits.getWaitMs(workspace, 0) === Infinity) {
        const retryAfterMs = RETRY_AFTER_MS;
        return Promise.resolve(Err({ error: "rate_limited", retryAfterMs }));
      }
      if (slots.queued.length >= MAX_QUEUED_PER_TARGET) {
        const retryAfterMs = RETRY_AFTER_MS;
        return Promise.resolve(Err({ error: "overloaded", retryAfterMs }));
      }
      return new Promise((resolve) => {
        const timer = setTimeout(
          () => queuedRequest.resolve(Err({ error: "deadline_exceeded" })),
          Math.max(0, deadline - nowMs()),
        );
        const queuedRequest: QueuedRequest = {
          workspace,
          deadline,
          resolve(result) {
            clearTimeout(timer);
            slots.queued.splice(slots.queued.indexOf(queuedRequest), 1);
            changeWaitingCount(workspace, -1);
            resolve(result);
          },
        };
        slots.queued.push(queuedRequest);
        changeWaitingCount(workspace, 1);
        serveQueue(slots);
      });
    },
    stop: unsubscribe,
  };
}
