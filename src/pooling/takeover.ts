/** Replaces the primary of one service: fence, choose, verify, promote. */

import { nowMs, sleep, withTimeout } from "../core/clock.ts";
import type { HostId, ServiceId, TargetId } from "../core/ids.ts";
import { sendControlCommand } from "./control.ts";
import type { FailoverCause, FailoverLease } from "./duty.ts";
import {
  type FencedTarget,
  getRequiredFencedCount,
  tryChooseSuccessor,
} from "./succession.ts";
import type { PromoteRes, TargetRecord, TargetReport } from "./types.ts";
import type { ExecutionContext } from "./work.ts";

/** Time for the targets to be fenced, in milliseconds. */
const FENCE_TIMEOUT_MS = 1_500;
/** Time for a promoted target to lead, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 2_500;
/** Pause between two looks at them, in milliseconds: one far round trip. */
const POLL_INTERVAL_MS = 50;
/** Time for targets to answer, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_000;
/** Time for a living primary to answer: a new connection between regions. */
const PRIMARY_CHECK_TIMEOUT_MS = 250;

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
    claim: { readonly cause: FailoverCause; readonly duty: FailoverLease },
  ): Promise<TakeoverResult>;
}

/** Creates the part that carries takeovers out. */
export function createTakeover(
  ctx: ExecutionContext,
  options: {
    readonly self: HostId;
    /** Copies of the log that the service has. */
    getCopyCount(service: ServiceId): number;
    /** Writes the duty if it is still this host's; false if it is not. */
    updateLease(service: ServiceId, duty: FailoverLease): Promise<boolean>;
  },
): Takeover {
  /** The primary that answers, if it may stay. */
  async function tryFindLivePrimary(
    service: ServiceId,
    cause: FailoverCause,
  ): Promise<TargetId | undefined> {
    const reports = await queryStatus(
      ctx.directory.list(service),
      PRIMARY_CHECK_TIMEOUT_MS,
    );
    const primary = reports.find(({ report }) => report.role === "primary");
    const isLeaving = primary?.target.isDraining === true;
    return isLeaving || cause === "leaving" ? undefined : primary?.target.id;
  }

  /** Reports of the targets that answer within `ms`. */
  async function queryStatus(
    targets: readonly TargetRecord[],
    ms: number = STATUS_TIMEOUT_MS,
  ): Promise<readonly FencedTarget[]> {
    const answered = await Promise.all(targets.map(async (target) => {
      const report = await withTimeout(
        sendControlCommand(ctx, target, { kind: "status" }),
        { ms, fallback: undefined },
      );
      return report ? [{ target, report }] : [];
    }));
    return answered.flat();
  }

  /** Stops a target from acknowledging and receiving. */
  async function fenceOne(
    target: TargetRecord,
    term: number,
  ): Promise<TargetReport | undefined> {
    const paused = await sendControlCommand(ctx, target, {
      kind: "pause",
      term,
    });
    if (paused?.role !== "primary") {
      return paused;
    }
    const steppedDown = await sendControlCommand(ctx, target, {
      kind: "step_down",
      term,
    });
    return steppedDown?.role === "replica"
      ? await sendControlCommand(ctx, target, { kind: "pause", term })
      : steppedDown;
  }

  /** Fences until a target is known to hold every acknowledged commit. */
  async function fenceTargets(
    service: ServiceId,
    attempt: {
      readonly cause: FailoverCause;
      readonly oldPrimary: TargetId | undefined;
      readonly term: number;
      /** Chosen before all others, see `Duty`. */
      readonly openTarget: TargetId | undefined;
    },
  ): Promise<readonly FencedTarget[] | undefined> {
    const { term, openTarget } = attempt;
    const fenced = new Map<TargetId, FencedTarget>();
    const inProgress = new Set<TargetId>();
    const until = nowMs() + FENCE_TIMEOUT_MS;

    async function addIfFenced(target: TargetRecord): Promise<void> {
      inProgress.add(target.id);
      const report = await fenceOne(target, term);
      inProgress.delete(target.id);
      if (report && isFenced(report, term)) {
        fenced.set(target.id, { target, report });
      }
    }

    while (nowMs() < until) {
      ctx.directory.list(service)
        .filter(({ id }) => !fenced.has(id) && !inProgress.has(id))
        .forEach((target) => void addIfFenced(target));
      await sleep(POLL_INTERVAL_MS);
      const all = [...fenced.values()];
      const succession = getSuccessionOptions(service, attempt);
      const successor = tryChooseSuccessor(all, {
        ...succession,
        preferred: openTarget,
      });
      // One that is gone for good cannot lead, whatever was ordered; of all
      // others the copies that are missing may show that it is complete.
      const mayYetLead = openTarget !== undefined &&
        ctx.directory.tryGet(openTarget) !== undefined &&
        successor?.target.id !== openTarget && all.length < succession.copies;
      if (successor && !mayYetLead) {
        return all;
      }
    }
    ctx.io.log.info("failover_waits", {
      service,
      fenced: [...fenced.keys()].join(" "),
      copies: options.getCopyCount(service),
      reason: "too few targets can be reached to see every commit",
    });
    return undefined;
  }

  function getSuccessionOptions(
    service: ServiceId,
    attempt: {
      readonly cause: FailoverCause;
      readonly oldPrimary: TargetId | undefined;
    },
  ) {
    return {
      copies: Math.max(
        options.getCopyCount(service),
        ctx.directory.list(service).length,
      ),
      syncReplicas: ctx.catalog.tryGet()?.services.get(service)
        ?.syncReplicas ?? 0,
      oldPrimary: attempt.oldPrimary,
      mayKeepOldPrimary: attempt.cause !== "leaving",
    };
  }

  /**
   * Reads the fenced targets again: one that someone let receive meanwhile may
   * hold commits that the others lack.
   */
  async function recheckFenced(
    fenced: readonly FencedTarget[],
    term: number,
  ): Promise<readonly FencedTarget[]> {
    const rechecked = await queryStatus(fenced.map(({ target }) => target));
    return rechecked.filter(({ target, report }) => {
      const before = fenced.find((one) => one.target.id === target.id)!.report;
      return isFenced(report, term) &&
        report.position.term === before.position.term &&
        report.position.pos === before.position.pos;
    });
  }

  async function promote(
    service: ServiceId,
    order: { readonly target: TargetRecord; readonly duty: FailoverLease },
  ): Promise<"promoted" | "not_promoted" | "refused"> {
    const { target, duty } = order;
    const res = await orderPromotion(service, { target: target.id, duty });
    if (res === "refused") {
      return "refused";
    }
    const until = nowMs() + PROMOTION_TIMEOUT_MS;
    while (nowMs() < until) {
      await sleep(POLL_INTERVAL_MS);
      const report = await sendControlCommand(ctx, target, { kind: "status" });
      if (report?.role === "primary") {
        return "promoted";
      }
    }
    return "not_promoted";
  }

  async function orderPromotion(
    service: ServiceId,
    order: { readonly target: TargetId; readonly duty: FailoverLease },
  ): Promise<PromoteRes["kind"]> {
    const { target, duty: { fencingToken } } = order;
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
  async function resumeReplicas(service: ServiceId): Promise<void> {
    const reports = await queryStatus(ctx.directory.list(service));
    await Promise.all(
      reports.filter(({ report }) => report.pausedTerm > 0)
        .map(({ target }) =>
          sendControlCommand(ctx, target, { kind: "resume" })
        ),
    );
  }

  async function replacePrimary(
    service: ServiceId,
    claim: { readonly cause: FailoverCause; readonly duty: FailoverLease },
  ): Promise<
    { readonly result: TakeoverResult; readonly duty: FailoverLease }
  > {
    const { cause, duty } = claim;
    const oldPrimary = ctx.primaries.tryPrimary(service);
    const term = ctx.primaries.getTerm(service) + 1;
    const { openTarget } = duty;
    const fenced = await fenceTargets(service, {
      cause,
      oldPrimary,
      term,
      openTarget,
    });
    if (!fenced) {
      return { result: "too_few", duty };
    }
    const succession = {
      ...getSuccessionOptions(service, { cause, oldPrimary }),
      // An older order may make this one lead at any time, so it shall.
      preferred: openTarget,
    };
    const chosen = tryChooseSuccessor(fenced, succession);
    const orderedLease: FailoverLease = { ...duty, ...toOpenTarget(chosen) };
    if (!await options.updateLease(service, orderedLease)) {
      return { result: "overtaken", duty };
    }
    const confirmed = await recheckFenced(fenced, term);
    const successor = tryChooseSuccessor(confirmed, succession);
    if (!successor || successor.target.id !== chosen?.target.id) {
      ctx.io.log.info("failover_overtaken", {
        service,
        confirmed: confirmed.length,
        required: getRequiredFencedCount(succession),
      });
      // No order was given, so none of this claim is open.
      return { result: "overtaken", duty };
    }
    const { target } = successor;
    const result = await promote(service, { target, duty: orderedLease });
    switch (result) {
      case "promoted":
        return { result, duty: withoutOpenTarget(orderedLease) };
      case "refused":
        // An answered order does not take effect later.
        return { result: "not_promoted", duty };
      case "not_promoted":
        return { result, duty: orderedLease };
    }
  }

  /** Whether the target of an open order leads by now. */
  async function hasOpenTargetTakenOver(
    service: ServiceId,
    duty: FailoverLease,
  ): Promise<boolean> {
    const target = ctx.directory.list(service)
      .find(({ id }) => id === duty.openTarget);
    const report = target &&
      await sendControlCommand(ctx, target, { kind: "status" });
    return report?.role === "primary";
  }

  /** What there is to do for a claim. */
  async function resolveClaim(
    service: ServiceId,
    claim: { readonly cause: FailoverCause; readonly duty: FailoverLease },
  ): Promise<
    { readonly result: TakeoverResult; readonly duty: FailoverLease }
  > {
    const { cause, duty } = claim;
    if (duty.openTarget !== undefined) {
      return await hasOpenTargetTakenOver(service, duty)
        ? { result: "promoted", duty: withoutOpenTarget(duty) }
        : await replacePrimary(service, claim);
    }
    return await tryFindLivePrimary(service, cause) === undefined
      ? await replacePrimary(service, claim)
      : { result: "not_needed", duty };
  }

  return {
    async run(service, claim) {
      const { result, duty } = await resolveClaim(service, claim);
      // Whoever holds the duty by now resumes what it does not need.
      if (await options.updateLease(service, duty)) {
        if (duty.openTarget === undefined) {
          await resumeReplicas(service);
        } else {
          ctx.io.log.info("replicas_stay_paused", {
            service,
            openTarget: duty.openTarget,
          });
        }
        await options.updateLease(service, { ...duty, isDone: true });
      }
      return result;
    },
  };
}

function toOpenTarget(
  chosen: FencedTarget | undefined,
): { openTarget?: TargetId } {
  return chosen ? { openTarget: chosen.target.id } : {};
}

/** The duty once the target of its order leads. */
function withoutOpenTarget(
  { openTarget: _, ...duty }: FailoverLease,
): FailoverLease {
  return duty;
}

function isFenced(report: TargetReport, term: number): boolean {
  return report.role === "replica" && report.pausedTerm >= term;
}
