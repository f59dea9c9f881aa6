/** Shapes that the parts of the session pool share. */

import type { Result } from "ts-results-es";
import type {
  DatabaseName,
  DomainId,
  HostId,
  ReqId,
  ServiceId,
  TargetId,
  WorkspaceId,
} from "../core/ids.ts";
import type { MetricsSink, PlatformStore, Position } from "../core/types.ts";
import type { PoolPeerMessage } from "../generated/pool_peer.ts";
import type { PoolErrKind } from "./errors.ts";

export type { Position } from "../core/types.ts";

/** How old a read on a route may be. */
export type Consistency =
  /** Holds everything acknowledged before the read. */
  | { readonly kind: "primary" }
  /** Holds everything acknowledged `maxStaleMs` before the read. */
  | { readonly kind: "bounded"; readonly maxStaleMs: number }
  /** As bounded, and every commit of the same session. */
  | { readonly kind: "session"; readonly maxStaleMs: number };

/** Where the statements for a database go and what is owed to them. */
export interface Route {
  readonly database: DatabaseName;
  readonly service: ServiceId;
  readonly consistency: Consistency;
  /** Longest time of one statement at a target, in milliseconds. */
  readonly statementTimeoutMs: number;
  /** Latency objective of a whole operation, in milliseconds. */
  readonly objectiveMs: number;
  /** Priority; 0 is served first. */
  readonly priority: number;
  /** Needs no key. */
  readonly isPublic: boolean;
}

