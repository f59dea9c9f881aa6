/**
 * Stand-in for one target: a log with terms and positions, asynchronous
 * replication and statements on rows. All state is in memory.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { assertNever } from "../src/core/errors.ts";
import type { ReqId, TargetId, WorkspaceId } from "../src/core/ids.ts";
import type {
  ControlReq,
  RunReq,
  RunRes,
  TargetErr,
  TargetErrKind,
  TargetStatus,
} from "../src/core/types.ts";
import { getCommonLength } from "./target_log.ts";
import type {
  DiscardedEntry,
  FetchReq,
  FetchRes,
  InitialRole,
  LogEntry,
  RowChange,
  Statement,
  StatementRecord,
  TargetCore,
  TargetSession,
  TermStart,
} from "./target_types.ts";

export type * from "./target_types.ts";

/** Outcome of an executed or cancelled request, kept by request id. */
interface StoredResult {
  readonly body: string;
  readonly result: unknown;
  readonly cancelled: boolean;
}

interface Transaction {
  readonly workspace: WorkspaceId;
  readonly changes: RowChange[];
  /** Uncommitted values by row; reads of the transaction see them. */
  readonly overlay: Map<string, unknown>;
}

const MAX_FETCH_ENTRIES = 1_000;

function fail(kind: TargetErrKind, detail?: string): Err<TargetErr> {
  return Err({ kind, sent: true, ...(detail ? { detail } : {}) });
}

function getScopedKey(workspace: WorkspaceId, key: string): string {
  return `${workspace}/${key}`;
}

function isStatement(body: unknown): body is Statement {
  if (typeof body !== "object" || body === null) {
    return false;
  }
  const { op, key } = body as { op?: unknown; key?: unknown };
  return typeof key === "string" &&
    (op === "get" || op === "put" || op === "add");
}

/** Returns the time a statement occupies a slot, in ms; 0 if not stated. */
export function getCostMs(body: unknown): number {
  return isStatement(body) ? body.costMs ?? 0 : 0;
}

