/** Tracks how recently this host's configuration was known to be current. */

import { nowMs } from "./clock.ts";
import type { HostId } from "./ids.ts";

/** Maximum age of a configuration that a host still acts on. */
export const MAX_CONFIGURATION_AGE_MS = 4_000;

/** Answer of a peer whose configuration is not newer than this host's. */
export interface PeerAnswer {
  readonly from: HostId;
  /** When the request was sent, on the monotonic clock. */
  readonly askedAt: number;
  /** Whether the peer's configuration was current at least once since start. */
  readonly ready: boolean;
}

/** Age of the configuration since it was last confirmed as current. */
export interface Freshness {
  /** Records that this host has all changes accepted up to `asOf`. */
  recordConfirmation(asOf: number): void;
  recordPeerAnswer(answer: PeerAnswer): void;
  /** Returns the time since the configuration was last known to be current. */
  getAgeMs(): number;
  isConfirmed(): boolean;
  /** Returns true if it was current at least once since the process started. */
  isReady(): boolean;
}

/**
 * Creates the freshness tracker of a host. A change is accepted once a majority
 * of the hosts has it. A majority without a newer configuration is therefore as
 * good a confirmation as the platform's.
 */
export function createFreshness(
  options: {
    readonly self: HostId;
    /** Lists all hosts of the fleet, including this one. */
    listHosts(): readonly HostId[];
  },
): Freshness {
  const askedAt = new Map<HostId, number>();
  const startedAt = nowMs();
  let confirmedAt = -Infinity;

  /** Returns the latest time at which a majority had nothing newer. */
  function getMajorityConfirmedAt(): number {
    const hosts = options.listHosts();
    const times = hosts
      .map((host) =>
        isConfirmedSelf(host) ? nowMs() : askedAt.get(host) ?? -Infinity
      )
      .sort((a, b) => b - a);
    return times[Math.floor(hosts.length / 2)] ?? -Infinity;
  }

  /**
   * Returns true if `host` is this host and may count towards the majority. A
   * process that has just started may have lost changes that its host had, and
   * does not count until it has caught up with what was accepted before.
   */
  function isConfirmedSelf(host: HostId): boolean {
    return host === options.self && confirmedAt >= startedAt;
  }

  function update(): number {
    confirmedAt = Math.max(confirmedAt, getMajorityConfirmedAt());
    return confirmedAt;
  }

  return {
    recordConfirmation(asOf) {
      confirmedAt = Math.max(confirmedAt, asOf);
    },
    recordPeerAnswer({ from, askedAt: at, ready }) {
      if (ready) {
        askedAt.set(from, Math.max(at, askedAt.get(from) ?? -Infinity));
      }
    },
    getAgeMs: () => nowMs() - update(),
    isConfirmed: () => nowMs() - update() < MAX_CONFIGURATION_AGE_MS,
    isReady: () => update() >= startedAt,
  };
}
