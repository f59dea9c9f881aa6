/** Runs operations on the targets of one group. */

import type { Result } from "ts-results-es";
import type { Failure } from "./errors.ts";
import { assertNever } from "./errors.ts";
import { nowMs, sleep } from "./clock.ts";
import { createConfirmer } from "./confirm.ts";
import { type Connections, createConnections } from "./connections.ts";
import { createMonitor, type Monitor } from "./monitor.ts";
import { isAtLeast } from "./position.ts";
import type { Queue, Slot } from "./queue.ts";
import { openLane, send, type SendErr, toFailure } from "./send.ts";
import { createTransactions, type OpenTransaction } from "./transactions.ts";
import { createWatch } from "./watch.ts";
import type {
  ExecOp,
  ExecReq,
  GroupInfo,
  HostIo,
  Outcome,
  Position,
  RunReq,
  RunRes,
  Stoppable,
  TargetErr,
  TargetInfo,
  TargetView,
} from "./types.ts";

const RETRY_PAUSE_MS = 25;

/** The targets of one group as operations see them. */
export interface Pool extends Stoppable {
  start(): void;
  exec(req: ExecReq): Promise<Outcome>;
  endSession(session: string): void;
  /** Takes the group as it stands after a change of the lists. */
  update(group: GroupInfo): void;
  readonly monitor: Monitor;
}

/** Orders the replicas that may serve a read, best first. */
export type OrderReplicas = (
  replicas: readonly TargetView[],
) => readonly TargetView[];

/** What a pool is made of. */
export interface PoolOptions {
  readonly group: GroupInfo;
  readonly queue: Queue;
  readonly transactionTimeoutMs: number;
  /** Most connections of this host to one target. */
  readonly connectionsPerTarget: number;
  /** Without it reads are spread at random. */
  readonly orderReplicas?: OrderReplicas;
}

interface Task {
  readonly req: ExecReq;
  readonly deadline: number;
}

type OpOf<K extends ExecOp["kind"]> = Extract<ExecOp, { kind: K }>;

