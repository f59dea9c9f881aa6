/**
 * Ownership of a partition of the workspaces: a lease in the store, which the
 * owner may use only while one of two named stand-bys promises not to vote for
 * a successor. All decisions are made here, without I/O; docs/design/
 * quota_owners.md has the reasons.
 */

import { nowMs } from "../core/clock.ts";
import { hash32 } from "../core/hash.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";
import type { PeerInfo } from "../core/types.ts";

/**
 * Number of partitions. Each costs a renewal in `RENEW_INTERVAL_MS`, and the
 * loss of an owner touches this part of the workspaces.
 */
export const PARTITION_COUNT = 8;
/** Validity of an accepted renewal, from before it was sent. */
export const LEASE_MS = 3_000;
/** Interval of renewals; two may fail within a lease. */
export const RENEW_INTERVAL_MS = 1_200;
/** Shortest interval between two writes of an owner. */
const MIN_PUT_INTERVAL_MS = 400;
/** Time without an accepted renewal after which the store counts as lost. */
const STORE_LOST_MS = 2_000;
/** The same, from which the stand-bys are asked whether they reach the store. */
const STORE_DOUBTED_MS = 1_500;
/**
 * Time after the lease for which an owner may grant while both stand-bys say
 * that they do not reach the store either.
 */
const OUTAGE_MS = 30_000;
/** Time after which an owner without the store has stopped, on any clock. */
export const MAX_UNSEEN_MS = 33_300;
/** Interval of requests to the stand-bys; two may be lost in a promise. */
export const PROMISE_INTERVAL_MS = 100;
/** Time for which an owner may rely on a promise, from before its request. */
const PROMISE_MS = 350;
/**
 * Time after its last promise from which a stand-by votes. The difference to
 * `PROMISE_MS` exceeds what a clock may jump without being detected.
 */
const VOTE_AFTER_MS = 620;
/**
 * Time after its last promise from which the first stand-by grants the tokens
 * of the tolerance, for the statements that wait for the takeover.
 */
const RESERVE_AFTER_MS = 250;
/** Time for which a stand-by keeps to what it has said of the store. */
const STORE_STATEMENT_MS = 1_000;
/** Difference between the clocks of two hosts over one lease. */
const CLOCK_MARGIN_MS = 300;
/** Time without a promise after which a stand-by is replaced. */
const STANDBY_SILENT_MS = 3_000;
/** The same if both are silent and another host was heard in between. */
const STANDBYS_SILENT_MS = 270;
/** The same if no host is heard. */
const ALONE_MS = 5_000;
/**
 * Time after the last promise from which a message of another host shows that
 * this one is not cut off: longer than a request waits to be sent and answered.
 */
const HEARD_AFTER_MS = 150;
/** Time for hosts to register before the first claim of a partition. */
const FIRST_CLAIM_DELAY_MS = 1_500;
/** Delay of a claim for each host that comes before this one in the ranking. */
const CLAIM_DELAY_PER_RANK_MS = 1_000;
/** The same for each partition that it owns, so that hosts own few each. */
const CLAIM_DELAY_PER_OWNED_MS = 1_500;
/** Delay of the second stand-by after the first. */
const SECOND_STANDBY_DELAY_MS = 500;
/** Time without an earlier change of owner after which tolerance is unused. */
export const TOLERANCE_WINDOW_MS = 10_000;

/** A process that holds or may take over a partition. */
export interface OwnerProcess {
  readonly host: HostId;
  readonly incarnation: number;
}

/** Owner of a partition, as stored. */
export interface OwnerRecord extends OwnerProcess {
  /** Rises with each change of the owner or of the stand-bys. */
  readonly epoch: number;
  /** Era of the store in which the record was written. */
  readonly era: number;
  readonly standbys: readonly OwnerProcess[];
}

/** Why a host claims a partition. */
export type ClaimReason =
  | "first"
  | "own_host"
  | "released"
  | "voted"
  | "lapsed"
  | "process_ended"
  | "era_changed";

/** Returns the partition of a workspace. */
export function getPartition(workspace: WorkspaceId): number {
  return hash32(workspace) % PARTITION_COUNT;
}

