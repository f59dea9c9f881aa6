/**
 * Keeps the configuration of this host current. One host per failure domain
 * watches the platform; the others pull changes from these watchers, and call
 * the platform only when their peers do not confirm the configuration in time.
 */

import { nowMs, sleep } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import { type Freshness, MAX_CONFIGURATION_AGE_MS } from "./freshness.ts";
import { rankNodes } from "./hash.ts";
import type { DomainId, HostId } from "./ids.ts";
import type { Membership } from "./membership.ts";
import { CONFIG_PREFIX } from "./object_keys.ts";
import type { Peers } from "./peers.ts";
import { getBackoffMs } from "./retry_delay.ts";
import type { HostIo, PeerInfo, PeerReq, PeerRes, Stoppable } from "./types.ts";

/** Long-poll timeout of a watch on the platform, in milliseconds. */
export const WATCH_WAIT_MS = 600;
/** Minimum interval between calls to the platform, in milliseconds. */
export const PLATFORM_MIN_INTERVAL_MS = 250;
const PLATFORM_RETRY_MS = 500;
const PLATFORM_MAX_RETRY_MS = 3_000;
/** Initial delay that lets the first heartbeats arrive, in milliseconds. */
const START_WAIT_MS = 300;
const PULL_INTERVAL_MS = 500;
const PULL_TIMEOUT_MS = 400;
/** Configuration age above which this host pulls from all known peers. */
const PULL_ALL_AGE_MS = MAX_CONFIGURATION_AGE_MS * 9 / 16;
/**
 * Maximum fleet size at which a stale host pulls from all known peers; in a
 * larger fleet it pulls from its neighbours only.
 */
const PULL_ALL_MAX_HOSTS = 64;
/** Configuration age above which any host polls the platform. */
const POLL_PLATFORM_AGE_MS = MAX_CONFIGURATION_AGE_MS * 3 / 4;

type PullReq = Extract<PeerReq, { kind: "pull" }>;
type PullRes = Extract<PeerRes, { kind: "pull" }>;

/** Keeps the configuration of one host current. */
export interface Dissemination extends Stoppable {
  start(): void;
  answerPull(req: PullReq): PullRes;
  /** Pulls from a peer if it has a newer revision than this host. */
  recordRemoteChange(from: HostId, changedAt: number): void;
}

/** Dependencies of the dissemination. */
export interface DisseminationOptions {
  readonly self: PeerInfo;
  readonly cfg: Configuration;
  readonly freshness: Freshness;
  readonly membership: Membership;
  readonly peers: Peers;
}

/** Returns the host that watches the platform for a failure domain, if any. */
export function tryGetWatcher(
  alive: readonly PeerInfo[],
  domain: DomainId,
): HostId | undefined {
  const hosts = alive.filter((peer) => peer.domain === domain);
  return rankNodes(`watch|${domain}`, hosts.map((peer) => peer.host))[0];
}

