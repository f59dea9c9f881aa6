/**
 * Connection to a target whose statements need slots: the first statement has
 * one when the connection is checked out, and each later one of an open
 * transaction takes a slot of its own, so that a transaction whose client
 * thinks does not hold one.
 */

import { nowMs } from "../core/clock.ts";
import type { Slot } from "./slot_scheduler.ts";
import type {
  TargetCommand,
  TargetLink,
  TargetReply,
  TransactionState,
} from "./types.ts";

/** A connection with the slot of its current statement. */
export interface SlotLink {
  readonly link: TargetLink;
  /** Frees the slot; what has not been sent is not sent any more. */
  release(): void;
}

interface HeldCommand {
  readonly command: TargetCommand;
  resolve(reply: TargetReply): void;
}

/** Wraps a connection that was checked out with a slot. */
export function createSlotLink(
  link: TargetLink,
  options: {
    readonly slot: Slot;
    /**
     * Requests a slot for a statement of the open transaction, which is granted
     * before those of new statements; returns a function that withdraws it.
     */
    requestSlot(onGranted: (slot: Slot) => void): () => void;
    /** Called with the service time of each statement that was answered. */
    onServed(
      kind: TargetCommand["kind"],
      options: { readonly ms: number; readonly isInTransaction: boolean },
    ): void;
  },
): SlotLink {
  let slot: Slot | undefined = options.slot;
  let withdraw: (() => void) | undefined;
  const held: HeldCommand[] = [];
  let pendingCount = 0;
  let state: TransactionState = "idle";
  let isReleased = false;

  function freeSlot(): void {
    slot?.release();
    slot = undefined;
  }

  async function forward(command: TargetCommand): Promise<TargetReply> {
    pendingCount++;
    const sentAt = nowMs();
    const isInTransaction = state !== "idle";
    const reply = await link.send(command);
    pendingCount--;
    if (reply.kind === "done") {
      options.onServed(command.kind, {
        ms: nowMs() - sentAt,
        isInTransaction,
      });
    }
    state = reply.kind === "lost" ? "idle" : reply.state;
    // The slot is kept where session state is applied before the statement.
    const isPausing = reply.kind === "lost" || reply.state !== "idle";
    if (pendingCount === 0 && held.length === 0 && isPausing) {
      freeSlot();
    }
    return reply;
  }

  function applyGrant(granted: Slot): void {
    withdraw = undefined;
    slot = granted;
    for (const { command, resolve } of held.splice(0)) {
      void forward(command).then(resolve);
    }
  }

  function send(command: TargetCommand): Promise<TargetReply> {
    if (slot || isReleased) {
      return forward(command);
    }
    return new Promise((resolve) => {
      held.push({ command, resolve });
      if (held.length === 1) {
        let isGranted = false;
        const cancel = options.requestSlot((granted) => {
          isGranted = true;
          applyGrant(granted);
        });
        withdraw = isGranted ? undefined : cancel;
      }
    });
  }

  return {
    link: { ...link, send },
    release() {
      isReleased = true;
      withdraw?.();
      withdraw = undefined;
      for (const { resolve } of held.splice(0)) {
        resolve({
          kind: "error",
          code: "not_sent",
          detail: "given up before it had a slot",
          state: "idle",
          position: undefined,
        });
      }
      freeSlot();
    },
  };
}
