/**
 * Asks peers which version of the configuration they have in force. A host that
 * starts while the store has returned to an earlier copy reads an older one,
 * with routes and keys that were withdrawn since.
 */

import { nowMs } from "../core/clock.ts";
import type { HostId } from "../core/ids.ts";
import { sampleItems } from "../core/sample.ts";
import type { Stoppable } from "../core/types.ts";
import type {
  AskVersion,
  TellVersion,
  ToldEvacuation,
} from "../generated/pool_peer.ts";
import type { PoolIo } from "./types.ts";

/** Maximum number of peers that are asked at the same time. */
const MAX_ASKED_PEERS = 8;
/** Interval of checks in the first round, in milliseconds. */
const CHECK_INTERVAL_MS = 20;
/**
 * Time in which the first peers may answer: two round trips between regions, as
 * a datagram can be lost.
 */
const FIRST_ANSWER_TIMEOUT_MS = 120;
/** Time after which peers that have not answered are asked again. */
const FIRST_RETRY_MS = 60;
/** Interval of the questions after that. */
const LATER_INTERVAL_MS = 1_000;
/** Maximum number of questions whose answers are awaited. */
const MAX_PENDING_REQUESTS = 64;
/**
 * Time for which a host asks after its start, in milliseconds. Peers answer a
 * new host only once they have its address from the store.
 */
const ASKING_TIME_MS = 15_000;

/** Knowledge of the newest configuration that peers have in force. */
export interface VersionCheck extends Stoppable {
  start(): void;
  /** Asks again after the first round when it is time to. */
  checkLater(): void;
  /**
   * Whether no peer is known to have a newer configuration, and the first peers
   * have answered or have had the time to.
   */
  isConfirmed(version: number): boolean;
  handleRequest(from: HostId, msg: AskVersion): void;
  /** Returns whether the message answers a question of this host. */
  handleReply(from: HostId, msg: TellVersion): boolean;
}

/** Creates a check that has confirmed no version. */
export function createVersionCheck(
  io: Pick<PoolIo, "peers" | "log" | "random">,
  options: {
    /** Whether the list of peers was read. */
    isFleetLoaded(): boolean;
    listPeers(): readonly HostId[];
    /** Version of the configuration read; undefined if there is none. */
    getVersion(): number | undefined;
    /** Lists what is known of evacuations and the store does not show. */
    listEvacuations(): readonly ToldEvacuation[];
  },
): VersionCheck {
  /** Newest answer of each peer that has told a version. */
  const versionByPeer = new Map<HostId, number>();
  const peerByRequest = new Map<number, HostId>();
  /** Peers asked first that have not answered; undefined before the question. */
  let unanswered: Set<HostId> | undefined;
  let startedAt = -Infinity;
  let askedAt = -Infinity;
  let hasRetried = false;
  let isFirstRoundOver = false;
  let isDone = false;
  let nextId = 0;
  let timer: NodeJS.Timeout | undefined;

  function ask(peers: Iterable<HostId>): void {
    askedAt = nowMs();
    for (const peer of peers) {
      const id = nextId++;
      peerByRequest.set(id, peer);
      peerByRequest.delete(id - MAX_PENDING_REQUESTS);
      io.peers.send(peer, { kind: "ask_version", id });
    }
  }

  /** Lists the peers that are known to have a newer version than this one. */
  function listNewer(version: number | undefined): readonly HostId[] {
    const peers = options.listPeers();
    return [...versionByPeer]
      .filter(([peer, told]) =>
        told > (version ?? -Infinity) && peers.includes(peer)
      )
      .map(([peer]) => peer);
  }

  function choosePeers(): readonly HostId[] {
    const { random } = io;
    return sampleItems(options.listPeers(), { count: MAX_ASKED_PEERS, random });
  }

  function endFirstRoundIfDue(): void {
    const isOver = unanswered?.size === 0 ||
      nowMs() - startedAt >= FIRST_ANSWER_TIMEOUT_MS;
    if (unanswered && isOver && !isFirstRoundOver) {
      isFirstRoundOver = true;
      clearInterval(timer);
      io.log.info("configuration_version_asked", {
        unanswered: unanswered.size,
        newer: listNewer(options.getVersion()).length,
        version: options.getVersion(),
        ms: Math.round(nowMs() - startedAt),
      });
    }
  }

  function checkFirstRound(): void {
    if (!unanswered) {
      if (options.isFleetLoaded()) {
        startedAt = nowMs();
        unanswered = new Set(choosePeers());
        ask(unanswered);
        endFirstRoundIfDue();
      }
      return;
    }
    endFirstRoundIfDue();
    const isRetryDue = !isFirstRoundOver && !hasRetried &&
      nowMs() - askedAt >= FIRST_RETRY_MS;
    if (isRetryDue) {
      hasRetried = true;
      ask(unanswered);
    }
  }

  function checkLater(): void {
    if (!isFirstRoundOver || isDone) {
      return;
    }
    const newer = listNewer(options.getVersion());
    if (newer.length === 0 && nowMs() - startedAt >= ASKING_TIME_MS) {
      isDone = true;
    } else if (nowMs() - askedAt >= LATER_INTERVAL_MS) {
      // A later answer replaces one that was wrong.
      ask(new Set([...choosePeers(), ...newer]));
    }
  }

  return {
    start() {
      timer = setInterval(checkFirstRound, CHECK_INTERVAL_MS);
    },
    checkLater,
    isConfirmed: (version) =>
      isFirstRoundOver && listNewer(version).length === 0,
    handleRequest(from, { id }) {
      const version = options.getVersion();
      const evacuations = options.listEvacuations();
      io.peers.send(from, {
        kind: "tell_version",
        id,
        ...(version === undefined ? {} : { version }),
        ...(evacuations.length === 0 ? {} : { evacuations: [...evacuations] }),
      });
    },
    handleReply(from, { id, version }) {
      if (peerByRequest.get(id) !== from) {
        return false;
      }
      peerByRequest.delete(id);
      unanswered?.delete(from);
      const own = options.getVersion();
      const isNewer = version !== undefined && version > (own ?? -Infinity);
      if (own !== undefined && isNewer) {
        io.log.info("configuration_outdated", { peer: from, version, own });
      }
      if (isNewer) {
        versionByPeer.set(from, version);
      } else {
        versionByPeer.delete(from);
      }
      endFirstRoundIfDue();
      return true;
    },
    stop: () => clearInterval(timer),
  };
}
