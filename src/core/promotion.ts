/** Changes the primary of one group when it is lost or leaves. */

import { nowMs, sleep } from "./clock.ts";
import { canHandOver, getNextTerm, tryChoosePrimary } from "./election.ts";
import type { HostId, TargetId } from "./ids.ts";
import { acquireLease, publishStatus, releaseLease } from "./lease.ts";
import type { Monitor } from "./monitor.ts";
import { getMajority } from "./position.ts";
import { createStallDetector } from "./stall.ts";
import type {
  ControlReq,
  GroupInfo,
  HostIo,
  Stoppable,
  TargetInfo,
  TargetStatus,
} from "./types.ts";

/** Silence after which a primary is suspected, in milliseconds. */
export const SUSPECT_AFTER_MS = 1_000;
/** Silence that supports the suspicion of another host, in milliseconds. */
export const AGREE_AFTER_MS = 600;
/** Time that another host has to finish after it raised the term. */
const TAKEOVER_DELAY_MS = 700;
/** Time between the ranks of hosts that cannot reach the platform. */
const RANK_DELAY_MS = 400;
/** Time that transactions at a leaving primary have to end. */
const HANDOVER_WAIT_MS = 2_000;
const CHECK_INTERVAL_MS = 50;
const CONTROL_TIMEOUT_MS = 500;
const FOLLOW_RETRY_INTERVAL_MS = 500;

/** What a host says when another one suspects the primary. */
export type Opinion = "agrees" | "denies" | "unsure";

/** What a change of primary needs of the host. */
export interface PromotionOptions {
  readonly self: HostId;
  readonly getGroup: () => GroupInfo;
  readonly monitor: Monitor;
  /** Hosts that monitor the group, best first, this one included. */
  listPoolHosts(): readonly HostId[];
  /** Asks another host whether it misses the primary of `term` too. */
  requestOpinion(host: HostId, term: number): Promise<Opinion>;
  /** Tells another host that the group has a new primary. */
  notifyPromoted(host: HostId, term: number): void;
}

/** Why a primary is replaced. */
export type PromotionCause = "silent" | "stalled" | "leaving";

/** Durations of the phases of a change of primary, in milliseconds. */
export interface PhaseDurations {
  readonly detect: number;
  readonly fence: number;
  readonly promote: number;
}

/** Keeps a group led. */
export interface PromotionController extends Stoppable {
  start(): void;
  /** What this host says of the suspicion against the primary. */
  getOpinion(term: number): Opinion;
}

/** Creates the part that orders changes of primary for one group. */
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

  /** Why the primary is to be replaced, if it is. */
  function tryPromotionCause(): PromotionCause | undefined {
    if (monitor.getPrimarySilenceMs() > SUSPECT_AFTER_MS) {
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
    // Until then its transactions end, and none is begun.
    const isDrained = nowMs() - leavingSince > HANDOVER_WAIT_MS;
    return isDrained && canHandOver(getGroup()) ? "leaving" : undefined;
  }

  /** Whether this host may replace a primary now. */
  function canPromote(): boolean {
    return !stopped && monitor.getTermAgeMs() > TAKEOVER_DELAY_MS &&
      monitor.countResponsive() >= getMajority(getGroup().targets.length) &&
      options.listPoolHosts().includes(self);
  }

  async function replacePrimary(cause: PromotionCause): Promise<void> {
    const { term, primary } = monitor.view();
    const startedAt = nowMs();
    const silenceMs = monitor.getPrimarySilenceMs();
    const isShared = cause === "leaving" || await isSuspicionShared(term);
    if (!isShared || !await isCoordinator(cause, term)) {
      return;
    }
    const fenceStartedAt = nowMs();
    const detectMs = silenceMs + fenceStartedAt - startedAt;
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

  /** One host alone may be cut off from a primary that others reach. */
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

  /** Chooses among the hosts that suspect; terms decide if several act. */
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

  /** Takes the majority away from every older term. */
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

  /** Makes every target that answers follow the primary of the newest term. */
  function repointReplicas(): void {
    const view = monitor.view();
    const leader = view.targets.find((t) => t.info.target === view.primary);
    if (!leader || !options.listPoolHosts().includes(self)) {
      return;
    }
    for (const { info, status } of view.targets) {
      const needsFollow = info !== leader.info && status !== undefined &&
        (status.term < view.term || status.following !== view.primary);
      const lastSentAt = followSentAt.get(info.target) ?? -Infinity;
      if (needsFollow && nowMs() - lastSentAt > FOLLOW_RETRY_INTERVAL_MS) {
        followSentAt.set(info.target, nowMs());
        void control(info, {
          kind: "follow",
          term: view.term,
          primary: leader.info.target,
          primaryUrl: leader.info.url,
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
      const silenceMs = monitor.getPrimarySilenceMs();
      return silenceMs > AGREE_AFTER_MS || stallDetector.isStallSuspected()
        ? "agrees"
        : "denies";
    },
    stop() {
      stopped = true;
      clearInterval(timer);
    },
  };
}

/** Resolves to true as soon as one of the hosts has that opinion. */
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