/** Creates the dissemination of one host. */
export function createDissemination(
  io: HostIo,
  options: DisseminationOptions,
): Dissemination {
  const { self, cfg, freshness, membership, peers } = options;
  const pullsInFlight = new Set<HostId>();
  let failures = 0;
  let watcherIndex = 0;
  let stopped = false;
  let startedAt = 0;

  const jitter = (ms: number) => ms * (0.75 + io.random() / 2);

  function isWatcher(): boolean {
    return tryGetWatcher(membership.listAlive(), self.domain) === self.host;
  }

  /** Lists the watchers of all domains, the one of this host's domain first. */
  function listWatchers(): HostId[] {
    const alive = membership.listAlive();
    const domains = [...new Set(alive.map((peer) => peer.domain))]
      .filter((domain) => domain !== self.domain);
    return [self.domain, ...rankNodes(self.host, domains)]
      .flatMap((domain) => tryGetWatcher(alive, domain) ?? [])
      .filter((host) => host !== self.host);
  }

  /** Returns true if the configuration was not confirmed for too long. */
  function isStale(): boolean {
    const ageMs = Math.min(freshness.getAgeMs(), nowMs() - startedAt);
    return ageMs > POLL_PLATFORM_AGE_MS;
  }

  async function pollPlatform(): Promise<void> {
    const askedAt = nowMs();
    const res = cfg.revision === 0
      ? await io.platform.list(CONFIG_PREFIX)
      : await io.platform.watch(CONFIG_PREFIX, {
        after: cfg.revision,
        waitMs: WATCH_WAIT_MS,
      });
    if (res.isErr()) {
      failures++;
      return;
    }
    failures = 0;
    cfg.applyChanges(res.value);
    freshness.recordConfirmation(askedAt);
  }

  function getPauseMs(calledAt: number): number {
    if (failures === 0) {
      return Math.max(0, calledAt + jitter(PLATFORM_MIN_INTERVAL_MS) - nowMs());
    }
    const ceilingMs = getBackoffMs(failures, {
      minMs: PLATFORM_RETRY_MS,
      maxMs: PLATFORM_MAX_RETRY_MS,
    });
    return PLATFORM_MIN_INTERVAL_MS + io.random() * ceilingMs;
  }

  async function watchPlatform(): Promise<void> {
    await sleep(jitter(START_WAIT_MS));
    while (!stopped) {
      const calledAt = nowMs();
      if (isWatcher() || isStale()) {
        await pollPlatform();
      }
      await sleep(getPauseMs(calledAt));
    }
  }

  async function pull(from: HostId): Promise<void> {
    if (pullsInFlight.has(from)) {
      return;
    }
    pullsInFlight.add(from);
    const askedAt = nowMs();
    const req: PullReq = { kind: "pull", after: cfg.revision };
    const res = await peers.call(from, req, { timeoutMs: PULL_TIMEOUT_MS });
    pullsInFlight.delete(from);
    if (stopped || res.isErr() || res.value.kind !== "pull") {
      watcherIndex++;
      return;
    }
    const { revision, ready, ageMs, objects } = res.value;
    if (revision > 0) {
      cfg.applyChanges({ revision, objects });
    }
    freshness.recordPeerAnswer({ from, askedAt, ready });
    if (ageMs !== undefined) {
      // The peer measured `ageMs` after `askedAt`, so the difference is no
      // later than the last confirmation of the peer's configuration.
      freshness.recordConfirmation(askedAt - ageMs);
    }
  }

  /**
   * Lists the peers to pull from when the configuration gets old: all of them,
   * so that a majority can answer, or the neighbours in a large fleet.
   */
  function listPullPeers(): readonly HostId[] {
    const knownPeers = membership.listKnownPeers();
    return knownPeers.length < PULL_ALL_MAX_HOSTS
      ? knownPeers
      : membership.listNeighbours();
  }

  function pullFromPeers(): void {
    const ageMs = freshness.getAgeMs();
    if (ageMs > PULL_ALL_AGE_MS) {
      listPullPeers().forEach((host) => void pull(host));
      return;
    }
    const watchers = listWatchers();
    if (!isWatcher() && watchers.length > 0) {
      void pull(watchers[watcherIndex % watchers.length]!);
    }
  }

  async function pullRepeatedly(): Promise<void> {
    while (!stopped) {
      pullFromPeers();
      await sleep(jitter(PULL_INTERVAL_MS));
    }
  }

  return {
    start() {
      startedAt = nowMs();
      void watchPlatform();
      void pullRepeatedly();
    },
    answerPull({ after }) {
      const ageMs = freshness.getAgeMs();
      return {
        kind: "pull",
        revision: cfg.revision,
        ready: freshness.isReady(),
        ...(ageMs < Infinity ? { ageMs } : {}),
        objects: cfg.listChangedAfter(after).map((object) => ({ ...object })),
      };
    },
    recordRemoteChange(from, changedAt) {
      // Many peers announce the same change; one pull is enough.
      if (changedAt > cfg.revision && pullsInFlight.size === 0) {
        void pull(from);
      }
    },
    stop() {
      stopped = true;
    },
  };
}
