/** Pools of this host, one for each group for which it is a pool host. */

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
/** Time after which a pool that this host no longer has to run is closed. */
const UNUSED_POOL_TIMEOUT_MS = 30_000;

/** Dependencies and limits of the pools of a host. */
export interface PoolsOptions {
  readonly self: HostId;
  readonly cfg: Configuration;
  readonly membership: Membership;
  readonly peers: Peers;
  readonly placement: Placement;
  readonly hostsPerGroup: number;
  readonly transactionTimeoutMs: number;
  createQueue(group: GroupInfo): Queue;
  /** Preference among replicas; without it, reads start at a random replica. */
  readonly orderReplicas?: OrderReplicas;
}

/** Opens, looks up and closes the pools of this host. */
export interface Pools extends Stoppable {
  start(): void;
  /** Returns the pool of a group, which is opened if necessary. */
  tryPool(group: GroupId): Pool | undefined;
  /** Rolls back the open transactions of a session on this host. */
  rollbackSession(session: string): void;
  countTransactions(): number;
  /** Returns this host's opinion on whether a suspected primary is lost. */
  getOpinion(req: Extract<PeerReq, { kind: "suspect" }>): Opinion;
  /** Requests the status of a group's targets, after a change of primary. */
  refresh(group: GroupId): void;
  listViews(): readonly GroupView[];
}

interface PoolEntry {
  readonly pool: Pool;
  readonly promotion: PromotionController;
  info: GroupInfo;
  /** When the pool was last requested, or this host last a pool host. */
  lastUsedAt: number;
}

/**
 * Creates the pools of this host; `start` opens and closes them as placement
 * and configuration change.
 */
export function createPools(io: HostIo, options: PoolsOptions): Pools {
  const { self, cfg, membership, peers } = options;
  const entries = new Map<GroupId, PoolEntry>();
  let timer: NodeJS.Timeout | undefined;
  let reconciledState = "";

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

  /** Fails calls to unreachable hosts and rolls back their sessions. */
  function abortLostHosts(): void {
    peers.abortCalls((host) => !membership.isReachable(host));
    rollbackSessions((id) => !membership.isReachable(getSessionHost(id)));
  }

  /** Closes pools that other hosts took over and that have no transactions. */
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

  /** Opens the pools of all groups for which this host is a pool host. */
  function reconcile(): void {
    const state = `${options.placement.getRevision()}|${cfg.revision}`;
    if (state === reconciledState) {
      return;
    }
    reconciledState = state;
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
      [...entries.values()].reduce(
        (count, entry) => count + entry.pool.countTransactions(),
        0,
      ),
    getOpinion: ({ group, term }) =>
      entries.get(group)?.promotion.getOpinion(term) ?? "unsure",
    refresh: (group) => entries.get(group)?.pool.monitor.refresh(),
    listViews: () =>
      [...entries.values()].map((entry) => entry.pool.monitor.view()),
    stop() {
      clearInterval(timer);
      for (const { pool, promotion } of entries.values()) {
        promotion.stop();
        pool.stop();
      }
    },
  };
}
