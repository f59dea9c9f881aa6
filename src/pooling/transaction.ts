/** Transactions: pinned to one connection from their first statement on. */

import { nowMs, sleep } from "../core/clock.ts";
import { beginAtPrimary, beginOn } from "./begin.ts";
import type { Checkout } from "./dispatch.ts";
import type { RequiredContext } from "./link_context.ts";
import { rankCandidates, tryFloor } from "./reads.ts";
import type { Position, TargetCommand } from "./types.ts";
import {
  describeReply,
  type ExecutionContext,
  getTimeLeftMs,
  type Operation,
  type Outcome,
  prepareConnection,
  recordPrimary,
  recordReply,
  sendWithTimeout,
  type Task,
  type TimedReply,
  toCommand,
} from "./work.ts";
import { hasNotRun, toFailure } from "./writes.ts";

/** Most connections that a transaction is begun on, one after the other. */
const MAX_BEGIN_ATTEMPTS = 4;
/** Most sendings of a statement that the target refused as busy. */
const MAX_BUSY_ATTEMPTS = 6;
/** Pause after the first of them, in milliseconds: part of a statement's work. */
const BUSY_RETRY_DELAY_MS = 15;

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
  ctx: ExecutionContext,
  options: { readonly isReadOnly: boolean },
): Transaction {
  const { isReadOnly } = options;
  let pinned: Checkout | undefined;
  let isReadWrite = false;
  let hasWritten = false;
  let isEnded = false;
  let isRunning = false;
  let answeredAt = nowMs();

  function end(isClean: boolean): void {
    isEnded = true;
    pinned?.release(isClean);
    pinned = undefined;
  }

  function rollback(): void {
    const checkout = pinned;
    pinned = undefined;
    isEnded = true;
    if (!checkout) {
      return;
    }
    if (isRunning) {
      // A statement is at work, so nothing can be sent behind it in time.
      checkout.release(false);
      return;
    }
    void sendWithTimeout(checkout, { kind: "rollback" }, 1_000).then((reply) =>
      checkout.release(reply.kind === "done" && reply.state === "idle")
    );
  }

  /** Begins on a connection; the last answer if none could be had. */
  async function beginTransaction(task: Task): Promise<Checkout | Outcome> {
    const triedTargets = new Set<Checkout["target"]["id"]>();
    let reason = "not begun";
    for (let attempt = 0; attempt < MAX_BEGIN_ATTEMPTS; attempt++) {
      // A read-only transaction at a primary is begun as a plain one.
      const floor = isReadOnly ? tryFloor(ctx, task) : undefined;
      const begun = floor
        ? await beginOn(ctx, task, {
          listCandidates: () =>
            rankCandidates(ctx, { task, floor, triedTargets: triedTargets }),
          command: { kind: "begin", isReadOnly: true, after: floor.position },
          floor,
        })
        : await beginAtPrimary(ctx, task);
      if (begun.kind === "refused") {
        return { kind: "failed", ...begun.failure };
      }
      if (begun.kind === "begun") {
        isReadWrite = !floor;
        return begun.checkout;
      }
      triedTargets.add(begun.target);
      reason = begun.reason;
    }
    return { kind: "failed", error: "overloaded", detail: reason };
  }

  /** The pinned connection, with the state of the session on it. */
  async function getPinnedCheckout(task: Task): Promise<Checkout | Outcome> {
    if (!pinned) {
      const begun = await beginTransaction(task);
      if ("kind" in begun) {
        return begun;
      }
      if (isEnded) {
        begun.release(false);
        return { kind: "failed", error: "aborted" };
      }
      pinned = begun;
      return pinned;
    }
    const fault = await prepareConnection(pinned, {
      context: task.context,
      timeoutMs: getTimeLeftMs(task),
    });
    return fault
      ? { kind: "failed", error: "aborted", detail: describeReply(fault) }
      : pinned;
  }

  /** Sends until the target does not answer busy with the state kept. */
  async function sendWithBusyRetry(
    checkout: Checkout,
    options: { readonly task: Task; readonly command: TargetCommand },
  ): Promise<{ readonly reply: TimedReply; readonly sentAt: number }> {
    const { task, command } = options;
    for (let attempt = 1;; attempt++) {
      const sentAt = nowMs();
      const reply = await sendWithTimeout(
        checkout,
        command,
        getTimeLeftMs(task),
      );
      recordReply(ctx, checkout, { reply, latencyMs: nowMs() - sentAt });
      const isRefused = reply.kind === "error" && reply.code === "busy" &&
        reply.state === "open";
      if (
        !isRefused || attempt >= MAX_BUSY_ATTEMPTS || getTimeLeftMs(task) <= 0
      ) {
        return { reply, sentAt };
      }
      await sleep(BUSY_RETRY_DELAY_MS * attempt);
    }
  }

  async function run(task: Task): Promise<Outcome> {
    const checkout = await getPinnedCheckout(task);
    if ("kind" in checkout) {
      end(false);
      return checkout;
    }
    hasWritten ||= task.operation.access === "write";
    const { reply, sentAt } = await sendWithBusyRetry(checkout, {
      task,
      command: toCommand(task.operation, { checkout: checkout }),
    });
    if (reply.kind === "done" && reply.state === "open") {
      notePosition(checkout, reply.position, sentAt);
      const { rows, signature, position } = reply;
      return { kind: "done", rows, signature, position };
    }
    const isStillOpen = reply.kind === "error" && reply.state === "open";
    const detail = describeReply(reply);
    ctx.io.log.info("transaction_aborted", {
      id: task.operation.id,
      workspace: task.workspace,
      service: task.route.service,
      target: checkout.target.id,
      reason: detail,
    });
    if (isStillOpen) {
      rollback();
    } else {
      end(false);
    }
    // Without a commit nothing of the transaction is kept.
    return { kind: "failed", error: "aborted", detail };
  }

  /** The position proves the primary only inside a plain transaction. */
  function notePosition(
    checkout: Checkout,
    position: Position | undefined,
    askedAt: number,
  ): void {
    if (isReadWrite && position) {
      recordPrimary(ctx, checkout, { position, askedAt });
    }
  }

  async function commit(task: Task): Promise<Outcome> {
    const checkout = await getPinnedCheckout(task);
    if ("kind" in checkout) {
      end(false);
      return checkout;
    }
    const { reply, sentAt } = await sendWithBusyRetry(checkout, {
      task,
      command: {
        kind: "commit",
        id: task.operation.id,
        text: task.operation.text,
      },
    });
    const isIdle = (reply.kind === "done" || reply.kind === "error") &&
      reply.state === "idle";
    end(isIdle);
    if (reply.kind === "done") {
      if (hasWritten) {
        notePosition(checkout, reply.position, sentAt);
      }
      const { rows, signature, position } = reply;
      return { kind: "done", rows, signature, position };
    }
    const outcome = toCommitFailure(reply, hasWritten);
    ctx.io.log.info("commit_not_acknowledged", {
      id: task.operation.id,
      workspace: task.workspace,
      service: task.route.service,
      target: checkout.target.id,
      reason: describeReply(reply),
      told: outcome.kind === "failed" ? outcome.error : outcome.kind,
    });
    return outcome;
  }

  /** Marks the time in which a statement is at work. */
  async function track(outcome: Promise<Outcome>): Promise<Outcome> {
    isRunning = true;
    try {
      return await outcome;
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
  const detail = describeReply(reply);
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
export function toCommitContext(context: RequiredContext): RequiredContext {
  return { variables: context.variables };
}

/** The work of a commit. */
export function toCommitOperation(
  operation: Omit<Operation, "access">,
): Operation {
  return { ...operation, access: "read" };
}
