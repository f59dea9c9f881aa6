/** One session of a client: its values, prepared statements, transaction. */

import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { DatabaseName, ReqId, WorkspaceId } from "../core/ids.ts";
import { Err, Ok, type Result } from "ts-results-es";
import { POOL_ERRORS, type PoolFailure } from "./errors.ts";
import type { ContextNeed } from "./link_context.ts";
import type { Quotas } from "./quotas.ts";
import { read } from "./reads.ts";
import {
  createTransaction,
  toCommitContext,
  toCommitWork,
  type Transaction,
} from "./transaction.ts";
import type {
  Access,
  Position,
  Prepared,
  Route,
  Statement,
  StatementAnswer,
  TransactionState,
} from "./types.ts";
import type { Outcome, Task, Work, WorkContext } from "./work.ts";
import { write } from "./writes.ts";

/** Name that targets are told for clients of public routes without a key. */
const PUBLIC_WORKSPACE = "public" as WorkspaceId;
/** Longest share of the objective that waits for quota. */
const QUOTA_WAIT_SHARE = 0.3;

/** What a session is opened with. */
export interface SessionOptions {
  readonly database: DatabaseName;
  readonly key: string;
}

/** A session of a client. */
export interface Session {
  readonly workspace: WorkspaceId;
  /** Runs a statement; one at a time. */
  execute(id: ReqId, statement: Statement): Promise<StatementAnswer>;
  readonly state: TransactionState;
  /** Whether the key and the route still hold. */
  isAdmitted(): boolean;
  /** Rolls back what is open and answers nothing more. */
  end(): void;
  /** Ends a transaction that was idle for too long, or at a stop. */
  abortIdle(idleMs: number): void;
}

/** Opens sessions; `quotas` counts operations. */
export interface SessionContext extends WorkContext {
  readonly quotas: Quotas;
}

/** Opens a session, or tells why there can be none. */
export function openSession(
  ctx: SessionContext,
  options: SessionOptions,
): Result<Session, PoolFailure> {
  const admitted = tryAdmit(ctx, options);
  return admitted.isErr()
    ? Err(admitted.error)
    : Ok(createSession(ctx, { ...options, ...admitted.value }));
}

interface Admitted {
  readonly route: Route;
  readonly workspace: WorkspaceId;
}

/** Finds route and workspace in the configuration as it stands now. */
function tryAdmit(
  ctx: SessionContext,
  { database, key }: SessionOptions,
): Result<Admitted, PoolFailure> {
  const catalog = ctx.catalog.tryGet();
  if (!catalog) {
    return Err({ error: "not_ready" });
  }
  const route = catalog.routes.get(database);
  if (!route) {
    return Err({ error: "unknown_database" });
  }
  const workspace = catalog.workspaceByKey.get(key);
  if (workspace) {
    return Ok({ route, workspace });
  }
  return route.isPublic
    ? Ok({ route, workspace: PUBLIC_WORKSPACE })
    : Err({ error: "unauthenticated" });
}

