/** Shapes that the phases of the pipeline share. */

import type { Result } from "ts-results-es";
import type { Failure } from "./errors.ts";
import type {
  DomainId,
  GroupId,
  HostId,
  ObjectKey,
  ReqId,
  TargetId,
  TxId,
  WorkspaceId,
} from "./ids.ts";
import type { CallerFrame, HelloFrame } from "../generated/caller.ts";
import type { GroupInfo, TargetInfo } from "../generated/objects.ts";
import type { ExecOp, PeerMessage, Position } from "../generated/peer.ts";

export type { GroupInfo, TargetInfo } from "../generated/objects.ts";
export type {
  DoneOutcome,
  ExecOp,
  ExecReq,
  FailedOutcome,
  Outcome,
  PeerMessage,
  PeerReq,
  PeerRes,
  Position,
} from "../generated/peer.ts";

/** A request of a caller, as opposed to the opening of a session. */
export type RequestFrame = Exclude<CallerFrame, HelloFrame>;

/** What a target reports of itself on its control channel. */
export interface TargetStatus {
  readonly target: TargetId;
  /** Highest term that the target has accepted; it refuses older ones. */
  readonly term: number;
  readonly role: "primary" | "replica";
  /** Term and position of the last entry of the log. */
  readonly logEnd: Position;
  /** Whom a replica follows in `term`. */
  readonly following?: TargetId;
}

/** A request on the control channel of a target. */
export type ControlReq =
  | { readonly kind: "status" }
  /** Answers once the log reaches `at`, or after `waitMs`. */
  | { readonly kind: "await"; readonly at: Position; readonly waitMs: number }
  /** Refuses every older term from now on and stops following. */
  | { readonly kind: "raise_term"; readonly term: number }
  | { readonly kind: "promote"; readonly term: number }
  | {
    readonly kind: "follow";
    readonly term: number;
    readonly primary: TargetId;
    readonly primaryUrl: string;
  };

/** A request on a data connection of a target. */
export type RunReq =
  | {
    readonly kind: "read";
    readonly workspace: WorkspaceId;
    readonly body: unknown;
  }
  | {
    readonly kind: "write";
    readonly workspace: WorkspaceId;
    readonly id: ReqId;
    readonly term: number;
    readonly body: unknown;
    /** The target records the id, so that it runs at most once. */
    readonly unique: boolean;
  }
  | {
    readonly kind: "begin";
    readonly workspace: WorkspaceId;
    readonly term: number;
  }
  | { readonly kind: "commit"; readonly id: ReqId; readonly term: number }
  | { readonly kind: "rollback" }
  /** Settles whether `of` ran; if it has not, it never will. */
  | {
    readonly kind: "settle";
    readonly workspace: WorkspaceId;
    readonly of: ReqId;
    readonly term: number;
  };

/** The answer of a target to a run request. */
export interface RunRes {
  readonly result: unknown;
  /** End of the log of the target when the request was executed. */
  readonly at: Position;
  /** The target answered from its record of an earlier sending. */
  readonly replayed: boolean;
}

/** Why a target gave no result. */
export type TargetErrKind =
  /** No connection could be made. */
  | "unreachable"
  /** The target has as many connections as it accepts. */
  | "connection_refused"
  /** No answer came in time, or the connection broke. */
  | "no_answer"
  /** The target is not primary in the term of the request. */
  | "not_primary"
  /** A newer term was accepted by the target. */
  | "stale_term"
  /** The statement failed and changed nothing. */
  | "statement_failed"
  /** The request id was settled as never to run. */
  | "cancelled"
  /** The request id was recorded with another statement. */
  | "id_reused";

/** A failure at a target. */
export interface TargetErr {
  readonly kind: TargetErrKind;
  /** The request may have reached the target. */
  readonly sent: boolean;
  readonly detail?: string;
}

/** A data connection to a target. */
export interface TargetConn {
  readonly target: TargetId;
  isOpen(): boolean;
  run(req: RunReq, timeoutMs: number): Promise<Result<RunRes, TargetErr>>;
  close(): void;
}

/** Reaches the targets of the database groups. */
export interface TargetDriver {
  connect(target: TargetInfo): Promise<Result<TargetConn, TargetErr>>;
  control(
    target: TargetInfo,
    req: ControlReq,
    timeoutMs: number,
  ): Promise<Result<TargetStatus, TargetErr>>;
}

/** An object of the platform with its version. */
export interface StoredObject {
  readonly key: ObjectKey;
  /** Rises with each change; 0 stands for an object that is not there. */
  readonly version: number;
  readonly value: unknown;
}

/** Why the platform gave no result. */
export type PlatformErr =
  /** The outcome of a change is not known. */
  | { readonly kind: "unreachable" }
  /** The object has another version than the change was made for. */
  | { readonly kind: "conflict"; readonly current: StoredObject }
  | { readonly kind: "rejected"; readonly detail: string }
  /** Changes since the revision of a watch are no longer known: list again. */
  | { readonly kind: "history_gone" };