/** Creates a target in term 1 with the given role and no rows. */
export function createTargetCore(
  self: TargetId,
  initialRole: InitialRole,
): TargetCore {
  const log: LogEntry[] = [];
  const statements: StatementRecord[] = [];
  const discarded: DiscardedEntry[] = [];
  const listeners = new Set<() => void>();
  let rows = new Map<string, unknown>();
  let storedResults = new Map<string, StoredResult>();
  let termStarts: TermStart[] = [];
  let term = 0;
  let role: TargetStatus["role"] = "replica";
  let following: { target: TargetId; url: string } | undefined;

  function status(): TargetStatus {
    return {
      target: self,
      term,
      role,
      logEnd: { term: log.at(-1)?.term ?? 0, pos: log.length },
      ...(following ? { following: following.target } : {}),
    };
  }

  function recordStatement(record: Omit<StatementRecord, "ranAt">): void {
    statements.push({ ...record, ranAt: Date.now() });
  }

  function notify(): void {
    listeners.forEach((listener) => listener());
  }

  function applyEntry(entry: LogEntry, pos: number): void {
    if (entry.term !== termStarts.at(-1)?.term) {
      termStarts.push({ term: entry.term, pos });
    }
    for (const change of entry.changes) {
      const key = getScopedKey(entry.workspace!, change.key);
      rows.set(key, applyChange(rows.get(key), change));
    }
    if (entry.id) {
      storedResults.set(getScopedKey(entry.workspace!, entry.id), {
        body: JSON.stringify(entry.changes),
        result: entry.result,
        cancelled: entry.cancelled ?? false,
      });
    }
  }

  function append(entry: LogEntry): void {
    log.push(entry);
    applyEntry(entry, log.length);
  }

  function truncate(length: number): void {
    if (length >= log.length) {
      return;
    }
    log.slice(length).forEach((entry, index) =>
      discarded.push({ pos: length + index + 1, entry })
    );
    log.length = length;
    rows = new Map();
    storedResults = new Map();
    termStarts = [];
    log.forEach((entry, index) => applyEntry(entry, index + 1));
  }

  function becomePrimary(newTerm: number): void {
    term = newTerm;
    role = "primary";
    following = undefined;
    // An empty first entry makes this log newer than any log of an older term.
    append({ term, changes: [], ranAt: Date.now() });
    notify();
  }

  function control(req: ControlReq): Result<TargetStatus, TargetErr> {
    switch (req.kind) {
      case "status":
      case "await":
        return Ok(status());
      case "raise_term":
        if (req.term <= term) {
          return fail("stale_term", `${term}`);
        }
        term = req.term;
        role = "replica";
        following = undefined;
        notify();
        return Ok(status());
      case "promote":
        if (req.term !== term || following) {
          return fail("stale_term", `${term}`);
        }
        if (role !== "primary") {
          becomePrimary(term);
        }
        return Ok(status());
      case "follow":
        if (req.term < term || (req.term === term && role === "primary")) {
          return fail("stale_term", `${term}`);
        }
        term = req.term;
        role = "replica";
        following = { target: req.primary, url: req.primaryUrl };
        notify();
        return Ok(status());
      default:
        return assertNever(req);
    }
  }

  function commit(
    workspace: WorkspaceId,
    changes: readonly RowChange[],
    options: { readonly id: ReqId | undefined; readonly result: unknown },
  ): Result<RunRes, TargetErr> {
    const { id, result } = options;
    const ranAt = Date.now();
    append({ term, workspace, changes, result, ranAt, ...(id ? { id } : {}) });
    notify();
    return Ok({ result, at: status().logEnd, replayed: false });
  }

  /** Returns the stored result if the request id was used before. */
  function tryReplay(
    key: string,
    changes: readonly RowChange[],
  ): Result<RunRes, TargetErr> | undefined {
    const stored = storedResults.get(key);
    if (!stored) {
      return undefined;
    }
    if (stored.cancelled) {
      return fail("cancelled");
    }
    if (stored.body !== JSON.stringify(changes)) {
      return fail("id_reused");
    }
    return Ok({ result: stored.result, at: status().logEnd, replayed: true });
  }

  function openSession(): TargetSession {
    let tx: Transaction | undefined;

    function read(
      req: Extract<RunReq, { kind: "read" }>,
    ): Result<RunRes, TargetErr> {
      if (!isStatement(req.body) || req.body.op !== "get") {
        return fail("statement_failed", "not a read");
      }
      if (tx && tx.workspace !== req.workspace) {
        return fail("statement_failed", "transaction of another workspace");
      }
      const key = getScopedKey(req.workspace, req.body.key);
      const overlay = tx?.overlay;
      const value = overlay?.has(key) ? overlay.get(key) : rows.get(key);
      const { workspace } = req;
      recordStatement({ kind: "read", workspace, key: req.body.key });
      return Ok({
        result: value ?? null,
        at: status().logEnd,
        replayed: false,
      });
    }

    function write(
      req: Extract<RunReq, { kind: "write" }>,
    ): Result<RunRes, TargetErr> {
      if (role !== "primary" || req.term !== term) {
        return fail("not_primary", `${term}`);
      }
      if (!isStatement(req.body) || req.body.op === "get") {
        return fail("statement_failed", "not a write");
      }
      const change = req.body;
      const key = getScopedKey(req.workspace, change.key);
      if (tx) {
        if (tx.workspace !== req.workspace) {
          return fail("statement_failed", "transaction of another workspace");
        }
        const current = tx.overlay.has(key)
          ? tx.overlay.get(key)
          : rows.get(key);
        const result = applyChange(current, change);
        tx.overlay.set(key, result);
        tx.changes.push(change);
        recordStatement({
          kind: "write",
          workspace: req.workspace,
          key: change.key,
        });
        return Ok({ result, at: status().logEnd, replayed: false });
      }
      const replay = req.unique
        ? tryReplay(getScopedKey(req.workspace, req.id), [change])
        : undefined;
      if (replay) {
        return replay;
      }
      recordStatement({
        kind: "write",
        workspace: req.workspace,
        key: change.key,
      });
      return commit(req.workspace, [change], {
        id: req.unique ? req.id : undefined,
        result: applyChange(rows.get(key), change),
      });
    }

    function commitTransaction(
      req: Extract<RunReq, { kind: "commit" }>,
    ): Result<RunRes, TargetErr> {
      const transaction = tx;
      tx = undefined;
      if (!transaction) {
        return fail("statement_failed", "no transaction is open");
      }
      if (role !== "primary" || req.term !== term) {
        return fail("not_primary", `${term}`);
      }
      const key = getScopedKey(transaction.workspace, req.id);
      return tryReplay(key, transaction.changes) ??
        commit(transaction.workspace, transaction.changes, {
          id: req.id,
          result: null,
        });
    }

    function resolveOutcome(
      req: Extract<RunReq, { kind: "settle" }>,
    ): Result<RunRes, TargetErr> {
      if (role !== "primary" || req.term !== term) {
        return fail("not_primary", `${term}`);
      }
      const stored = storedResults.get(getScopedKey(req.workspace, req.of));
      if (!stored) {
        append({
          term,
          workspace: req.workspace,
          id: req.of,
          changes: [],
          cancelled: true,
          ranAt: Date.now(),
        });
        notify();
      }
      const ran = stored !== undefined && !stored.cancelled;
      const result = ran ? { ran, result: stored.result } : { ran };
      return Ok({ result, at: status().logEnd, replayed: ran });
    }

    function begin(
      req: Extract<RunReq, { kind: "begin" }>,
    ): Result<RunRes, TargetErr> {
      if (role !== "primary" || req.term !== term) {
        return fail("not_primary", `${term}`);
      }
      if (tx) {
        return fail("statement_failed", "a transaction is open");
      }
      tx = { workspace: req.workspace, changes: [], overlay: new Map() };
      return Ok({ result: null, at: status().logEnd, replayed: false });
    }

    return {
      run(req) {
        switch (req.kind) {
          case "read":
            return read(req);
          case "write":
            return write(req);
          case "begin":
            return begin(req);
          case "commit":
            return commitTransaction(req);
          case "rollback":
            tx = undefined;
            return Ok({ result: null, at: status().logEnd, replayed: false });
          case "settle":
            return resolveOutcome(req);
          default:
            return assertNever(req);
        }
      },
      end() {
        tx = undefined;
      },
    };
  }

  function fetch(req: FetchReq): FetchRes | undefined {
    if (role !== "primary" || req.term !== term) {
      return undefined;
    }
    const keep = getCommonLength(req, { termStarts, length: log.length });
    return { term, keep, entries: log.slice(keep, keep + MAX_FETCH_ENTRIES) };
  }

  if (initialRole.kind === "primary") {
    becomePrimary(1);
  } else {
    term = 1;
    following = { target: initialRole.of, url: initialRole.url };
  }
  return {
    openSession,
    control,
    status,
    fetch,
    nextFetch() {
      return following && {
        url: following.url,
        req: { target: self, term, length: log.length, termStarts },
      };
    },
    applyFetch(res) {
      if (res.term !== term || !following) {
        return;
      }
      truncate(res.keep);
      res.entries.forEach(append);
      if (res.entries.length > 0) {
        notify();
      }
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    log,
    statements,
    discarded,
    getRow: (workspace, key) => rows.get(getScopedKey(workspace, key)),
  };
}

function applyChange(current: unknown, change: RowChange): unknown {
  return change.op === "put"
    ? change.value
    : (typeof current === "number" ? current : 0) + change.amount;
}