/** What the operators configured for a database service. */
export interface ServicePolicy {
  readonly service: ServiceId;
  /** Connections that a target takes from all hosts together. */
  readonly maxConnections: number;
  /** Replicas that hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** Quota of a workspace, in operations over the whole fleet. */
export interface Quota {
  readonly ratePerS: number;
  readonly burst: number;
}

/** One version of the configuration, as a whole. */
export interface Catalog {
  readonly version: number;
  readonly routes: ReadonlyMap<DatabaseName, Route>;
  readonly services: ReadonlyMap<ServiceId, ServicePolicy>;
  readonly quotas: ReadonlyMap<WorkspaceId, Quota>;
  readonly workspaceByKey: ReadonlyMap<string, WorkspaceId>;
  /** Time after which an idle transaction is ended, in milliseconds. */
  readonly transactionIdleMs: number;
}

/** A target as it registered itself. */
export interface TargetRecord {
  readonly id: TargetId;
  /** Differs for each start of a process under the same id. */
  readonly incarnation: number;
  readonly service: ServiceId;
  readonly address: string;
  readonly domain: DomainId;
  /** Statements that it runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  readonly role: "primary" | "replica";
}

/** State of a session or of a connection to a target. */
export type TransactionState = "idle" | "open" | "failed";

/** A statement of a client. `text` is passed on as it came. */
export type Statement =
  | { readonly kind: "begin"; readonly isReadOnly: boolean }
  | { readonly kind: "commit"; readonly text: string }
  | { readonly kind: "rollback" }
  | {
    readonly kind: "run";
    readonly access: Access;
    readonly text: string;
  }
  | { readonly kind: "set"; readonly name: string; readonly value: string }
  | {
    readonly kind: "prepare";
    readonly name: string;
    readonly prepared: PreparedStatement;
  }
  | { readonly kind: "execute"; readonly name: string; readonly args: string }
  | { readonly kind: "deallocate"; readonly name: string };

/** Whether a statement changes rows. */
export type Access = "read" | "write";

/** What a prepared statement does, whatever name it has. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** A command on a connection to a target. */
export type TargetCommand =
  | {
    readonly kind: "begin";
    readonly isReadOnly: boolean;
    readonly after?: Position;
  }
  | { readonly kind: "commit"; readonly id: ReqId; readonly text: string }
  | { readonly kind: "rollback" }
  | {
    readonly kind: "run";
    readonly id: ReqId;
    readonly text: string;
    /** The target answers only if its log holds this position. */
    readonly after?: Position;
  }
  | {
    readonly kind: "execute";
    readonly id: ReqId;
    /** Name under which it was prepared on this connection. */
    readonly name: string;
    readonly args: string;
    readonly after?: Position;
  }
  | { readonly kind: "set"; readonly name: string; readonly value: string }
  | {
    readonly kind: "prepare";
    readonly name: string;
    readonly prepared: PreparedStatement;
  }
  | { readonly kind: "reset" }
  | { readonly kind: "status" }
  | { readonly kind: "pause"; readonly term: number }
  | { readonly kind: "resume" }
  | { readonly kind: "step_down"; readonly term: number };

/** Codes by which a target refuses or fails a command. */
export type TargetErrCode =
  | "busy"
  | "lagging"
  | "read_only"
  | "unknown_statement"
  | "wrong_target"
  | "too_many_connections"
  | "failed"
  | "timeout"
  | "malformed"
  | "other";

/** What came back for a command. */
export type TargetReply =
  | {
    readonly kind: "done";
    readonly rows: readonly string[];
    readonly signature: string;
    readonly state: TransactionState;
    readonly position: Position | undefined;
  }
  | {
    readonly kind: "error";
    readonly code: TargetErrCode;
    readonly detail: string;
    readonly state: TransactionState;
    readonly position: Position | undefined;
  }
  /** The connection ended first; the command may have run. */
  | { readonly kind: "lost"; readonly detail: string };

/** A report of a target about its log. */
export interface TargetReport {
  readonly role: "primary" | "replica";
  readonly term: number;
  readonly position: Position;
  /** Term under which it stopped receiving; 0 if it receives. */
  readonly pausedTerm: number;
  readonly lagMs: number;
  readonly busy: number;
  readonly connections: number;
}

/** A connection to a target on behalf of one workspace. */
export interface TargetLink {
  readonly target: TargetRecord;
  readonly workspace: WorkspaceId;
  isOpen(): boolean;
  /** Sends a command; commands are answered in the order sent. */
  send(command: TargetCommand): Promise<TargetReply>;
  close(): void;
}

/** Why no connection to a target could be made. */
export interface DialErr {
  readonly code: TargetErrCode | "unreachable";
  readonly detail: string;
}

/** Opens connections to targets. */
export interface TargetDialer {
  dial(
    target: TargetRecord,
    options: { readonly workspace: WorkspaceId; readonly timeoutMs: number },
  ): Promise<Result<TargetLink, DialErr>>;
  /** Reads the rows of a status reply. */
  tryParseReport(reply: TargetReply): TargetReport | undefined;
}

/** How an order to promote a target ended. */
export type PromoteRes =
  | { readonly kind: "accepted" }
  /** Another host holds a newer fencing token, or the target is not running. */
  | { readonly kind: "refused"; readonly detail: string }
  /** It may still take effect later. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Orders changes of primary. */
export interface Promoter {
  promote(order: {
    readonly service: ServiceId;
    readonly target: TargetId;
    readonly holder: HostId;
    readonly fencingToken: number;
  }): Promise<PromoteRes>;
}

/** Takes a message of another host. */
export type PeerReceiver = (from: HostId, msg: PoolPeerMessage) => void;

/** Reaches other hosts; messages may be lost. */
export interface PoolPeers {
  send(to: HostId, msg: PoolPeerMessage): void;
  /** Sets where the other hosts are; messages of others are ignored. */
  setAddresses(known: ReadonlyMap<HostId, string>): void;
  onMessage(receiver: PeerReceiver): void;
}

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one structured line; never blocks. */
export interface PoolLog {
  /** A change of what this host believes, or a failed request. */
  info(event: string, fields: LogFields): void;
  /** A request that was served; left out first under load. */
  request(event: string, fields: LogFields): void;
}

/** Everything that a session pool has of the outside. */
export interface PoolIo {
  readonly store: PlatformStore;
  readonly dialer: TargetDialer;
  readonly promoter: Promoter;
  readonly peers: PoolPeers;
  readonly log: PoolLog;
  readonly metrics: MetricsSink;
  /** Draws a number that is at least 0 and less than 1. */
  random(): number;
}

/** Answer to a statement of a client. */
export type StatementAnswer =
  | {
    readonly kind: "done";
    readonly rows: readonly string[];
    /** Signature of the target; undefined if this host answered itself. */
    readonly signature: string | undefined;
    readonly state: TransactionState;
    readonly position: Position | undefined;
  }
  | {
    readonly kind: "failed";
    readonly error: PoolErrKind;
    readonly detail: string;
    readonly retryAfterMs?: number;
    readonly state: TransactionState;
    /** The session ends with this answer. */
    readonly isLast?: boolean;
  };
