/** Assembles the components of one host. */

import type { Settings } from "../generated/settings.ts";
import { withTimeout } from "./clock.ts";
import { type Configuration, createConfiguration } from "./configuration.ts";
import { getConnectionShare } from "./connections.ts";
import { createDissemination, type Dissemination } from "./dissemination.ts";
import { createDrainController } from "./drain.ts";
import { createEntry, type Entry } from "./entry.ts";
import { createFreshness, type Freshness } from "./freshness.ts";
import type { HostId } from "./ids.ts";
import { createLimits, type Limits, type LimitsOptions } from "./limits.ts";
import { createMembership, type Membership } from "./membership.ts";
import { LIST_KEYS } from "./object_keys.ts";
import { createPeers } from "./peers.ts";
import { createPlacement } from "./placement.ts";
import { createPools } from "./pools.ts";
import { createFairQueue, type Queue, type QueueOptions } from "./queue.ts";
import type { OrderReplicas } from "./read.ts";
import { createRegistration } from "./registration.ts";
import type {
  ExecReq,
  GroupView,
  HostIo,
  Outcome,
  PeerMessage,
  PeerReq,
  PeerRes,
  Stoppable,
} from "./types.ts";

const DEFAULT_TIMEOUT_MS = 5_000;
const DEFAULT_MAX_TIMEOUT_MS = 60_000;
const DEFAULT_TRANSACTION_TIMEOUT_MS = 10_000;
const DEFAULT_HOSTS_PER_GROUP = 3;
/** Maximum wait for shares of the limits before callers are accepted. */
const LIMITS_READY_TIMEOUT_MS = 3_000;
/** Time allowed for the round trip to a pool host, on top of the request. */
const PEER_ROUND_TRIP_MARGIN_MS = 200;
const END_SESSION_TIMEOUT_MS = 1_000;

/** One running host. */
export interface Host extends Stoppable {
  start(): void;
  /** Handles a message from a peer. */
  receivePeer(from: HostId, msg: PeerMessage): void;
  /**
   * Leaves the fleet and resolves when the host is idle, after `timeoutMs`, or
   * once `signal` is aborted. Call `stop` afterwards.
   */
  drain(timeoutMs: number, signal?: AbortSignal): Promise<void>;
  /** Resolves when the host can serve callers. */
  ready(): Promise<void>;
  readonly entry: Entry;
  readonly cfg: Configuration;
  readonly freshness: Freshness;
  readonly membership: Membership;
  /** Lists the state of the groups for which this host runs a pool. */
  listGroupViews(): readonly GroupView[];
}

/** Components that a program embedding a host may replace. */
export interface HostPolicies {
  readonly createLimits?: (io: HostIo, options: LimitsOptions) => Limits;
  readonly createQueue?: (options: QueueOptions) => Queue;
  /** Orders the replicas that may serve a read, best first. */
  readonly orderReplicas?: OrderReplicas;
}