/** Creates the pool of a group on this host. */
export function createPool(io: HostIo, options: PoolOptions): Pool {
  const { queue } = options;
  let group = options.group;
  const monitor = createMonitor(io, group);
  const confirmer = createConfirmer(io, { getGroup: () => group, monitor });
  const watch = createWatch(monitor);
  const connections: Connections = createConnections(io, {
    maxPerTarget: options.connectionsPerTarget,
    warm: group.slots,
  });
  const transactions = createTransactions(connections, {
    timeoutMs: options.transactionTimeoutMs,
  });
  const ctx = { io, queue, connections };

  function tryPrimary(): { info: TargetInfo; term: number } | undefined {
    const view = monitor.view();
    const info = view.targets.find((t) => t.info.target === view.primary)?.info;
    return info && { info, term: view.term };
  }

  /** Targets that may serve a read, best first. */
  function listReaders(floor: Position): TargetInfo[] {
    const view = monitor.view();
    const fresh = view.targets.filter((target) =>
      !target.info.leaving && target.status &&
      isAtLeast(target.status.logEnd, floor)
    );
    const replicas = fresh.filter((t) => t.status?.role === "replica");
    const ordered = (options.orderReplicas ?? rotate)(replicas);
    const primaries = fresh.filter((t) => t.status?.role === "primary");
    return [...ordered, ...primaries].map((target) => target.info);
  }

  function rotate(replicas: readonly TargetView[]): TargetView[] {
    const start = Math.floor(io.random() * replicas.length);
    return [...replicas.slice(start), ...replicas.slice(0, start)];
  }

  async function read(op: OpOf<"read">, task: Task): Promise<Outcome> {
    const floor = task.req.floor ?? await monitor.tryReadFloor();
    if (!floor) {
      return failed({ error: "unavailable" });
    }
    const { workspace } = task.req;
    let last: Failure = { error: "unavailable" };
    while (nowMs() < task.deadline) {
      for (const target of listReaders(floor)) {
        const res = await send(ctx, {
          target,
          workspace,
          req: { kind: "read", workspace, body: op.body },
          deadline: task.deadline,
        });
        if (res.isOk() && isAtLeast(res.value.at, floor)) {
          return done(res.value, { floor, isPrimary: isPrimary(target) });
        }
        if (res.isErr() && isFinalForRead(res.error)) {
          return failed(toFailure(res.error));
        }
        if (res.isErr()) {
          last = readFailure(res.error);
        }
      }
      await sleep(RETRY_PAUSE_MS);
    }
    return failed(last);
  }

  function isPrimary(target: TargetInfo): boolean {
    return monitor.view().primary === target.target;
  }

  function isReplaced(term: number): boolean {
    return monitor.view().term > term;
  }

  /** Runs a unique request at the primary until its outcome is known. */
  async function runAtPrimary(
    task: Task,
    build: (term: number) => RunReq,
  ): Promise<Outcome> {
    let maySent = false;
    while (nowMs() < task.deadline) {
      const primary = tryPrimary();
      if (!primary) {
        await sleep(RETRY_PAUSE_MS);
        continue;
      }
      const sending = send(ctx, {
        target: primary.info,
        workspace: task.req.workspace,
        req: build(primary.term),
        deadline: task.deadline,
      });
      const res = await watch.until(sending, () => isReplaced(primary.term));
      if (!res) {
        maySent = true;
        continue;
      }
      if (res.isOk()) {
        const isHeld = await confirmer.confirm({
          at: res.value.at,
          primary: primary.info.target,
          deadline: task.deadline,
        });
        if (isHeld) {
          return done(res.value, { floor: res.value.at, isPrimary: true });
        }
        maySent = true;
        continue;
      }
      maySent ||= isMaybeRun(res.error);
      // A refusal says nothing about an earlier sending.
      const isOpen = maySent && res.error.kind === "refused";
      if (isFinal(res.error) && !isOpen) {
        return failed(toFailure(res.error));
      }
      await sleep(RETRY_PAUSE_MS);
    }
    return failed({ error: maySent ? "outcome_unknown" : "unavailable" });
  }

  async function begin(op: OpOf<"begin">, task: Task): Promise<Outcome> {
    const { workspace, session } = task.req;
    const primary = tryPrimary();
    if (!primary) {
      return failed({ error: "unavailable" });
    }
    const { info, term } = primary;
    const { deadline } = task;
    const lane = await openLane(ctx, { target: info, workspace, deadline });
    if (lane.isErr()) {
      return failed(toFailure(lane.error));
    }
    const { conn, slot } = lane.value;
    const leftMs = Math.max(1, deadline - nowMs());
    const res = await conn.run(
      { kind: "begin", workspace, term },
      leftMs,
    );
    if (res.isErr()) {
      connections.release(conn, { clean: false });
      slot.release();
      return failed({ error: "unavailable" });
    }
    slot.detach();
    transactions.open({
      tx: op.tx,
      workspace,
      session,
      term,
      conn,
      slot,
    });
    return done({ ...res.value, result: op.tx }, {
      floor: task.req.floor ?? res.value.at,
      isPrimary: true,
    });
  }

  /** Waits for a token and a slot; the begin has paid for the end. */
  async function enterTransaction(
    op: OpOf<"read"> | OpOf<"write"> | OpOf<"end">,
    given: { readonly open: OpenTransaction | undefined; readonly task: Task },
  ): Promise<Result<Slot, Failure> | undefined> {
    const { open, task } = given;
    const { workspace } = task.req;
    if (!open || op.kind === "end" || open.workspace !== workspace) {
      return undefined;
    }
    const { target } = open.conn;
    return await queue.enter(target, { workspace, deadline: task.deadline });
  }

  async function runInTransaction(
    op: OpOf<"read"> | OpOf<"write"> | OpOf<"end">,
    task: Task,
  ): Promise<Outcome> {
    const { workspace, session } = task.req;
    const { deadline } = task;
    const open = transactions.tryGet(op.tx!);
    const slot = await enterTransaction(op, { open, task });
    if (slot?.isErr()) {
      return failed(slot.error);
    }
    const res = await transactions.run(
      { tx: op.tx!, workspace, session },
      { req: toTxReq(op, { workspace, term: open?.term ?? 0 }), deadline },
    );
    slot?.map((entered) => entered.release());
    if (res.isErr()) {
      return failed(txFailure(res.error, op));
    }
    const at = res.value.at;
    if (op.kind !== "end" || op.end === "rollback") {
      return done(res.value, {
        floor: task.req.floor ?? at,
        isPrimary: true,
      });
    }
    const primary = open!.conn.target;
    const isHeld = await confirmer.confirm({ at, primary, deadline });
    return isHeld
      ? done(res.value, { floor: at, isPrimary: true })
      : failed({ error: "outcome_unknown" });
  }

  async function run(task: Task): Promise<Outcome> {
    const { op, workspace } = task.req;
    switch (op.kind) {
      case "read":
        return await (op.tx ? runInTransaction(op, task) : read(op, task));
      case "write":
        return await (op.tx
          ? runInTransaction(op, task)
          : runAtPrimary(task, (term) => ({
            kind: "write",
            workspace,
            id: op.id,
            term,
            body: op.body,
            unique: !op.repeatable,
          })));
      case "begin":
        return await begin(op, task);
      case "end":
        return await runInTransaction(op, task);
      case "outcome":
        return await runAtPrimary(task, (term) => ({
          kind: "settle",
          workspace,
          of: op.of,
          term,
        }));
      default:
        return assertNever(op);
    }
  }

  return {
    start() {
      monitor.start();
      connections.keepWarm(group.targets);
    },
    exec: (req) => run({ req, deadline: nowMs() + req.budgetMs }),
    endSession: transactions.endSession,
    monitor,
    update(changed) {
      group = changed;
      monitor.update(changed);
      connections.keepWarm(changed.targets);
    },
    stop() {
      monitor.stop();
      watch.stop();
      confirmer.stop();
      transactions.stop();
      connections.stop();
      queue.stop();
    },
  };
}

