/** Types shared by the modules of the session pool. */

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
import type { EraCalls } from "../core/store_era.ts";
import type { MetricsSink, PlatformStore, Position } from "../core/types.ts";
import type { PoolPeerMessage } from "../generated/pool_peer.ts";
import type {
  ForwardClose,
  ForwardLeaving,
  ForwardReply,
  ForwardRun,
  ReaderAges,
  ReaderAsk,
  ReaderChanges,
  ReaderWatch,
  StoreCall,
  StoreReply,
} from "../generated/pool_forward.ts";
import type { PoolErrKind } from "./errors.ts";

export type { Position } from "../core/types.ts";

/** Consistency of reads on a route. */
export type Consistency =
  /** Reads see every commit acknowledged before they were sent. */
  | { readonly kind: "primary" }
  /** Reads see every commit acknowledged `maxStaleMs` before they were sent. */
  | { readonly kind: "bounded"; readonly maxStaleMs: number }
  /** As `bounded`, and reads also see every commit of their own session. */
  | { readonly kind: "session"; readonly maxStaleMs: number };

/** Destination of a database's statements and the guarantees for them. */
export interface Route {
  readonly database: DatabaseName;
  readonly service: ServiceId;
  readonly consistency: Consistency;
  /** Maximum duration of one statement, in milliseconds. */
  readonly statementTimeoutMs: number;
  /** Latency objective of a whole operation, in milliseconds. */
  readonly objectiveMs: number;
  /** Priority; 0 is served first. */
  readonly priority: number;
  /** Whether clients may connect without a key. */
  readonly isPublic: boolean;
  /** Regions in which its statements may run; undefined for all. */
  readonly homeRegions?: readonly string[];
}

/** Operator configuration of a database service. */
export interface ServicePolicy {
  readonly service: ServiceId;
  /** Maximum number of connections to one target from all hosts together. */
  readonly maxConnections: number;
  /** Number of replicas that must hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
  /** Undefined if cold targets get as much work as others. */
  readonly cold?: ColdPolicy;
}

/** How a service's targets are treated after their start. */
export interface ColdPolicy {
  /** Time for which a target is slow, in milliseconds. */
  readonly durationMs: number;
  /** Statements that a cold target can take in a second. */
  readonly ratePerS: number;
}

/** Quota of a workspace in operations, across all hosts. */
export interface Quota {
  readonly ratePerS: number;
  readonly burst: number;
}

/** A complete version of the configuration. */
export interface Catalog {
  readonly version: number;
  readonly routes: ReadonlyMap<DatabaseName, Route>;
  readonly services: ReadonlyMap<ServiceId, ServicePolicy>;
  readonly quotas: ReadonlyMap<WorkspaceId, Quota>;
  readonly workspaceByKey: ReadonlyMap<string, WorkspaceId>;
  /** Regions in which a workspace's statements may run, where it has any. */
  readonly homesByWorkspace?: ReadonlyMap<WorkspaceId, readonly string[]>;
  /** Idle time after which a transaction is rolled back, in milliseconds. */
  readonly transactionIdleMs: number;
}

/** A target's own registration. */
export interface TargetRecord {
  readonly id: TargetId;
  /** Distinguishes successive processes that run under the same id. */
  readonly incarnation: number;
  /** Rises with each record that the process has written, if it says so. */
  readonly seq?: number;
  readonly service: ServiceId;
  readonly address: string;
  readonly domain: DomainId;
  /** Number of statements that the target runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  readonly role: "primary" | "replica";
  /** Time for which it was still slow when it registered, in milliseconds. */
  readonly coldLeftMs?: number;
}

/** Location of this host and of all failure domains. */
export interface Topology {
  readonly domain: DomainId;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<DomainId, string>;
  /** Evacuated failure domains; none if the deployment has no evacuations. */
  readonly evacuations?: EvacuationView;
}

/** Evacuated failure domains, as far as this host knows. */
export interface EvacuationView {
  /** Number that rises with each change. */
  readonly version: number;
  /** Whether the store has told; until then, any domain may be evacuated. */
  isKnown(): boolean;
  /** Time since the store last confirmed it, in milliseconds. */
  getAgeMs(): number;
  /**
   * Time since the domain's evacuation became known here, in milliseconds;
   * undefined if the domain is not evacuated.
   */
  tryGetActiveMs(domain: DomainId): number | undefined;
  /**
   * Time since the end of the domain's last evacuation became known here, in
   * milliseconds; undefined if there was none.
   */
  tryGetEndedMs(domain: DomainId): number | undefined;
}

/** State of a session or of a connection to a target. */
export type TransactionState = "idle" | "open" | "failed";

/** A client's statement. `text` is forwarded unchanged. */
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

/** A prepared statement without its name. */
export interface PreparedStatement {
  readonly access: Access;
  /** Text of the statement without the arguments, which follow it. */
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
    /** The target refuses the command unless its log has this position. */
    readonly after?: Position;
  }
  | {
    readonly kind: "execute";
    readonly id: ReqId;
    /** Name under which the statement was prepared on this connection. */
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

/** Code with which a target refuses or fails a command. */
export type TargetErrCode =
  | "busy"
  | "lagging"
  | "read_only"
  | "unknown_statement"
  | "wrong_target"
  | "too_many_connections"
  /** The command never reached the target. */
  | "not_sent"
  /** The command was not sent, because the target does not answer. */
  | "target_down"
  | "failed"
  | "timeout"
  | "malformed"
  | "other";

/** Reply to a command. */
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
    /** Set if a holder refused the command because of load. */
    readonly retryAfterMs?: number;
  }
  /** The connection was closed before a reply; the command may have run. */
  | { readonly kind: "lost"; readonly detail: string };

