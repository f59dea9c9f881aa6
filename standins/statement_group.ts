/**
 * In-memory stand-in for one database group behind the pool: a primary and
 * its replicas, connections with SET variables and prepared statements, and
 * injected faults.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { assertNever } from "../src/core/errors.ts";
import { nowMs, sleep } from "../src/core/clock.ts";
import { asId, type ServiceId, type TargetId } from "../src/core/ids.ts";
import { isAtLeast } from "../src/core/position.ts";
import type {
  DialErr,
  Position,
  PreparedStatement,
  PromoteRes,
  TargetCommand,
  TargetErrCode,
  TargetLink,
  TargetRecord,
  TargetReply,
  TransactionState,
} from "../src/pooling/types.ts";

/** Entry of a target's log. */
export interface LogEntry {
  readonly position: Position;
  /** Ids of the statements that the entry commits. */
  readonly ids: readonly string[];
}

/** Execution of a statement at a target. */
export interface StatementRun {
  readonly id: string;
  readonly target: TargetId;
  readonly workspace: string;
  readonly text: string;
  readonly variables: Readonly<Record<string, string>>;
  /** Applied log position; later commits were not visible. */
  readonly position: Position;
  /** Number of the connection, counted in the order of opening. */
  readonly connection: number;
  readonly isInTransaction: boolean;
  /** Time of the execution, on the clock of the process. */
  readonly at: number;
}

/** Faults injected into a target. */
export interface TargetFaults {
  /** Accepts connections and commands but does not answer. */
  isUnresponsive?: boolean;
  /**
   * Runs commands, but closes the connection instead of answering; `status`
   * commands are answered.
   */
  losesReplies?: boolean;
  /** Receives no log entries from the primary. */
  isReplicationStopped?: boolean;
  /** Refuses statements with `busy`, as if its queue were full. */
  isBusy?: boolean;
}

/** Target of the group, as tests see it. */
export interface StatementTarget {
  readonly record: TargetRecord;
  readonly faults: TargetFaults;
  readonly log: readonly LogEntry[];
  readonly role: "primary" | "replica";
  readonly term: number;
  /** Term for which a replica has paused replication; 0 if it has not. */
  readonly pausedTerm: number;
  /** Number of open connections. */
  readonly connections: number;
}

/** Group of targets with a record of all executed statements. */
export interface StatementGroup {
  readonly targets: readonly StatementTarget[];
  readonly runs: readonly StatementRun[];
  /** Times at which the execution of each statement began last, by its id. */
  readonly begun: ReadonlyMap<string, number>;
  /** Ids of the statements whose commit was acknowledged. */
  readonly acknowledged: ReadonlySet<string>;
  connect(id: TargetId, workspace: string): Result<TargetLink, DialErr>;
  promote(id: TargetId, fencingToken: number): Promise<PromoteRes>;
}

/** Options of a group; times in milliseconds. */
export interface GroupOptions {
  readonly service: ServiceId;
  readonly ids: readonly string[];
  readonly lagMs?: number;
  /** Time to execute a statement, or a function of its text. */
  readonly workMs?: number | ((text: string) => number);
  /** Text added to the rows of a statement; none by default. */
  readonly getPadding?: (text: string) => string;
  readonly maxConnections?: number;
  readonly promoteMs?: number;
}

interface Target {
  readonly record: TargetRecord;
  readonly faults: TargetFaults;
  log: LogEntry[];
  /** Number of entries visible to reads; later ones are only received. */
  appliedCount: number;
  role: "primary" | "replica";
  term: number;
  /** Term for which a replica has paused replication; 0 if it has not. */
  pausedTerm: number;
  connections: number;
}

const INITIAL_POSITION: Position = { term: 1, pos: 0 };

