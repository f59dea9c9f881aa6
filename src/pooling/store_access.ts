/**
 * Reaches the store directly or, while it turns this host away, through a peer
 * that it serves. A host that starts then knows no peer, so hosts that the
 * store serves introduce themselves to those that are registered and not heard
 * from.
 */

import { Ok } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import type { HostId, ObjectKey } from "../core/ids.ts";
import { sampleItems } from "../core/sample.ts";
import type { EraCalls, EraRes } from "../core/store_era.ts";
import type { Stoppable, StoredObject, WatchRes } from "../core/types.ts";
import type { AskStore, TellStore } from "../generated/pool_peer.ts";
import type { StoreRequest } from "../generated/pool_forward.ts";
import { getIntervalFactor } from "./fleet_size.ts";
import { openRelayLink, type RelayLink, UNANSWERED } from "./store_relay.ts";
import type { PoolIo } from "./types.ts";

/** Interval at which a host without the store asks its peers for a relay. */
const ASK_INTERVAL_MS = 400;
/** Maximum number of peers that are asked at the same time. */
const MAX_ASKED_PEERS = 24;
/** Maximum number of questions whose answers are awaited. */
const MAX_PENDING_QUESTIONS = 16;
/** Time for which an answer of a peer holds, in milliseconds. */
const ANSWER_TTL_MS = 2_000;
/** Time for which a relay that failed is not used, in milliseconds. */
const RELAY_PAUSE_MS = 1_000;
/** Interval at which the direct path is tried while it is down. */
const PROBE_INTERVAL_MS = 800;
/** Interval of introductions in a small fleet, in milliseconds. */
const INTRODUCE_INTERVAL_MS = 500;
/** Number of hosts to which a host introduces itself at a time. */
const MAX_INTRODUCTIONS = 3;

/** How this host reaches the store. */
export type StorePath = TellStore["path"];

/** Access to the store over the path that works. */
export interface StoreAccess extends Stoppable {
  readonly calls: EraCalls;
  /** Watches over this host's own connections only. */
  readonly watchDirectly: EraCalls["watch"];
  getPath(): StorePath;
  /**
   * Whether each of these hosts has said lately that it does not reach the
   * store, and no other host that it does.
   */
  isLostBy(hosts: readonly HostId[]): boolean;
  /** Asks, probes and introduces this host when it is time to. */
  check(): void;
  handleAsk(from: HostId, msg: AskStore): void;
  handleTell(from: HostId, msg: TellStore): void;
  /** Forgets the answers of peers, whose age is not known any more. */
  forgetAnswers(): void;
}

/** Dependencies of the access to the store. */
export interface StoreAccessOptions {
  readonly self: HostId;
  /** Calls over this host's own connections. */
  readonly direct: EraCalls;
  /** Object that is read to try the direct path. */
  readonly probeKey: ObjectKey;
  /** Lists the hosts that may be asked. */
  listPeers(): readonly HostId[];
  /** Lists the registered hosts that have not been heard from in time. */
  listUnheard(): readonly HostId[];
  /** Called when this host reaches the store directly again. */
  onDirect(): void;
}

interface PeerAnswer {
  readonly path: StorePath;
  readonly heardAt: number;
  /** Time of the question; undefined if the peer introduced itself. */
  readonly askedAt: number | undefined;
}

