/** Types shared by the stages of the request pipeline. */

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

/** A frame of a caller other than the one that opens a session. */
export type RequestFrame = Exclude<CallerFrame, HelloFrame>;

/** Status report of a target on its control channel. */
export interface TargetStatus {
  readonly target: TargetId;
  /** Highest term that the target has accepted; it rejects older ones. */
  readonly term: number;
  readonly role: "primary" | "replica";
  /** Term and position of the last entry of the log. */
  readonly logEnd: Position;
  /** Primary that a replica follows in `term`. */
  readonly following?: TargetId;
}

/** A request on the control channel of a target. */
export type ControlReq =
  | { readonly kind: "status" }
  /** Responds once the log reaches `at`, or after `waitMs`. */
  | { readonly kind: "await"; readonly at: Position; readonly waitMs: number }
  /** Rejects every older term from now on and stops following a primary. */
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
    /** Whether the target records the id, so that it runs at most once. */
    readonly unique: boolean;
  }
  | {
    readonly kind: "begin";
    readonly workspace: WorkspaceId;
    readonly term: number;
  }
  | { readonly kind: "commit"; readonly id: ReqId; readonly term: number }
  | { readonly kind: "rollback" }
  /** Determines whether request `of` ran; if not, prevents it from running. */
  | {
    readonly kind: "settle";
    readonly workspace: WorkspaceId;
    readonly of: ReqId;
    readonly term: number;
  };

/** Response of a target to a `RunReq`. */
export interface RunRes {
  readonly result: unknown;
  /** End of the log of the target when the request was executed. */
  readonly at: Position;
  /** Whether the result was recorded when the request was sent earlier. */
  readonly replayed: boolean;
}

/** Reason why a target returned no result. */
export type TargetErrKind =
  /** No connection could be made. */
  | "unreachable"
  /** The target has reached its connection limit. */
  | "connection_refused"
  /** The response timed out, or the connection broke. */
  | "no_answer"
  /** The target is not primary in the term of the request. */
  | "not_primary"
  /** The target has accepted a newer term. */
  | "stale_term"
  /** The statement failed and changed nothing. */
  | "statement_failed"
  /** The request id was cancelled before it ran. */
  | "cancelled"
  /** The request id was recorded with another statement. */
  | "id_reused";