/** Decodes a stored value; undefined if it is not a record. */
export function tryDecodeOwner(value: unknown): OwnerRecord | undefined {
  const { epoch, era, standbys } = (value ?? {}) as Partial<OwnerRecord>;
  return isProcess(value) && typeof epoch === "number" &&
      typeof era === "number" && Array.isArray(standbys) &&
      standbys.every(isProcess)
    ? { host: value.host, incarnation: value.incarnation, epoch, era, standbys }
    : undefined;
}

function isProcess(value: unknown): value is OwnerProcess {
  const { host, incarnation } = (value ?? {}) as Partial<OwnerProcess>;
  return typeof host === "string" && host !== "" &&
    typeof incarnation === "number";
}

/** Chooses two stand-bys, in other failure domains if there are any. */
export function chooseStandbys(
  ranked: readonly (PeerInfo & OwnerProcess)[],
  options: { readonly domain: PeerInfo["domain"] },
): readonly OwnerProcess[] {
  const used = new Set([options.domain]);
  const chosen: (PeerInfo & OwnerProcess)[] = [];
  for (const isNewDomain of [true, false]) {
    for (const host of ranked) {
      const fits = !chosen.includes(host) &&
        (!isNewDomain || !used.has(host.domain));
      if (fits && chosen.length < 2) {
        chosen.push(host);
        used.add(host.domain);
      }
    }
  }
  return chosen.map(({ host, incarnation }) => ({ host, incarnation }));
}

/** State of one partition on one host. */
export interface PartitionLease {
  /** Record that was read or written last, in the current era of the store. */
  tryGetRecord(): OwnerRecord | undefined;
  getVersion(): number;
  /** Applies the stored record; version 0 if there is none. */
  observe(
    seen: {
      readonly record: OwnerRecord | undefined;
      readonly version: number;
    },
  ): void;
  /** Invalidates what was known in an older era. */
  recordEra(era: number): void;
  /** Invalidates all that depends on time, after a suspension. */
  recordSuspension(): void;
  /** Applies an accepted write of this host. */
  recordPut(
    put: {
      readonly sentAt: number;
      readonly record: OwnerRecord;
      readonly version: number;
    },
  ): void;
  /** Whether this process is the owner by the newest record. */
  isOwner(): boolean;
  /** Whether this process may grant tokens now. */
  canGrant(): boolean;
  /** Why the stored record has to be written again; undefined if not. */
  getRenewal(options: { readonly heardAt: number }):
    | { readonly kind: "renew" }
    | { readonly kind: "replace"; readonly silent: readonly HostId[] }
    | undefined;
  recordRenewalSent(): void;
  /** Promise of a stand-by on a request that was sent at `sentAt`. */
  recordPromise(
    from: HostId,
    promise: {
      readonly epoch: number;
      readonly sentAt: number;
      /** Missing if the stand-by does not know. */
      readonly isStoreReached?: boolean;
    },
  ): void;
  /** Whether renewals fail, so that stand-bys are asked for the store. */
  isStoreDoubted(): boolean;
  /** Stand-by to which the partition is to be released; undefined if to none. */
  tryGetHeir(): HostId | undefined;
  /** Ends the right to grant in this epoch. */
  release(): void;
  isReleased(): boolean;
  /** Whether this process, as a stand-by, makes a promise to the owner. */
  tryPromise(request: {
    readonly from: HostId;
    readonly epoch: number;
    readonly era: number;
    readonly incarnation: number;
    /** What this process says of the store; missing if it does not know. */
    readonly isStoreReached?: boolean;
  }): boolean;
  /** Whether this process votes for the other stand-by. */
  tryVote(request: {
    readonly from: HostId;
    readonly epoch: number;
    readonly era: number;
  }): boolean;
  /** Stand-by whose vote this process needs now. */
  tryGetVoter(): HostId | undefined;
  recordVote(
    from: HostId,
    vote: { readonly epoch: number; readonly era: number },
  ): void;
  /**
   * Whether this process, as the first stand-by, may grant the tokens of the
   * tolerance, since the owner is not heard.
   */
  mayUseReserve(): boolean;
  recordRelease(
    from: HostId,
    release: { readonly epoch: number; readonly era: number },
  ): void;
  /** Whether a record is known to exist that was not read. */
  needsRead(): boolean;
  /** Returns the epoch of a change that this process makes. */
  getNextEpoch(): number;
  /** Why this process claims the partition now; undefined if it does not. */
  getClaim(options: {
    /** Place of this host in the ranking for the partition. */
    readonly rank: number;
    /** Partitions that this host owns. */
    readonly ownedCount: number;
    /** Whether a newer process runs on the owner's host, or it has left. */
    isProcessEnded(owner: OwnerProcess): boolean;
    /**
     * Whether every host has seen the era of the store. Otherwise one of them
     * may still grant, without the store, on a lease that the store has lost.
     */
    isEraKnownToAll: boolean;
    /** Whether the store has lost objects, maybe that of this partition. */
    hasStoreReturned: boolean;
  }): ClaimReason | undefined;
  /** Time since which no earlier owner can have granted anything. */
  getFreeSince(reason: ClaimReason): number;
  /** Whether no other owner can have begun within the last windows. */
  isToleranceUnused(): boolean;
}

