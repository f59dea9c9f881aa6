/** Client sessions: variables, prepared statements and the open transaction. */

import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { ReqId, ServiceId, WorkspaceId } from "../core/ids.ts";
import { raisePosition } from "../core/position.ts";
import { Err, type Result } from "ts-results-es";
import { POOL_ERRORS, type PoolFailure } from "./errors.ts";
import {
  createSessionAdmission,
  type SessionAdmission,
  type SessionOptions,
} from "./session_admission.ts";
import type { RequiredContext } from "./link_context.ts";
import type { Quotas } from "./quotas.ts";
import { executeRead } from "./reads.ts";
import {
  createTransaction,
  toCommitContext,
  toCommitOperation,
  type Transaction,
} from "./transaction.ts";
import type {
  Access,
  Position,
  PreparedStatement,
  Route,
  Statement,
  StatementAnswer,
  TransactionState,
} from "./types.ts";
import type {
  ExecutionContext,
  Operation,
  Outcome,
  Task,
} from "./execution.ts";
import { tryRefuseByWait } from "./wait_refusal.ts";
import { executeWrite } from "./writes.ts";

/** Maximum fraction of the latency objective spent waiting for quota. */
const QUOTA_WAIT_FRACTION = 0.3;

/** A client's session. */
export interface Session {
  /** Workspace of the last operation; its key may move to another one. */
  readonly workspace: WorkspaceId;
  /** Executes a statement; calls must not overlap. */
  execute(id: ReqId, statement: Statement): Promise<StatementAnswer>;
  readonly state: TransactionState;
  /**
   * Returns why the current configuration would refuse this session; undefined
   * if it still contains the key and the route.
   */
  tryRefusal(): PoolFailure | undefined;
  /** Rolls back the open transaction; no statement may follow. */
  close(): void;
  /**
   * Aborts the open transaction, also while one of its statements is at work;
   * the client is told the reason with its next statement.
   */
  abort(reason: string): void;
  /**
   * Aborts the open transaction if it has been idle for at least `idleMs`; the
   * client is told the reason with its next statement.
   */
  abortIdleTransaction(
    options: { readonly idleMs: number; readonly reason: string },
  ): void;
  /**
   * Aborts the open transaction between two statements if its target may get no
   * more of them; the client is told with its next statement.
   */
  abortEvacuatedTransaction(): void;
}

/** Dependencies of sessions. */
export interface SessionContext extends ExecutionContext {
  readonly quotas: Pick<Quotas, "takeToken">;
  /** False once the host refuses new sessions and operations. */
  isAdmissionOpen(): boolean;
}

/** Opens a session, or returns the reason for the refusal. */
export function openSession(
  ctx: SessionContext,
  options: SessionOptions,
): Result<Session, PoolFailure> {
  if (!ctx.isAdmissionOpen()) {
    return Err({ error: "stopping" });
  }
  return createSessionAdmission(ctx.catalog, options)
    .map((admission) => createSession(ctx, { ...options, admission }));
}