function createSession(
  ctx: SessionContext,
  opened: SessionOptions & Admitted,
): Session {
  const { workspace } = opened;
  const values = new Map<string, string>();
  const prepared = new Map<string, Prepared>();
  let route = opened.route;
  let transaction: Transaction | undefined;
  let state: TransactionState = "idle";
  let own: Position | undefined;

  function done(outcome?: Extract<Outcome, { kind: "done" }>): StatementAnswer {
    return {
      kind: "done",
      rows: outcome?.rows ?? [],
      signature: outcome?.signature,
      position: outcome?.position,
      state,
    };
  }

  function fail(failure: PoolFailure, isLast = false): StatementAnswer {
    return {
      kind: "failed",
      error: failure.error,
      detail: failure.detail ?? POOL_ERRORS[failure.error].message,
      ...(failure.retryAfterMs ? { retryAfterMs: failure.retryAfterMs } : {}),
      state,
      isLast,
    };
  }

  function logRefused(id: ReqId, failure: PoolFailure): void {
    ctx.io.metrics.count("refusals_total", {
      workspace,
      error: failure.error,
    });
    ctx.io.log.info("statement_refused", {
      id,
      workspace,
      database: opened.database,
      service: route.service,
      error: failure.error,
      detail: failure.detail,
      retryAfterMs: failure.retryAfterMs,
      configuration: ctx.catalog.tryGet()?.version,
    });
  }

  /** Admits an operation: key, route and quota as they stand now. */
  async function admit(id: ReqId): Promise<StatementAnswer | undefined> {
    const admitted = tryAdmit(ctx, opened);
    if (admitted.isErr()) {
      logRefused(id, admitted.error);
      return fail(admitted.error, true);
    }
    if (admitted.value.workspace !== workspace) {
      return fail({ error: "unauthenticated" }, true);
    }
    if (admitted.value.route.service !== route.service) {
      own = undefined;
    }
    route = admitted.value.route;
    const taken = await ctx.quotas.take(workspace, {
      maxWaitMs: route.objectiveMs * QUOTA_WAIT_SHARE,
    });
    if (taken.isErr()) {
      logRefused(id, taken.error);
      return fail(taken.error);
    }
    return undefined;
  }

  function createTask(
    work: Work,
    given: { readonly startedAt: number; readonly context: ContextNeed },
  ): Task {
    return { ...given, work, route, workspace, own };
  }

  /** Runs a read or a write, alone or in the open transaction. */
  async function run(work: Work): Promise<StatementAnswer> {
    const startedAt = nowMs();
    const context = { values, prepared: work.prepared?.what };
    if (transaction) {
      return await runInside(transaction, work, { startedAt, context });
    }
    const refused = await admit(work.id);
    if (refused) {
      return refused;
    }
    const task = createTask(work, { startedAt, context });
    const outcome = work.access === "read"
      ? await read(ctx, task)
      : await write(ctx, task);
    if (outcome.kind === "done" && work.access === "write") {
      own = outcome.position ?? own;
    }
    return toAnswer(work, { outcome, startedAt });
  }

  async function runInside(
    open: Transaction,
    work: Work,
    given: { readonly startedAt: number; readonly context: ContextNeed },
  ): Promise<StatementAnswer> {
    if (work.access === "write" && open.isReadOnly) {
      abort();
      return fail({
        error: "malformed",
        detail: "a write in a read-only transaction",
      });
    }
    if (!isAdmitted()) {
      abort();
      return fail({ error: "aborted", detail: "the key was withdrawn" });
    }
    const outcome = await open.run(createTask(work, given));
    if (outcome.kind === "failed") {
      state = "failed";
      transaction = undefined;
    }
    return toAnswer(work, { outcome, startedAt: given.startedAt });
  }

  function toAnswer(
    work: Pick<Work, "id">,
    given: { readonly outcome: Outcome; readonly startedAt: number },
  ): StatementAnswer {
    const { outcome, startedAt } = given;
    const labels = { workspace, class: opened.database };
    ctx.io.metrics.count("requests_total", labels);
    ctx.io.metrics.observe("request_ms", nowMs() - startedAt, labels);
    if (outcome.kind === "done") {
      return done(outcome);
    }
    logRefused(work.id, outcome);
    return fail(outcome);
  }

  /** Rolls the transaction back; the client still has to end it. */
  function abort(): void {
    transaction?.rollback();
    transaction = undefined;
    state = "failed";
  }

  async function begin(
    id: ReqId,
    isReadOnly: boolean,
  ): Promise<StatementAnswer> {
    if (state !== "idle") {
      return fail({ error: "malformed", detail: "a transaction is open" });
    }
    const refused = await admit(id);
    if (refused) {
      return refused;
    }
    transaction = createTransaction(ctx, { isReadOnly });
    state = "open";
    return done();
  }

  async function commit(id: ReqId, text: string): Promise<StatementAnswer> {
    const open = transaction;
    if (!open) {
      return fail({ error: "malformed", detail: "no transaction is open" });
    }
    const startedAt = nowMs();
    if (!isAdmitted()) {
      open.rollback();
      transaction = undefined;
      state = "idle";
      return fail({ error: "aborted", detail: "the key was withdrawn" });
    }
    const context = toCommitContext({ values });
    const work = toCommitWork({ id, text });
    const outcome = await open.commit(createTask(work, { startedAt, context }));
    transaction = undefined;
    state = "idle";
    if (outcome.kind === "done") {
      own = outcome.position ?? own;
    }
    return toAnswer(work, { outcome, startedAt });
  }

  function rollback(): StatementAnswer {
    if (state === "idle") {
      return fail({ error: "malformed", detail: "no transaction is open" });
    }
    transaction?.rollback();
    transaction = undefined;
    state = "idle";
    return done();
  }

  function isAdmitted(): boolean {
    return tryAdmit(ctx, opened).isOk();
  }

  async function executePrepared(
    id: ReqId,
    statement: Extract<Statement, { kind: "execute" }>,
  ): Promise<StatementAnswer> {
    const what = prepared.get(statement.name);
    if (!what) {
      return fail({ error: "unknown_statement" });
    }
    const { args } = statement;
    const { access } = what;
    return await run({ id, access, text: "", prepared: { what, args } });
  }

  /** Ends a failed transaction; whatever else comes is not valid. */
  function executeFailed(statement: Statement): StatementAnswer {
    if (statement.kind !== "commit" && statement.kind !== "rollback") {
      return fail({
        error: "malformed",
        detail: "the transaction failed and must be ended",
      });
    }
    state = "idle";
    return statement.kind === "rollback" ? done() : fail({ error: "aborted" });
  }

  async function execute(
    id: ReqId,
    statement: Statement,
  ): Promise<StatementAnswer> {
    if (state === "failed") {
      return executeFailed(statement);
    }
    switch (statement.kind) {
      case "begin":
        return await begin(id, statement.isReadOnly);
      case "commit":
        return await commit(id, statement.text);
      case "rollback":
        return rollback();
      case "run": {
        const access: Access = statement.access;
        return await run({ id, access, text: statement.text });
      }
      case "execute":
        return await executePrepared(id, statement);
      case "set":
        values.set(statement.name, statement.value);
        return done();
      case "prepare":
        prepared.set(statement.name, statement.prepared);
        return done();
      case "deallocate":
        return prepared.delete(statement.name)
          ? done()
          : fail({ error: "unknown_statement" });
      default:
        return assertNever(statement);
    }
  }

  return {
    workspace,
    execute,
    get state() {
      return state;
    },
    isAdmitted,
    end() {
      transaction?.rollback();
      transaction = undefined;
    },
    abortIdle(idleMs) {
      if (transaction && transaction.getIdleMs() >= idleMs) {
        ctx.io.log.info("transaction_idle", {
          workspace,
          database: opened.database,
          idleMs: Math.round(transaction.getIdleMs()),
        });
        abort();
      }
    },
  };
}