/** Creates the state of a partition of which nothing is known. */
export function createPartitionLease(
  options: { readonly self: OwnerProcess },
): PartitionLease {
  const { self } = options;
  const startedAt = nowMs();
  let era = 0;
  /** Start of the current era as seen; undefined in the first one. */
  let eraChangedAt: number | undefined;
  let record: OwnerRecord | undefined;
  let version = 0;
  let isKnown = false;
  let seenAt = startedAt;
  let epochSeenAt = startedAt;
  let missingSince = startedAt;
  let suspendedAt = -Infinity;
  // As the owner.
  let renewedAt = -Infinity;
  let putAt = -Infinity;
  let releasedEpoch = -1;
  let epochStartedAt = -Infinity;
  let promises = new Map<
    HostId,
    { readonly sentAt: number; readonly isStoreReached?: boolean }
  >();
  // As a stand-by.
  let promisedEpoch = -1;
  let promisedAt = -Infinity;
  let saidNoStoreAt = -Infinity;
  let votedEpoch = -1;
  let voteOf: HostId | undefined;
  let votedAt = -Infinity;
  let receivedRelease = -1;

  function isOwner(): boolean {
    return isSelf(record) && record?.era === era;
  }

  function isSelf(process: OwnerProcess | undefined): boolean {
    return process?.host === self.host &&
      process.incarnation === self.incarnation;
  }

  function isNamed(): boolean {
    return record?.standbys.some(isSelf) === true;
  }

  function getOtherStandby(): HostId | undefined {
    return record?.standbys.find((standby) => !isSelf(standby))?.host;
  }

  /** Time of the last promise to the owner of the known epoch. */
  function getQuietSince(): number {
    return Math.max(promisedAt, epochSeenAt, suspendedAt);
  }

  function isQuiet(): boolean {
    return nowMs() - getQuietSince() >= VOTE_AFTER_MS;
  }

  function setRecord(next: OwnerRecord | undefined, nextVersion: number): void {
    if (next?.epoch !== record?.epoch || next?.era !== record?.era) {
      epochSeenAt = nowMs();
      voteOf = undefined;
      promises = new Map();
    }
    if (next === undefined && (record !== undefined || !isKnown)) {
      missingSince = nowMs();
    }
    record = next;
    version = nextVersion;
    seenAt = nowMs();
    isKnown = true;
  }

  function getPromiseEnd(): number {
    return Math.max(
      epochStartedAt,
      ...[...promises.values()].map(({ sentAt }) => sentAt),
    ) + PROMISE_MS;
  }

  /** Whether both stand-bys have just said that they lack the store too. */
  function isStoreLostByAll(): boolean {
    const now = nowMs();
    return record!.standbys.every(({ host }) => {
      const promise = promises.get(host);
      return promise?.isStoreReached === false &&
        now < promise.sentAt + PROMISE_MS;
    });
  }

  function isAfterEra(): boolean {
    return eraChangedAt === undefined ||
      nowMs() - eraChangedAt >= LEASE_MS + CLOCK_MARGIN_MS;
  }

  function getSilent(): readonly HostId[] {
    const now = nowMs();
    const since = (host: HostId) =>
      now - Math.max(epochStartedAt, promises.get(host)?.sentAt ?? -Infinity);
    const hosts = record!.standbys.map(({ host }) => host);
    return hosts.filter((host) => since(host) > STANDBY_SILENT_MS);
  }

  return {
    tryGetRecord: () => record,
    getVersion: () => version,
    observe(seen) {
      if (!isKnown || seen.version !== version) {
        setRecord(seen.record, seen.version);
      }
    },
    recordEra(nextEra) {
      if (era !== 0 && nextEra !== era) {
        eraChangedAt = nowMs();
        renewedAt = -Infinity;
        promises = new Map();
        // Epochs of an older era may be given out again.
        releasedEpoch = -1;
        promisedEpoch = -1;
        votedEpoch = -1;
        receivedRelease = -1;
        voteOf = undefined;
      }
      era = nextEra;
    },
    recordSuspension() {
      suspendedAt = nowMs();
      renewedAt = -Infinity;
      epochStartedAt = -Infinity;
      promises = new Map();
    },
    recordPut({ sentAt, record: next, version: nextVersion }) {
      const isNewEpoch = next.epoch !== record?.epoch || !isOwner();
      setRecord(next, nextVersion);
      if (sentAt > suspendedAt) {
        renewedAt = sentAt;
        epochStartedAt = isNewEpoch ? sentAt : epochStartedAt;
      }
    },
    isOwner,
    canGrant() {
      const now = nowMs();
      if (!isOwner() || releasedEpoch === record!.epoch) {
        return false;
      }
      if (record!.standbys.length > 0 && now >= getPromiseEnd()) {
        return false;
      }
      return now < renewedAt + LEASE_MS ||
        (now < renewedAt + LEASE_MS + OUTAGE_MS && isStoreLostByAll());
    },
    getRenewal({ heardAt }) {
      const now = nowMs();
      if (
        !isOwner() || releasedEpoch === record!.epoch ||
        now - putAt < MIN_PUT_INTERVAL_MS
      ) {
        return undefined;
      }
      const hosts = record!.standbys.map(({ host }) => host);
      const quietMs = now - (getPromiseEnd() - PROMISE_MS);
      const isHeard = now - heardAt < quietMs - HEARD_AFTER_MS;
      const areSilent = hosts.length > 0 &&
        quietMs > (isHeard ? STANDBYS_SILENT_MS : ALONE_MS);
      if (areSilent) {
        return { kind: "replace", silent: hosts };
      }
      if (now - Math.max(putAt, renewedAt) < RENEW_INTERVAL_MS) {
        return undefined;
      }
      const silent = getSilent();
      return silent.length > 0 && silent.length < hosts.length
        ? { kind: "replace", silent }
        : { kind: "renew" };
    },
    recordRenewalSent() {
      putAt = nowMs();
    },
    recordPromise(from, promise) {
      const known = promises.get(from);
      if (
        isOwner() && promise.epoch === record!.epoch &&
        record!.standbys.some(({ host }) => host === from) &&
        promise.sentAt > (known?.sentAt ?? suspendedAt)
      ) {
        promises.set(from, promise);
      }
    },
    isStoreDoubted: () => isOwner() && nowMs() - renewedAt > STORE_DOUBTED_MS,
    tryGetHeir() {
      const renewed = Math.max(renewedAt, epochStartedAt, suspendedAt);
      if (!isOwner() || nowMs() - renewed < STORE_LOST_MS) {
        return undefined;
      }
      return record!.standbys.find(({ host }) =>
        promises.get(host)?.isStoreReached &&
        nowMs() < promises.get(host)!.sentAt + PROMISE_MS
      )?.host;
    },
    release() {
      releasedEpoch = record?.epoch ?? -1;
    },
    isReleased: () => record !== undefined && releasedEpoch === record.epoch,
    tryPromise(request) {
      const isCurrent = request.era === era &&
        request.incarnation === self.incarnation &&
        request.epoch > votedEpoch &&
        request.epoch >= (record?.era === era ? record.epoch : 0);
      if (isCurrent) {
        promisedEpoch = Math.max(promisedEpoch, request.epoch);
        promisedAt = nowMs();
        saidNoStoreAt = request.isStoreReached === false
          ? nowMs()
          : saidNoStoreAt;
      }
      return isCurrent;
    },
    tryVote(request) {
      const isAsked = record?.epoch === request.epoch &&
        record.era === era && request.era === era && isNamed() &&
        promisedEpoch <= request.epoch &&
        getOtherStandby() === request.from;
      if (!isAsked || !isQuiet()) {
        return false;
      }
      votedEpoch = Math.max(votedEpoch, request.epoch);
      return true;
    },
    tryGetVoter() {
      const isCandidate = record?.era === era && isNamed() &&
        isSelf(record.standbys[0]) && record.standbys.length === 2 &&
        promisedEpoch <= record.epoch && isQuiet() && voteOf === undefined;
      if (!isCandidate) {
        return undefined;
      }
      votedEpoch = Math.max(votedEpoch, record!.epoch);
      return getOtherStandby();
    },
    mayUseReserve: () =>
      record?.era === era && isSelf(record.standbys[0]) &&
      promisedEpoch <= record.epoch &&
      nowMs() - getQuietSince() >= RESERVE_AFTER_MS &&
      nowMs() - epochSeenAt >= TOLERANCE_WINDOW_MS,
    recordVote(from, vote) {
      if (
        vote.epoch === record?.epoch && vote.era === era &&
        votedEpoch >= vote.epoch && from === getOtherStandby()
      ) {
        voteOf = from;
        votedAt = nowMs();
      }
    },
    recordRelease(from, release) {
      if (record?.host === from && release.era === era) {
        receivedRelease = Math.max(receivedRelease, release.epoch);
      }
    },
    needsRead: () =>
      promisedEpoch > (record?.epoch ?? -1) &&
      nowMs() - promisedAt >= VOTE_AFTER_MS / 2,
    getNextEpoch: () => Math.max(record?.epoch ?? 0, promisedEpoch) + 1,
    getClaim(claim) {
      const { rank, ownedCount, isProcessEnded, hasStoreReturned } = claim;
      if (!isKnown || isOwner()) {
        return undefined;
      }
      const now = nowMs();
      const isBlocked = !claim.isEraKnownToAll &&
        now - (eraChangedAt ?? startedAt) < MAX_UNSEEN_MS;
      if (isBlocked && (record ? record.era !== era : hasStoreReturned)) {
        return undefined;
      }
      const rankMs = rank * CLAIM_DELAY_PER_RANK_MS +
        ownedCount * CLAIM_DELAY_PER_OWNED_MS;
      if (!record) {
        const delayMs = hasStoreReturned
          ? LEASE_MS + CLOCK_MARGIN_MS
          : FIRST_CLAIM_DELAY_MS;
        return isAfterEra() && now - missingSince >= delayMs + rankMs
          ? "first"
          : undefined;
      }
      const named = record.standbys.findIndex(isSelf);
      const isOwnHost = record.host === self.host;
      if (record.era !== era) {
        const delayMs = isOwnHost
          ? 0
          : named >= 0
          ? (named + 1) * SECOND_STANDBY_DELAY_MS
          : OUTAGE_MS + rankMs;
        const since = eraChangedAt ?? startedAt;
        return now - since >= LEASE_MS + CLOCK_MARGIN_MS + delayMs
          ? "era_changed"
          : undefined;
      }
      if (isOwnHost) {
        return record.incarnation < self.incarnation ? "own_host" : undefined;
      }
      if (receivedRelease === record.epoch) {
        return "released";
      }
      if (voteOf !== undefined) {
        return "voted";
      }
      const unchangedMs = now - Math.max(seenAt, suspendedAt);
      const lapseMs = LEASE_MS + CLOCK_MARGIN_MS;
      if (
        named >= 0 && isQuiet() &&
        unchangedMs >= lapseMs + named * SECOND_STANDBY_DELAY_MS &&
        now - saidNoStoreAt >= STORE_STATEMENT_MS
      ) {
        return "lapsed";
      }
      if (unchangedMs >= lapseMs + OUTAGE_MS + rankMs) {
        return "lapsed";
      }
      return unchangedMs >= FIRST_CLAIM_DELAY_MS + rankMs &&
          isProcessEnded(record)
        ? "process_ended"
        : undefined;
    },
    getFreeSince: (reason) =>
      reason === "voted"
        ? Math.max(
          getQuietSince() + PROMISE_MS,
          votedAt - VOTE_AFTER_MS + PROMISE_MS,
        )
        : nowMs(),
    isToleranceUnused: () => nowMs() - epochSeenAt >= TOLERANCE_WINDOW_MS,
  };
}
