/** Performs the failover of a service: fences, chooses, verifies, promotes. */

import { nowMs, sleep, withTimeout } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { HostId, ServiceId, TargetId } from "../core/ids.ts";
import { isAtLeast } from "../core/position.ts";
import { sendControlCommand } from "./control.ts";
import type {
  FailoverCause,
  FailoverLease,
  ProvenPrimary,
} from "./failover_lease.ts";
import {
  type Deposition,
  type FenceAttempt,
  type Fenced,
  type Fencing,
  isFenced,
} from "./fencing.ts";
import {
  getRequiredFencedCount,
  type ReportedTarget,
  tryChooseSuccessor,
} from "./succession.ts";
import type {
  Position,
  PromoteRes,
  TargetRecord,
  TargetReport,
} from "./types.ts";
import type { ExecutionContext } from "./execution.ts";
import type { LogCopies } from "./log_copies.ts";

/** Time for a promoted target to report as primary, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 2_500;
/**
 * Interval at which a promotion is checked, in milliseconds: one round trip
 * between regions.
 */
const POLL_INTERVAL_MS = 50;
/** Time for targets to answer a status query, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_000;
/**
 * Time for a live primary to answer, in milliseconds; allows for opening a
 * connection between regions.
 */
const PRIMARY_CHECK_TIMEOUT_MS = 250;

/**
 * Time for a replica outside of the evacuated domain to receive what the
 * primary has, in milliseconds: many times the lag of a replica that follows.
 */
const CATCH_UP_TIMEOUT_MS = 1_000;

/** Result of a failover attempt. */
export type FailoverResult =
  | "promoted"
  /** A primary answers and is kept. */
  | "not_needed"
  /** The old primary answers, but has not stepped down. */
  | "not_fenced"
  /** Too few targets could be fenced to cover every acknowledged commit. */
  | "too_few"
  /** Another host took the lease, or a fenced target was resumed. */
  | "overtaken"
  /** The order was refused, or the target did not become primary in time. */
  | "not_promoted";

/** A claim of the failover lease, and why it was made. */
export interface FailoverClaim {
  readonly cause: FailoverCause;
  readonly lease: FailoverLease;
}

/** Result of a claim with the lease to be stored for it. */
interface ResolvedClaim {
  readonly result: FailoverResult;
  readonly lease: FailoverLease;
}

/** Procedure that replaces the primary of a service. */
export interface FailoverProcedure {
  run(
    service: ServiceId,
    claim: FailoverClaim,
  ): Promise<FailoverResult>;
}

