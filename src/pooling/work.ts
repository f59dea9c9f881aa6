/** Runs one statement on a connection that was handed out. */

import type { Result } from "ts-results-es";
import { nowMs, withTimeout } from "../core/clock.ts";
import type { ReqId, ServiceId, WorkspaceId } from "../core/ids.ts";
import type { CatalogHolder } from "./catalog.ts";
import type { ClockJumpDetector } from "./clock_guard.ts";
import type { Directory } from "./directory.ts";
import type { Dispatcher, Hold } from "./dispatch.ts";
import type { PoolFailure } from "./errors.ts";
import type { AgedPosition, PositionHistory } from "./floor_log.ts";
import type { Health } from "./health.ts";
import type { PrimaryTracker } from "./leaders.ts";
import {
  applyContext,
  type ContextNeed,
  getPreparedName,
} from "./link_context.ts";
import type { Place } from "./ranking.ts";
import type {
  Access,
  PoolIo,
  Position,
  Prepared,
  Route,
  TargetCommand,
  TargetRecord,
  TargetReply,
} from "./types.ts";

/** What statements are run with. */
export interface WorkContext {
  readonly io: PoolIo;
  readonly place: Place;
  readonly catalog: CatalogHolder;
  readonly directory: Directory;
  readonly leaders: PrimaryTracker;
  readonly health: Health;
  readonly dispatcher: Dispatcher;
  readonly guard: ClockJumpDetector;
  getFloors(service: ServiceId): PositionHistory;
}

/** One statement of a session that a target is to run. */
export interface Work {
  readonly id: ReqId;
  readonly access: Access;
  readonly text: string;
  /** Set for the execution of a prepared statement with `args`. */
  readonly prepared?: { readonly what: Prepared; readonly args: string };
}

/** A piece of work with where it comes from. */
export interface Task {
  readonly work: Work;
  readonly route: Route;
  readonly workspace: WorkspaceId;
  readonly context: ContextNeed;
  /** Position of the last commit of the session on this service. */
  readonly own: Position | undefined;
  /** When the statement came, on the monotonic clock. */
  readonly startedAt: number;
}

/** What became of a piece of work. */
export type Outcome =
  | {
    readonly kind: "done";
    readonly rows: readonly string[];
    readonly signature: string;
    readonly position: Position | undefined;
  }
  | ({ readonly kind: "failed" } & PoolFailure);

/** Share of the latency objective that may be spent waiting for a connection. */
const ADMISSION_SHARE = 0.5;

/** Takes a connection to one of the ranked targets while it is of use. */
export function acquireFor(
  ctx: WorkContext,
  task: Task,
  rank: () => readonly TargetRecord[],
): Promise<Result<Hold, PoolFailure>> {
  const { route, workspace, context, startedAt } = task;
  return ctx.dispatcher.acquire({
    service: route.service,
    workspace,
    context,
    priority: route.priority,
    until: Math.max(
      startedAt + route.objectiveMs * ADMISSION_SHARE,
      nowMs() + 1,
    ),
    rank,
  });
}

/** Time that the statement may still take, in milliseconds. */
export function getTimeLeftMs(task: Task): number {
  const until = task.startedAt + task.route.statementTimeoutMs;
  return Math.max(0, until - nowMs());
}

/** Takes the position of a target that proved to be primary. */
export function notePrimary(
  ctx: WorkContext,
  hold: Hold,
  given: { readonly position: Position; readonly askedAt: number },
): void {
  const { service, id } = hold.target;
  const { position, askedAt } = given;
  ctx.leaders.applyEvidence(service, id, { kind: "answered", term: position.term });
  ctx.getFloors(service).record(position, askedAt);
}

/** A reply, or none within the time given. */
export type TimedReply = TargetReply | { readonly kind: "silent" };

/** Sends a command and waits for at most `timeoutMs`. */
export function sendTimed(
  hold: Hold,
  command: TargetCommand,
  timeoutMs: number,
): Promise<TimedReply> {
  return withTimeout<TimedReply>(hold.pooled.link.send(command), {
    ms: Math.max(0, timeoutMs),
    fallback: { kind: "silent" },
  });
}

/**
 * Sends what the connection lacks of the session's state, and `then` in the
 * same flight. Undefined once all were answered as done; otherwise what came.
 */
export async function prepareLink(
  hold: Hold,
  options: {
    readonly context: ContextNeed;
    readonly then?: TargetCommand;
    readonly timeoutMs: number;
  },
): Promise<TimedReply | undefined> {
  const commands = applyContext(hold.pooled.context, options.context);
  if (options.then) {
    commands.push(options.then);
  }
  const replies = await Promise.all(
    commands.map((command) => sendTimed(hold, command, options.timeoutMs)),
  );
  return replies.find((reply) => reply.kind !== "done");
}

/** The command that runs the work on this connection. */
export function toCommand(
  work: Work,
  options: { readonly hold: Hold; readonly after?: Position | undefined },
): TargetCommand {
  const { id, text, prepared } = work;
  const after = options.after ? { after: options.after } : {};
  if (!prepared) {
    return { kind: "run", id, text, ...after };
  }
  const name = getPreparedName(options.hold.pooled.context, prepared.what);
  return { kind: "execute", id, name, args: prepared.args, ...after };
}

/** Targets of a service that take new work. */
export function listUsable(
  ctx: WorkContext,
  service: ServiceId,
): readonly TargetRecord[] {
  return ctx.directory.list(service).filter((target) => !target.isDraining);
}

/**
 * The primary as the only candidate, or nothing while it probably gives no
 * answer: a write that waits can still be refused as not run.
 */
export function listPrimary(
  ctx: WorkContext,
  service: ServiceId,
): readonly TargetRecord[] {
  const id = ctx.leaders.tryPrimary(service);
  const target = id && ctx.directory.tryGet(id);
  return target && !ctx.health.isDoubtful(target.id) ? [target] : [];
}

/** Takes what a reply tells about the health and position of a target. */
export function noteReply(
  ctx: WorkContext,
  hold: Hold,
  given: {
    readonly reply: TimedReply;
    readonly ms: number;
    /** The floor that the command carried. */
    readonly floor?: AgedPosition | undefined;
  },
): void {
  const { reply, ms, floor } = given;
  const { id } = hold.target;
  switch (reply.kind) {
    case "done":
      ctx.health.noteServed(id, { ms, position: reply.position });
      return;
    case "error":
      if (reply.code === "lagging") {
        ctx.health.noteLagging(id, floor?.ageMs ?? 0);
      } else if (reply.code === "read_only") {
        ctx.leaders.applyEvidence(hold.target.service, id, { kind: "denied" });
      }
      return;
    case "lost":
    case "silent":
      ctx.health.noteFailure(id);
      return;
  }
}

/** Whether the connection may be used by another session afterwards. */
export function isClean(reply: TimedReply): boolean {
  return (reply.kind === "done" || reply.kind === "error") &&
    reply.state === "idle";
}

/** Says for logs and clients what a target answered. */
export function describe(reply: TimedReply): string {
  switch (reply.kind) {
    case "done":
      return "done";
    case "error":
      return `the target answered ${reply.code}`;
    case "lost":
      return `the connection to the target was lost: ${reply.detail}`;
    case "silent":
      return "the target did not answer in time";
  }
}
