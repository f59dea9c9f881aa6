/** Runs the operations of transactions, from begin to end. */

import { nowMs } from "./clock.ts";
import { canHandOver } from "./election.ts";
import type { Failure } from "./errors.ts";
import { assertNever } from "./errors.ts";
import { done, failed, unavailable } from "./outcome.ts";
import type { Task } from "./read.ts";
import { toFailure } from "./send.ts";
import type { OpenTransaction, Transactions, TxOwner } from "./transactions.ts";
import {
  isTermOver,
  type Leader,
  settle,
  type Settled,
  untilLeader,
  type WriteContext,
} from "./write.ts";
import type {
  ExecOp,
  GroupInfo,
  Outcome,
  Position,
  RunReq,
  RunRes,
  TargetErr,
} from "./types.ts";

/** What transactions need of the pool. */
export interface TransactContext extends WriteContext {
  readonly transactions: Transactions;
  getGroup(): GroupInfo;
}

type OpOf<K extends ExecOp["kind"]> = Extract<ExecOp, { kind: K }>;

/** An operation inside a transaction. */
export type TxOp = OpOf<"read"> | OpOf<"write"> | OpOf<"end">;

const LOST: Failure = { error: "transaction_lost" };

/** Begins a transaction on a connection that stays its own. */
export async function begin(
  ctx: TransactContext,
  options: { readonly op: OpOf<"begin">; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const { deadline } = task;
  const { workspace } = task.req;
  // A primary that is about to hand over would cut the transaction.
  const isStaying = ({ info }: Leader) =>
    !info.leaving || !canHandOver(ctx.getGroup());
  const leader = await untilLeader(ctx.monitor, {
    deadline,
    isUsable: isStaying,
  });
  if (!leader) {
    return failed(unavailable());
  }
  const slot = await ctx.queue.enter(leader.info.target, {
    workspace,
    deadline,
  });
  if (slot.isErr()) {
    return failed(slot.error);
  }
  const opened = await open(ctx, { leader, task });
  if (!opened) {
    slot.value.release();
    return failed(unavailable());
  }
  const { conn, res } = opened;
  const { session } = task.req;
  const { term } = leader;
  const { tx } = op;
  const pinned = { tx, workspace, session, term, conn, slot: slot.value };
  ctx.transactions.open(pinned);
  return done({ ...res, result: tx }, {
    floor: task.req.floor ?? res.at,
    isPrimary: true,
  });
}

/** Connects and begins; a connection that failed to is closed. */
async function open(
  ctx: TransactContext,
  options: { readonly leader: Leader; readonly task: Task },
): Promise<Pick<OpenTransaction, "conn"> & { res: RunRes } | undefined> {
  const { leader, task } = options;
  const { workspace } = task.req;
  const conn = await ctx.connections.acquire(leader.info);
  if (conn.isErr()) {
    return undefined;
  }
  const { term } = leader;
  const leftMs = Math.max(1, task.deadline - nowMs());
  const res = await ctx.watch.until(
    conn.value.run({ kind: "begin", workspace, term }, leftMs),
    () => isTermOver(ctx.monitor, term),
  );
  if (!res?.isOk()) {
    ctx.connections.release(conn.value, { clean: false });
    return undefined;
  }
  return { conn: conn.value, res: res.value };
}

/** Runs a statement of a transaction, or ends it. */
export async function transact(
  ctx: TransactContext,
  options: { readonly op: TxOp; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const { workspace, session } = task.req;
  const { deadline } = task;
  const owner: TxOwner = { tx: op.tx!, workspace, session };
  const pinned = ctx.transactions.tryGet(owner);
  const req = toRunReq(op, { workspace, term: pinned?.term ?? 0 });
  const res = await ctx.transactions.run(owner, { req, deadline });
  const isCommit = op.kind === "end" && op.end === "commit";
  if (res.isErr()) {
    return isCommit && isUnsettled(res.error)
      ? await settleCommit(ctx, { op, task })
      : failed(toTxFailure(res.error));
  }
  const { at } = res.value;
  if (!isCommit) {
    return done(res.value, { floor: task.req.floor ?? at, isPrimary: true });
  }
  const primary = pinned!.conn.target;
  const confirming = ctx.confirmer.confirm({ at, primary, deadline });
  return await ctx.watch.until(confirming, ctx.monitor.isCutOff)
    ? done(res.value, { floor: at, isPrimary: true })
    : await settleCommit(ctx, { op, task });
}

/** Whether a commit may have run, now or at an earlier sending. */
function isUnsettled(err: Failure | TargetErr): boolean {
  return "error" in err
    ? err.error === "transaction_lost"
    : err.kind === "no_answer";
}

/** Finds out by the id of a commit whether it ran. */
async function settleCommit(
  ctx: TransactContext,
  options: { readonly op: TxOp; readonly task: Task },
): Promise<Outcome> {
  const { op, task } = options;
  const outcome = await settle(ctx, { task, of: op.id });
  return outcome.kind === "done"
    ? toCommitOutcome(outcome.result as Settled, outcome.floor)
    : failed({ error: "outcome_unknown" });
}

/** How a commit ended, as settled by its id. */
export function toCommitOutcome(settled: Settled, floor: Position): Outcome {
  const result = settled.result ?? null;
  return settled.ran
    ? done({ result, replayed: true }, { floor, isPrimary: true })
    : failed(LOST);
}

function toRunReq(
  op: TxOp,
  at: { readonly workspace: Task["req"]["workspace"]; readonly term: number },
): RunReq {
  switch (op.kind) {
    case "read":
      return { kind: "read", workspace: at.workspace, body: op.body };
    case "write":
      return { kind: "write", ...at, id: op.id, body: op.body, unique: false };
    case "end":
      return op.end === "commit"
        ? { kind: "commit", id: op.id, term: at.term }
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
  return failure.error === "statement_failed" ? failure : LOST;
}
