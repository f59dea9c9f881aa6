/** Open transactions, each pinned to one connection to the primary. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "./clock.ts";
import type { Connections } from "./connections.ts";
import type { Failure } from "./errors.ts";
import type { TxId, WorkspaceId } from "./ids.ts";
import type { Slot } from "./queue.ts";
import type {
  RunReq,
  RunRes,
  Stoppable,
  TargetConn,
  TargetErr,
} from "./types.ts";
import type { AnswerWaiter } from "./answer_waiter.ts";

/** Open transaction with its pinned connection and slot. */
export interface OpenTransaction {
  readonly tx: TxId;
  readonly workspace: WorkspaceId;
  readonly session: string;
  readonly term: number;
  readonly conn: TargetConn;
  readonly slot: Slot;
}

/** Transaction id with the workspace and session that must own it. */
export interface TxOwner {
  readonly tx: TxId;
  readonly workspace: WorkspaceId;
  readonly session: string;
}

/** Open transactions of one pool. */
export interface Transactions extends Stoppable {
  open(transaction: OpenTransaction): void;
  /** Runs a statement in the transaction of `owner`, one at a time. */
  run(
    owner: TxOwner,
    options: { readonly req: RunReq; readonly deadline: number },
  ): Promise<Result<RunRes, Failure | TargetErr>>;
  /** Returns the transaction if it is open and belongs to `owner`. */
  tryGet(owner: TxOwner): OpenTransaction | undefined;
  /** Rolls back the transactions that match. */
  rollbackWhere(matches: (transaction: OpenTransaction) => boolean): void;
  readonly size: number;
}

interface TransactionEntry {
  readonly transaction: OpenTransaction;
  readonly timer: NodeJS.Timeout;
  busy: boolean;
}

const NO_ANSWER: TargetErr = { kind: "no_answer", sent: true };

/** Creates the transaction table of one pool, initially empty. */
export function createTransactions(
  connections: Connections,
  options: { readonly timeoutMs: number; readonly answerWaiter: AnswerWaiter },
): Transactions {
  const entries = new Map<TxId, TransactionEntry>();

  /**
   * Removes a transaction and releases its connection. Unless `clean`, the
   * connection is closed, which rolls back an uncommitted transaction.
   */
  function closeTransaction(tx: TxId, clean: boolean): void {
    const entry = entries.get(tx);
    if (!entry) {
      return;
    }
    entries.delete(tx);
    clearTimeout(entry.timer);
    connections.release(entry.transaction.conn, { clean });
    entry.transaction.slot.release();
  }

  function tryEntry(owner: TxOwner): TransactionEntry | undefined {
    const entry = entries.get(owner.tx);
    const transaction = entry?.transaction;
    return transaction?.workspace === owner.workspace &&
        transaction.session === owner.session
      ? entry
      : undefined;
  }

  return {
    open(transaction) {
      const timer = setTimeout(
        () => closeTransaction(transaction.tx, false),
        options.timeoutMs,
      );
      entries.set(transaction.tx, { transaction, timer, busy: false });
    },
    tryGet: (owner) => tryEntry(owner)?.transaction,
    async run(owner, { req, deadline }) {
      const entry = tryEntry(owner);
      if (!entry) {
        return Err({ error: "transaction_lost" });
      }
      if (entry.busy) {
        return Err({
          error: "bad_request",
          detail: "the transaction is running another statement",
        });
      }
      entry.busy = true;
      const leftMs = Math.max(1, deadline - nowMs());
      const isClosed = () => entries.get(owner.tx) !== entry;
      const res = await options.answerWaiter.waitFor(
        entry.transaction.conn.run(req, leftMs),
        isClosed,
      ) ?? Err(NO_ANSWER);
      entry.busy = false;
      if (res.isErr()) {
        closeTransaction(owner.tx, false);
        return Err(res.error);
      }
      if (req.kind === "commit" || req.kind === "rollback") {
        closeTransaction(owner.tx, true);
      }
      return Ok(res.value);
    },
    rollbackWhere(matches) {
      [...entries.values()]
        .filter((entry) => matches(entry.transaction))
        .forEach((entry) => closeTransaction(entry.transaction.tx, false));
    },
    get size() {
      return entries.size;
    },
    stop() {
      [...entries.keys()].forEach((tx) => closeTransaction(tx, false));
    },
  };
}
