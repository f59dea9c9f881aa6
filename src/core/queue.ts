/** Queues requests until the target that they wait for has a free slot. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "./clock.ts";
import type { Failure } from "./errors.ts";
import type { TargetId, WorkspaceId } from "./ids.ts";

const MAX_QUEUED_PER_TARGET = 200;
const RETRY_AFTER_MS = 200;

/** The right to run one statement at a target. */
export interface Slot {
  release(): void;
}

/** Hands out the slots of the targets of one group. */
export interface Queue {
  enter(
    target: TargetId,
    options: { readonly workspace: WorkspaceId; readonly deadline: number },
  ): Promise<Result<Slot, Failure>>;
}

interface Waiter {
  readonly deadline: number;
  settle(result: Result<Slot, Failure>): void;
}

interface TargetSlots {
  free: number;
  readonly waiting: Waiter[];
}

/** Creates a queue that serves each target first in, first out. */
export function createFifoQueue(
  options: { readonly slotsPerTarget: number },
): Queue {
  const targets = new Map<TargetId, TargetSlots>();

  function getSlots(target: TargetId): TargetSlots {
    const found = targets.get(target) ??
      { free: options.slotsPerTarget, waiting: [] };
    targets.set(target, found);
    return found;
  }

  function createSlot(slots: TargetSlots): Slot {
    let released = false;
    return {
      release() {
        if (!released) {
          released = true;
          slots.free++;
          serve(slots);
        }
      },
    };
  }

  function serve(slots: TargetSlots): void {
    while (slots.free > 0 && slots.waiting.length > 0) {
      const waiter = slots.waiting.shift()!;
      if (waiter.deadline > nowMs()) {
        slots.free--;
        waiter.settle(Ok(createSlot(slots)));
      }
    }
  }

  return {
    enter(target, { deadline }) {
      const slots = getSlots(target);
      if (slots.waiting.length >= MAX_QUEUED_PER_TARGET) {
        return Promise.resolve(
          Err({ error: "overloaded", retryAfterMs: RETRY_AFTER_MS }),
        );
      }
      return new Promise((resolve) => {
        const timer = setTimeout(
          () => waiter.settle(Err({ error: "deadline_exceeded" })),
          Math.max(0, deadline - nowMs()),
        );
        const waiter: Waiter = {
          deadline,
          settle(result) {
            clearTimeout(timer);
            const place = slots.waiting.indexOf(waiter);
            if (place >= 0) {
              slots.waiting.splice(place, 1);
            }
            resolve(result);
          },
        };
        slots.waiting.push(waiter);
        serve(slots);
      });
    },
  };
}
