/** Pool of one group: runs operations on the targets of the group. */

import { nowMs } from "./clock.ts";
import { createConfirmer } from "./confirm.ts";
import { createConnections } from "./connections.ts";
import { assertNever } from "./errors.ts";
import { createMonitor, type Monitor } from "./monitor.ts";
import type { Queue } from "./queue.ts";
import { type OrderReplicas, read, type Task } from "./read.ts";
import { begin, transact } from "./transact.ts";
import { createTransactions } from "./transactions.ts";
import type {
  ExecReq,
  GroupInfo,
  HostIo,
  Outcome,
  Position,
  Stoppable,
} from "./types.ts";
import { createAnswerWaiter } from "./answer_waiter.ts";
import { isTermOver, resolveOutcome, runAtPrimary } from "./write.ts";

/** Runs operations on the targets of one group. */
export interface Pool extends Stoppable {
  start(): void;
  exec(req: ExecReq): Promise<Outcome>;
  /** Rolls back the transactions of the sessions that match. */
  rollbackSessions(matches: (session: string) => boolean): void;
  countTransactions(): number;
  /** Applies a changed group definition from the configuration. */
  update(group: GroupInfo): void;
  readonly monitor: Monitor;
}

/** Dependencies and limits of a pool. */
export interface PoolOptions {
  readonly group: GroupInfo;
  readonly queue: Queue;
  readonly transactionTimeoutMs: number;
  /** Maximum number of connections from this host to one target. */
  readonly connectionsPerTarget: number;
  /** Preference among replicas; without it, reads start at a random replica. */
  readonly orderReplicas?: OrderReplicas;
}

/** Creates the pool of a group on this host; `start` begins monitoring. */
export function createPool(io: HostIo, options: PoolOptions): Pool {
  const { queue } = options;
  let group = options.group;
  let lastServedTerm = 0;
  const monitor = createMonitor(io, group);
  const confirmer = createConfirmer(io, { getGroup: () => group, monitor });
  const answerWaiter = createAnswerWaiter(monitor);
  const connections = createConnections(io, {
    maxPerTarget: options.connectionsPerTarget,
    warmPerTarget: group.slots,
  });
  const transactions = createTransactions(connections, {
    timeoutMs: options.transactionTimeoutMs,
    answerWaiter,
  });
  const ctx = {
    io,
    queue,
    connections,
    monitor,
    answerWaiter,
    confirmer,
    transactions,
    ...(options.orderReplicas ? { orderReplicas: options.orderReplicas } : {}),
    getGroup: () => group,
  };
  monitor.onReport(() =>
    transactions.rollbackWhere(({ term }) => isTermOver(monitor, term))
  );

  async function run(task: Task): Promise<Outcome> {
    const { op, workspace } = task.req;
    switch (op.kind) {
      case "read":
        return await (op.tx
          ? transact(ctx, { op, task })
          : read(ctx, { op, task }));
      case "write":
        return await (op.tx ? transact(ctx, { op, task }) : runAtPrimary(ctx, {
          task,
          buildRequest: (term) => ({
            kind: "write",
            workspace,
            id: op.id,
            term,
            body: op.body,
            // Repeatable writes are recorded by id as well, so that a caller
            // can request their outcome.
            unique: true,
          }),
        }));
      case "begin":
        return await begin(ctx, { op, task });
      case "end":
        return await transact(ctx, { op, task });
      case "outcome":
        return await resolveOutcome(ctx, { task, of: op.of });
      default:
        return assertNever(op);
    }
  }

  /** Records the time from a new primary's first report to its first write. */
  function recordReroute({ term }: Position): void {
    if (term <= lastServedTerm) {
      return;
    }
    if (lastServedTerm > 0) {
      const ms = monitor.getPrimaryAgeMs();
      const labels = { phase: "reroute", group: group.group };
      io.metrics.observe("failover_phase_ms", ms, labels);
      const fields = { group: group.group, term, reroute: ms };
      io.log({ component: "pool", event: "rerouted", fields });
    }
    lastServedTerm = term;
  }

  async function exec(req: ExecReq): Promise<Outcome> {
    const outcome = await run({ req, deadline: nowMs() + req.budgetMs });
    const { op } = req;
    if (outcome.kind === "done" && op.kind === "write" && !op.tx) {
      recordReroute(outcome.floor);
    }
    return outcome;
  }

  return {
    start() {
      monitor.start();
      connections.keepWarm(group.targets);
    },
    exec,
    rollbackSessions: (matches) =>
      transactions.rollbackWhere(({ session }) => matches(session)),
    countTransactions: () => transactions.size,
    update(newGroup) {
      group = newGroup;
      monitor.update(newGroup);
      connections.keepWarm(newGroup.targets);
    },
    monitor,
    stop() {
      monitor.stop();
      answerWaiter.stop();
      confirmer.stop();
      transactions.stop();
      connections.stop();
      queue.stop();
    },
  };
}
