/** Open transactions, each pinned to one connection of the primary. */

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

/** A transaction that was begun at the primary. */
export interface OpenTransaction {
  readonly tx: TxId;
  readonly workspace: WorkspaceId;
  readonly session: string;
  readonly term: number;
  readonly conn: TargetConn;
  readonly slot: Slot;
}

/** The transactions that this host holds connections for. */
export interface Transactions extends Stoppable {
  open(transaction: OpenTransaction): void;
  /** Runs a statement in a transaction of the same workspace and session. */
  run(
    ref: {
      readonly tx: TxId;
      readonly workspace: WorkspaceId;
      readonly session: string;
    },
    options: { readonly req: RunReq; readonly deadline: number },
  ): Promise<Result<RunRes, Failure | TargetErr>>;
  tryGet(tx: TxId): OpenTransaction | undefined;
  /** Rolls back what a session has left open. */
  endSession(session: string): void;
}

interface Entry {
  readonly transaction: OpenTransaction;
  readonly timer: NodeJS.Timeout;
  busy: boolean;
}

/** Creates the transactions of one pool. */
export function createTransactions(
  connections: Connections,
  options: { readonly timeoutMs: number },
): Transactions {
  const entries = new Map<TxId, Entry>();

  /** Gives up the connection; closing it rolls back what is not committed. */
  function close(tx: TxId, clean: boolean): void {
    const entry = entries.get(tx);
    if (!entry) {
      return;
    }
    entries.delete(tx);
    clearTimeout(entry.timer);
    connections.release(entry.transaction.conn, { clean });
    entry.transaction.slot.release();
  }

  return {
    open(transaction) {
      const timer = setTimeout(
        () => close(transaction.tx, false),
        options.timeoutMs,
      );
      entries.set(transaction.tx, { transaction, timer, busy: false });
    },
    tryGet: (tx) => entries.get(tx)?.transaction,
    async run(ref, { req, deadline }) {
      const entry = entries.get(ref.tx);
      const owner = entry?.transaction;
      if (
        !entry || owner?.workspace !== ref.workspace ||
        owner.session !== ref.session
      ) {
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
      const res = await owner.conn.run(req, leftMs);
      entry.busy = false;
      if (res.isErr()) {
        close(ref.tx, false);
        return Err(res.error);
      }
      if (req.kind === "commit" || req.kind === "rollback") {
        close(ref.tx, true);
      }
      return Ok(res.value);
    },
    endSession(session) {
      for (const [tx, entry] of [...entries]) {
        if (entry.transaction.session === session) {
          close(tx, false);
        }
      }
    },
    stop() {
      [...entries.keys()].forEach((tx) => close(tx, false));
    },
  };
}
