/** Whether the configuration that this host holds may still be acted on. */

import { nowMs } from "./clock.ts";
import type { HostId } from "./ids.ts";

/** A host acts on a configuration that was current this recently. */
export const MAX_CONFIGURATION_AGE_MS = 4_000;

/** An answer of a peer that held nothing newer than this host. */
export interface PeerAnswer {
  readonly from: HostId;
  /** When the peer was asked, on the monotonic clock. */
  readonly askedAt: number;
  /** The peer was current at some time since it started. */
  readonly ready: boolean;
}

/** What is known of how current the configuration is. */
export interface Freshness {
  /** Notes that everything accepted up to `asOf` is held. */
  recordConfirmation(asOf: number): void;
  recordPeerAnswer(answer: PeerAnswer): void;
  /** Time since the configuration was known to be current. */
  getAgeMs(): number;
  isConfirmed(): boolean;
  /** It was current at some time since the process started. */
  isReady(): boolean;
}

/**
 * Creates the freshness of a host. A change counts as accepted once a majority
 * of the hosts holds it, so a majority that holds nothing newer confirms as
 * well as the platform does.
 */
export function createFreshness(
  options: {
    readonly self: HostId;
    /** Every host of the fleet, this one included. */
    listHosts(): readonly HostId[];
  },
): Freshness {
  const askedAt = new Map<HostId, number>();
  const startedAt = nowMs();
  let confirmedAt = -Infinity;

  /** When a majority had been asked that held nothing newer. */
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
   * A process that has just started may have forgotten what its host held, and
   * must not count in a majority until it has met what was accepted before.
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