/** Creates a host that performs all I/O through `io`. */
export function createHost(
  io: HostIo,
  settings: Settings,
  policies: HostPolicies = {},
): Host {
  const self = { host: settings.host, domain: settings.domain };
  const cfg = createConfiguration(io);
  const knownPeers = settings.peers.known ?? [];
  const membership = createMembership(io, {
    self,
    known: knownPeers,
    listRegistered: () => cfg.hosts,
    getOwnVersions: () => ({
      revision: cfg.lastChangeRevision,
      versions: cfg.acceptedVersions.filter(({ key }) =>
        LIST_KEYS.includes(key)
      ),
    }),
  });
  const freshness = createFreshness({
    self: self.host,
    listHosts: () => [self.host, ...membership.listKnownPeers()],
  });
  const peers = createPeers(io, handlePeer);
  const hostsPerGroup = settings.pools?.hostsPerGroup ??
    DEFAULT_HOSTS_PER_GROUP;
  // A leaving host still accounts for its workspaces until it stops.
  const ownerPlacement = createPlacement({
    listHosts: membership.listReachable,
    hostsPerGroup,
  });
  const limits = (policies.createLimits ?? createLimits)(io, {
    self: settings.host,
    cfg,
    configuredHostCount: knownPeers.length + 1,
    // A leaving host still grants and receives tokens until it stops.
    countAlive: () => membership.listReachable().length,
    listOwners: ownerPlacement.listOwners,
    listSeatHosts: ownerPlacement.listSeatHosts,
    async call(host, req, options) {
      const res = await peers.call(host, req, options);
      return res.isOk() ? res.value : undefined;
    },
  });
  const createQueue = policies.createQueue ?? createFairQueue;
  const dissemination: Dissemination = createDissemination(io, {
    self,
    cfg,
    freshness,
    membership,
    peers,
  });
  const registration = createRegistration(io, {
    cfg,
    record: {
      kind: "host",
      ...self,
      url: getPeerUrl(settings),
      incarnation: membership.incarnation,
      leaving: false,
    },
  });
  cfg.onChange(membership.announce);
  const poolPlacement = createPlacement({
    listHosts: membership.listAlive,
    hostsPerGroup,
  });
  const pools = createPools(io, {
    self: self.host,
    cfg,
    membership,
    peers,
    placement: poolPlacement,
    hostsPerGroup,
    transactionTimeoutMs: settings.requests?.transactionTimeoutMs ??
      DEFAULT_TRANSACTION_TIMEOUT_MS,
    createQueue: (group) =>
      createQueue({
        limits,
        slotsPerTarget: group.slots,
        maxInFlight: getConnectionShare(group.targets, hostsPerGroup),
        random: io.random,
      }),
    ...(policies.orderReplicas
      ? { orderReplicas: policies.orderReplicas }
      : {}),
  });

  const drainController = createDrainController({
    exec: execLocally,
    countTransactions: pools.countTransactions,
    leave() {
      membership.leave();
      void registration.leave();
    },
    release: limits.release,
  });

  async function execLocally(req: ExecReq): Promise<Outcome> {
    const pool = pools.tryPool(req.group);
    return pool
      ? await pool.exec(req)
      : { kind: "failed", error: "unavailable" };
  }

  async function exec(host: HostId, req: ExecReq): Promise<Outcome> {
    if (host === self.host) {
      return await drainController.run(req);
    }
    const timeoutMs = req.budgetMs + PEER_ROUND_TRIP_MARGIN_MS;
    const res = await peers.call(host, req, { timeoutMs });
    if (res.isOk() && res.value.kind === "exec") {
      return res.value.outcome;
    }
    return { kind: "failed", error: "outcome_unknown" };
  }

  function endSession(session: string, hosts: readonly HostId[]): void {
    for (const host of hosts) {
      if (host === self.host) {
        pools.rollbackSession(session);
      } else {
        const timeoutMs = END_SESSION_TIMEOUT_MS;
        void peers.call(host, { kind: "end_session", session }, { timeoutMs });
      }
    }
  }

  async function handlePeer(_from: HostId, req: PeerReq): Promise<PeerRes> {
    switch (req.kind) {
      case "exec":
        return { kind: "exec", outcome: await drainController.run(req) };
      case "pull":
        return dissemination.answerPull(req);
      case "seat_vote":
      case "delegate":
      case "grant":
        return await limits.receive(req);
      case "suspect":
        return { kind: "suspect", opinion: pools.getOpinion(req) };
      case "promoted":
        pools.refresh(req.group);
        return { kind: "ack" };
      case "end_session":
        pools.rollbackSession(req.session);
        return { kind: "ack" };
    }
  }

  const entry = createEntry(io, {
    self: self.host,
    cfg,
    freshness,
    placement: poolPlacement,
    defaultTimeoutMs: settings.requests?.defaultTimeoutMs ?? DEFAULT_TIMEOUT_MS,
    maxTimeoutMs: settings.requests?.maxTimeoutMs ?? DEFAULT_MAX_TIMEOUT_MS,
    exec,
    endSession,
  });

  return {
    start() {
      membership.start();
      limits.start();
      pools.start();
      dissemination.start();
      registration.start();
    },
    receivePeer(from, msg) {
      if (msg.kind === "heartbeat") {
        membership.receive(msg);
        dissemination.recordRemoteChange(from, msg.revision);
      } else {
        peers.receive(from, msg);
      }
    },
    drain: drainController.drain,
    async ready() {
      await cfg.ready();
      // A time-out is harmless: running hosts grant tokens to a host without a
      // seat.
      await withTimeout(limits.ready(), {
        ms: LIMITS_READY_TIMEOUT_MS,
        fallback: undefined,
      });
    },
    entry,
    cfg,
    freshness,
    membership,
    listGroupViews: pools.listViews,
    stop() {
      dissemination.stop();
      registration.stop();
      membership.stop();
      limits.stop();
      peers.stop();
      pools.stop();
    },
  };
}

/** Returns the URL at which peers connect to this host. */
function getPeerUrl({ peers }: Settings): string {
  const scheme = peers.tls ? "wss" : "ws";
  return `${scheme}://${peers.address}:${peers.port}`;
}
