/** What clients, targets and the platform saw in a run. */

import type { Consistency } from "../../src/pooling/types.ts";
import type { LogEntry, StatementRun } from "../../standins/statement_group.ts";

/** Consistency of the reads on a route. */
export type RouteType = Consistency["kind"];

/** What a statement asks for. */
export type StatementKind =
  | "begin"
  | "read"
  | "write"
  | "commit"
  | "rollback"
  | "set"
  | "prepare";

/** Statement as its client saw it; times on the clock of the runner. */
export interface ClientStatement {
  readonly id: string;
  /** Attempt of an operation: a statement, or a whole transaction. */
  readonly operation: string;
  readonly session: string;
  readonly host: string;
  readonly workspace: string;
  readonly service: string;
  readonly route: RouteType;
  readonly kind: StatementKind;
  /** Text that a target must run; differs from what was sent for EXEC. */
  readonly text: string;
  /** Whether it is part of a transaction. */
  readonly isInTransaction: boolean;
  /** Session variables acknowledged before it was sent. */
  readonly variables: Readonly<Record<string, string>>;
  readonly sentAt: number;
  /** When the answer was complete, or the connection's end was seen. */
  readonly endedAt: number;
  readonly lines: readonly string[];
  readonly isComplete: boolean;
  /** Whether the client itself gave the connection up. */
  readonly isAbandoned: boolean;
  /** Whether the client delays its reading, so that `endedAt` is late. */
  readonly readsSlowly: boolean;
}

/** Database group at the end of a run. */
export interface GroupHistory {
  readonly service: string;
  readonly runs: readonly StatementRun[];
  readonly begun: ReadonlyMap<string, number>;
  /** Log of the primary with the highest term. */
  readonly log: readonly LogEntry[];
}

/** Stop of a host by SIGTERM. */
export interface Stop {
  readonly host: string;
  readonly at: number;
  /** When the process had ended; undefined if it had to be killed. */
  readonly endedAt: number | undefined;
  /** Whether another fault hit the process during the stop. */
  readonly isDisrupted: boolean;
}

/** Order to promote a target, as the platform received it. */
export interface Promotion {
  readonly service: string;
  readonly target: string;
  readonly holder: string;
  readonly fencingToken: number;
  readonly isAccepted: boolean;
}

/** Span of time. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** Span of time at a host. */
export interface HostSpan extends Span {
  readonly host: string;
}

/** Quota of a workspace. */
export interface WorkspaceQuota {
  readonly workspace: string;
  readonly ratePerS: number;
  readonly burst: number;
}

/** Everything that the checkers judge. */
export interface SoakHistory {
  readonly statements: readonly ClientStatement[];
  readonly groups: readonly GroupHistory[];
  readonly stops: readonly Stop[];
  readonly reloads: readonly { readonly host: string; readonly at: number }[];
  readonly promotions: readonly Promotion[];
  /** Times of unplanned disruptions anywhere. */
  readonly disruptions: readonly Span[];
  /** Times in which hosts, or the runner, did not get to run. */
  readonly stalls: readonly HostSpan[];
  readonly quotas: readonly WorkspaceQuota[];
}

/** Returns how long a host was stalled within a span, in milliseconds. */
export function getStalledMs(
  stalls: readonly HostSpan[],
  { host, from, to }: HostSpan,
): number {
  return stalls
    .filter((stall) => stall.host === host)
    .map((stall) => Math.min(stall.to, to) - Math.max(stall.from, from))
    .filter((ms) => ms > 0)
    .reduce((sum, ms) => sum + ms, 0);
}

/** Returns the error code of an answer; undefined if it has none. */
export function tryGetErrorCode(
  { lines }: Pick<ClientStatement, "lines">,
): string | undefined {
  return lines.map((line) => /^ERR (\S+)/.exec(line)?.[1]).find((code) => code);
}

/** Whether the answer is complete and reports success. */
export function isSuccess(
  { lines, isComplete }: Pick<ClientStatement, "lines" | "isComplete">,
): boolean {
  return isComplete && lines.some((line) => line.startsWith("DONE "));
}
