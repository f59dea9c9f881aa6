/** Replaces primaries that are lost or leave; one host at a time acts. */

import { nowMs, sleep } from "../core/clock.ts";
import type { HostId, ServiceId, TargetId } from "../core/ids.ts";
import type { Stoppable } from "../core/types.ts";
import { control } from "./control.ts";
import { type Fleet, getDutyKey } from "./fleet.ts";
import { type Fenced, trySuccessor } from "./succession.ts";
import type { TargetRecord, TargetReport } from "./types.ts";
import type { WorkContext } from "./work.ts";

const TICK_MS = 100;
/** Silence of a primary after which it is replaced, in milliseconds. */
const SILENT_MS = 900;
/** Time without any primary known after which one is appointed. */
const LEADERLESS_MS = 1_200;
/** Time that another host has to finish what it began. */
const TAKEOVER_MS = 4_000;
/** Time after a change of primary in which no further one is made. */
const COOLDOWN_MS = 3_000;
/** Time for the targets to be fenced, in milliseconds. */
const FENCE_MS = 1_500;
/** Time for a promoted target to lead, in milliseconds. */
const LEAD_MS = 2_500;
const POLL_MS = 50;
/** Hosts that see the same fault act one after the other. */
const MAX_JITTER_MS = 250;

/** Why a primary is replaced. */
export type FailoverCause = "leaving" | "silent" | "gone" | "leaderless";

/** A claim of the duty to replace the primary of a service. */
interface Duty {
  readonly holder: HostId;
  /** Rises with every claim; the platform refuses older ones. */
  readonly fencingToken: number;
  readonly isDone: boolean;
}

/** Watches primaries and replaces them. */
export interface Failover extends Stoppable {
  start(): void;
}

