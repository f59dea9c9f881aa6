/** What targets keep, and what they say to each other. */

import type { Result } from "ts-results-es";
import type { ReqId, TargetId, WorkspaceId } from "../src/core/ids.ts";
import type {
  ControlReq,
  RunReq,
  RunRes,
  TargetErr,
  TargetStatus,
} from "../src/core/types.ts";

/** A change of one row. */
export type RowChange =
  | { readonly op: "put"; readonly key: string; readonly value: unknown }
  /** Adds to a number; a row that is not there counts as 0. */
  | { readonly op: "add"; readonly key: string; readonly amount: number };

/** A statement as callers write it. */
export type Statement =
  | { readonly op: "get"; readonly key: string; readonly costMs?: number }
  | (RowChange & { readonly costMs?: number });

/** One entry of the log. */
export interface LogEntry {
  readonly term: number;
  readonly workspace?: WorkspaceId;
  readonly id?: ReqId;
  readonly changes: readonly RowChange[];
  readonly result?: unknown;
  /** The request with this id must never run. */
  readonly cancelled?: boolean;
  /** Wall clock when the primary ran it, in milliseconds. */
  readonly ranAt: number;
}

/** Where a term begins in a log. */
export interface TermStart {
  readonly term: number;
  readonly pos: number;
}

/** What a replica asks of its primary. */
export interface FetchReq {
  readonly target: TargetId;
  readonly term: number;
  readonly length: number;
  readonly termStarts: readonly TermStart[];
}

/** What a primary gives a replica. */
export interface FetchRes {
  readonly term: number;
  /** Entries that the replica keeps before it appends. */
  readonly keep: number;
  readonly entries: readonly LogEntry[];
}

/** A statement that the target ran, for the checker. */
export interface StatementRecord {
  readonly kind: "read" | "write";
  readonly workspace: WorkspaceId;
  readonly key: string;
  /** Wall clock, in milliseconds. */
  readonly ranAt: number;
}

/** An entry that left the log because the primary of a newer term lacks it. */
export interface DiscardedEntry {
  readonly pos: number;
  readonly entry: LogEntry;
}

/** One data connection as the target sees it. */
export interface TargetSession {
  run(req: RunReq): Result<RunRes, TargetErr>;
  /** The connection ended: an open transaction is rolled back. */
  end(): void;
}

/** A target without its network. */
export interface TargetCore {
  openSession(): TargetSession;
  control(req: ControlReq): Result<TargetStatus, TargetErr>;
  status(): TargetStatus;
  /** Serves a replica; undefined if this target is not its primary. */
  fetch(req: FetchReq): FetchRes | undefined;
  /** What a replica asks next, and whom; undefined if it follows nobody. */
  nextFetch(): { readonly url: string; readonly req: FetchReq } | undefined;
  applyFetch(res: FetchRes): void;
  /** Calls back each time that the log grows or the term rises. */
  onChange(listener: () => void): () => void;
  readonly log: readonly LogEntry[];
  /** Every statement that ran, whether or not it stays in the log. */
  readonly statements: readonly StatementRecord[];
  readonly discarded: readonly DiscardedEntry[];
  getRow(workspace: WorkspaceId, key: string): unknown;
}

/** How a target begins in term 1: it leads, or follows the primary. */
export type InitialRole =
  | { readonly kind: "primary" }
  | { readonly kind: "replica"; readonly of: TargetId; readonly url: string };
