/**
 * Fences the targets of a service before a promotion: the old primary steps
 * down first, then the replicas stop receiving.
 */

import { nowMs, sleep, withTimeout } from "../core/clock.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import { sendControlCommand } from "./control.ts";
import type { ExecutionContext } from "./execution.ts";
import { isLostCopyOf, type LogCopies } from "./log_copies.ts";
import {
  createStepDown,
  haltTarget,
  isLikelyDark,
  type StepDownRes,
} from "./step_down.ts";
import type { StepDownRequests } from "./step_down_requests.ts";
import {
  coversOldPrimary,
  type ReportedTarget,
  type SuccessionOptions,
  tryChooseSuccessor,
} from "./succession.ts";
import type { Position, TargetRecord, TargetReport } from "./types.ts";
import { isAtLeast, ORIGIN } from "../core/position.ts";

/** Time to fence enough targets, in milliseconds. */
const FENCE_TIMEOUT_MS = 1_500;
/**
 * Time for replicas to be fenced before an old primary that has stepped down
 * leads again for want of one, in milliseconds.
 */
const REPLICA_GRACE_MS = 700;
/** Interval at which fencing is checked, in milliseconds. */
const POLL_INTERVAL_MS = 50;
/**
 * Interval at which the remaining targets are fenced while an order takes
 * effect, in milliseconds.
 */
const REMAINING_INTERVAL_MS = 150;
/**
 * Time in which a primary that this host reaches steps down, in milliseconds:
 * four round trips between regions, two of them for a connection. After that
 * the peers are asked as well.
 */
const LOCAL_STEP_DOWN_MS = 200;

/** What became of the old primary. */
export type Deposition =
  | { readonly kind: "stepped_down"; readonly position: Position }
  /** Answers this host or a peer, and may still acknowledge commits. */
  | { readonly kind: "answers" }
  /**
   * No host has an answer from it or knows it to be primary. Clients are
   * answered through hosts, so none gets an acknowledgement from it either as
   * long as the hosts withhold them, see `CommitBarrier`.
   */
  | {
    readonly kind: "unreachable";
    readonly peerCopies: readonly TargetId[];
    /** Whether all hosts that were asked withhold its acknowledgements. */
    readonly isPromised: boolean;
  };

/** A failover's attempt to fence the targets of a service. */
export interface FenceAttempt {
  readonly service: ServiceId;
  /** Token of the claim under which the attempt is made. */
  readonly fencingToken: number;
  /** Term in which the successor will lead. */
  readonly term: number;
  readonly oldPrimary: TargetId | undefined;
  /**
   * Whether the old primary is known to have led last, so that its log end
   * bounds every acknowledged commit also if it is a replica by now.
   */
  readonly hasOldPrimaryLed: boolean;
  readonly mayKeepOldPrimary: boolean;
  /** Position that the successor must have reached, see `FailoverLease`. */
  readonly floor: Position | undefined;
  /** Target of an order that may still take effect, see `FailoverLease`. */
  readonly openTarget: TargetId | undefined;
}

/** Targets that were fenced, and what the choice among them rests on. */
export interface Fenced {
  readonly targets: readonly ReportedTarget[];
  readonly succession: SuccessionOptions;
  /** Copies that count, each with the lists that name it. */
  readonly counted: ReadonlyMap<TargetId, readonly string[]>;
}

/** Fences the targets of services. */
export interface Fencing {
  /** Makes the old primary step down, through a peer if necessary. */
  createDeposition(attempt: FenceAttempt): () => Promise<Deposition>;
  /**
   * Fences replicas until one is known to hold every acknowledged commit;
   * undefined if none is found in time.
   */
  fenceReplicas(
    attempt: FenceAttempt,
    deposition: Deposition,
  ): Promise<Fenced | undefined>;
  /**
   * Fences what is not fenced yet until the result is called: an old primary
   * that can be reached again, and copies that start now.
   */
  fenceRemaining(
    attempt: FenceAttempt,
    options: {
      readonly fenced: readonly ReportedTarget[];
      depose(): Promise<Deposition>;
    },
  ): () => void;
}