/** What a watch tells: objects that changed since a revision. */
export interface WatchRes {
  /** The revision to watch from. */
  readonly revision: number;
  /** Changed objects in order; a removed one has version 0. */
  readonly objects: readonly StoredObject[];
}

/** The object API of the platform. */
export interface PlatformStore {
  get(key: ObjectKey): Promise<Result<StoredObject, PlatformErr>>;
  /** Lists the objects whose key begins with `prefix`. */
  list(prefix: string): Promise<Result<WatchRes, PlatformErr>>;
  /** Stores `value` if the object still has `ifVersion`; 0 creates it. */
  put(
    key: ObjectKey,
    value: unknown,
    options: { readonly ifVersion: number },
  ): Promise<Result<StoredObject, PlatformErr>>;
  /** Answers when an object under `prefix` changes, or after `waitMs`. */
  watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Result<WatchRes, PlatformErr>>;
}

/** What a watch is asked with. */
export interface WatchOptions {
  /** Revision after which changes are told. */
  readonly after: number;
  /** Longest wait for a change, in milliseconds. */
  readonly waitMs: number;
  /** Whether changes may be told seconds late; the store then charges less. */
  readonly mayBeLate?: boolean;
}

/** A change of state, written as one line of the log. */
export interface StateChange {
  /** Name of the component, as in the `debug` namespace. */
  readonly component: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Counts that the host exports; labels come from closed or bounded sets. */
export interface MetricsSink {
  count(name: CounterName, labels: MetricLabels): void;
  add(name: CounterName, amount: number, labels: MetricLabels): void;
  observe(name: HistogramName, value: number, labels: MetricLabels): void;
  set(name: GaugeName, value: number, labels: MetricLabels): void;
}

/** Labels of a metric. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Names of the counters. */
export type CounterName =
  | "requests_total"
  | "refusals_total"
  | "target_sends_total"
  | "target_dials_total"
  | "target_errors_total"
  | "platform_calls_total"
  | "control_messages_total"
  | "control_bytes_total"
  | "promotions_total"
  | "state_changes_total"
  | "log_lines_dropped_total"
  | "datagrams_ignored_total"
  | "quota_borrowed_total";

/** Names of the histograms; values are in milliseconds. */
export type HistogramName =
  | "request_ms"
  | "queue_ms"
  | "confirm_ms"
  | "failover_phase_ms";

/** Names of the gauges. */
export type GaugeName =
  | "sessions"
  | "target_connections"
  | "in_flight_requests"
  | "group_term"
  | "peers_alive";

/** Everything that a host has of the outside. */
export interface HostIo {
  /** Sends a message, or drops it when the peer cannot be reached. */
  sendPeer(to: HostId, msg: PeerMessage): void;
  readonly targets: TargetDriver;
  readonly platform: PlatformStore;
  /** Draws a number that is at least 0 and less than 1. */
  random(): number;
  log(change: StateChange): void;
  readonly metrics: MetricsSink;
}

/** A host that is known from the settings or from its heartbeats. */
export interface PeerInfo {
  readonly host: HostId;
  readonly domain: DomainId;
}

/** A request after authentication, on its way through the pipeline. */
export interface Admitted {
  readonly workspace: WorkspaceId;
  readonly group: GroupInfo;
  readonly op: ExecOp;
  readonly session: string;
  /** Position that the answer must not be older than, once known. */
  readonly floor: Position | undefined;
  /** Time on the monotonic clock, in milliseconds. */
  readonly deadline: number;
}

/** What a caller is answered. */
export type Answer =
  | {
    readonly kind: "done";
    readonly id: ReqId;
    readonly result: unknown;
    readonly token: string;
    readonly servedBy: "primary" | "replica";
    readonly replayed: boolean;
  }
  | {
    readonly kind: "failed";
    readonly id: ReqId;
    readonly failure: Failure;
    readonly token: string;
  };

/** What a pool knows of the targets of one group. */
export interface GroupView {
  readonly group: GroupId;
  /** Highest term seen on a target or heard of. */
  readonly term: number;
  /** The primary of `term`, if it is known. */
  readonly primary: TargetId | undefined;
  readonly targets: readonly TargetView[];
}

/** The last report of a target. */
export interface TargetView {
  readonly info: TargetInfo;
  readonly status: TargetStatus | undefined;
  /** Time of the last report on the monotonic clock, in milliseconds. */
  readonly reportedAt: number;
}

/** Frees what a module holds: timers, watches and connections. */
export interface Stoppable {
  stop(): void;
}

/** Identifies an open transaction together with its session. */
export interface TxRef {
  readonly tx: TxId;
  readonly session: string;
}
