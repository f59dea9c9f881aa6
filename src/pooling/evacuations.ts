/**
 * Evacuated failure domains as the operator's objects in the store name them.
 * The state outlives the store's return to an earlier copy: a revoked
 * evacuation is recognized by its version when the copy brings it back, and an
 * active one that the copy lacks stays until the operator had time to write it
 * again.
 */

import { nowMs } from "../core/clock.ts";
import type { DomainId, ObjectKey } from "../core/ids.ts";
import type { StoredObject } from "../core/types.ts";
import type { ToldEvacuation } from "../generated/pool_peer.ts";
import type { FeedHandlers } from "./store_feed.ts";
import type { EvacuationView, PoolIo } from "./types.ts";

/**
 * Maximum number of versions that are remembered of one domain's revoked
 * evacuations; the oldest are forgotten first.
 */
const MAX_REVOKED_VERSIONS = 64;

/** Failure domains with their evacuations. */
export interface Evacuations extends EvacuationView {
  /** Handlers of the feed of evacuations. */
  readonly handlers: FeedHandlers;
  /** Evacuated domains, in no order. */
  listDomains(): readonly DomainId[];
  /** Ends evacuations that a return of the store removed for good. */
  check(): void;
  /**
   * Lists what the store does not show: revoked evacuations that it may bring
   * back, and active ones that it lacks.
   */
  listDeviations(): readonly ToldEvacuation[];
  /** Applies what a peer has seen before this host's start. */
  applyDeviations(told: readonly ToldEvacuation[]): void;
  onChange(listener: (domain: DomainId) => void): void;
}

interface Entry {
  /** Version of the object in the store; undefined if there is none. */
  stored: number | undefined;
  /** Time at which the evacuation became known; undefined if there is none. */
  activeSince: number | undefined;
  /** Time at which its end became known. */
  endedAt: number | undefined;
  /** Time since which the store lacks an active evacuation after a return. */
  missingSince: number | undefined;
  /** Versions of the object since the evacuation began. */
  readonly current: Set<number>;
  /** Versions of the object that this host or a peer has seen revoked. */
  readonly revoked: Set<number>;
}

