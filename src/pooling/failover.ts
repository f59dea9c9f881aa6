/** Decides when a primary is replaced and which host does it. */

import { nowMs, sleep } from "../core/clock.ts";
import type { HostId, ServiceId } from "../core/ids.ts";
import type { Stoppable } from "../core/types.ts";
import { type Duty, type FailoverCause, tryDecodeDuty } from "./duty.ts";
import { type Fleet, getDutyKey } from "./fleet.ts";
import { createTakeover } from "./takeover.ts";
import type { WorkContext } from "./work.ts";

/** Time between two looks, in milliseconds: a small part of the silence. */
const TICK_MS = 100;
/** Silence of a primary after which it is replaced, in milliseconds. */
const SILENT_MS = 900;
/** Time without any primary known after which one is appointed. */
const LEADERLESS_MS = 1_200;
/** Time that another host has to finish; longer than a takeover lasts. */
const TAKEOVER_MS = 7_000;
/** Time after a change of primary in which no further one is made. */
const COOLDOWN_MS = 3_000;
/** Pause before an order that got no answer is given again. */
const REORDER_MS = 300;
/** A replica paused for longer was left behind; no takeover lasts as long. */
const LEFT_PAUSED_MS = 8_000;
/** The same while no takeover is under way. */
const LEFT_PAUSED_IDLE_MS = 1_000;
/** Hosts that see the same fault act one after the other. */
const MAX_JITTER_MS = 250;

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
  const takeover = createTakeover(ctx, {
    self,
    getCopies: (service) => copies.get(service) ?? 0,
    update,
  });
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
    if (target.isDraining) {
      return "leaving";
    }
    const duty = tryDecodeDuty(fleet.tryGet(getDutyKey(service))?.value);
    const limitMs = duty && !duty.isDone ? LEFT_PAUSED_MS : LEFT_PAUSED_IDLE_MS;
    const isLeftPaused = ctx.directory.list(service)
      .some(({ id }) => ctx.health.getPausedMs(id) > limitMs);
    return isLeftPaused ? "left_paused" : undefined;
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
    const duty = tryDecodeDuty(fleet.tryGet(key)?.value);
    if (!duty) {
      return true;
    }
    const restMs = duty.openTarget === undefined ? COOLDOWN_MS : REORDER_MS;
    return fleet.getAgeMs(key) > (duty.isDone ? restMs : TAKEOVER_MS);
  }

  async function claim(
    service: ServiceId,
    cause: FailoverCause,
  ): Promise<Duty | undefined> {
    const key = getDutyKey(service);
    const known = fleet.tryGet(key);
    const previous = tryDecodeDuty(known?.value);
    const duty: Duty = {
      holder: self,
      fencingToken: (previous?.fencingToken ?? 0) + 1,
      isDone: false,
      ...(previous?.openTarget === undefined
        ? {}
        : { openTarget: previous.openTarget }),
    };
    const isClaimed = await put(service, duty, known?.version ?? 0);
    if (!isClaimed) {
      ctx.io.log.info("failover_not_claimed", { service, cause });
    }
    return isClaimed ? duty : undefined;
  }

  /** Writes the duty unless another host changed it. */
  async function put(
    service: ServiceId,
    duty: Duty,
    ifVersion: number,
  ): Promise<boolean> {
    const key = getDutyKey(service);
    const res = await ctx.io.store.put(key, duty, { ifVersion });
    if (res.isOk()) {
      fleet.learn(res.value);
      return true;
    }
    if (res.error.kind === "conflict") {
      fleet.learn(res.error.current);
    }
    return false;
  }

  /** Changes the duty if it is still this claim's; false if it is not. */
  async function update(service: ServiceId, duty: Duty): Promise<boolean> {
    const known = fleet.tryGet(getDutyKey(service));
    const held = tryDecodeDuty(known?.value);
    const isOwn = held?.fencingToken === duty.fencingToken &&
      held.holder === self;
    return known !== undefined && isOwn &&
      await put(service, duty, known.version);
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
    ctx.io.log.info("failover_started", {
      service,
      cause,
      oldPrimary: ctx.leaders.tryPrimary(service),
      fencingToken: duty.fencingToken,
    });
    const result = await takeover.run(service, { cause, duty });
    ctx.io.log.info("failover_ended", {
      service,
      cause,
      result,
      primary: ctx.leaders.tryPrimary(service),
      ms: Math.round(nowMs() - startedAt),
    });
    ctx.io.metrics.count("promotions_total", { group: service, cause, result });
    if (result === "promoted") {
      triedAt.set(service, nowMs());
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