function toTxReq(
  op: OpOf<"read"> | OpOf<"write"> | OpOf<"end">,
  at: { readonly workspace: ExecReq["workspace"]; readonly term: number },
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

function txFailure(
  err: Failure | TargetErr,
  op: OpOf<"read"> | OpOf<"write"> | OpOf<"end">,
): Failure {
  if ("error" in err) {
    return err;
  }
  if (err.kind === "no_answer" && op.kind === "end" && op.end === "commit") {
    return { error: "outcome_unknown" };
  }
  const failure = toFailure({ kind: "target", err });
  return failure.error === "statement_failed"
    ? failure
    : { error: "transaction_lost" };
}

function done(
  res: RunRes,
  options: { readonly floor: Position; readonly isPrimary: boolean },
): Outcome {
  return {
    kind: "done",
    result: res.result,
    floor: options.floor,
    servedBy: options.isPrimary ? "primary" : "replica",
    ...(res.replayed ? { replayed: true } : {}),
  };
}

function failed(failure: Failure): Outcome {
  return { kind: "failed", ...failure };
}

/** A refusal or failure that another target would answer alike. */
function isFinal(err: SendErr): boolean {
  if (err.kind === "refused") {
    return true;
  }
  return err.err.kind === "statement_failed" || err.err.kind === "cancelled" ||
    err.err.kind === "id_reused";
}

function isFinalForRead(err: SendErr): boolean {
  return isFinal(err);
}

/** Whether the statement may have run although no result came. */
function isMaybeRun(err: SendErr): boolean {
  return err.kind === "target" && err.err.kind === "no_answer" && err.err.sent;
}

/** A read that was sent and not answered has changed nothing. */
function readFailure(err: SendErr): Failure {
  const failure = toFailure(err);
  return failure.error === "outcome_unknown"
    ? { error: "unavailable" }
    : failure;
}
