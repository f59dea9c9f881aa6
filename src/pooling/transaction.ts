/** Transactions: pinned to one connection from their first statement on. */

import { nowMs, sleep } from "../core/clock.ts";
import { beginAtPrimary, beginOn } from "./begin.ts";
import type { Hold } from "./dispatch.ts";
import type { ContextNeed } from "./link_context.ts";
import { rankFor, tryFloor } from "./reads.ts";
import type { Position, TargetCommand } from "./types.ts";
import {
  describe,
  getTimeLeftMs,
  notePrimary,
  noteReply,
  type Outcome,
  prepareLink,
  sendTimed,
  type Task,
  type TimedReply,
  toCommand,
  type Work,
  type WorkContext,
} from "./work.ts";
import { hasNotRun, toFailure } from "./writes.ts";

/** Most connections that a transaction is begun on, one after the other. */
const MAX_BEGINS = 4;
/** Most sendings of a statement that the target refused as busy. */
const MAX_BUSY = 6;
/** Pause after the first of them, in milliseconds: part of a statement's work. */
const BUSY_PAUSE_MS = 15;

/** An open transaction of a session. */
export interface Transaction {
  readonly isReadOnly: boolean;
  /** Runs a statement; after a failure the transaction is rolled back. */
  run(task: Task): Promise<Outcome>;
  commit(task: Task): Promise<Outcome>;
  /** Rolls back; the connection is given back in the background. */
  rollback(): void;
  /** Time since the last answer, in milliseconds. */
  getIdleMs(): number;
}

