/** Single reads: any target above the floor, or the primary proved as such. */

import { nowMs, sleep } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { TargetId } from "../core/ids.ts";
import { beginAtPrimary } from "./begin.ts";
import type { Hold } from "./dispatch.ts";
import type { AgedPosition } from "./floor_log.ts";
import type { PoolFailure } from "./errors.ts";
import { rankReaders } from "./ranking.ts";
import type { TargetRecord } from "./types.ts";
import {
  acquireFor,
  describe,
  getTimeLeftMs,
  isClean,
  listUsable,
  notePrimary,
  noteReply,
  type Outcome,
  prepareLink,
  sendTimed,
  type Task,
  type TimedReply,
  toCommand,
  type WorkContext,
} from "./work.ts";

/** Most targets that one read is sent to, one after the other. */
const MAX_ATTEMPTS = 5;
/** A read is sent to a second target after this silence, in milliseconds. */
const MIN_HEDGE_MS = 250;
/** Multiple of the usual latency that counts as silence. */
const HEDGE_FACTOR = 4;
/** Pause before a read that met a full target is sent again. */
const BUSY_PAUSE_MS = 15;

/** Result of one sending. */
type Attempt =
  | { readonly kind: "outcome"; readonly outcome: Outcome }
  /** Nothing was served; another target may do. */
  | { readonly kind: "retry"; readonly reason: string };

/** Runs a single read for a session. */
export async function read(ctx: WorkContext, task: Task): Promise<Outcome> {
  const tried = new Set<TargetId>();
  let reason = "no target tried";
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (getTimeLeftMs(task) <= 0) {
      break;
    }
    const floor = tryFloor(ctx, task);
    const result = floor
      ? await readHedged(ctx, { task, floor, tried })
      : await readAtPrimary(ctx, task);
    if (result.kind === "outcome") {
      return result.outcome;
    }
    reason = result.reason;
  }
  // A read keeps nothing, so the client may be told to try it again.
  return { kind: "failed", error: "overloaded", detail: reason };
}

/** The floor for the task; undefined if only the primary will do. */
export function tryFloor(ctx: WorkContext, task: Task): AgedPosition | undefined {
  const { consistency, service } = task.route;
  return consistency.kind === "primary"
    ? undefined
    : ctx.getFloors(service).tryReadFloor({
      maxStaleMs: consistency.maxStaleMs,
      sessionPosition: consistency.kind === "session" ? task.own : undefined,
    });
}

/** Candidates for a read above a floor. */
export function rankFor(
  ctx: WorkContext,
  given: {
    readonly task: Task;
    readonly floor: AgedPosition;
    readonly tried: ReadonlySet<TargetId>;
  },
): readonly TargetRecord[] {
  const { task, floor, tried } = given;
  const { service } = task.route;
  const targets = listUsable(ctx, service).filter(({ id }) => !tried.has(id));
  return rankReaders(targets, {
    place: ctx.place,
    health: ctx.health,
    dispatcher: ctx.dispatcher,
    primary: ctx.leaders.tryPrimary(service),
    floor,
    workspace: task.workspace,
    context: task.context,
  });
}

interface FloorRead {
  readonly task: Task;
  readonly floor: AgedPosition;
  readonly tried: Set<TargetId>;
}

/** Sends the read, and a second time elsewhere if the first stays silent. */
function readHedged(ctx: WorkContext, given: FloorRead): Promise<Attempt> {
  return new Promise((resolve) => {
    let open = 1;
    let hedge: NodeJS.Timeout | undefined;
    const settle = (attempt: Attempt) => {
      open--;
      if (attempt.kind === "outcome" || open === 0) {
        clearTimeout(hedge);
        resolve(attempt);
      }
    };
    void readAbove(ctx, {
      ...given,
      onSent(hold) {
        const usual = ctx.health.tryLatencyMs(hold.target.id) ?? 0;
        hedge = setTimeout(() => {
          ctx.health.noteFailure(hold.target.id);
          ctx.io.log.info("read_hedged", {
            id: given.task.work.id,
            silent: hold.target.id,
          });
          open++;
          void readAbove(ctx, given).then(settle);
        }, Math.max(MIN_HEDGE_MS, usual * HEDGE_FACTOR));
      },
    }).then(settle);
  });
}

