/** The pools of this host: one for each group that it is chosen for. */

import { nowMs } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import { getConnectionShare } from "./connections.ts";
import type { GroupId, HostId } from "./ids.ts";
import type { Membership } from "./membership.ts";
import type { Peers } from "./peers.ts";
import type { Placement } from "./placement.ts";
import { createPool, type Pool } from "./pool.ts";
import {
  createPromotionController,
  type Opinion,
  type PromotionController,
} from "./promotion.ts";
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

const TICK_INTERVAL_MS = 100;
const PEER_CALL_TIMEOUT_MS = 300;
/** A pool that this host is not chosen for is closed after this long. */
const UNUSED_POOL_TIMEOUT_MS = 30_000;

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
  rollbackSession(session: string): void;
  countTransactions(): number;
  /** What this host says of the suspicion against a primary. */
  getOpinion(req: Extract<PeerReq, { kind: "suspect" }>): Opinion;
  /** Looks at the targets of a group whose primary has changed. */
  refresh(group: GroupId): void;
  listViews(): readonly GroupView[];
}

interface PoolEntry {
  readonly pool: Pool;
  readonly promotion: PromotionController;
  info: GroupInfo;
  /** When it was last asked for, or this host was chosen for it. */
  lastUsedAt: number;
}

/** Creates the pools of this host; `start` keeps them in step. */
export function createPools(io: HostIo, options: PoolsOptions): Pools {
  const { self, cfg, membership, peers } = options;
  const entries = new Map<GroupId, PoolEntry>();
  let timer: NodeJS.Timeout | undefined;
  let reconciledKey = "";

  function listPoolHosts(group: GroupId): readonly HostId[] {
    return options.placement.listPoolHosts(group);
  }

  async function requestOpinion(
    host: HostId,
    suspected: { readonly group: GroupId; readonly term: number },
  ): Promise<Opinion> {
    const res = await peers.call(host, { kind: "suspect", ...suspected }, {
      timeoutMs: PEER_CALL_TIMEOUT_MS,
    });
    return res.isOk() && res.value.kind === "suspect"
      ? res.value.opinion
      : "unsure";
  }

  function openPool(info: GroupInfo): PoolEntry {
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
      listPoolHosts: () => listPoolHosts(group),
      requestOpinion: (host, term) => requestOpinion(host, { group, term }),
      notifyPromoted: (host, term) =>
        void peers.call(host, { kind: "promoted", group, term }, {
          timeoutMs: PEER_CALL_TIMEOUT_MS,
        }),
    });
    const entry: PoolEntry = { pool, promotion, info, lastUsedAt: nowMs() };
    entries.set(group, entry);
    pool.start();
    promotion.start();
    return entry;
  }

  function tryEntry(group: GroupId): PoolEntry | undefined {
    const info = cfg.tryGroup(group);
    const entry = entries.get(group);
    if (entry && info && info !== entry.info) {
      entry.info = info;
      entry.pool.update(info);
    }
    return entry ?? (info && openPool(info));
  }

  function rollbackSessions(matches: (session: string) => boolean): void {
    entries.forEach(({ pool }) => pool.rollbackSessions(matches));
  }

  /** Gives up on hosts that are gone: calls to them and their sessions. */
  function abortLostHosts(): void {
    peers.abortCalls((host) => !membership.isReachable(host));
    rollbackSessions((id) => !membership.isReachable(getSessionHost(id)));
  }

  /** Closes the pools that other hosts have taken over. */
  function closeUnusedPools(): void {
    for (const [group, entry] of entries) {
      if (listPoolHosts(group).includes(self)) {
        entry.lastUsedAt = nowMs();
      }
      const isUnused = nowMs() - entry.lastUsedAt > UNUSED_POOL_TIMEOUT_MS;
      if (isUnused && entry.pool.countTransactions() === 0) {
        entries.delete(group);
        entry.promotion.stop();
        entry.pool.stop();
      }
    }
  }

  function tick(): void {
    abortLostHosts();
    reconcile();
    closeUnusedPools();
  }

  /** Opens the pools that this host is chosen for. */
  function reconcile(): void {
    const key = `${options.placement.getRevision()}|${cfg.revision}`;
    if (key === reconciledKey) {
      return;
    }
    reconciledKey = key;
    for (const { group } of cfg.groups) {
      if (entries.has(group) || listPoolHosts(group).includes(self)) {
        tryEntry(group);
      }
    }
  }

  return {
    start() {
      timer = setInterval(tick, TICK_INTERVAL_MS);
    },
    tryPool(group) {
      const entry = tryEntry(group);
      if (entry) {
        entry.lastUsedAt = nowMs();
      }
      return entry?.pool;
    },
    rollbackSession: (session) => rollbackSessions((id) => id === session),
    countTransactions: () =>
      [...entries.values()].reduce((n, h) => n + h.pool.countTransactions(), 0),
    getOpinion: ({ group, term }) =>
      entries.get(group)?.promotion.getOpinion(term) ?? "unsure",
    refresh: (group) => entries.get(group)?.pool.monitor.refresh(),
    listViews: () => [...entries.values()].map((h) => h.pool.monitor.view()),
    stop() {
      clearInterval(timer);
      for (const { pool, promotion } of entries.values()) {
        promotion.stop();
        pool.stop();
      }
    },
  };
}