/** Creates the fencing of this host. */
export function createFencing(
  ctx: ExecutionContext,
  options: {
    readonly copies: LogCopies;
    readonly requests: StepDownRequests;
    /** Reads the registrations from the store; undefined if it fails. */
    listRegistered(
      service: ServiceId,
    ): Promise<readonly TargetRecord[] | undefined>;
  },
): Fencing {
  const { copies, requests } = options;

  /**
   * Stops a target from acknowledging commits and receiving entries: pauses the
   * target and, if it is primary, makes it step down and pauses it again.
   */
  async function fenceTarget(
    target: TargetRecord,
    term: number,
  ): Promise<TargetReport | undefined> {
    const { wasPrimary, report } = await haltTarget(ctx, { target, term });
    return wasPrimary && report?.role === "replica"
      ? await sendControlCommand(ctx, target, { kind: "pause", term })
      : report;
  }

  function getSuccessionOptions(
    attempt: FenceAttempt,
    known: {
      readonly deposition: Deposition;
      readonly registered: readonly TargetRecord[];
    },
  ): Omit<Fenced, "targets"> {
    const { service, oldPrimary, mayKeepOldPrimary, openTarget } = attempt;
    const { deposition, registered } = known;
    const sources = {
      known: copies.list(service).map(({ id }) => id),
      lost: copies.listLost(service, registered),
      registered: registered.map(({ id }) => id),
      peer: deposition.kind === "unreachable" ? deposition.peerCopies : [],
    };
    const counted = new Map<TargetId, string[]>();
    for (const [source, ids] of Object.entries(sources)) {
      ids.forEach((id) => counted.set(id, [...counted.get(id) ?? [], source]));
    }
    // The log that the old primary led with counts in place of its new one.
    const lostOfPrimary = [...counted.keys()].filter((id) =>
      oldPrimary !== undefined && isLostCopyOf(id, oldPrimary)
    );
    lostOfPrimary.forEach((id) => counted.delete(id));
    const succession = {
      copies: counted.size,
      floor: attempt.floor,
      syncReplicas: ctx.catalog.tryGet()?.services.get(service)
        ?.syncReplicas ?? 0,
      steppedDownAt: deposition.kind === "stepped_down"
        ? deposition.position
        : undefined,
      oldPrimary,
      mayKeepOldPrimary,
      hasOldPrimaryRestarted: lostOfPrimary.length > 0,
      preferred: openTarget,
      mayLead: ctx.eligibility.mayLead,
    };
    return { succession, counted };
  }

  function createDeposition(attempt: FenceAttempt): () => Promise<Deposition> {
    const { service, oldPrimary, hasOldPrimaryLed, term, fencingToken } =
      attempt;
    const target = oldPrimary === undefined
      ? undefined
      : copies.tryGet(oldPrimary);
    const tryStepDown = target && createStepDown(ctx, { target, term });

    /** Returns the end of the old primary's log, which was found as a replica. */
    function tryBound(end: Position | undefined): Position | undefined {
      const known = ctx.getPositions(service).tryLatest()?.position;
      // A shorter log is that of a process that has lost entries in a restart.
      return hasOldPrimaryLed && end && isAtLeast(end, known ?? ORIGIN)
        ? end
        : undefined;
    }

    async function askPeers(): Promise<Deposition> {
      const answers = await requests.send({
        service,
        target: target?.id,
        term,
        fencingToken,
      });
      const { isReachable, copies: peerCopies, isPromised } = answers;
      const steppedDownAt = answers.steppedDownAt ??
        tryBound(answers.replicaEnd);
      if (steppedDownAt) {
        return { kind: "stepped_down", position: steppedDownAt };
      }
      return isReachable
        ? { kind: "answers" }
        : { kind: "unreachable", peerCopies, isPromised };
    }

    let isDeposed = false;
    let inProgress: Promise<StepDownRes> | undefined;

    /** Joins the attempt that has not ended, if there is one. */
    function stepDown(): Promise<StepDownRes | undefined> {
      inProgress ??= tryStepDown?.({ isDeposed })
        .finally(() => inProgress = undefined);
      return inProgress ?? Promise.resolve(undefined);
    }

    /** Takes the log end of a replica that led last for that of a step-down. */
    function toStepDown(res: StepDownRes | undefined): StepDownRes | undefined {
      const position = res?.kind === "not_primary"
        ? tryBound(res.position)
        : undefined;
      return position ? { kind: "stepped_down", position } : res;
    }

    async function makeAttempt(): Promise<Deposition> {
      const isDark = !target || isLikelyDark(ctx, target);
      const localDeadline = nowMs() + LOCAL_STEP_DOWN_MS;
      const local = stepDown().then(toStepDown);
      const early = await withTimeout(local, {
        ms: isDark ? 0 : LOCAL_STEP_DOWN_MS,
        fallback: undefined,
      });
      if (early?.kind === "stepped_down") {
        return early;
      }
      const asked = await askPeers();
      const own = await withTimeout(local, {
        ms: Math.max(0, localDeadline - nowMs()),
        fallback: early,
      });
      if (own?.kind === "stepped_down") {
        return own;
      }
      const mayAnswer = own?.kind === "answers" ||
        (own === undefined && target && !isLikelyDark(ctx, target));
      return asked.kind === "unreachable" && mayAnswer
        ? { kind: "answers" }
        : asked;
    }

    return async () => {
      const deadline = nowMs() + FENCE_TIMEOUT_MS;
      let deposition = await makeAttempt();
      while (deposition.kind === "answers" && nowMs() < deadline) {
        await sleep(POLL_INTERVAL_MS);
        deposition = await makeAttempt();
      }
      isDeposed ||= deposition.kind === "stepped_down";
      return deposition;
    };
  }

  async function fenceReplicas(
    attempt: FenceAttempt,
    deposition: Deposition,
  ): Promise<Fenced | undefined> {
    const { service, term, oldPrimary, openTarget } = attempt;
    const fenced = new Map<TargetId, ReportedTarget>();
    const inProgress = new Set<TargetId>();
    const deadline = nowMs() + FENCE_TIMEOUT_MS;
    const graceEnd = nowMs() + REPLICA_GRACE_MS;
    let registered: readonly TargetRecord[] | undefined;

    /** Whether another primary than the old one has led since. */
    function hasFollowedLater({ report }: ReportedTarget): boolean {
      return report.term >= term || report.position.term >= term;
    }

    async function addIfFenced(target: TargetRecord): Promise<void> {
      inProgress.add(target.id);
      const report = await fenceTarget(target, term);
      inProgress.delete(target.id);
      if (report && isFenced(report, term)) {
        fenced.set(target.id, { target, report });
      }
    }

    while (nowMs() < deadline) {
      [...copies.list(service), ...registered ?? []]
        .filter(({ id }) => !fenced.has(id) && !inProgress.has(id))
        .forEach((target) => void addIfFenced(target));
      await sleep(POLL_INTERVAL_MS);
      const targets = [...fenced.values()];
      const { succession, counted } = getSuccessionOptions(attempt, {
        deposition,
        registered: registered ?? [],
      });
      if (attempt.hasOldPrimaryLed && targets.some(hasFollowedLater)) {
        ctx.io.log.info("failover_outdated", { service, term, oldPrimary });
        return undefined;
      }
      const successor = tryChooseSuccessor(targets, succession);
      // The open target may still become primary. Unless it has left the
      // directory, wait for the missing copies, which may show that it holds
      // every commit.
      const mayBePromoted = openTarget !== undefined &&
        ctx.directory.tryGet(openTarget) !== undefined &&
        successor?.target.id !== openTarget &&
        targets.length < succession.copies;
      if (!successor || mayBePromoted) {
        continue;
      }
      // A target outside of the evacuated domain may be fenced a little later.
      if (
        ctx.eligibility.isEvacuated(successor.target) &&
        targets.length < succession.copies && nowMs() < graceEnd
      ) {
        continue;
      }
      if (successor.target.id === oldPrimary && succession.steppedDownAt) {
        // A copy that is not fenced yet may hold what the fenced ones lack.
        if (targets.length >= succession.copies || nowMs() >= graceEnd) {
          return { targets, succession, counted };
        }
        continue;
      }
      if (registered || coversOldPrimary(successor, succession)) {
        return { targets, succession, counted };
      }
      // The count decides. A copy that this host has not heard of yet may have
      // received what the fenced ones lack, and cannot register in an outage.
      if (ctx.directory.getSettlingMs() > 0) {
        continue;
      }
      registered = await options.listRegistered(service);
    }
    ctx.io.log.info("failover_waits", {
      service,
      fenced: [...fenced.keys()].join(" "),
      copies: copies.list(service).length,
      oldPrimary: deposition.kind,
      isListRead: registered !== undefined,
      settlingMs: Math.round(ctx.directory.getSettlingMs()),
      reason: "too few targets reachable to cover every acknowledged commit",
    });
    return undefined;
  }

  function fenceRemaining(
    attempt: FenceAttempt,
    { fenced, depose }: {
      readonly fenced: readonly ReportedTarget[];
      depose(): Promise<Deposition>;
    },
  ): () => void {
    const { service, term } = attempt;
    const halted = new Set(fenced.map(({ target }) => target.id));
    const inProgress = new Set<TargetId>();
    let isDeposing = false;

    async function halt(target: TargetRecord): Promise<void> {
      inProgress.add(target.id);
      const report = await fenceTarget(target, term);
      inProgress.delete(target.id);
      if (report && isFenced(report, term)) {
        halted.add(target.id);
        ctx.io.log.info("copy_fenced_late", { service, target: target.id });
      }
    }

    const timer = setInterval(() => {
      copies.list(service)
        .filter(({ id }) => !halted.has(id) && !inProgress.has(id))
        .forEach((target) => void halt(target));
      if (!isDeposing) {
        isDeposing = true;
        void depose().then(() => isDeposing = false);
      }
    }, REMAINING_INTERVAL_MS);
    return () => clearInterval(timer);
  }

  return { createDeposition, fenceReplicas, fenceRemaining };
}

/** Whether the target neither leads nor receives, in this term or a later one. */
export function isFenced(report: TargetReport, term: number): boolean {
  return report.role === "replica" && report.pausedTerm >= term;
}
