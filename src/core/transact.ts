/** Runs the operations of transactions, from `begin` to `end`. */

import type { Result } from "ts-results-es";
import { nowMs } from "./clock.ts";
import { canHandOver } from "./election.ts";
import type { Failure } from "./errors.ts";
import { assertNever } from "./errors.ts";
import { done, failed, unavailable } from "./outcome.ts";
import type { Task } from "./read.ts";
import type { Slot } from "./queue.ts";
import { reserveConnection, toFailure } from "./send.ts";
import type { OpenTransaction, Transactions, TxOwner } from "./transactions.ts";
import {
  isTermOver,
  type Primary,
  type ResolvedOutcome,
  resolveOutcome,
  waitForPrimary,
  type WriteContext,
} from "./write.ts";
import type {
  ExecOp,
  GroupInfo,
  Outcome,
  Position,
  RunReq,
  TargetErr,
} from "./types.ts";

/** Dependencies of transactions. */
export interface TransactContext extends WriteContext {
  readonly transactions: Transactions;
  getGroup(): GroupInfo;
}

type OpOf<K extends ExecOp["kind"]> = Extract<ExecOp, { kind: K }>;

/** Operation inside a transaction, including its end. */
export type TxOp = OpOf<"read"> | OpOf<"write"> | OpOf<"end">;

const TRANSACTION_LOST: Failure = { error: "transaction_lost" };

/** Begins a transaction and pins a connection to it until it ends. */
export async function begin(
  ctx: TransactContext,
  options: { readonly op: OpOf<"begin">; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const { deadline } = task;
  const { workspace } = task.req;
  // A primary that is about to hand over its role would abort the transaction.
  const isRemainingPrimary = ({ info }: Primary) =>
    !info.leaving || !canHandOver(ctx.getGroup());
  const primary = await waitForPrimary(ctx.monitor, {
    deadline,
    isUsable: isRemainingPrimary,
  });
  if (!primary) {
    return failed(unavailable());
  }
  const target = primary.info;
  const reserved = await reserveConnection(ctx, {
    target,
    workspace,
    deadline,
  });
  if (reserved.isErr()) {
    return failed(toFailure(reserved.error));
  }
  const { conn, slot } = reserved.value;
  const { term } = primary;
  const res = await ctx.answerWaiter.waitFor(
    conn.run({ kind: "begin", workspace, term }, deadline - nowMs()),
    () => isTermOver(ctx.monitor, term),
  );
  if (!res?.isOk()) {
    ctx.connections.release(conn, { clean: false });
    slot.release();
    return failed(unavailable());
  }
  // Each statement of the transaction takes a slot of its own.
  slot.detach();
  const { session } = task.req;
  const { tx } = op;
  ctx.transactions.open({ tx, workspace, session, term, conn, slot });
  return done({ ...res.value, result: tx }, {
    floor: task.req.floor ?? res.value.at,
    isPrimary: true,
  });
}

/**
 * Waits for a rate-limit token and a slot. The end of a transaction needs
 * neither: the token of its `begin` covers it.
 */
async function acquireSlot(
  ctx: TransactContext,
  options: {
    readonly op: TxOp;
    readonly transaction: OpenTransaction | undefined;
    readonly deadline: number;
  },
): Promise<Result<Slot, Failure> | undefined> {
  const { op, transaction, deadline } = options;
  if (!transaction || op.kind === "end") {
    return undefined;
  }
  const { conn, workspace } = transaction;
  return await ctx.queue.enter(conn.target, { workspace, deadline });
}

/** Runs a statement of a transaction, or commits or rolls it back. */
export async function transact(
  ctx: TransactContext,
  options: { readonly op: TxOp; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const { workspace, session } = task.req;
  const { deadline } = task;
  const owner: TxOwner = { tx: op.tx!, workspace, session };
  const transaction = ctx.transactions.tryGet(owner);
  const req = toRunReq(op, { workspace, term: transaction?.term ?? 0 });
  const slot = await acquireSlot(ctx, { op, transaction, deadline });
  if (slot?.isErr()) {
    return failed(slot.error);
  }
  const res = await ctx.transactions.run(owner, { req, deadline });
  slot?.map((acquired) => acquired.release());
  const isCommit = op.kind === "end" && op.end === "commit";
  if (res.isErr()) {
    return isCommit && mayHaveCommitted(res.error)
      ? await resolveCommit(ctx, { op, task })
      : failed(toTxFailure(res.error));
  }
  const { at } = res.value;
  if (!isCommit) {
    return done(res.value, { floor: task.req.floor ?? at, isPrimary: true });
  }
  const primary = transaction!.conn.target;
  const confirmation = ctx.confirmer.confirm({
    position: at,
    primary,
    deadline,
  });
  return await ctx.answerWaiter.waitFor(confirmation, ctx.monitor.isPartitioned)
    ? done(res.value, { floor: at, isPrimary: true })
    : await resolveCommit(ctx, { op, task });
}

/** Returns true if a commit may have run, in this attempt or an earlier one. */
function mayHaveCommitted(err: Failure | TargetErr): boolean {
  return "error" in err
    ? err.error === "transaction_lost"
    : err.kind === "no_answer";
}

/** Resolves the outcome of a commit by its request id. */
async function resolveCommit(
  ctx: TransactContext,
  options: { readonly op: TxOp; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const outcome = await resolveOutcome(ctx, { task, of: op.id });
  return outcome.kind === "done"
    ? toCommitOutcome(outcome.result as ResolvedOutcome, outcome.floor)
    : failed({ error: "outcome_unknown" });
}

/** Converts the resolved outcome of a commit to the outcome of its request. */
export function toCommitOutcome(
  resolved: ResolvedOutcome,
  floor: Position,
): Outcome {
  const result = resolved.result ?? null;
  return resolved.ran
    ? done({ result, replayed: true }, { floor, isPrimary: true })
    : failed(TRANSACTION_LOST);
}

function toRunReq(
  op: TxOp,
  context: {
    readonly workspace: Task["req"]["workspace"];
    readonly term: number;
  },
): RunReq {
  switch (op.kind) {
    case "read":
      return { kind: "read", workspace: context.workspace, body: op.body };
    case "write":
      return {
        kind: "write",
        ...context,
        id: op.id,
        body: op.body,
        unique: false,
      };
    case "end":
      return op.end === "commit"
        ? { kind: "commit", id: op.id, term: context.term }
        : { kind: "rollback" };
    default:
      return assertNever(op);
  }
}

function toTxFailure(err: Failure | TargetErr): Failure {
  if ("error" in err) {
    return err;
  }
  const failure = toFailure({ kind: "target", err });
  return failure.error === "statement_failed" ? failure : TRANSACTION_LOST;
}
