/** Transactions, each pinned to one connection from its first statement on. */

import { nowMs, sleep } from "../core/clock.ts";
import { beginAtCandidate, beginAtPrimary } from "./begin.ts";
import type { Checkout } from "./dispatch.ts";
import type { RequiredContext } from "./link_context.ts";
import { rankCandidates, tryFreshReadFloor } from "./reads.ts";
import type { Position, TargetCommand, TargetRecord } from "./types.ts";
import {
  confirmCommit,
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
} from "./execution.ts";
import { meansNotRun, toFailure } from "./writes.ts";

/** Maximum number of attempts to begin a transaction. */
const MAX_BEGIN_ATTEMPTS = 4;
/**
 * Maximum number of attempts for a statement that the target refuses as busy.
 */
const MAX_BUSY_ATTEMPTS = 6;
/**
 * Delay after the first busy answer, growing linearly with each further one: a
 * fraction of the duration of a statement.
 */
const BUSY_RETRY_DELAY_MS = 15;

/** A session's open transaction. */
export interface Transaction {
  readonly isReadOnly: boolean;
  /** Executes a statement; a failure rolls the transaction back. */
  run(task: Task): Promise<Outcome>;
  commit(task: Task): Promise<Outcome>;
  /** Rolls back; the connection is released in the background. */
  rollback(): void;
  /** Returns the time since the last answer; undefined at work. */
  tryIdleMs(): number | undefined;
  /** Returns the target in use; undefined at work or if there is none yet. */
  tryIdleTarget(): TargetRecord | undefined;
}

/** Creates a transaction; its first statement acquires the connection. */
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
  let isCommitting = false;
  let answeredAt = nowMs();

  /** Marks the transaction as ended and releases its connection. */
  function end(isClean: boolean): void {
    isEnded = true;
    pinned?.release(isClean);
    pinned = undefined;
  }

  function rollback(): void {
    if (isCommitting) {
      // The commit may have taken effect; it ends the transaction itself.
      return;
    }
    const checkout = pinned;
    pinned = undefined;
    isEnded = true;
    if (!checkout) {
      return;
    }
    if (isRunning || ctx.eligibility.isEvacuated(checkout.target)) {
      // The rollback would have to wait for the running statement, or the
      // target may get no statement, so the connection is closed instead.
      checkout.release(false);
      return;
    }
    void sendWithTimeout(checkout, { kind: "rollback" }, 1_000).then((reply) =>
      checkout.release(reply.kind === "done" && reply.state === "idle")
    );
  }

  /**
   * Begins the transaction on a connection; returns the failure if that is not
   * possible.
   */
  async function beginTransaction(task: Task): Promise<Checkout | Outcome> {
    const triedTargets = new Set<Checkout["target"]["id"]>();
    let reason = "not begun";
    for (let attempt = 0; attempt < MAX_BEGIN_ATTEMPTS; attempt++) {
      // At the primary, a read-only transaction is begun as a read-write one:
      // a target that is no longer the primary refuses every statement in it.
      const floor = isReadOnly ? await tryFreshReadFloor(ctx, task) : undefined;
      const begun = floor
        ? await beginAtCandidate(ctx, task, {
          choice: {
            use: "read",
            listCandidates: () =>
              rankCandidates(ctx, { task, floor, triedTargets }),
          },
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

  /** Returns the pinned connection with the session's state applied to it. */
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
    const checkout = pinned;
    const { eligibility } = ctx;
    if (
      eligibility.mustEndTransactions(checkout.target) ||
      !eligibility.isAtHome(checkout.target, task)
    ) {
      const detail = "the target may get no more statements";
      return { kind: "failed", error: "aborted", detail };
    }
    const fault = await prepareConnection(checkout, {
      context: task.context,
      timeoutMs: getTimeLeftMs(task),
    });
    if (fault) {
      return { kind: "failed", error: "aborted", detail: describeReply(fault) };
    }
    // What is sent on a closed connection is lost with an unknown outcome;
    // without a commit, nothing of the transaction persists.
    return checkout.pooled.link.isOpen() ? checkout : {
      kind: "failed",
      error: "aborted",
      detail: "the connection to the target was lost before the statement",
    };
  }

  /**
   * Sends a command and retries while the target refuses it as busy and the
   * transaction and its connection stay open.
   */
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
      if (!checkout.pooled.link.isOpen()) {
        // Nothing more can be sent, so the refusal stands.
        return { reply, sentAt };
      }
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
      command: toCommand(task.operation, { checkout }),
    });
    if (reply.kind === "done" && reply.state === "open") {
      recordPrimaryPosition(checkout, reply.position, sentAt);
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
    // Without a commit, none of the transaction's effects persist.
    return { kind: "failed", error: "aborted", detail };
  }

  /**
   * Records the primary's position, which only a read-write transaction proves.
   */
  function recordPrimaryPosition(
    checkout: Checkout,
    position: Position | undefined,
    askedAt: number,
  ): void {
    if (isReadWrite && position) {
      recordPrimary(ctx, checkout, { position, sentAt: askedAt });
    }
  }

  async function commit(task: Task): Promise<Outcome> {
    const checkout = await getPinnedCheckout(task);
    if ("kind" in checkout) {
      end(false);
      return checkout;
    }
    isCommitting = true;
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
        recordPrimaryPosition(checkout, reply.position, sentAt);
      }
      const { rows, signature, position } = reply;
      const outcome = { kind: "done", rows, signature, position } as const;
      return hasWritten
        ? await confirmCommit(ctx, task, {
          outcome,
          primary: checkout.target.id,
        })
        : outcome;
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

  /** Marks the transaction as running until the outcome is known. */
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
    tryIdleTarget: () => isRunning ? undefined : pinned?.target,
    tryIdleMs: () => isRunning ? undefined : nowMs() - answeredAt,
  };
}

/**
 * Maps the reply to a commit that was not confirmed to the client's outcome.
 */
function toCommitFailure(
  reply: Exclude<TimedReply, { readonly kind: "done" }>,
  hasWritten: boolean,
): Outcome {
  const detail = describeReply(reply);
  if (!hasWritten) {
    return { kind: "failed", error: "aborted", detail };
  }
  if (reply.kind === "error") {
    return meansNotRun(reply.code)
      ? { kind: "failed", error: "aborted", detail }
      : toFailure(reply.code, detail);
  }
  return { kind: "failed", error: "in_doubt", detail };
}

/** Returns the context that a commit requires: no prepared statement. */
export function toCommitContext(context: RequiredContext): RequiredContext {
  return { variables: context.variables };
}

/** Creates the operation of a commit, for which `access` is not used. */
export function toCommitOperation(
  operation: Omit<Operation, "access">,
): Operation {
  return { ...operation, access: "read" };
}
