/** Replaces the primary of one service: fence, choose, verify, promote. */

import { nowMs, sleep, withTimeout } from "../core/clock.ts";
import type { HostId, ServiceId, TargetId } from "../core/ids.ts";
import { control } from "./control.ts";
import type { Duty, FailoverCause } from "./duty.ts";
import { type Fenced, getRequiredCount, trySuccessor } from "./succession.ts";
import type { PromoteRes, TargetRecord, TargetReport } from "./types.ts";
import type { WorkContext } from "./work.ts";

/** Time for the targets to be fenced, in milliseconds. */
const FENCE_MS = 1_500;
/** Time for a promoted target to lead, in milliseconds. */
const LEAD_MS = 2_500;
/** Pause between two looks at them, in milliseconds: one far round trip. */
const POLL_MS = 50;
/** Time for targets to answer, in milliseconds. */
const ANSWER_MS = 1_000;
/** Time for a living primary to answer: a new connection between regions. */
const LIVING_MS = 250;

/** How a takeover ended. */
export type TakeoverResult =
  | "promoted"
  /** A primary answers and stays. */
  | "not_needed"
  /** Too few targets could be fenced to see every commit. */
  | "too_few"
  /** Another host took the duty over, or let a target receive again. */
  | "overtaken"
  /** The order was refused, or nobody led in time. */
  | "not_promoted";

/** Carries takeovers out. */
export interface Takeover {
  run(
    service: ServiceId,
    given: { readonly cause: FailoverCause; readonly duty: Duty },
  ): Promise<TakeoverResult>;
}