/** A failure at a target. */
export interface TargetErr {
  readonly kind: TargetErrKind;
  /** Whether the request may have reached the target. */
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

/** Connects to the targets of the database groups. */
export interface TargetDriver {
  connect(target: TargetInfo): Promise<Result<TargetConn, TargetErr>>;
  control(
    target: TargetInfo,
    req: ControlReq,
    timeoutMs: number,
  ): Promise<Result<TargetStatus, TargetErr>>;
}

/** A platform object with its version. */
export interface StoredObject {
  readonly key: ObjectKey;
  /** Increases with each change; 0 denotes an object that does not exist. */
  readonly version: number;
  readonly value: unknown;
}

/** Reason why the platform returned no result. */
export type PlatformErr =
  /** The outcome of a change is unknown. */
  | { readonly kind: "unreachable" }
  /** The object is not at the version that the change was made for. */
  | { readonly kind: "conflict"; readonly current: StoredObject }
  | { readonly kind: "rejected"; readonly detail: string }
  /** The history since the revision of a watch is gone; list again. */
  | { readonly kind: "history_gone" }
  /**
   * The store has returned to an earlier copy since the request or its
   * response; the outcome of a change is unknown.
   */
  | { readonly kind: "outdated" };

/** Result of a list or a watch. */
export interface WatchRes {
  /** Revision from which to watch for further changes. */
  readonly revision: number;
  /** Objects, or changed ones in order; a removed one has version 0. */
  readonly objects: readonly StoredObject[];
  /**
   * Age of the store's answer if another host has passed it on, in milliseconds;
   * changes since are not in it.
   */
  readonly ageMs?: number;
}

/** Rise of the store's era: the store has returned to an earlier copy. */
export interface EraChange {
  readonly era: number;
  /** Era of the responses until now. */
  readonly previous: number;
}

/** Eras that the responses of a store have named. */
export interface StoreEras {
  /** Highest era seen; undefined if no response has named one. */
  tryGet(): number | undefined;
  /**
   * Registers a callback for rises. Revisions, leases and lists of the previous
   * era must not be used after it.
   */
  onRise(listener: (change: EraChange) => void): void;
}

/** Object store of the platform. */
export interface PlatformStore {
  /** Undefined for a store that never returns to an earlier copy. */
  readonly eras?: StoreEras;
  get(key: ObjectKey): Promise<Result<StoredObject, PlatformErr>>;
  /** Lists the objects whose key begins with `prefix`. */
  list(
    prefix: string,
    options?: ListOptions,
  ): Promise<Result<WatchRes, PlatformErr>>;
  /** Stores `value` if the object is at `ifVersion`; 0 creates the object. */
  put(
    key: ObjectKey,
    value: unknown,
    options: { readonly ifVersion: number },
  ): Promise<Result<StoredObject, PlatformErr>>;
  /** Resolves when an object under `prefix` changes, or after `waitMs`. */
  watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Result<WatchRes, PlatformErr>>;
}

/** Options of a list. */
export interface ListOptions {
  /**
   * Whether the list may be seconds old; the store then charges less. An exact
   * watch from its revision returns what it lacks.
   */
  readonly mayBeLate?: boolean;
}

/** Options of a watch. */
export interface WatchOptions {
  /** Revision after which changes are reported. */
  readonly after: number;
  /** Maximum wait for a change, in milliseconds. */
  readonly waitMs: number;
  /**
   * Age of what the caller knows already, in milliseconds; 0 by default. A host
   * that watches the store itself waits for less by this time.
   */
  readonly ageMs?: number;
  /** Whether changes may arrive seconds late; the store then charges less. */
  readonly mayBeLate?: boolean;
}

/** A state change, logged as one line. */
export interface StateChange {
  /** Name of the component, as in the `debug` namespace. */
  readonly component: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Metrics that a host exports; labels come from closed or bounded sets. */
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
  | "answers_undelivered_total"
  | "datagrams_ignored_total"
  | "forwarded_commands_total"
  | "host_stream_errors_total"
  | "store_era_changes_total"
  | "store_era_losses_total"
  | "evacuation_changes_total"
  | "ineligible_refusals_total"
  | "store_relayed_calls_total"
  | "store_calls_total"
  | "store_reader_served_total"
  | "store_reader_failures_total"
  | "quota_borrowed_total"
  | "quota_refusals_total"
  | "quota_requests_repeated_total"
  | "quota_requests_refused_total"
  | "quota_tokens_granted_total"
  | "quota_tokens_lost_total"
  | "quota_owner_changes_total"
  | "slot_refusals_total";

/** Names of the histograms; values are in milliseconds. */
export type HistogramName =
  | "request_ms"
  | "queue_ms"
  | "slot_wait_ms"
  | "confirm_ms"
  | "failover_phase_ms";

/** Names of the gauges. */
export type GaugeName =
  | "sessions"
  | "ready"
  | "evacuated_domains"
  | "evacuations_age_ms"
  | "store_age_ms"
  | "cold_targets"
  | "target_connections"
  | "in_flight_requests"
  | "group_term"
  | "peers_alive"
  | "quota_partitions_owned"
  | "slots_in_use"
  | "slot_limit";

/** I/O interface of a host; all external effects go through it. */
export interface HostIo {
  /** Sends a message, or drops it when the peer cannot be reached. */
  sendPeer(to: HostId, msg: PeerMessage): void;
  readonly targets: TargetDriver;
  readonly platform: PlatformStore;
  /** Returns a random number that is at least 0 and less than 1. */
  random(): number;
  log(change: StateChange): void;
  readonly metrics: MetricsSink;
}

/** A host that is known from the settings or from its heartbeats. */
export interface PeerInfo {
  readonly host: HostId;
  readonly domain: DomainId;
}

/** An authenticated request on its way through the pipeline. */
export interface Admitted {
  readonly workspace: WorkspaceId;
  readonly group: GroupInfo;
  readonly op: ExecOp;
  readonly session: string;
  /** Read floor of the session in the group, if it has one. */
  readonly floor: Position | undefined;
  /** Time on the monotonic clock, in milliseconds. */
  readonly deadline: number;
}

/** Response to a request of a caller. */
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

/** State of one group as known to a pool. */
export interface GroupView {
  readonly group: GroupId;
  /** Highest known term of the group. */
  readonly term: number;
  /** Primary of `term`, if known. */
  readonly primary: TargetId | undefined;
  readonly targets: readonly TargetView[];
}

/** Latest report of a target. */
export interface TargetView {
  readonly info: TargetInfo;
  readonly status: TargetStatus | undefined;
  /** Time of the latest report on the monotonic clock, in milliseconds. */
  readonly reportedAt: number;
}

/** A component that holds timers, watches or connections until stopped. */
export interface Stoppable {
  stop(): void;
}

/** Reference to an open transaction in its session. */
export interface TxRef {
  readonly tx: TxId;
  readonly session: string;
}
