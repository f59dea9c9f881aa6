/** Changes the primary of one group when it is lost or leaves. */

import { nowMs, sleep } from "./clock.ts";
import { getNextTerm, tryChoosePrimary } from "./election.ts";
import type { HostId, TargetId } from "./ids.ts";
import { acquireLease, publishStatus, releaseLease } from "./lease.ts";
import type { Monitor } from "./monitor.ts";
import { getMajority } from "./position.ts";
import type {
  ControlReq,
  GroupInfo,
  HostIo,
  Stoppable,
  TargetInfo,
  TargetStatus,
} from "./types.ts";

/** Silence after which a primary is suspected, in milliseconds. */
export const SUSPECT_MS = 1_000;
/** Silence that supports the suspicion of another host, in milliseconds. */
export const SUPPORT_MS = 600;
/** Time that another host has to finish after it raised the term. */
const TAKEOVER_MS = 700;
/** Time between the ranks of hosts that cannot reach the platform. */
const RANK_DELAY_MS = 400;
const TICK_MS = 50;
const CONTROL_TIMEOUT_MS = 500;
const FOLLOW_RETRY_MS = 500;

/** What a change of primary needs of the host. */
export interface PromotionOptions {
  readonly self: HostId;
  readonly getGroup: () => GroupInfo;
  readonly monitor: Monitor;
  /** Hosts that monitor the group, best first, this one included. */
  listMonitors(): readonly HostId[];
  /** Asks another host whether it misses the primary of `term` too. */
  askSuspects(host: HostId, term: number): Promise<boolean>;
  /** Tells another host that the group has a new primary. */
  tellPromoted(host: HostId, term: number): void;
}

/** Keeps a group led. */
export interface Promotion extends Stoppable {
  start(): void;
  /** Whether this host supports the suspicion against the primary. */
  isSupporting(term: number): boolean;
}

/** Creates the part that orders changes of primary for one group. */
export function createPromotion(
  io: HostIo,
  options: PromotionOptions,
): Promotion {
  const { self, monitor, getGroup } = options;
  const pointedAt = new Map<TargetId, number>();
  let timer: NodeJS.Timeout | undefined;
  let isActing = false;
  let stopped = false;

  function tick(): void {
    pointReplicas();
    if (!isActing && isDue()) {
      isActing = true;
      void act().finally(() => isActing = false);
    }
  }

  /** Whether the group has no primary that answers and could get one. */
  function isDue(): boolean {
    return !stopped && monitor.getSilenceMs() > SUSPECT_MS &&
      monitor.getTermAgeMs() > TAKEOVER_MS &&
      monitor.countFresh() >= getMajority(getGroup().targets.length) &&
      options.listMonitors().includes(self);
  }

  async function act(): Promise<void> {
    const { term } = monitor.view();
    const lastSeenAt = nowMs() - monitor.getSilenceMs();
    if (!await isSuspicionShared(term) || !await isChosen(term)) {
      return;
    }
    const agreedAt = nowMs();
    log("suspected", { term, silenceMs: Math.round(agreedAt - lastSeenAt) });
    observe("detect", agreedAt - lastSeenAt);
    const next = await fence();
    const fencedAt = nowMs();
    observe("fence", fencedAt - agreedAt);
    const promoted = next && await promote(next);
    if (promoted) {
      observe("promote", nowMs() - fencedAt);
      await announce(promoted);
    }
    void releaseLease(io, { group: getGroup().group, self });
  }

  /** One host alone may be cut off from a primary that others reach. */
  async function isSuspicionShared(term: number): Promise<boolean> {
    const others = options.listMonitors().filter((host) => host !== self);
    if (others.length === 0) {
      return true;
    }
    const answers = others.map((host) => options.askSuspects(host, term));
    return await isAny(answers);
  }

  /** Chooses among the hosts that suspect; terms decide if several act. */
  async function isChosen(term: number): Promise<boolean> {
    const group = getGroup().group;
    const state = await acquireLease(io, { group, self });
    switch (state) {
      case "held":
        await sleep(TICK_MS);
        return false;
      case "acquired":
        break;
      case "unreachable":
        await sleep(options.listMonitors().indexOf(self) * RANK_DELAY_MS);
        break;
    }
    return !stopped && monitor.view().term === term &&
      monitor.getSilenceMs() > SUSPECT_MS;
  }

  /** Takes the majority away from every older term. */
  async function fence(): Promise<TargetStatus | undefined> {
    const { targets } = getGroup();
    const known = monitor.view();
    const term = getNextTerm([
      known.term,
      ...known.targets.map((target) => target.status?.term ?? 0),
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
          const chosen = tryChoosePrimary(accepted, { term, groupSize });
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

  async function announce(promoted: TargetStatus): Promise<void> {
    const { target, term } = promoted;
    const { group } = getGroup();
    io.metrics.count("promotions_total", { group });
    log("promoted", { term, primary: target });
    pointReplicas();
    options.listMonitors()
      .filter((host) => host !== self)
      .forEach((host) => options.tellPromoted(host, term));
    await publishStatus(io, {
      kind: "group_status",
      group,
      term,
      primary: target,
    });
  }

  /** Makes every target that answers follow the primary of the newest term. */
  function pointReplicas(): void {
    const view = monitor.view();
    const leader = view.targets.find((t) => t.info.target === view.primary);
    if (!leader || !options.listMonitors().includes(self)) {
      return;
    }
    for (const { info, status } of view.targets) {
      const isLost = info !== leader.info && status !== undefined &&
        (status.term < view.term || status.following !== view.primary);
      const lastAt = pointedAt.get(info.target) ?? -Infinity;
      if (isLost && nowMs() - lastAt > FOLLOW_RETRY_MS) {
        pointedAt.set(info.target, nowMs());
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
    monitor.noteStatus(res.value, askedAt);
    return res.value;
  }

  function log(
    event: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const { group } = getGroup();
    io.log({ component: "promotion", event, fields: { group, ...fields } });
  }

  function observe(phase: string, ms: number): void {
    const { group } = getGroup();
    io.metrics.observe("failover_phase_ms", ms, { phase, group });
  }

  return {
    start() {
      timer = setInterval(tick, TICK_MS);
    },
    isSupporting: (term) =>
      monitor.view().term <= term && monitor.getSilenceMs() > SUPPORT_MS,
    stop() {
      stopped = true;
      clearInterval(timer);
    },
  };
}

/** Resolves to true as soon as one of the promises does. */
function isAny(promises: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    promises.forEach((promise) =>
      void promise.then((value) => value && resolve(true))
    );
    void Promise.all(promises).then(() => resolve(false));
  });
}