/** Creates the part that carries takeovers out. */
export function createTakeover(
  ctx: WorkContext,
  options: {
    readonly self: HostId;
    /** Copies of the log that the service has. */
    getCopies(service: ServiceId): number;
    /** Writes the duty if it is still this host's; false if it is not. */
    update(service: ServiceId, duty: Duty): Promise<boolean>;
  },
): Takeover {
  /** The primary that answers, if it may stay. */
  async function tryLiving(
    service: ServiceId,
    cause: FailoverCause,
  ): Promise<TargetId | undefined> {
    const reports = await askAll(ctx.directory.list(service), LIVING_MS);
    const leading = reports.find(({ report }) => report.role === "primary");
    const isLeaving = leading?.target.isDraining === true;
    return isLeaving || cause === "leaving" ? undefined : leading?.target.id;
  }

  /** Reports of the targets that answer within `ms`. */
  async function askAll(
    targets: readonly TargetRecord[],
    ms: number = ANSWER_MS,
  ): Promise<readonly Fenced[]> {
    const asked = await Promise.all(targets.map(async (target) => {
      const report = await withTimeout(
        control(ctx, target, { kind: "status" }),
        { ms, fallback: undefined },
      );
      return report ? [{ target, report }] : [];
    }));
    return asked.flat();
  }

  /** Stops a target from acknowledging and receiving. */
  async function fenceOne(
    target: TargetRecord,
    term: number,
  ): Promise<TargetReport | undefined> {
    const paused = await control(ctx, target, { kind: "pause", term });
    if (paused?.role !== "primary") {
      return paused;
    }
    const steppedDown = await control(ctx, target, { kind: "step_down", term });
    return steppedDown?.role === "replica"
      ? await control(ctx, target, { kind: "pause", term })
      : steppedDown;
  }

  /** Fences until a target is known to hold every acknowledged commit. */
  async function fence(
    service: ServiceId,
    given: {
      readonly cause: FailoverCause;
      readonly oldPrimary: TargetId | undefined;
      readonly term: number;
      /** Chosen before all others, see `Duty`. */
      readonly openTarget: TargetId | undefined;
    },
  ): Promise<readonly Fenced[] | undefined> {
    const { term, openTarget } = given;
    const fenced = new Map<TargetId, Fenced>();
    const open = new Set<TargetId>();
    const until = nowMs() + FENCE_MS;

    async function add(target: TargetRecord): Promise<void> {
      open.add(target.id);
      const report = await fenceOne(target, term);
      open.delete(target.id);
      if (report && isFenced(report, term)) {
        fenced.set(target.id, { target, report });
      }
    }

    while (nowMs() < until) {
      ctx.directory.list(service)
        .filter(({ id }) => !fenced.has(id) && !open.has(id))
        .forEach((target) => void add(target));
      await sleep(POLL_MS);
      const all = [...fenced.values()];
      const succession = getSuccession(service, given);
      const found = trySuccessor(all, { ...succession, preferred: openTarget });
      // One that is gone for good cannot lead, whatever was ordered; of all
      // others the copies that are missing may show that it is complete.
      const isOpen = openTarget !== undefined &&
        ctx.directory.tryGet(openTarget) !== undefined &&
        found?.target.id !== openTarget && all.length < succession.copies;
      if (found && !isOpen) {
        return all;
      }
    }
    ctx.io.log.info("failover_waits", {
      service,
      fenced: [...fenced.keys()].join(" "),
      copies: options.getCopies(service),
      reason: "too few targets can be reached to see every commit",
    });
    return undefined;
  }

  function getSuccession(
    service: ServiceId,
    given: {
      readonly cause: FailoverCause;
      readonly oldPrimary: TargetId | undefined;
    },
  ) {
    return {
      copies: Math.max(
        options.getCopies(service),
        ctx.directory.list(service).length,
      ),
      syncReplicas: ctx.catalog.tryGet()?.services.get(service)
        ?.syncReplicas ?? 0,
      oldPrimary: given.oldPrimary,
      mayKeep: given.cause !== "leaving",
    };
  }

  /**
   * Reads the fenced targets again: one that someone let receive meanwhile may
   * hold commits that the others lack.
   */
  async function confirm(
    fenced: readonly Fenced[],
    term: number,
  ): Promise<readonly Fenced[]> {
    const again = await askAll(fenced.map(({ target }) => target));
    return again.filter(({ target, report }) => {
      const before = fenced.find((one) => one.target.id === target.id)!.report;
      return isFenced(report, term) &&
        report.position.term === before.position.term &&
        report.position.pos === before.position.pos;
    });
  }

  async function promote(
    service: ServiceId,
    given: { readonly target: TargetRecord; readonly duty: Duty },
  ): Promise<"promoted" | "not_promoted" | "refused"> {
    const { target, duty } = given;
    const res = await order(service, { target: target.id, duty });
    if (res === "refused") {
      return "refused";
    }
    const until = nowMs() + LEAD_MS;
    while (nowMs() < until) {
      await sleep(POLL_MS);
      const report = await control(ctx, target, { kind: "status" });
      if (report?.role === "primary") {
        return "promoted";
      }
    }
    return "not_promoted";
  }

  async function order(
    service: ServiceId,
    given: { readonly target: TargetId; readonly duty: Duty },
  ): Promise<PromoteRes["kind"]> {
    const { target, duty: { fencingToken } } = given;
    const res = await ctx.io.promoter.promote({
      service,
      target,
      holder: options.self,
      fencingToken,
    });
    ctx.io.log.info("promotion_ordered", {
      service,
      target,
      fencingToken,
      result: res.kind,
      detail: res.kind === "accepted" ? undefined : res.detail,
    });
    return res.kind;
  }

  /** Lets replicas receive again that a takeover has paused. */
  async function resumeAll(service: ServiceId): Promise<void> {
    const reports = await askAll(ctx.directory.list(service));
    await Promise.all(
      reports.filter(({ report }) => report.pausedTerm > 0)
        .map(({ target }) => control(ctx, target, { kind: "resume" })),
    );
  }

  async function replace(
    service: ServiceId,
    given: { readonly cause: FailoverCause; readonly duty: Duty },
  ): Promise<{ readonly result: TakeoverResult; readonly duty: Duty }> {
    const { cause, duty } = given;
    const oldPrimary = ctx.leaders.tryPrimary(service);
    const term = ctx.leaders.getTerm(service) + 1;
    const { openTarget } = duty;
    const fenced = await fence(service, {
      cause,
      oldPrimary,
      term,
      openTarget,
    });
    if (!fenced) {
      return { result: "too_few", duty };
    }
    const succession = {
      ...getSuccession(service, { cause, oldPrimary }),
      // An older order may make this one lead at any time, so it shall.
      preferred: openTarget,
    };
    const chosen = trySuccessor(fenced, succession);
    const ordering: Duty = { ...duty, ...toOpen(chosen) };
    if (!await options.update(service, ordering)) {
      return { result: "overtaken", duty };
    }
    const confirmed = await confirm(fenced, term);
    const successor = trySuccessor(confirmed, succession);
    if (!successor || successor.target.id !== chosen?.target.id) {
      ctx.io.log.info("failover_overtaken", {
        service,
        confirmed: confirmed.length,
        required: getRequiredCount(succession),
      });
      // No order was given, so none of this claim is open.
      return { result: "overtaken", duty };
    }
    const { target } = successor;
    const result = await promote(service, { target, duty: ordering });
    switch (result) {
      case "promoted":
        return { result, duty: toClosed(ordering) };
      case "refused":
        // An answered order does not take effect later.
        return { result: "not_promoted", duty };
      case "not_promoted":
        return { result, duty: ordering };
    }
  }

  /** Whether the target of an open order leads by now. */
  async function isSettled(service: ServiceId, duty: Duty): Promise<boolean> {
    const target = ctx.directory.list(service)
      .find(({ id }) => id === duty.openTarget);
    const report = target &&
      await control(ctx, target, { kind: "status" });
    return report?.role === "primary";
  }

  /** What there is to do for a claim. */
  async function settle(
    service: ServiceId,
    given: { readonly cause: FailoverCause; readonly duty: Duty },
  ): Promise<{ readonly result: TakeoverResult; readonly duty: Duty }> {
    const { cause, duty } = given;
    if (duty.openTarget !== undefined) {
      return await isSettled(service, duty)
        ? { result: "promoted", duty: toClosed(duty) }
        : await replace(service, given);
    }
    return await tryLiving(service, cause) === undefined
      ? await replace(service, given)
      : { result: "not_needed", duty };
  }

  return {
    async run(service, given) {
      const { result, duty } = await settle(service, given);
      // Whoever holds the duty by now resumes what it does not need.
      if (await options.update(service, duty)) {
        if (duty.openTarget === undefined) {
          await resumeAll(service);
        } else {
          ctx.io.log.info("replicas_stay_paused", {
            service,
            openTarget: duty.openTarget,
          });
        }
        await options.update(service, { ...duty, isDone: true });
      }
      return result;
    },
  };
}

function toOpen(chosen: Fenced | undefined): { openTarget?: TargetId } {
  return chosen ? { openTarget: chosen.target.id } : {};
}

/** The duty once the target of its order leads. */
function toClosed({ openTarget: _, ...duty }: Duty): Duty {
  return duty;
}

function isFenced(report: TargetReport, term: number): boolean {
  return report.role === "replica" && report.pausedTerm >= term;
}