/** Creates a group whose first target is the primary, in term 1. */
export function createStatementGroup(options: GroupOptions): StatementGroup {
  const { lagMs = 20, workMs = 5, promoteMs = 300, getPadding = () => "" } =
    options;
  const getWorkMs = typeof workMs === "function" ? workMs : () => workMs;
  const maxConnections = options.maxConnections ?? 20;
  const runs: StatementRun[] = [];
  const begun = new Map<string, number>();
  const acknowledged = new Set<string>();
  let highestFencingToken = 0;
  let openedConnections = 0;
  const targets: Target[] = options.ids.map((id, index) => ({
    record: {
      id: asId<TargetId>(id),
      incarnation: 1,
      service: options.service,
      address: "127.0.0.1:1",
      domain: asId(`d${index}`),
      slots: 3,
      isDraining: false,
      role: index === 0 ? "primary" : "replica",
    },
    faults: {},
    log: [],
    appliedCount: 0,
    role: index === 0 ? "primary" : "replica",
    term: 1,
    pausedTerm: 0,
    connections: 0,
  }));

  function getTarget(id: TargetId): Target {
    return targets.find((target) => target.record.id === id)!;
  }

  /**
   * Appends a commit and waits until a replica has received it; false if the
   * target is no longer the primary of its term.
   */
  async function append(
    primary: Target,
    ids: readonly string[],
  ): Promise<boolean> {
    const last = primary.log.at(-1)?.position ?? INITIAL_POSITION;
    const { term } = primary;
    const entry = {
      position: { term, pos: last.pos + 1 },
      ids,
    };
    primary.log.push(entry);
    primary.appliedCount = primary.log.length;
    for (;;) {
      const isReplicated = targets.filter((replica) =>
        replica !== primary && tryReplicate(replica, primary)
      ).length > 0;
      if (primary.role !== "primary" || primary.term !== term) {
        return false;
      }
      if (isReplicated) {
        ids.forEach((id) =>
          acknowledged.add(id)
        );
        return true;
      }
      await sleep(5);
    }
  }

  /**
   * Copies the primary's log to a replica, which applies it after `lagMs`;
   * false if the replica does not receive it.
   */
  function tryReplicate(replica: Target, primary: Target): boolean {
    const { faults } = replica;
    if (
      replica.role !== "replica" || faults.isReplicationStopped ||
      faults.isUnresponsive ||
      replica.pausedTerm > 0 || primary.faults.isUnresponsive
    ) {
      return false;
    }
    replica.log = [...primary.log];
    replica.term = primary.term;
    const length = replica.log.length;
    setTimeout(() => {
      replica.appliedCount = Math.max(replica.appliedCount, length);
    }, lagMs);
    return true;
  }

  function getAppliedPosition(target: Target): Position {
    return target.log[target.appliedCount - 1]?.position ??
      {
        ...INITIAL_POSITION,
        term: target.log.length === 0 ? 1 : INITIAL_POSITION.term,
      };
  }

  function connect(
    id: TargetId,
    workspace: string,
  ): Result<TargetLink, DialErr> {
    const target = getTarget(id);
    if (target.connections >= maxConnections) {
      return Err({ code: "too_many_connections", detail: id });
    }
    target.connections++;
    openedConnections++;
    return Ok(
      createConnection(target, { workspace, connection: openedConnections }),
    );
  }

  function createConnection(
    target: Target,
    context: { readonly workspace: string; readonly connection: number },
  ): TargetLink {
    const { workspace, connection } = context;
    const variables = new Map<string, string>();
    const preparedStatements = new Map<string, PreparedStatement>();
    const pending = new Set<(reply: TargetReply) => void>();
    let state: TransactionState = "idle";
    let isReadWrite = false;
    let uncommittedIds: string[] = [];
    let isOpen = true;
    let queue: Promise<unknown> = Promise.resolve();

    function close(): void {
      if (isOpen) {
        isOpen = false;
        target.connections--;
        pending.forEach((resolve) =>
          resolve({ kind: "lost", detail: "closed" })
        );
      }
    }

    function done(rows: readonly string[] = [], signature = "-"): TargetReply {
      return {
        kind: "done",
        rows,
        signature,
        state,
        position: getAppliedPosition(target),
      };
    }

    function fail(code: TargetErrCode): TargetReply {
      state = state === "open" ? "failed" : state;
      return {
        kind: "error",
        code,
        detail: code,
        state,
        position: getAppliedPosition(target),
      };
    }

    /**
     * Closes the connection without a reply: the target lost its primary role
     * during a commit, which may or may not survive.
     */
    function closeWithUnknownOutcome(): TargetReply {
      close();
      return { kind: "lost", detail: "closed" };
    }

    function recordRun(id: string, text: string): void {
      runs.push({
        id,
        target: target.record.id,
        workspace,
        text,
        variables: Object.fromEntries(variables),
        position: getAppliedPosition(target),
        connection,
        isInTransaction: state === "open",
        at: nowMs(),
      });
    }

    async function runStatement(
      command: Extract<TargetCommand, { kind: "run" | "execute" }>,
    ): Promise<TargetReply> {
      const prepared = command.kind === "execute"
        ? preparedStatements.get(command.name)
        : undefined;
      if (command.kind === "execute" && !prepared) {
        return fail("unknown_statement");
      }
      const text = command.kind === "run"
        ? command.text
        : `${prepared!.shape} ${command.args}`;
      const isWrite = prepared
        ? prepared.access === "write"
        : text.startsWith("WRITE");
      if (target.faults.isBusy) {
        return { ...fail("busy"), state } as TargetReply;
      }
      if (
        command.after && !isAtLeast(getAppliedPosition(target), command.after)
      ) {
        return fail("lagging");
      }
      const requiresPrimary = isWrite || (state === "open" && isReadWrite);
      if (requiresPrimary && target.role !== "primary") {
        return fail("read_only");
      }
      begun.set(command.id, nowMs());
      await sleep(getWorkMs(text));
      recordRun(command.id, text);
      if (isWrite && state === "open") {
        uncommittedIds.push(command.id);
      } else if (isWrite && !await append(target, [command.id])) {
        return closeWithUnknownOutcome();
      }
      return done(
        [`row of ${text}${getPadding(text)}`],
        `signed-${command.id}`,
      );
    }

    async function commit(
      command: Extract<TargetCommand, { kind: "commit" }>,
    ): Promise<TargetReply> {
      if (state === "open" && uncommittedIds.length > 0) {
        if (target.role !== "primary") {
          return fail("read_only");
        }
        if (!await append(target, uncommittedIds)) {
          return closeWithUnknownOutcome();
        }
      }
      recordRun(command.id, command.text);
      state = "idle";
      uncommittedIds = [];
      return done([], `signed-${command.id}`);
    }

    async function execute(command: TargetCommand): Promise<TargetReply> {
      switch (command.kind) {
        case "begin":
          if (
            command.after &&
            !isAtLeast(getAppliedPosition(target), command.after)
          ) {
            return fail("lagging");
          }
          if (!command.isReadOnly && target.role !== "primary") {
            return fail("read_only");
          }
          isReadWrite = !command.isReadOnly;
          state = "open";
          return done();
        case "commit":
          return await commit(command);
        case "rollback":
          state = "idle";
          uncommittedIds = [];
          return done();
        case "run":
        case "execute":
          return await runStatement(command);
        case "set":
          variables.set(command.name, command.value);
          return done();
        case "prepare":
          preparedStatements.set(command.name, command.prepared);
          return done();
        case "reset":
          variables.clear();
          preparedStatements.clear();
          return done();
        default:
          return control(command);
      }
    }

    function control(
      command: Extract<
        TargetCommand,
        { kind: "status" | "pause" | "resume" | "step_down" }
      >,
    ): TargetReply {
      switch (command.kind) {
        case "status":
          break;
        case "pause":
          if (target.role === "replica" && command.term > target.term) {
            target.pausedTerm = command.term;
          }
          break;
        case "resume":
          target.pausedTerm = 0;
          break;
        case "step_down":
          if (command.term > target.term) {
            target.role = "replica";
            target.pausedTerm = command.term;
          }
          break;
        default:
          return assertNever(command);
      }
      const end = target.log.at(-1)?.position ?? INITIAL_POSITION;
      const row = [
        target.role,
        target.term,
        `${end.term}.${end.pos}`,
        target.pausedTerm,
        lagMs,
        0,
        target.connections,
      ];
      return done([row.join(" ")]);
    }

    return {
      target: target.record,
      workspace: asId(workspace),
      isOpen: () => isOpen,
      close,
      send(command) {
        if (!isOpen) {
          return Promise.resolve({ kind: "lost", detail: "closed before" });
        }
        return new Promise((resolve) => {
          const finish = (reply: TargetReply) => {
            pending.delete(finish);
            resolve(reply);
          };
          pending.add(finish);
          queue = queue.then(async () => {
            if (target.faults.isUnresponsive || !isOpen) {
              return;
            }
            const reply = await execute(command);
            if (target.faults.losesReplies && command.kind !== "status") {
              close();
            } else if (!target.faults.isUnresponsive) {
              finish(reply);
            }
          });
        });
      },
    };
  }

  return {
    targets,
    runs,
    begun,
    acknowledged,
    connect,
    async promote(id, fencingToken) {
      if (fencingToken < highestFencingToken) {
        return { kind: "refused", detail: "older token" };
      }
      highestFencingToken = fencingToken;
      await sleep(promoteMs);
      const newPrimary = getTarget(id);
      if (newPrimary.role === "primary") {
        return { kind: "accepted" };
      }
      const term = Math.max(...targets.map((target) => target.term)) + 1;
      for (const target of targets) {
        target.role = target === newPrimary ? "primary" : "replica";
        target.pausedTerm = 0;
      }
      newPrimary.term = term;
      newPrimary.appliedCount = newPrimary.log.length;
      for (const target of targets) {
        if (target !== newPrimary && !target.faults.isUnresponsive) {
          target.log = [...newPrimary.log];
          target.term = term;
          target.appliedCount = Math.min(
            target.appliedCount,
            target.log.length,
          );
        }
      }
      return { kind: "accepted" };
    },
  };
}