function createSession(
  ctx: SessionContext,
  sessionOptions: SessionOptions & { readonly admission: SessionAdmission },
): Session {
  const { database, admission } = sessionOptions;
  const variables = new Map<string, string>();
  const preparedStatements = new Map<string, PreparedStatement>();
  let transaction: Transaction | undefined;
  let state: TransactionState = "idle";
  /**
   * Position of the session's last commit on each service: a route may lead to
   * another service and back.
   */
  const commitPositions = new Map<ServiceId, Position>();
  /** Why this host aborted the transaction; until the client is told. */
  let untoldAbort: string | undefined;
  const closing = new AbortController();

  function toDoneAnswer(
    outcome?: Extract<Outcome, { kind: "done" }>,
  ): StatementAnswer {
    return {
      kind: "done",
      rows: outcome?.rows ?? [],
      signature: outcome?.signature,
      position: outcome?.position,
      state,
    };
  }

  /** Logs and counts a failed statement; returns its answer. */
  function refuse(
    id: ReqId,
    failure: PoolFailure,
    { isLast = false } = {},
  ): StatementAnswer {
    logRefusal(id, failure);
    return {
      kind: "failed",
      error: failure.error,
      detail: failure.detail ?? POOL_ERRORS[failure.error].message,
      ...(failure.retryAfterMs ? { retryAfterMs: failure.retryAfterMs } : {}),
      state,
      isLast,
    };
  }

  function logRefusal(id: ReqId, failure: PoolFailure): void {
    const { route, workspace } = admission.current;
    ctx.io.metrics.count("refusals_total", {
      workspace,
      error: failure.error,
    });
    ctx.io.log.info("statement_refused", {
      id,
      workspace,
      database,
      service: route.service,
      error: failure.error,
      detail: failure.detail,
      retryAfterMs: failure.retryAfterMs,
      configuration: ctx.catalog.tryGet()?.version,
    });
  }

  /**
   * Checks an operation against the current key, route and quota; returns the
   * answer if it is refused.
   */
  async function admit(
    id: ReqId,
    options: { readonly needsPrimary: boolean },
  ): Promise<StatementAnswer | undefined> {
    if (!ctx.isAdmissionOpen()) {
      return refuse(id, { error: "stopping" }, { isLast: true });
    }
    const refusal = admission.renew();
    if (refusal) {
      return refuse(id, refusal, { isLast: true });
    }
    const { route, workspace } = admission.current;
    const waitRefusal = tryRefuseByWait(ctx, { route, workspace, ...options });
    if (waitRefusal) {
      return refuse(id, waitRefusal);
    }
    const quotaResult = await ctx.quotas.takeToken(workspace, {
      maxWaitMs: route.objectiveMs * QUOTA_WAIT_FRACTION,
    });
    if (quotaResult.isErr()) {
      return refuse(id, quotaResult.error);
    }
    // The configuration may have changed while the token was waited for.
    const laterRefusal = admission.renew();
    return laterRefusal && refuse(id, laterRefusal, { isLast: true });
  }

  function createTask(
    operation: Operation,
    options: { readonly startedAt: number; readonly context: RequiredContext },
  ): Task {
    const { route, workspace } = admission.current;
    return {
      ...options,
      operation,
      route,
      workspace,
      lastCommitPosition: commitPositions.get(route.service),
      signal: closing.signal,
    };
  }

  /** Notes a commit, which later reads on the service must reflect. */
  function recordCommit(
    { service }: Route,
    position: Position | undefined,
  ): void {
    if (position) {
      raisePosition(commitPositions, service, position);
    }
  }

  /** Executes a read or write, within the open transaction if there is one. */
  async function run(operation: Operation): Promise<StatementAnswer> {
    const startedAt = nowMs();
    const context = {
      variables,
      prepared: operation.prepared?.statement,
    };
    if (transaction) {
      return await runInTransaction(transaction, operation, {
        startedAt,
        context,
      });
    }
    const refused = await admit(operation.id, {
      needsPrimary: operation.access === "write",
    });
    if (refused) {
      return refused;
    }
    const task = createTask(operation, { startedAt, context });
    const outcome = operation.access === "read"
      ? await executeRead(ctx, task)
      : await executeWrite(ctx, task);
    if (outcome.kind === "done" && operation.access === "write") {
      recordCommit(task.route, outcome.position);
    }
    return toAnswer(operation, { outcome, startedAt });
  }

  async function runInTransaction(
    openTransaction: Transaction,
    operation: Operation,
    options: { readonly startedAt: number; readonly context: RequiredContext },
  ): Promise<StatementAnswer> {
    if (operation.access === "write" && openTransaction.isReadOnly) {
      abortTransaction();
      return refuse(operation.id, {
        error: "malformed",
        detail: "a write in a read-only transaction",
      });
    }
    const abortReason = admission.tryAbortReason();
    if (abortReason !== undefined) {
      abortTransaction();
      return refuse(operation.id, { error: "aborted", detail: abortReason });
    }
    const outcome = await openTransaction.run(createTask(operation, options));
    if (outcome.kind === "failed") {
      state = "failed";
      transaction = undefined;
    }
    return toAnswer(operation, { outcome, startedAt: options.startedAt });
  }

  function toAnswer(
    operation: Pick<Operation, "id">,
    options: { readonly outcome: Outcome; readonly startedAt: number },
  ): StatementAnswer {
    const { outcome, startedAt } = options;
    const { workspace } = admission.current;
    const labels = { workspace, class: database };
    ctx.io.metrics.count("requests_total", labels);
    ctx.io.metrics.observe("request_ms", nowMs() - startedAt, labels);
    if (outcome.kind === "done") {
      return toDoneAnswer(outcome);
    }
    return refuse(operation.id, outcome);
  }

  /** Rolls back the transaction; the client must still end it itself. */
  function abortTransaction(): void {
    transaction?.rollback();
    transaction = undefined;
    state = "failed";
  }

  /** Aborts between two statements; the answer to the next one tells why. */
  function abortUntold(reason: string): void {
    abortTransaction();
    untoldAbort = reason;
  }

  async function begin(
    id: ReqId,
    isReadOnly: boolean,
  ): Promise<StatementAnswer> {
    if (state !== "idle") {
      return refuse(id, {
        error: "malformed",
        detail: "a transaction is open",
      });
    }
    const refused = await admit(id, { needsPrimary: !isReadOnly });
    if (refused) {
      return refused;
    }
    transaction = createTransaction(ctx, { isReadOnly });
    untoldAbort = undefined;
    state = "open";
    return toDoneAnswer();
  }

  async function commit(id: ReqId, text: string): Promise<StatementAnswer> {
    const openTransaction = transaction;
    if (!openTransaction) {
      return refuse(id, {
        error: "malformed",
        detail: "no transaction is open",
      });
    }
    const startedAt = nowMs();
    const abortReason = admission.tryAbortReason();
    if (abortReason !== undefined) {
      openTransaction.rollback();
      transaction = undefined;
      state = "idle";
      return refuse(id, { error: "aborted", detail: abortReason });
    }
    const context = toCommitContext({ variables });
    const operation = toCommitOperation({ id, text });
    const task = createTask(operation, { startedAt, context });
    const outcome = await openTransaction.commit(task);
    transaction = undefined;
    state = "idle";
    if (outcome.kind === "done") {
      recordCommit(task.route, outcome.position);
    }
    return toAnswer(operation, { outcome, startedAt });
  }

  function rollback(id: ReqId): StatementAnswer {
    if (state === "idle") {
      return refuse(id, {
        error: "malformed",
        detail: "no transaction is open",
      });
    }
    transaction?.rollback();
    transaction = undefined;
    state = "idle";
    return toDoneAnswer();
  }

  async function executePrepared(
    id: ReqId,
    statement: Extract<Statement, { kind: "execute" }>,
  ): Promise<StatementAnswer> {
    const preparedStatement = preparedStatements.get(statement.name);
    if (!preparedStatement) {
      return refuse(id, { error: "unknown_statement" });
    }
    const { args } = statement;
    const { access } = preparedStatement;
    return await run({
      id,
      access,
      text: "",
      prepared: { statement: preparedStatement, args },
    });
  }

  /**
   * Ends a failed transaction. Any other statement is refused: as aborted if
   * the client does not know of the failure yet, else as malformed.
   */
  function executeFailed(id: ReqId, statement: Statement): StatementAnswer {
    const detail = untoldAbort;
    untoldAbort = undefined;
    if (statement.kind !== "commit" && statement.kind !== "rollback") {
      if (detail !== undefined) {
        return refuse(id, { error: "aborted", detail });
      }
      return refuse(id, {
        error: "malformed",
        detail: "the transaction failed and must be ended",
      });
    }
    state = "idle";
    return statement.kind === "rollback" ? toDoneAnswer() : refuse(id, {
      error: "aborted",
      ...(detail !== undefined ? { detail } : {}),
    });
  }

  async function execute(
    id: ReqId,
    statement: Statement,
  ): Promise<StatementAnswer> {
    if (state === "failed") {
      return executeFailed(id, statement);
    }
    switch (statement.kind) {
      case "begin":
        return await begin(id, statement.isReadOnly);
      case "commit":
        return await commit(id, statement.text);
      case "rollback":
        return rollback(id);
      case "run": {
        const access: Access = statement.access;
        return await run({ id, access, text: statement.text });
      }
      case "execute":
        return await executePrepared(id, statement);
      case "set":
        variables.set(statement.name, statement.value);
        return toDoneAnswer();
      case "prepare":
        preparedStatements.set(statement.name, statement.prepared);
        return toDoneAnswer();
      case "deallocate":
        return preparedStatements.delete(statement.name)
          ? toDoneAnswer()
          : refuse(id, { error: "unknown_statement" });
      default:
        return assertNever(statement);
    }
  }

  return {
    get workspace() {
      return admission.current.workspace;
    },
    execute,
    get state() {
      return state;
    },
    tryRefusal: admission.tryRefusal,
    close() {
      closing.abort();
      transaction?.rollback();
      transaction = undefined;
    },
    abort(reason) {
      if (transaction) {
        abortUntold(reason);
      }
    },
    abortIdleTransaction({ idleMs, reason }) {
      const currentIdleMs = transaction?.tryIdleMs();
      if (currentIdleMs !== undefined && currentIdleMs >= idleMs) {
        ctx.io.log.info("transaction_idle", {
          workspace: admission.current.workspace,
          database,
          idleMs: Math.round(currentIdleMs),
        });
        abortUntold(reason);
      }
    },
    abortEvacuatedTransaction() {
      const target = transaction?.tryIdleTarget();
      if (target && ctx.eligibility.mustEndTransactions(target)) {
        ctx.io.log.info("transaction_evacuated", {
          workspace: admission.current.workspace,
          database,
          target: target.id,
        });
        abortUntold("the target's failure domain is evacuated");
      }
    },
  };
}