/** Creates a state without evacuations. */
export function createEvacuations(
  io: Pick<PoolIo, "log" | "metrics"> & {
    readonly store: Pick<PoolIo["store"], "eras">;
  },
  options: {
    /** Whether the deployment has evacuations. */
    readonly isEnabled: boolean;
    /** Returns the domain that the object evacuates; undefined if none. */
    tryDecode(key: ObjectKey): DomainId | undefined;
    /**
     * Time after a return of the store within which the operator writes lost
     * objects again, in milliseconds.
     */
    readonly returnGraceMs: number;
  },
): Evacuations {
  const entries = new Map<DomainId, Entry>();
  const listeners = new Set<(domain: DomainId) => void>();
  let version = 0;
  let confirmedAt = -Infinity;
  let isLoaded = false;
  /** Whether no list has been read in the store's current era. */
  let isReturning = false;
  /** Whether the store is known to have returned to an earlier copy. */
  let hasReturned = false;

  io.store.eras?.onRise(() => {
    isReturning = true;
    hasReturned = true;
  });

  function getEntry(domain: DomainId): Entry {
    const entry = entries.get(domain) ?? {
      stored: undefined,
      activeSince: undefined,
      endedAt: undefined,
      missingSince: undefined,
      current: new Set<number>(),
      revoked: new Set<number>(),
    };
    entries.set(domain, entry);
    return entry;
  }

  function recordChange(
    domain: DomainId,
    event: "started" | "ended",
    reason: string,
  ): void {
    version++;
    io.log.info(`evacuation_${event}`, {
      domain,
      reason,
      revision: entries.get(domain)?.stored,
      stateVersion: version,
      evacuated: listDomains().join(" "),
    });
    io.metrics.count("evacuation_changes_total", { event });
    listeners.forEach((listener) => listener(domain));
  }

  function listDomains(): DomainId[] {
    return [...entries].filter(([, { activeSince }]) =>
      activeSince !== undefined
    ).map(([domain]) => domain);
  }

  function start(domain: DomainId, reason: string): void {
    const entry = getEntry(domain);
    if (entry.activeSince === undefined) {
      entry.activeSince = nowMs();
      entry.endedAt = undefined;
      recordChange(domain, "started", reason);
    }
  }

  function end(domain: DomainId, reason: string): void {
    const entry = getEntry(domain);
    if (entry.activeSince !== undefined) {
      entry.activeSince = undefined;
      entry.missingSince = undefined;
      entry.endedAt = nowMs();
      recordChange(domain, "ended", reason);
    }
  }

  function addRevoked({ revoked }: Entry, revokedVersion: number): void {
    revoked.add(revokedVersion);
    const [oldest] = revoked;
    if (oldest !== undefined && revoked.size > MAX_REVOKED_VERSIONS) {
      revoked.delete(oldest);
    }
  }

  function applyPresent(domain: DomainId, stored: number): void {
    const entry = getEntry(domain);
    const isKnown = entry.stored === stored;
    entry.stored = stored;
    entry.missingSince = undefined;
    entry.current.add(stored);
    // The store gives a version out once in an era, so this is the revoked
    // evacuation itself.
    if (entry.revoked.has(stored)) {
      if (!isKnown) {
        io.log.info("evacuation_outdated", { domain, revision: stored });
      }
      return;
    }
    start(domain, "stored");
  }

  function applyAbsent(domain: DomainId): void {
    const entry = getEntry(domain);
    entry.stored = undefined;
    if (!isReturning) {
      entry.current.forEach((revoked) => addRevoked(entry, revoked));
      entry.current.clear();
      end(domain, "revoked");
      return;
    }
    // The copy has none of these versions; they will be given out again.
    entry.current.clear();
    entry.revoked.clear();
    if (entry.activeSince !== undefined && entry.missingSince === undefined) {
      entry.missingSince = nowMs();
      io.log.info("evacuation_missing", { domain });
    }
  }

  function listPresent(
    objects: readonly StoredObject[],
  ): ReadonlyMap<DomainId, number> {
    return new Map(objects.flatMap(({ key, version: stored }) => {
      const domain = options.tryDecode(key);
      return domain === undefined ? [] : [[domain, stored] as const];
    }));
  }

  function check(): void {
    for (const [domain, { missingSince }] of entries) {
      if (
        missingSince !== undefined && !isReturning &&
        nowMs() - missingSince >= options.returnGraceMs
      ) {
        end(domain, "not written again after a return of the store");
      }
    }
    io.metrics.set("evacuated_domains", listDomains().length, {});
    io.metrics.set("evacuations_age_ms", nowMs() - confirmedAt, {});
  }

  return {
    get version() {
      return version;
    },
    isKnown: () => isLoaded || !options.isEnabled,
    getAgeMs: () => nowMs() - confirmedAt,
    tryGetActiveMs(domain) {
      const since = entries.get(domain)?.activeSince;
      return since === undefined ? undefined : nowMs() - since;
    },
    tryGetEndedMs(domain) {
      const endedAt = entries.get(domain)?.endedAt;
      return endedAt === undefined ? undefined : nowMs() - endedAt;
    },
    handlers: {
      onList(objects) {
        confirmedAt = nowMs();
        const present = listPresent(objects);
        [...entries.keys()].filter((domain) => !present.has(domain))
          .forEach((domain) => {
            // An absence that is already waited out stays one.
            if (getEntry(domain).missingSince === undefined || isReturning) {
              applyAbsent(domain);
            }
          });
        isReturning = false;
        isLoaded = true;
        present.forEach((stored, domain) => applyPresent(domain, stored));
      },
      onChanges(changed) {
        confirmedAt = nowMs();
        for (const [domain, stored] of listPresent(changed)) {
          if (stored === 0) {
            applyAbsent(domain);
          } else {
            applyPresent(domain, stored);
          }
        }
      },
    },
    listDomains,
    check,
    listDeviations: () =>
      hasReturned
        ? [...entries].flatMap(([domain, { revoked, missingSince }]) => [
          ...(missingSince === undefined ? [] : [{ domain }]),
          ...[...revoked].map((revision) => ({ domain, revision })),
        ])
        : [],
    applyDeviations(told) {
      // Hosts that start later ask this one.
      hasReturned ||= told.length > 0;
      for (const { domain, revision } of told) {
        const entry = getEntry(domain);
        if (revision === undefined) {
          if (entry.stored === undefined && entry.endedAt === undefined) {
            entry.missingSince ??= nowMs();
            start(domain, "told by a peer");
          }
          continue;
        }
        addRevoked(entry, revision);
        if (entry.stored === revision) {
          end(domain, "seen revoked by a peer");
        }
      }
    },
    onChange: (listener) => void listeners.add(listener),
  };
}
