/** Replaces the primary of one group when it fails, stalls or is leaving. */

import { nowMs, sleep } from "./clock.ts";
import { canHandOver, getNextTerm, tryChoosePrimary } from "./election.ts";
import type { HostId, TargetId } from "./ids.ts";
import { acquireLease, publishStatus, releaseLease } from "./lease.ts";
import type { Monitor } from "./monitor.ts";
import { getMajority } from "./position.ts";
import { createStallDetector } from "./stall_detector.ts";
import type {
  ControlReq,
  GroupInfo,
  HostIo,
  Stoppable,
  TargetInfo,
  TargetStatus,
} from "./types.ts";

/** Time without a report after which a host suspects the primary. */
export const SUSPECT_AFTER_MS = 1_000;
/** Time without a report after which a host agrees with a suspicion. */
export const AGREE_AFTER_MS = 600;
/** Time allowed for another host to finish after it has raised the term. */
const TAKEOVER_DELAY_MS = 700;
/** Delay per rank that staggers hosts which cannot reach the platform. */
const RANK_DELAY_MS = 400;
/** Time allowed for transactions on a leaving primary to finish. */
const HANDOVER_WAIT_MS = 2_000;
const CHECK_INTERVAL_MS = 50;
const CONTROL_TIMEOUT_MS = 500;
const FOLLOW_RETRY_INTERVAL_MS = 500;

/** Response of a host to another host's suspicion of the primary. */
export type Opinion = "agrees" | "denies" | "unsure";

/** Dependencies of the promotion controller. */
export interface PromotionOptions {
  readonly self: HostId;
  readonly getGroup: () => GroupInfo;
  readonly monitor: Monitor;
  /** Pool hosts of the group in order of rank, including this one. */
  listPoolHosts(): readonly HostId[];
  /** Asks another host whether it also suspects the primary of `term`. */
  requestOpinion(host: HostId, term: number): Promise<Opinion>;
  /** Notifies another host that the group has a new primary. */
  notifyPromoted(host: HostId, term: number): void;
}

/** Reason for replacing a primary. */
export type PromotionCause = "silent" | "stalled" | "leaving";

/** Durations of the phases of a promotion, in milliseconds. */
export interface PhaseDurations {
  readonly detect: number;
  readonly fence: number;
  readonly promote: number;
}

/** Watches for the loss of a primary and promotes another target. */
export interface PromotionController extends Stoppable {
  start(): void;
  /** Returns the opinion of this host on a suspicion of the primary. */
  getOpinion(term: number): Opinion;
}

