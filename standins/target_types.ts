/** Types of the target stand-in: log, statements and replication messages. */

import type { Result } from "ts-results-es";
import type { ReqId, TargetId, WorkspaceId } from "../src/core/ids.ts";
import type {
  ControlReq,
  RunReq,
  RunRes,
  TargetErr,
  TargetStatus,
} from "../src/core/types.ts";

/** Change to one row. */
export type RowChange =
  | { readonly op: "put"; readonly key: string; readonly value: unknown }
  /** Adds to a numeric row; a missing row counts as 0. */
  | { readonly op: "add"; readonly key: string; readonly amount: number };

/** Body of a statement as callers send it. */
export type Statement =
  | { readonly op: "get"; readonly key: string; readonly costMs?: number }
  | (RowChange & { readonly costMs?: number });

/** Entry of a target's log. */
export interface LogEntry {
  readonly term: number;
  readonly workspace?: WorkspaceId;
  readonly id?: ReqId;
  readonly changes: readonly RowChange[];
  readonly result?: unknown;
  /** Marks the request with this `id` as cancelled: it must never run. */
  readonly cancelled?: boolean;
  /** Wall-clock time when the primary executed the entry, in milliseconds. */
  readonly ranAt: number;
}

/** Log position of the first entry of a term. */
export interface TermStart {
  readonly term: number;
  readonly pos: number;
}

/** Request of a replica for log entries of its primary. */
export interface FetchReq {
  readonly target: TargetId;
  readonly term: number;
  readonly length: number;
  readonly termStarts: readonly TermStart[];
}

/** Log entries that a primary returns to a replica. */
export interface FetchRes {
  readonly term: number;
  /** Length of the log prefix that the replica keeps before it appends. */
  readonly keep: number;
  readonly entries: readonly LogEntry[];
}

/** Record of an executed statement, read by the checker. */
export interface StatementRecord {
  readonly kind: "read" | "write";
  readonly workspace: WorkspaceId;
  readonly key: string;
  /** Wall-clock time, in milliseconds. */
  readonly ranAt: number;
}

/** Log entry truncated because the primary of a newer term lacks it. */
export interface DiscardedEntry {
  readonly pos: number;
  readonly entry: LogEntry;
}

/** State of one data connection at the target. */
export interface TargetSession {
  run(req: RunReq): Result<RunRes, TargetErr>;
  /** Ends the session and rolls back an open transaction. */
  end(): void;
}

/** State machine of a target, without network, latency or faults. */
export interface TargetCore {
  openSession(): TargetSession;
  control(req: ControlReq): Result<TargetStatus, TargetErr>;
  status(): TargetStatus;
  /**
   * Returns the entries that a replica lacks, or undefined if this target is
   * not the primary of the requested term.
   */
  fetch(req: FetchReq): FetchRes | undefined;
  /** Next replication request and its URL; undefined without a primary. */
  nextFetch(): { readonly url: string; readonly req: FetchReq } | undefined;
  applyFetch(res: FetchRes): void;
  /**
   * Calls `listener` when the log, the term or the primary to follow changes;
   * returns the unsubscribe function.
   */
  onChange(listener: () => void): () => void;
  readonly log: readonly LogEntry[];
  /** Every executed statement, including those no longer in the log. */
  readonly statements: readonly StatementRecord[];
  readonly discarded: readonly DiscardedEntry[];
  getRow(workspace: WorkspaceId, key: string): unknown;
}

/** Role of a target at start, in term 1. */
export type InitialRole =
  | { readonly kind: "primary" }
  | { readonly kind: "replica"; readonly of: TargetId; readonly url: string };