/** Creates the failover procedure. */
export function createFailoverProcedure(
  ctx: ExecutionContext,
  options: {
    readonly self: HostId;
    readonly copies: LogCopies;
    readonly fencing: Fencing;
    /** Writes the lease if this host still holds it; false otherwise. */
    updateLease(service: ServiceId, lease: FailoverLease): Promise<boolean>;
    /** Returns the last primary, see `FailoverLease`, if it is known. */
    tryLastPrimary(
      service: ServiceId,
      lease: FailoverLease,
    ): ProvenPrimary | undefined;
    /** Whether the claim of the lease is of the store's current era. */
    isClaimCurrent(service: ServiceId, lease: FailoverLease): boolean;
  },
): FailoverProcedure {
  const { fencing } = options;

  /** Returns the primary that answers, and whether it has to be replaced. */
  async function tryFindLivePrimary(
    service: ServiceId,
    cause: FailoverCause,
  ): Promise<
    { readonly primary: ProvenPrimary; readonly isLeaving: boolean } | undefined
  > {
    const reports = await queryStatus(
      ctx.directory.list(service),
      PRIMARY_CHECK_TIMEOUT_MS,
    );
    // A deposed primary that was cut off reports an older term.
    const [found] = reports.filter(({ report }) => report.role === "primary")
      .toSorted((a, b) => b.report.term - a.report.term);
    return found && {
      primary: {
        target: found.target.id,
        incarnation: found.target.incarnation,
        term: found.report.term,
      },
      // Of an evacuated target, which is not asked, the belief may be outdated.
      isLeaving: !ctx.eligibility.mayLead(found.target) || cause === "leaving",
    };
  }

  /**
   * Returns the target's report. A target of an evacuated domain gets no status
   * request, but the order to pause, which a primary ignores and which changes
   * nothing at a replica that is fenced in the same term.
   */
  function queryTarget(
    target: TargetRecord,
    term: number,
  ): Promise<TargetReport | undefined> {
    return sendControlCommand(
      ctx,
      target,
      ctx.eligibility.isEligible(target)
        ? { kind: "status" }
        : { kind: "pause", term },
    );
  }

  /** Returns the reports of the targets that answer within `ms`. */
  function queryStatus(
    targets: readonly TargetRecord[],
    ms: number = STATUS_TIMEOUT_MS,
  ): Promise<readonly ReportedTarget[]> {
    return queryTargets(targets, {
      ms,
      query: (target) => sendControlCommand(ctx, target, { kind: "status" }),
    });
  }

  async function queryTargets(
    targets: readonly TargetRecord[],
    { ms, query }: {
      readonly ms: number;
      query(target: TargetRecord): Promise<TargetReport | undefined>;
    },
  ): Promise<readonly ReportedTarget[]> {
    const answered = await Promise.all(targets.map(async (target) => {
      const report = await withTimeout(query(target), {
        ms,
        fallback: undefined,
      });
      return report ? [{ target, report }] : [];
    }));
    return answered.flat();
  }

  /** Lists the copies that may lead while others may as well. */
  function listCandidates(service: ServiceId): readonly TargetRecord[] {
    return options.copies.list(service).filter(ctx.eligibility.mayLead);
  }

  /**
   * Waits until a target that may lead has received what the primary of an
   * evacuated domain is known to have. If none has in time, the primary is
   * replaced only if it does not answer: only a primary brings a replica up to
   * date, and it gets no new statements meanwhile.
   */
  async function waitForSuccessor(
    service: ServiceId,
    oldPrimary: TargetRecord | undefined,
  ): Promise<boolean> {
    const deadline = nowMs() + CATCH_UP_TIMEOUT_MS;
    const term = ctx.primaries.getTerm(service) + 1;
    let hasAnswer = false;
    let doesPrimaryAnswer = false;
    while (nowMs() < deadline) {
      const queryOptions = {
        ms: PRIMARY_CHECK_TIMEOUT_MS,
        query: (target: TargetRecord) => queryTarget(target, term),
      };
      const [leading, candidates] = await Promise.all([
        queryTargets(oldPrimary ? [oldPrimary] : [], queryOptions),
        queryTargets(listCandidates(service), queryOptions),
      ]);
      hasAnswer ||= candidates.length > 0;
      doesPrimaryAnswer ||= leading.length > 0;
      const last = leading[0]?.report.position ??
        ctx.getPositions(service).tryLatest()?.position;
      if (
        candidates.some(({ report }) =>
          !last || isAtLeast(report.position, last)
        )
      ) {
        return true;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    ctx.io.log.info("successor_behind", {
      service,
      hasAnswer,
      doesPrimaryAnswer,
    });
    return hasAnswer && !doesPrimaryAnswer;
  }

  /**
   * Queries the fenced targets again and returns those that are unchanged. A
   * target that was resumed meanwhile may hold commits that the others lack.
   */
  async function recheckFenced(
    fenced: readonly ReportedTarget[],
    term: number,
  ): Promise<readonly ReportedTarget[]> {
    const rechecked = await queryTargets(
      fenced.map(({ target }) => target),
      { ms: STATUS_TIMEOUT_MS, query: (target) => queryTarget(target, term) },
    );
    return rechecked.filter(({ target, report }) => {
      const original = fenced.find((previous) =>
        previous.target.id === target.id
      )!.report;
      return isFenced(report, term) &&
        report.position.term === original.position.term &&
        report.position.pos === original.position.pos;
    });
  }

  /** Whether one of the targets answers. */
  async function isAnyReachable(
    targets: readonly TargetRecord[],
  ): Promise<boolean> {
    const answers = targets.map(async (target) => {
      const report = await sendControlCommand(ctx, target, { kind: "status" });
      return report
        ? true
        : Promise.reject(new Error(`${target.id} is silent`));
    });
    return await Promise.any(answers).catch(() => false);
  }

  /** Orders a promotion; undefined if the order was refused. */
  async function promote(
    service: ServiceId,
    order: {
      readonly target: TargetRecord;
      readonly lease: FailoverLease;
      readonly term: number;
    },
  ): Promise<ResolvedClaim | undefined> {
    const { target, lease } = order;
    const res = await orderPromotion(service, { target: target.id, lease });
    if (res === "refused") {
      return undefined;
    }
    const deadline = nowMs() + PROMOTION_TIMEOUT_MS;
    while (nowMs() < deadline) {
      await sleep(POLL_INTERVAL_MS);
      const report = await queryTarget(target, order.term);
      if (report?.role === "primary") {
        return {
          result: "promoted",
          lease: toPromotedLease(lease, {
            term: report.term,
            isAnswered: res === "accepted",
          }),
        };
      }
    }
    return { result: "not_promoted", lease };
  }

  /**
   * Has older orders refused: orders the promotion of the target that leads,
   * which changes nothing. False if this order has no answer either.
   */
  async function invalidateOlderOrders(
    service: ServiceId,
    order: { readonly target: TargetRecord; readonly lease: FailoverLease },
  ): Promise<boolean> {
    const { target, lease } = order;
    const report = await queryTarget(
      target,
      ctx.primaries.getTerm(service) + 1,
    );
    // Any other target would be promoted by the order.
    return report?.role !== "primary" ||
      await orderPromotion(service, { target: target.id, lease }) !== "unknown";
  }

  async function orderPromotion(
    service: ServiceId,
    order: { readonly target: TargetId; readonly lease: FailoverLease },
  ): Promise<PromoteRes["kind"]> {
    const { target, lease: { fencingToken } } = order;
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

  /** Resumes replicas that a failover has paused. */
  async function resumeReplicas(service: ServiceId): Promise<void> {
    const { eligibility, primaries } = ctx;
    const copies = options.copies.list(service);
    const reports = await queryStatus(copies.filter(eligibility.isEligible));
    const paused = [
      ...reports.filter(({ report }) => report.pausedTerm > 0)
        .map(({ target }) => target),
      ...copies.filter((target) =>
        eligibility.isEvacuated(target) &&
        target.id !== primaries.tryPrimary(service)
      ),
    ];
    await Promise.all(
      paused.map((target) =>
        sendControlCommand(ctx, target, { kind: "resume" })
      ),
    );
  }

  /**
   * Whether no commit was acknowledged since the old primary stepped down or,
   * if it has not, since the hosts promised to withhold its acknowledgements.
   * Its log may still grow by statements that were running, which are not.
   */
  async function isStillDeposed(
    before: Deposition,
    depose: () => Promise<Deposition>,
  ): Promise<boolean> {
    switch (before.kind) {
      case "answers":
        return false;
      case "unreachable":
        return before.isPromised || (await depose()).kind === "unreachable";
      case "stepped_down": {
        const now = await depose();
        return now.kind === "unreachable" ||
          (now.kind === "stepped_down" &&
            now.position.term === before.position.term);
      }
      default:
        return assertNever(before);
    }
  }

  async function replacePrimary(
    service: ServiceId,
    claim: FailoverClaim & { readonly found?: ProvenPrimary | undefined },
  ): Promise<ResolvedClaim> {
    const { cause, lease: claimed } = claim;
    const believed = ctx.primaries.tryPrimary(service);
    // Found by a query of this claim, or of an earlier one without an order.
    const found = claim.found?.target === believed ? claim.found : undefined;
    const lastPrimary = found ?? options.tryLastPrimary(service, claimed);
    const oldPrimary = believed ?? lastPrimary?.target;
    const { openTarget } = claimed;
    const leading = oldPrimary && ctx.directory.tryGet(oldPrimary);
    if (
      claimed.hasUnansweredOrder && leading &&
      !await invalidateOlderOrders(service, { target: leading, lease: claimed })
    ) {
      return { result: "not_fenced", lease: claimed };
    }
    // Also opens the connections that the replicas are fenced over.
    const hasReplica = isAnyReachable(
      options.copies.list(service).filter(({ id }) => id !== oldPrimary),
    );
    const lease = lastPrimary ? { ...claimed, lastPrimary } : claimed;
    // If this host goes dark after the step-down, the next one has to know.
    if (found && !await options.updateLease(service, lease)) {
      return { result: "overtaken", lease: claimed };
    }
    if (cause === "leaving" && !await hasReplica) {
      return { result: "too_few", lease };
    }
    if (cause === "evacuated" && !await waitForSuccessor(service, leading)) {
      return { result: "too_few", lease };
    }
    const attempt: FenceAttempt = {
      service,
      fencingToken: lease.fencingToken,
      term: ctx.primaries.getTerm(service) + 1,
      oldPrimary,
      hasOldPrimaryLed: lastPrimary !== undefined,
      mayKeepOldPrimary: !isInOrder(cause),
      floor: lease.floor,
      openTarget,
    };
    const depose = fencing.createDeposition(attempt);
    const withholding: FailoverLease = { ...lease, minTerm: attempt.term };
    // Written at the same time, as no answer is expected.
    const withheldEarly = found
      ? undefined
      : options.updateLease(service, withholding);
    const deposition = await depose();
    await withheldEarly;
    ctx.io.log.info("old_primary_deposed", {
      service,
      oldPrimary,
      result: deposition.kind,
      position: deposition.kind === "stepped_down"
        ? formatPosition(deposition.position)
        : undefined,
      isPromised: deposition.kind === "unreachable"
        ? deposition.isPromised
        : undefined,
    });
    if (deposition.kind === "answers") {
      return { result: "not_fenced", lease };
    }
    const isUnreachable = deposition.kind === "unreachable";
    if (
      isUnreachable &&
      !await (withheldEarly ?? options.updateLease(service, withholding))
    ) {
      return { result: "overtaken", lease };
    }
    const fenced = await fencing.fenceReplicas(attempt, deposition);
    if (!fenced) {
      return { result: "too_few", lease };
    }
    const { targets, succession, counted } = fenced;
    const chosen = tryChooseSuccessor(targets, succession);
    ctx.io.log.info("failover_fenced", {
      service,
      term: attempt.term,
      fenced: formatReports(targets),
      copies: succession.copies,
      counted: formatCounted(counted),
      required: getRequiredFencedCount(succession),
      oldPrimary,
      chosen: chosen?.target.id,
    });
    const orderedLease: FailoverLease = {
      ...withoutLastPrimary(isUnreachable ? withholding : lease),
      ...toOpenTarget(chosen),
    };
    if (!await options.updateLease(service, orderedLease)) {
      return { result: "overtaken", lease };
    }
    const [confirmed, isDeposed] = await Promise.all([
      recheckFenced(targets, attempt.term),
      isStillDeposed(deposition, depose),
    ]);
    const successor = tryChooseSuccessor(confirmed, succession);
    if (!isDeposed || successor?.target.id !== chosen?.target.id) {
      ctx.io.log.info("failover_overtaken", {
        service,
        confirmed: confirmed.length,
        required: getRequiredFencedCount(succession),
        isDeposed,
      });
      // This claim has sent no order, so it leaves no open target.
      return { result: "overtaken", lease };
    }
    if (!successor || !options.isClaimCurrent(service, orderedLease)) {
      return { result: "overtaken", lease };
    }
    const { target } = successor;
    const stopFencing = fencing.fenceRemaining(attempt, {
      fenced: targets,
      depose,
    });
    const resolved = await promote(service, {
      target,
      lease: orderedLease,
      term: attempt.term,
    });
    stopFencing();
    // A refused order does not take effect later.
    return resolved ?? { result: "not_promoted", lease };
  }

  /**
   * Returns the term in which the target of an unanswered order leads; undefined
   * if it has not become primary.
   */
  async function tryTermOfOpenTarget(
    service: ServiceId,
    lease: FailoverLease,
  ): Promise<number | undefined> {
    const target = ctx.directory.list(service)
      .find(({ id }) => id === lease.openTarget);
    const report = target &&
      await queryTarget(target, ctx.primaries.getTerm(service) + 1);
    return report?.role === "primary" ? report.term : undefined;
  }

  /** Replaces the primary, unless a usable primary answers. */
  async function resolveClaim(
    service: ServiceId,
    claim: FailoverClaim,
  ): Promise<ResolvedClaim> {
    const { cause, lease } = claim;
    if (lease.openTarget !== undefined) {
      const term = await tryTermOfOpenTarget(service, lease);
      return term === undefined ? await replacePrimary(service, claim) : {
        result: "promoted",
        lease: toPromotedLease(lease, { term, isAnswered: false }),
      };
    }
    const found = await tryFindLivePrimary(service, cause);
    return found?.isLeaving === false
      ? { result: "not_needed", lease }
      : await replacePrimary(service, { ...claim, found: found?.primary });
  }

  return {
    async run(service, claim) {
      const { result, lease } = await resolveClaim(service, claim);
      // If another host holds the lease by now, that host resumes the replicas.
      if (await options.updateLease(service, lease)) {
        if (lease.openTarget === undefined) {
          await resumeReplicas(service);
        } else {
          ctx.io.log.info("replicas_stay_paused", {
            service,
            openTarget: lease.openTarget,
          });
        }
        await options.updateLease(service, { ...lease, isDone: true });
      }
      return result;
    },
  };
}

/** Whether the old primary answers and is replaced because of where it is. */
function isInOrder(cause: FailoverCause): boolean {
  return cause === "leaving" || cause === "evacuated";
}

function toOpenTarget(
  chosen: ReportedTarget | undefined,
): { openTarget?: TargetId } {
  return chosen ? { openTarget: chosen.target.id } : {};
}

/** Returns the lease without the target of an order. */
function withoutOpenTarget(
  { openTarget: _, ...lease }: FailoverLease,
): FailoverLease {
  return lease;
}

/** Returns the lease for a time in which another target may come to lead. */
function withoutLastPrimary(
  { lastPrimary: _, ...lease }: FailoverLease,
): FailoverLease {
  return lease;
}

/** Returns the lease after its target has become primary in a term. */
function toPromotedLease(
  lease: FailoverLease,
  { term, isAnswered }: {
    readonly term: number;
    readonly isAnswered: boolean;
  },
): FailoverLease {
  const { hasUnansweredOrder: _, minTerm, ...promoted } = withoutLastPrimary(
    withoutOpenTarget(lease),
  );
  return {
    ...promoted,
    // The term that was expected may be higher than the one that was given.
    ...(minTerm === undefined ? {} : { minTerm: Math.min(minTerm, term) }),
    ...(isAnswered ? {} : { hasUnansweredOrder: true }),
  };
}

/** Formats targets with their roles and log ends, for the log. */
function formatReports(reports: readonly ReportedTarget[]): string {
  return reports.map(({ target, report: { role, position } }) =>
    `${target.id}:${role}@${formatPosition(position)}`
  ).join(" ");
}

/** Formats the copies that count with the lists that name them, for the log. */
function formatCounted(counted: Fenced["counted"]): string {
  return [...counted].map(([id, sources]) =>
    `${id}:${[...new Set(sources)].join("+")}`
  ).join(" ");
}

function formatPosition({ term, pos }: Position): string {
  return `${term}.${pos}`;
}