/** Creates the promotion controller of one group. */
export function createPromotionController(
  io: HostIo,
  options: PromotionOptions,
): PromotionController {
  const { self, monitor, getGroup } = options;
  const followSentAt = new Map<TargetId, number>();
  let timer: NodeJS.Timeout | undefined;
  const stallDetector = createStallDetector(monitor);
  let leavingSince: number | undefined;
  let isPromoting = false;
  let stopped = false;

  function check(): void {
    repointReplicas();
    const cause = isPromoting ? undefined : tryPromotionCause();
    if (cause && canPromote()) {
      isPromoting = true;
      void replacePrimary(cause).finally(() => isPromoting = false);
    }
  }

  /** Returns the reason to replace the primary, or undefined to keep it. */
  function tryPromotionCause(): PromotionCause | undefined {
    if (monitor.getPrimaryReportAgeMs() > SUSPECT_AFTER_MS) {
      return "silent";
    }
    if (stallDetector.isStalled()) {
      return "stalled";
    }
    const { primary } = monitor.view();
    const info = getGroup().targets.find((t) => t.target === primary);
    if (!info?.leaving) {
      leavingSince = undefined;
      return undefined;
    }
    leavingSince ??= nowMs();
    // Until `HANDOVER_WAIT_MS` has passed, open transactions finish and no new
    // ones begin.
    const isDrained = nowMs() - leavingSince > HANDOVER_WAIT_MS;
    return isDrained && canHandOver(getGroup()) ? "leaving" : undefined;
  }

  /** Returns whether this host may replace the primary now. */
  function canPromote(): boolean {
    return !stopped && monitor.getTermAgeMs() > TAKEOVER_DELAY_MS &&
      monitor.countResponsive() >= getMajority(getGroup().targets.length) &&
      options.listPoolHosts().includes(self);
  }

  async function replacePrimary(cause: PromotionCause): Promise<void> {
    const { term, primary } = monitor.view();
    const startedAt = nowMs();
    const reportAgeMs = monitor.getPrimaryReportAgeMs();
    const isShared = cause === "leaving" || await isSuspicionShared(term);
    if (!isShared || !await isCoordinator(cause, term)) {
      return;
    }
    const fenceStartedAt = nowMs();
    const detectMs = reportAgeMs + fenceStartedAt - startedAt;
    const chosen = await fence(cause === "silent" ? undefined : primary);
    const promoteStartedAt = nowMs();
    const promoted = chosen && await promote(chosen);
    if (promoted) {
      const phases = {
        detect: detectMs,
        fence: promoteStartedAt - fenceStartedAt,
        promote: nowMs() - promoteStartedAt,
      };
      await announce(promoted, { cause, phases });
    }
    await releaseLease(io, { group: getGroup().group, self });
  }

  /**
   * Returns whether another host agrees with the suspicion. Without one,
   * this host may be the only one that is partitioned from the primary.
   */
  async function isSuspicionShared(term: number): Promise<boolean> {
    const others = options.listPoolHosts().filter((host) => host !== self);
    if (others.length === 0) {
      return true;
    }
    const opinions = others.map((host) => options.requestOpinion(host, term));
    if (await hasAnyOpinion(opinions, "agrees")) {
      return true;
    }
    if (await hasAnyOpinion(opinions, "denies")) {
      monitor.recordSuspicionDenied();
    }
    return false;
  }

  /**
   * Returns whether this host is to replace the primary: it holds the lease, or
   * its turn by rank has come. If several hosts proceed, the highest term wins.
   */
  async function isCoordinator(
    cause: PromotionCause,
    term: number,
  ): Promise<boolean> {
    const group = getGroup().group;
    const leaseState = await acquireLease(io, { group, self });
    switch (leaseState) {
      case "held":
        await sleep(CHECK_INTERVAL_MS);
        return false;
      case "acquired":
        break;
      case "unreachable":
        await sleep(options.listPoolHosts().indexOf(self) * RANK_DELAY_MS);
        break;
    }
    return !stopped && monitor.view().term === term &&
      tryPromotionCause() === cause;
  }

  /** Raises the term at the targets, which fences every older term. */
  async function fence(
    excluded: TargetId | undefined,
  ): Promise<TargetStatus | undefined> {
    const { targets } = getGroup();
    const view = monitor.view();
    const term = getNextTerm([
      view.term,
      ...view.targets.map((target) => target.status?.term ?? 0),
    ]);
    const groupSize = targets.length;
    log("raising_term", { term });
    const accepted: TargetStatus[] = [];
    return await new Promise((resolve) => {
      let answers = 0;
      for (const target of targets) {
        void control(target, { kind: "raise_term", term }).then((status) => {
          answers++;
          if (status) {
            accepted.push(status);
          }
          const chosen = tryChoosePrimary(accepted, {
            term,
            groupSize,
            ...(excluded ? { excluded } : {}),
          });
          if (chosen || answers === groupSize) {
            resolve(chosen);
          }
        });
      }
    });
  }

  async function promote(
    chosen: TargetStatus,
  ): Promise<TargetStatus | undefined> {
    const info = getGroup().targets.find((t) => t.target === chosen.target);
    return info && await control(info, { kind: "promote", term: chosen.term });
  }

  async function announce(
    promoted: TargetStatus,
    details: {
      readonly cause: PromotionCause;
      readonly phases: PhaseDurations;
    },
  ): Promise<void> {
    const { target, term } = promoted;
    const { group } = getGroup();
    const { cause, phases } = details;
    io.metrics.count("promotions_total", { group, cause });
    for (const [phase, ms] of Object.entries(phases)) {
      io.metrics.observe("failover_phase_ms", ms, { phase, group });
    }
    log("promoted", { term, primary: target, cause, ...phases });
    repointReplicas();
    options.listPoolHosts()
      .filter((host) => host !== self)
      .forEach((host) => options.notifyPromoted(host, term));
    await publishStatus(io, {
      kind: "group_status",
      group,
      term,
      primary: target,
    });
  }

  /** Makes every target that reports follow the primary of the newest term. */
  function repointReplicas(): void {
    const view = monitor.view();
    const primaryView = view.targets.find((t) =>
      t.info.target === view.primary
    );
    if (!primaryView || !options.listPoolHosts().includes(self)) {
      return;
    }
    for (const { info, status } of view.targets) {
      const needsFollow = info !== primaryView.info && status !== undefined &&
        (status.term < view.term || status.following !== view.primary);
      const lastSentAt = followSentAt.get(info.target) ?? -Infinity;
      if (needsFollow && nowMs() - lastSentAt > FOLLOW_RETRY_INTERVAL_MS) {
        followSentAt.set(info.target, nowMs());
        void control(info, {
          kind: "follow",
          term: view.term,
          primary: primaryView.info.target,
          primaryUrl: primaryView.info.url,
        });
      }
    }
  }

  async function control(
    target: TargetInfo,
    req: ControlReq,
  ): Promise<TargetStatus | undefined> {
    const askedAt = nowMs();
    const res = await io.targets.control(target, req, CONTROL_TIMEOUT_MS);
    if (res.isErr()) {
      return undefined;
    }
    monitor.recordStatus(res.value, askedAt);
    return res.value;
  }

  function log(
    event: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const { group } = getGroup();
    io.log({ component: "promotion", event, fields: { group, ...fields } });
  }

  return {
    start() {
      timer = setInterval(check, CHECK_INTERVAL_MS);
    },
    getOpinion(term) {
      if (monitor.view().term !== term) {
        return monitor.view().term < term ? "agrees" : "unsure";
      }
      const reportAgeMs = monitor.getPrimaryReportAgeMs();
      return reportAgeMs > AGREE_AFTER_MS || stallDetector.isStallSuspected()
        ? "agrees"
        : "denies";
    },
    stop() {
      stopped = true;
      clearInterval(timer);
    },
  };
}

/** Resolves to true as soon as one host has the expected opinion. */
function hasAnyOpinion(
  opinions: readonly Promise<Opinion>[],
  expected: Opinion,
): Promise<boolean> {
  return new Promise((resolve) => {
    opinions.forEach((opinion) =>
      void opinion.then((value) => value === expected && resolve(true))
    );
    void Promise.all(opinions).then(() => resolve(false));
  });
}
