/** The pools of this host: one for each group that it is chosen for. */

import { nowMs } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import { getConnectionShare } from "./connections.ts";
import type { GroupId, HostId } from "./ids.ts";
import type { Membership } from "./membership.ts";
import type { Peers } from "./peers.ts";
import type { Placement } from "./placement.ts";
import { createPool, type Pool } from "./pool.ts";
import { createPromotionController, type Opinion, type PromotionController } from "./promotion.ts";
import type { Queue } from "./queue.ts";
import type { OrderReplicas } from "./read.ts";
import { getSessionHost } from "./session.ts";
import type {
  GroupInfo,
  GroupView,
  HostIo,
  PeerReq,
  Stoppable,
} from "./types.ts";

const TICK_MS = 100;
const ASK_TIMEOUT_MS = 300;
/** A pool that this host is not chosen for is closed after this long. */
const UNUSED_MS = 30_000;

/** What the pools are made of. */
export interface PoolsOptions {
  readonly self: HostId;
  readonly cfg: Configuration;
  readonly membership: Membership;
  readonly peers: Peers;
  readonly placement: Placement;
  readonly hostsPerGroup: number;
  readonly transactionTimeoutMs: number;
  createQueue(group: GroupInfo): Queue;
  /** The order in which replicas are asked; without it they are asked at random. */
  readonly orderReplicas?: OrderReplicas;
}

/** The pools of this host. */
export interface Pools extends Stoppable {
  start(): void;
  /** The pool of a group, started if it is not there yet. */
  tryPool(group: GroupId): Pool | undefined;
  /** Rolls back what a session has left open here. */
  endSession(session: string): void;
  countTransactions(): number;
  /** What this host says of the suspicion against a primary. */
  getOpinion(req: Extract<PeerReq, { kind: "suspect" }>): Opinion;
  /** Looks at the targets of a group whose primary has changed. */
  refresh(group: GroupId): void;
  listViews(): readonly GroupView[];
}

interface Held {
  readonly pool: Pool;
  readonly promotion: PromotionController;
  info: GroupInfo;
  /** When it was last asked for, or this host was chosen for it. */
  usedAt: number;
}

/** Creates the pools of this host; `start` keeps them in step. */
export function createPools(io: HostIo, options: PoolsOptions): Pools {
  const { self, cfg, membership, peers } = options;
  const held = new Map<GroupId, Held>();
  let timer: NodeJS.Timeout | undefined;
  let seenKey = "";

  function listMonitors(group: GroupId): readonly HostId[] {
    return options.placement.listPoolHosts(group);
  }

  async function askSuspects(
    host: HostId,
    asked: { readonly group: GroupId; readonly term: number },
  ): Promise<Opinion> {
    const res = await peers.call(host, { kind: "suspect", ...asked }, {
      timeoutMs: ASK_TIMEOUT_MS,
    });
    return res.isOk() && res.value.kind === "suspect"
      ? res.value.opinion
      : "unsure";
  }

  function open(info: GroupInfo): Held {
    const { group } = info;
    const pool = createPool(io, {
      group: info,
      queue: options.createQueue(info),
      transactionTimeoutMs: options.transactionTimeoutMs,
      connectionsPerTarget: getConnectionShare(
        info.targets,
        options.hostsPerGroup,
      ),
      ...(options.orderReplicas
        ? { orderReplicas: options.orderReplicas }
        : {}),
    });
    const promotion = createPromotionController(io, {
      self,
      getGroup: () => entry.info,
      monitor: pool.monitor,
      listPoolHosts: () => listMonitors(group),
      requestOpinion: (host, term) => askSuspects(host, { group, term }),
      notifyPromoted: (host, term) =>
        void peers.call(host, { kind: "promoted", group, term }, {
          timeoutMs: ASK_TIMEOUT_MS,
        }),
    });
    const entry: Held = { pool, promotion, info, usedAt: nowMs() };
    held.set(group, entry);
    pool.start();
    promotion.start();
    return entry;
  }

  function tryHeld(group: GroupId): Held | undefined {
    const info = cfg.tryGroup(group);
    const found = held.get(group);
    if (found && info && info !== found.info) {
      found.info = info;
      found.pool.update(info);
    }
    return found ?? (info && open(info));
  }

  function endSessions(isOver: (session: string) => boolean): void {
    held.forEach(({ pool }) => pool.endSessions(isOver));
  }

  /** Gives up on hosts that are gone: calls to them and their sessions. */
  function dropLostHosts(): void {
    peers.abandon((host) => !membership.isReachable(host));
    endSessions((id) => !membership.isReachable(getSessionHost(id)));
  }

  /** Closes the pools that other hosts have taken over. */
  function closeUnused(): void {
    for (const [group, entry] of held) {
      if (listMonitors(group).includes(self)) {
        entry.usedAt = nowMs();
      }
      const isUnused = nowMs() - entry.usedAt > UNUSED_MS;
      if (isUnused && entry.pool.countTransactions() === 0) {
        held.delete(group);
        entry.promotion.stop();
        entry.pool.stop();
      }
    }
  }

  function tick(): void {
    dropLostHosts();
    reconcile();
    closeUnused();
  }

  /** Opens the pools that this host is chosen for. */
  function reconcile(): void {
    const key = `${options.placement.getRevision()}|${cfg.revision}`;
    if (key === seenKey) {
      return;
    }
    seenKey = key;
    for (const { group } of cfg.groups) {
      if (held.has(group) || listMonitors(group).includes(self)) {
        tryHeld(group);
      }
    }
  }

  return {
    start() {
      timer = setInterval(tick, TICK_MS);
    },
    tryPool(group) {
      const entry = tryHeld(group);
      if (entry) {
        entry.usedAt = nowMs();
      }
      return entry?.pool;
    },
    endSession: (session) => endSessions((id) => id === session),
    countTransactions: () =>
      [...held.values()].reduce((n, h) => n + h.pool.countTransactions(), 0),
    getOpinion: ({ group, term }) =>
      held.get(group)?.promotion.getOpinion(term) ?? "unsure",
    refresh: (group) => held.get(group)?.pool.monitor.refresh(),
    listViews: () => [...held.values()].map((h) => h.pool.monitor.view()),
    stop() {
      clearInterval(timer);
      for (const { pool, promotion } of held.values()) {
        promotion.stop();
        pool.stop();
      }
    },
  };
}