async function readAbove(
  ctx: WorkContext,
  given: FloorRead & { onSent?(hold: Hold): void },
): Promise<Attempt> {
  const { task, floor, tried } = given;
  const { context } = task;
  const acquired = await acquireFor(ctx, task, () => rankFor(ctx, given));
  if (acquired.isErr()) {
    return toRefused(acquired.error);
  }
  const hold = acquired.value;
  tried.add(hold.target.id);
  given.onSent?.(hold);
  const timeoutMs = getTimeLeftMs(task);
  const fault = await prepareLink(hold, { context, timeoutMs });
  if (fault) {
    hold.release(false);
    return { kind: "retry", reason: describe(fault) };
  }
  const sentAt = nowMs();
  const reply = await sendTimed(
    hold,
    toCommand(task.work, { hold, after: floor.position }),
    getTimeLeftMs(task),
  );
  noteReply(ctx, hold, { reply, ms: nowMs() - sentAt, floor });
  hold.release(isClean(reply));
  const attempt = toAttempt(reply);
  logRead(ctx, task, { hold, attempt, floor });
  if (attempt.kind === "retry" && isBusy(reply)) {
    await sleep(BUSY_PAUSE_MS);
  }
  return attempt;
}

/** Reads inside a plain transaction of this host's own. */
async function readAtPrimary(ctx: WorkContext, task: Task): Promise<Attempt> {
  const begun = await beginAtPrimary(ctx, task);
  switch (begun.kind) {
    case "refused":
      return toRefused(begun.failure);
    case "fault":
      return { kind: "retry", reason: begun.reason };
    case "begun":
      return await readIn(ctx, task, begun.hold);
    default:
      return assertNever(begun);
  }
}

async function readIn(
  ctx: WorkContext,
  task: Task,
  hold: Hold,
): Promise<Attempt> {
  const sentAt = nowMs();
  const sent = sendTimed(
    hold,
    toCommand(task.work, { hold }),
    getTimeLeftMs(task),
  );
  const ended = sendTimed(hold, { kind: "rollback" }, getTimeLeftMs(task));
  const reply = await sent;
  noteReply(ctx, hold, { reply, ms: nowMs() - sentAt });
  if (reply.kind === "done" && reply.position) {
    notePrimary(ctx, hold, { position: reply.position, askedAt: sentAt });
  }
  void ended.then((last) =>
    hold.release(reply.kind !== "silent" && isClean(last))
  );
  const attempt = toAttempt(reply);
  logRead(ctx, task, { hold, attempt });
  return attempt;
}

function toRefused(failure: PoolFailure): Attempt {
  return { kind: "outcome", outcome: { kind: "failed", ...failure } };
}

function toAttempt(reply: TimedReply): Attempt {
  if (reply.kind === "done") {
    const { rows, signature, position } = reply;
    return {
      kind: "outcome",
      outcome: { kind: "done", rows, signature, position },
    };
  }
  if (reply.kind === "error" && reply.code === "malformed") {
    const { detail } = reply;
    return {
      kind: "outcome",
      outcome: { kind: "failed", error: "malformed", detail },
    };
  }
  return { kind: "retry", reason: describe(reply) };
}

function isBusy(reply: TimedReply): boolean {
  return reply.kind === "error" && reply.code === "busy";
}

function logRead(
  ctx: WorkContext,
  task: Task,
  given: {
    readonly hold: Hold;
    readonly attempt: Attempt;
    readonly floor?: AgedPosition;
  },
): void {
  const { hold, attempt, floor } = given;
  const fields = {
    id: task.work.id,
    workspace: task.workspace,
    service: task.route.service,
    target: hold.target.id,
    floor: floor && `${floor.position.term}.${floor.position.pos}`,
    floorAgeMs: floor && Math.round(floor.ageMs),
    ms: Math.round(nowMs() - task.startedAt),
  };
  if (attempt.kind === "retry") {
    ctx.io.log.info("read_retried", { ...fields, reason: attempt.reason });
  } else {
    ctx.io.log.request("read_answered", {
      ...fields,
      outcome: attempt.outcome.kind,
    });
  }
}