/** Creates a transaction; a connection is taken with the first statement. */
export function createTransaction(
  ctx: WorkContext,
  options: { readonly isReadOnly: boolean },
): Transaction {
  const { isReadOnly } = options;
  let hold: Hold | undefined;
  let isPlain = false;
  let hasWritten = false;
  let isOver = false;
  let isRunning = false;
  let answeredAt = nowMs();

  function end(isClean: boolean): void {
    isOver = true;
    hold?.release(isClean);
    hold = undefined;
  }

  function rollback(): void {
    const held = hold;
    hold = undefined;
    isOver = true;
    if (!held) {
      return;
    }
    if (isRunning) {
      // A statement is at work, so nothing can be sent behind it in time.
      held.release(false);
      return;
    }
    void sendTimed(held, { kind: "rollback" }, 1_000).then((reply) =>
      held.release(reply.kind === "done" && reply.state === "idle")
    );
  }

  /** Begins on a connection; the last answer if none could be had. */
  async function begin(task: Task): Promise<Hold | Outcome> {
    const tried = new Set<Hold["target"]["id"]>();
    let reason = "not begun";
    for (let attempt = 0; attempt < MAX_BEGINS; attempt++) {
      // A read-only transaction at a primary is begun as a plain one.
      const floor = isReadOnly ? tryFloor(ctx, task) : undefined;
      const begun = floor
        ? await beginOn(ctx, task, {
          list: () => rankFor(ctx, { task, floor, tried }),
          command: { kind: "begin", isReadOnly: true, after: floor.position },
          floor,
        })
        : await beginAtPrimary(ctx, task);
      if (begun.kind === "refused") {
        return { kind: "failed", ...begun.failure };
      }
      if (begun.kind === "begun") {
        isPlain = !floor;
        return begun.hold;
      }
      tried.add(begun.target);
      reason = begun.reason;
    }
    return { kind: "failed", error: "overloaded", detail: reason };
  }

  /** The pinned connection, with the state of the session on it. */
  async function getHold(task: Task): Promise<Hold | Outcome> {
    if (!hold) {
      const begun = await begin(task);
      if ("kind" in begun) {
        return begun;
      }
      if (isOver) {
        begun.release(false);
        return { kind: "failed", error: "aborted" };
      }
      hold = begun;
      return hold;
    }
    const fault = await prepareLink(hold, {
      context: task.context,
      timeoutMs: getTimeLeftMs(task),
    });
    return fault
      ? { kind: "failed", error: "aborted", detail: describe(fault) }
      : hold;
  }

  /** Sends until the target does not answer busy with the state kept. */
  async function sendPatiently(
    held: Hold,
    given: { readonly task: Task; readonly command: TargetCommand },
  ): Promise<{ readonly reply: TimedReply; readonly sentAt: number }> {
    const { task, command } = given;
    for (let attempt = 1;; attempt++) {
      const sentAt = nowMs();
      const reply = await sendTimed(held, command, getTimeLeftMs(task));
      noteReply(ctx, held, { reply, ms: nowMs() - sentAt });
      const isRefused = reply.kind === "error" && reply.code === "busy" &&
        reply.state === "open";
      if (!isRefused || attempt >= MAX_BUSY || getTimeLeftMs(task) <= 0) {
        return { reply, sentAt };
      }
      await sleep(BUSY_PAUSE_MS * attempt);
    }
  }

  async function run(task: Task): Promise<Outcome> {
    const held = await getHold(task);
    if ("kind" in held) {
      end(false);
      return held;
    }
    hasWritten ||= task.work.access === "write";
    const { reply, sentAt } = await sendPatiently(held, {
      task,
      command: toCommand(task.work, { hold: held }),
    });
    if (reply.kind === "done" && reply.state === "open") {
      notePosition(held, reply.position, sentAt);
      const { rows, signature, position } = reply;
      return { kind: "done", rows, signature, position };
    }
    const isKept = reply.kind === "error" && reply.state === "open";
    const detail = describe(reply);
    ctx.io.log.info("transaction_aborted", {
      id: task.work.id,
      workspace: task.workspace,
      service: task.route.service,
      target: held.target.id,
      reason: detail,
    });
    if (isKept) {
      rollback();
    } else {
      end(false);
    }
    // Without a commit nothing of the transaction is kept.
    return { kind: "failed", error: "aborted", detail };
  }

  /** The position proves the primary only inside a plain transaction. */
  function notePosition(
    held: Hold,
    position: Position | undefined,
    askedAt: number,
  ): void {
    if (isPlain && position) {
      notePrimary(ctx, held, { position, askedAt });
    }
  }

  async function commit(task: Task): Promise<Outcome> {
    const held = await getHold(task);
    if ("kind" in held) {
      end(false);
      return held;
    }
    const { reply, sentAt } = await sendPatiently(held, {
      task,
      command: { kind: "commit", id: task.work.id, text: task.work.text },
    });
    const isIdle = (reply.kind === "done" || reply.kind === "error") &&
      reply.state === "idle";
    end(isIdle);
    if (reply.kind === "done") {
      if (hasWritten) {
        notePosition(held, reply.position, sentAt);
      }
      const { rows, signature, position } = reply;
      return { kind: "done", rows, signature, position };
    }
    const outcome = toCommitFailure(reply, hasWritten);
    ctx.io.log.info("commit_not_acknowledged", {
      id: task.work.id,
      workspace: task.workspace,
      service: task.route.service,
      target: held.target.id,
      reason: describe(reply),
      told: outcome.kind === "failed" ? outcome.error : outcome.kind,
    });
    return outcome;
  }

  /** Marks the time in which a statement is at work. */
  async function track(work: Promise<Outcome>): Promise<Outcome> {
    isRunning = true;
    try {
      return await work;
    } finally {
      isRunning = false;
      answeredAt = nowMs();
    }
  }

  return {
    isReadOnly,
    run: (task) => track(run(task)),
    commit: (task) => track(commit(task)),
    rollback,
    getIdleMs: () => isRunning ? 0 : nowMs() - answeredAt,
  };
}

/** What a client is told whose commit was not answered as done. */
function toCommitFailure(
  reply: Exclude<TimedReply, { readonly kind: "done" }>,
  hasWritten: boolean,
): Outcome {
  const detail = describe(reply);
  if (!hasWritten) {
    return { kind: "failed", error: "aborted", detail };
  }
  if (reply.kind === "error") {
    return hasNotRun(reply.code)
      ? { kind: "failed", error: "aborted", detail }
      : toFailure(reply.code, detail);
  }
  return { kind: "failed", error: "in_doubt", detail };
}

/** The context that a commit needs: the values, and no prepared statement. */
export function toCommitContext(context: ContextNeed): ContextNeed {
  return { values: context.values };
}

/** The work of a commit. */
export function toCommitWork(work: Omit<Work, "access">): Work {
  return { ...work, access: "read" };
}