/** Creates the part that replaces primaries. */
export function createFailover(
  ctx: WorkContext,
  options: { readonly self: HostId; readonly fleet: Fleet },
): Failover {
  const { self, fleet } = options;
  const busy = new Set<ServiceId>();
  const triedAt = new Map<ServiceId, number>();
  const copies = new Map<ServiceId, number>();
  let timer: NodeJS.Timeout | undefined;
  let tickedAt = nowMs();

  function tryCause(service: ServiceId): FailoverCause | undefined {
    const primary = ctx.leaders.tryPrimary(service);
    if (primary === undefined) {
      return ctx.leaders.getAgeMs(service) > LEADERLESS_MS
        ? "leaderless"
        : undefined;
    }
    const target = ctx.directory.tryGet(primary);
    if (!target) {
      return "gone";
    }
    if (ctx.health.getFailingMs(primary) > SILENT_MS) {
      return "silent";
    }
    return target.isDraining ? "leaving" : undefined;
  }

  function tick(): void {
    const isLate = nowMs() - tickedAt > 5 * TICK_MS;
    tickedAt = nowMs();
    if (isLate) {
      // This process stood still; what looks silent may have answered.
      return;
    }
    for (const service of ctx.catalog.tryGet()?.services.keys() ?? []) {
      const ready = ctx.directory.list(service)
        .filter((target) => !target.isDraining).length;
      copies.set(service, Math.max(copies.get(service) ?? 0, ready));
      const isTried = nowMs() - (triedAt.get(service) ?? -Infinity) <
        COOLDOWN_MS;
      const cause = busy.has(service) || isTried
        ? undefined
        : tryCause(service);
      if (cause && isDutyFree(service)) {
        busy.add(service);
        void act(service, cause).finally(() => busy.delete(service));
      }
    }
  }

  /** Whether no other host has claimed the duty a moment ago. */
  function isDutyFree(service: ServiceId): boolean {
    const key = getDutyKey(service);
    const duty = tryDuty(fleet.tryGet(key)?.value);
    return !duty || fleet.getAgeMs(key) >
        (duty.isDone ? COOLDOWN_MS : TAKEOVER_MS);
  }

  async function claim(
    service: ServiceId,
    cause: FailoverCause,
  ): Promise<Duty | undefined> {
    const key = getDutyKey(service);
    const known = fleet.tryGet(key);
    const duty: Duty = {
      holder: self,
      fencingToken: (tryDuty(known?.value)?.fencingToken ?? 0) + 1,
      isDone: false,
    };
    const put = await ctx.io.store.put(key, duty, {
      ifVersion: known?.version ?? 0,
    });
    if (put.isOk()) {
      fleet.learn(put.value);
      return duty;
    }
    if (put.error.kind === "conflict") {
      fleet.learn(put.error.current);
    }
    ctx.io.log.info("failover_not_claimed", {
      service,
      cause,
      reason: put.error.kind,
    });
    return undefined;
  }

  async function act(service: ServiceId, cause: FailoverCause): Promise<void> {
    await sleep(ctx.io.random() * MAX_JITTER_MS);
    if (tryCause(service) !== cause || !isDutyFree(service)) {
      return;
    }
    const duty = await claim(service, cause);
    if (!duty) {
      return;
    }
    const startedAt = nowMs();
    const oldPrimary = ctx.leaders.tryPrimary(service);
    ctx.io.log.info("failover_started", {
      service,
      cause,
      oldPrimary,
      fencingToken: duty.fencingToken,
    });
    const successor = await fence(service, { cause, oldPrimary });
    const isPromoted = successor !== undefined &&
      await promote(service, { successor, duty });
    ctx.io.log.info("failover_ended", {
      service,
      cause,
      isPromoted,
      successor: successor?.target.id,
      ms: Math.round(nowMs() - startedAt),
    });
    ctx.io.metrics.count("promotions_total", { group: service, cause });
    triedAt.set(service, isPromoted ? nowMs() : -Infinity);
    await resumeAll(service);
    await finish(service, duty);
  }

  /** Stops acknowledgements on enough targets to see the whole log. */
  async function fence(
    service: ServiceId,
    given: {
      readonly cause: FailoverCause;
      readonly oldPrimary: TargetId | undefined;
    },
  ): Promise<Fenced | undefined> {
    const { cause, oldPrimary } = given;
    const fenced = new Map<TargetId, Fenced>();
    const until = nowMs() + FENCE_MS;
    const term = ctx.leaders.getTerm(service) + 1;
    const open = new Set<TargetId>();

    async function fenceOne(target: TargetRecord): Promise<void> {
      open.add(target.id);
      const report = await control(
        ctx,
        target,
        target.id === oldPrimary
          ? { kind: "step_down", term }
          : { kind: "pause", term },
      );
      open.delete(target.id);
      if (report && isFenced(report, term)) {
        fenced.set(target.id, { target, report });
      } else if (report) {
        ctx.io.log.info("target_not_fenced", {
          target: target.id,
          role: report.role,
          pausedTerm: report.pausedTerm,
          term: report.term,
          wanted: term,
        });
      }
    }

    while (nowMs() < until) {
      const targets = ctx.directory.list(service);
      targets.filter(({ id }) => !fenced.has(id) && !open.has(id))
        .forEach((target) => void fenceOne(target));
      await sleep(POLL_MS);
      const successor = trySuccessor([...fenced.values()], {
        copies: Math.max(copies.get(service) ?? 0, targets.length),
        syncReplicas: ctx.catalog.tryGet()?.services.get(service)
          ?.syncReplicas ?? 0,
        oldPrimary,
        mayKeep: cause !== "leaving",
      });
      if (successor) {
        return successor;
      }
    }
    ctx.io.log.info("failover_waits", {
      service,
      fenced: fenced.size,
      copies: copies.get(service) ?? 0,
      reason: "too few targets can be reached to see every commit",
    });
    return undefined;
  }

  async function promote(
    service: ServiceId,
    given: { readonly successor: Fenced; readonly duty: Duty },
  ): Promise<boolean> {
    const { target } = given.successor;
    const { fencingToken } = given.duty;
    const res = await ctx.io.promoter.promote({
      service,
      target: target.id,
      holder: self,
      fencingToken,
    });
    ctx.io.log.info("promotion_ordered", {
      service,
      target: target.id,
      fencingToken,
      result: res.kind,
      detail: res.kind === "accepted" ? undefined : res.detail,
    });
    if (res.kind === "refused") {
      return false;
    }
    const until = nowMs() + LEAD_MS;
    while (nowMs() < until) {
      await sleep(POLL_MS);
      if (ctx.leaders.tryPrimary(service) === target.id) {
        return true;
      }
      const report = await control(ctx, target, { kind: "status" });
      if (report?.role === "primary") {
        return true;
      }
    }
    return false;
  }

  /** Lets replicas receive again that the promotion left paused. */
  async function resumeAll(service: ServiceId): Promise<void> {
    await Promise.all(
      ctx.directory.list(service).map(async (target) => {
        const report = await control(ctx, target, { kind: "status" });
        if (report && report.pausedTerm > 0) {
          await control(ctx, target, { kind: "resume" });
        }
      }),
    );
  }

  async function finish(service: ServiceId, duty: Duty): Promise<void> {
    const key = getDutyKey(service);
    const known = fleet.tryGet(key);
    const held = tryDuty(known?.value);
    if (!known || held?.fencingToken !== duty.fencingToken) {
      return;
    }
    const put = await ctx.io.store.put(key, { ...duty, isDone: true }, {
      ifVersion: known.version,
    });
    if (put.isOk()) {
      fleet.learn(put.value);
    }
  }

  return {
    start() {
      tickedAt = nowMs();
      timer = setInterval(tick, TICK_MS);
    },
    stop: () => clearInterval(timer),
  };
}

function isFenced(report: TargetReport, term: number): boolean {
  return report.role === "replica" && report.pausedTerm >= term;
}

function tryDuty(value: unknown): Duty | undefined {
  const duty = value as Partial<Duty> | undefined;
  return typeof duty?.fencingToken === "number" && duty.holder !== undefined
    ? {
      holder: duty.holder,
      fencingToken: duty.fencingToken,
      isDone: duty.isDone === true,
    }
    : undefined;
}