/** Creates an access that first tries the direct path. */
export function createStoreAccess(
  io: Pick<PoolIo, "peers" | "streams" | "log" | "metrics" | "random">,
  options: StoreAccessOptions,
): StoreAccess {
  const { self, direct } = options;
  const answers = new Map<HostId, PeerAnswer>();
  /** Times of the questions that peers may still answer. */
  const questions = new Map<number, number>();
  /** Relays that have failed, with the time until which they are not used. */
  const pausedUntil = new Map<HostId, number>();
  let relay: RelayLink | undefined;
  let isRelayAnswering = false;
  let isDirectDown = false;
  let directCalledAt = -Infinity;
  let directAnsweredAt = -Infinity;
  let nextQuestion = 0;
  let askedAt = -Infinity;
  let introducedAt = -Infinity;
  let loggedPath: StorePath = "none";
  let isStopped = false;

  function getPath(): StorePath {
    if (!isDirectDown) {
      return directAnsweredAt > -Infinity ? "direct" : "none";
    }
    return isRelayAnswering ? "relayed" : "none";
  }

  function logPath(): void {
    const path = getPath();
    if (path !== loggedPath) {
      io.log.info("store_path_changed", {
        path,
        previous: loggedPath,
        ...(path === "relayed" ? { relay: relay?.host } : {}),
      });
      loggedPath = path;
    }
  }

  async function callDirect<T>(
    call: () => Promise<EraRes<T>>,
  ): Promise<EraRes<T>> {
    const sentAt = nowMs();
    directCalledAt = sentAt;
    const res = await call();
    if (!isUnanswered(res)) {
      directAnsweredAt = nowMs();
      if (isDirectDown) {
        isDirectDown = false;
        answers.clear();
        pausedUntil.clear();
        relay?.retire();
        options.onDirect();
      }
    } else if (directAnsweredAt < sentAt) {
      // A watch may be cut off while the store answers other calls.
      isDirectDown = true;
    }
    logPath();
    return res;
  }

  function dropRelay(link: RelayLink): void {
    if (relay === link) {
      relay = undefined;
      isRelayAnswering = false;
    }
    pausedUntil.set(link.host, nowMs() + RELAY_PAUSE_MS);
    logPath();
  }

  function isCandidate(host: HostId): boolean {
    const answer = answers.get(host);
    return answer?.path === "direct" &&
      nowMs() - answer.heardAt <= ANSWER_TTL_MS &&
      nowMs() >= (pausedUntil.get(host) ?? -Infinity);
  }

  /** Returns the relay in use, or opens a stream to another one. */
  function tryGetRelay(): RelayLink | undefined {
    if (relay || isStopped) {
      return relay;
    }
    const [host] = sampleItems([...answers.keys()].filter(isCandidate), {
      count: 1,
      random: io.random,
    });
    if (host !== undefined) {
      const link = openRelayLink(io, {
        host,
        onClose(detail) {
          io.log.info("relay_closed", { relay: host, detail });
          dropRelay(link);
        },
      });
      relay = link;
    }
    return relay;
  }

  async function callRelay(
    link: RelayLink,
    request: StoreRequest,
  ): Promise<EraRes<StoredObject | WatchRes>> {
    const res = await link.call(request);
    if (isUnanswered(res)) {
      dropRelay(link);
      link.retire();
    } else if (relay === link) {
      isRelayAnswering = true;
      logPath();
    }
    return res;
  }

  /** Makes a call over one path; it is never repeated over the other. */
  async function call<T extends StoredObject | WatchRes>(
    request: StoreRequest,
    callDirectly: () => Promise<EraRes<T>>,
    isExpected: (value: StoredObject | WatchRes) => value is T,
  ): Promise<EraRes<T>> {
    const link = isDirectDown ? tryGetRelay() : undefined;
    if (!link) {
      return await callDirect(callDirectly);
    }
    const { era, result } = await callRelay(link, request);
    if (result.isErr()) {
      return { era, result };
    }
    return isExpected(result.value)
      ? { era, result: Ok(result.value) }
      : UNANSWERED;
  }

  function askPeers(): void {
    askedAt = nowMs();
    const id = nextQuestion++;
    questions.set(id, askedAt);
    questions.delete(id - MAX_PENDING_QUESTIONS);
    const peers = sampleItems(options.listPeers(), {
      count: MAX_ASKED_PEERS,
      random: io.random,
    });
    for (const peer of peers) {
      io.peers.send(peer, { kind: "ask_store", id, host: self });
    }
  }

  function introduce(): void {
    introducedAt = nowMs();
    const hosts = sampleItems(options.listUnheard(), {
      count: MAX_INTRODUCTIONS,
      random: io.random,
    });
    for (const host of hosts) {
      io.peers.send(host, { kind: "tell_store", host: self, path: "direct" });
    }
  }

  return {
    calls: {
      get: (key) => call({ kind: "get", key }, () => direct.get(key), isObject),
      list: (prefix, list) =>
        call(
          { kind: "list", prefix },
          () => direct.list(prefix, list),
          isList,
        ),
      put: (key, value, condition) =>
        call(
          { kind: "put", key, value, ifVersion: condition.ifVersion },
          () => direct.put(key, value, condition),
          isObject,
        ),
      watch: (prefix, watch) =>
        call(
          {
            kind: "watch",
            prefix,
            after: watch.after,
            waitMs: watch.waitMs,
            mayBeLate: watch.mayBeLate ?? false,
          },
          () => direct.watch(prefix, watch),
          isList,
        ),
    },
    watchDirectly: (prefix, watch) =>
      callDirect(() => direct.watch(prefix, watch)),
    getPath,
    isLostBy(hosts) {
      const now = nowMs();
      const isFresh = (at: number | undefined) =>
        at !== undefined && now - at <= ANSWER_TTL_MS;
      return getPath() === "none" &&
        hosts.every((host) => {
          const answer = answers.get(host);
          return answer?.path === "none" && isFresh(answer.askedAt);
        }) &&
        [...answers.values()].every(({ path, heardAt }) =>
          path === "none" || !isFresh(heardAt)
        );
    },
    check() {
      const now = nowMs();
      if (isDirectDown) {
        if (now - askedAt >= ASK_INTERVAL_MS) {
          askPeers();
        }
        if (relay && now - directCalledAt >= PROBE_INTERVAL_MS) {
          void callDirect(() => direct.get(options.probeKey));
        }
        return;
      }
      const intervalMs = INTRODUCE_INTERVAL_MS *
        getIntervalFactor(options.listPeers().length);
      if (getPath() === "direct" && now - introducedAt >= intervalMs) {
        introduce();
      }
    },
    handleAsk(from, { id }) {
      io.peers.send(from, {
        kind: "tell_store",
        id,
        host: self,
        path: getPath(),
      });
    },
    handleTell(from, { id, path }) {
      if (getPath() === "direct") {
        return;
      }
      const questionAt = id === undefined ? undefined : questions.get(id);
      if (id !== undefined && questionAt === undefined) {
        return;
      }
      answers.set(from, { path, heardAt: nowMs(), askedAt: questionAt });
    },
    forgetAnswers: () => answers.clear(),
    stop() {
      isStopped = true;
      relay?.close();
    },
  };
}

/** Whether no response of the store arrived. */
function isUnanswered({ result }: EraRes<unknown>): boolean {
  return result.isErr() && result.error.kind === "unreachable";
}

function isList(value: StoredObject | WatchRes): value is WatchRes {
  return "objects" in value;
}

function isObject(value: StoredObject | WatchRes): value is StoredObject {
  return !isList(value);
}