/** A target's status report. */
export interface TargetReport {
  readonly role: "primary" | "replica";
  readonly term: number;
  readonly position: Position;
  /** Term under which replication was paused; 0 if it is running. */
  readonly pausedTerm: number;
  readonly lagMs: number;
  readonly busy: number;
  readonly connections: number;
}

/** A connection to a target on behalf of one workspace. */
export interface TargetLink {
  readonly target: TargetRecord;
  /** Undefined if the connection may be one of any workspace. */
  readonly workspace: WorkspaceId | undefined;
  /** Host whose connection is used; undefined if it is this host's own. */
  readonly holder?: HostId;
  isOpen(): boolean;
  /**
   * Whether the holder has given a sign of life after this time, on the
   * monotonic clock. Without one, a missing reply says nothing about the target.
   */
  wasHolderHeardAfter?(time: number): boolean;
  /** Asks the holder for a sign of life. */
  pingHolder?(): void;
  /** Sends a command; replies arrive in the order of the commands. */
  send(command: TargetCommand): Promise<TargetReply>;
  close(): void;
}

/** How many connections a host may have to a target. */
export interface ConnectionAllowance {
  readonly cap: number;
  /** How many of them may stay open while they are idle. */
  readonly idleCap: number;
}

/** Failure to open a connection to a target. */
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
  /** Parses a reply; returns undefined if it is not a status report. */
  tryParseReport(reply: TargetReply): TargetReport | undefined;
}

/** Outcome of an order to promote a target. */
export type PromoteRes =
  | { readonly kind: "accepted" }
  /** Another host has a newer fencing token, or the target is not running. */
  | { readonly kind: "refused"; readonly detail: string }
  /** The order may still take effect later. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Orders the platform to promote targets. */
export interface Promoter {
  promote(order: {
    readonly service: ServiceId;
    readonly target: TargetId;
    readonly holder: HostId;
    readonly fencingToken: number;
  }): Promise<PromoteRes>;
}

/** Handles a message from another host. */
export type PeerReceiver = (from: HostId, msg: PoolPeerMessage) => void;

/** Exchanges messages with other hosts; messages may be lost. */
export interface PoolPeers {
  send(to: HostId, msg: PoolPeerMessage): void;
  /**
   * Sets the other hosts' addresses. Messages from unknown hosts are ignored,
   * unless they introduce themselves.
   */
  setAddresses(known: ReadonlyMap<HostId, string>): void;
  /**
   * Sets the function that decides whether an unknown host which asks for the
   * store, or offers it, is heard. It may add the address to the known ones.
   */
  onIntroduction(accept: (host: HostId, address: string) => boolean): void;
  onMessage(receiver: PeerReceiver): void;
}

/** One end of an ordered, reliable stream of messages between two hosts. */
export interface HostStream<Out> {
  send(msg: Out): void;
  /** Asks the other end for a sign of life. */
  ping(): void;
  /**
   * Whether the other end knows the fields about load, which earlier versions
   * reject; known once the stream is open.
   */
  acceptsLoadFields?(): boolean;
  close(): void;
}

/** Receives what happens on a stream. */
export interface HostStreamHandlers<In> {
  onMessage(msg: In): void;
  /** A sign of life other than a message. */
  onAlive?(): void;
  onClose(detail: string): void;
}

/** Message from the host that uses a connection to the one that holds it. */
export type ConnectionRequest = ForwardRun | ForwardClose;
/** Message of a host that watches the store through another. */
export type ReaderRequest = ReaderWatch | ReaderAsk;
/** Message of the host that has opened a stream. */
export type ForwardRequest = ConnectionRequest | StoreCall | ReaderRequest;
/** Message of the host that has accepted a stream. */
export type ForwardResponse =
  | ForwardReply
  | ForwardLeaving
  | StoreReply
  | ReaderChanges
  | ReaderAges;

/** Opens and accepts streams of forwarded commands. */
export interface HostStreams {
  /** Opens a stream; only after `onOpen` may messages be sent. */
  open(
    to: HostId,
    handlers: HostStreamHandlers<ForwardResponse> & { onOpen(): void },
  ): HostStream<ForwardRequest>;
  /** Sets the function that provides the handlers of accepted streams. */
  onAccept(
    accept: (
      from: HostId,
      stream: HostStream<ForwardResponse>,
    ) => HostStreamHandlers<ForwardRequest>,
  ): void;
  /** Sets the other hosts' addresses; streams of unknown hosts are refused. */
  setAddresses(known: ReadonlyMap<HostId, string>): void;
}

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Structured log; writing never blocks. */
export interface PoolLog {
  /** Logs a change of this host's view of the system or a failed request. */
  info(event: string, fields: LogFields): void;
  /** Logs a served request; these lines are dropped first under load. */
  request(event: string, fields: LogFields): void;
}

/** All I/O dependencies of a session pool. */
export interface PoolerIo extends Omit<PoolIo, "store"> {
  /** Calls to the store over this host's own connections. */
  readonly storeCalls: EraCalls;
}

/** I/O dependencies of the modules of a session pool. */
export interface PoolIo {
  /** The store, also where only a peer can reach it. */
  readonly store: PlatformStore;
  readonly dialer: TargetDialer;
  readonly promoter: Promoter;
  readonly peers: PoolPeers;
  readonly streams: HostStreams;
  readonly log: PoolLog;
  readonly metrics: MetricsSink;
  /** Returns a random number in [0, 1). */
  random(): number;
}

/** Answer to a client's statement. */
export type StatementAnswer =
  | {
    readonly kind: "done";
    readonly rows: readonly string[];
    /** Signature of the target; undefined if no target was involved. */
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
    /** Whether the session ends with this answer. */
    readonly isLast?: boolean;
  };
