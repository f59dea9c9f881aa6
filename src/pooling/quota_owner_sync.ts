/**
 * Carries out the decisions on the ownership of partitions: writes leases to
 * the store, exchanges promises and votes, and grants tokens to hosts.
 */

import { nowMs } from "../core/clock.ts";
import { rankNodes } from "../core/hash.ts";
import type { DomainId, HostId, WorkspaceId } from "../core/ids.ts";
import { getEra } from "../core/store_era.ts";
import type {
  AskLease,
  AskTokens,
  AskVote,
  ReleaseQuota,
  TellLease,
  TellOwner,
  TellVote,
} from "../generated/pool_peer.ts";
import type { ClockJumpDetector } from "./clock_jumps.ts";
import { type Fleet, getQuotaOwnerKey } from "./fleet.ts";
import {
  chooseStandbys,
  type ClaimReason,
  createPartitionLease,
  getPartition,
  MAX_UNSEEN_MS,
  type OwnerRecord,
  PARTITION_COUNT,
  type PartitionLease,
  PROMISE_INTERVAL_MS,
  tryDecodeOwner,
} from "./quota_owners.ts";
import {
  createTokenIssuer,
  type TokenGrant,
  type TokenIssuer,
  type TokenRequest,
} from "./quota_tokens.ts";
import type { PoolIo, Quota } from "./types.ts";

/** Delay after a failed claim. */
const CLAIM_RETRY_MS = 400;
/** Time for which an answer is kept for repeated requests. */
const ANSWER_TTL_MS = 400;
/** Interval at which a stand-by tries the store for an owner that asks. */
const PROBE_INTERVAL_MS = 500;
/** Time for which the result of such a try holds. */
const PROBE_TTL_MS = 1_000;
/** Time without an answer after which the store counts as not reached. */
const PROBE_TIMEOUT_MS = 300;
/** Time for which a host that was silent is not named again. */
const SUSPECT_MS = 30_000;
/** Retry delay for a workspace that the owner's configuration does not have. */
const UNKNOWN_WORKSPACE_RETRY_MS = 500;

/** Messages that concern ownership. */
export type OwnerMessage =
  | AskTokens
  | TellOwner
  | AskLease
  | TellLease
  | AskVote
  | TellVote
  | ReleaseQuota;

/** Ownership of partitions on one host. */
export interface QuotaOwners {
  handleMessage(from: HostId, msg: OwnerMessage): void;
  /** Renews, claims, asks for promises and votes when it is time to. */
  check(): void;
  /** Whether each partition has an owner, or none can be known. */
  isReady(): boolean;
  /** Hosts to ask for tokens of a partition, the likely owner first. */
  listOwners(partition: number): readonly HostId[];
  /** Grants tokens to this host; undefined if it may not grant any. */
  grant(workspace: WorkspaceId, request: TokenRequest): TokenGrant | undefined;
  setQuotas(quotas: ReadonlyMap<WorkspaceId, Quota>): void;
  recordSuspension(): void;
  /** Releases all partitions of this host to their stand-bys. */
  leave(): void;
}

/** Dependencies of the ownership. */
export interface QuotaOwnerOptions {
  readonly self: HostId;
  readonly domain: DomainId;
  readonly fleet: Fleet;
  readonly clockJumps: ClockJumpDetector;
  /** Whether the quotas of this deployment have owners. */
  isOwned(): boolean;
  /** Whether the store answers neither this host nor a relay. */
  isStoreLost(): boolean;
  /** Called when a host that was asked for tokens has named the owner. */
  onRedirect(from: HostId, id: number): void;
  /** Called when another host has become the owner. */
  onOwnerChange(partition: number): void;
}

interface KnownOwner {
  readonly host: HostId;
  readonly epoch: number;
  readonly era: number;
}

interface Partition {
  readonly number: number;
  readonly lease: PartitionLease;
  issuer: TokenIssuer | undefined;
  /**
   * Tokens of the tolerance, granted while the owner is not heard, and the
   * epoch in which this was begun.
   */
  reserve: { readonly issuer: TokenIssuer; readonly epoch: number } | undefined;
  /** Newest owner that another host has named. */
  told: KnownOwner | undefined;
  isWriting: boolean;
  isReading: boolean;
  claimedAt: number;
  promiseAskedAt: number;
  wasOwner: boolean;
}

/** Creates the state of all partitions, of which none is known. */
export function createQuotaOwners(
  io: Pick<PoolIo, "store" | "peers" | "metrics" | "log">,
  options: QuotaOwnerOptions,
): QuotaOwners {
  const { self, fleet } = options;
  const own = { host: self, incarnation: fleet.incarnation };
  const partitions: readonly Partition[] = Array.from(
    { length: PARTITION_COUNT },
    (_, number) => ({
      number,
      lease: createPartitionLease({ self: own }),
      issuer: undefined,
      reserve: undefined,
      told: undefined,
      isWriting: false,
      isReading: false,
      claimedAt: -Infinity,
      promiseAskedAt: -Infinity,
      wasOwner: false,
    }),
  );
  /** Times at which the open requests for promises were sent. */
  const promiseRequests = new Map<number, number>();
  /** Answers to recent requests for tokens, oldest first. */
  const answers = new Map<
    string,
    { readonly grant: TokenGrant; readonly at: number }
  >();
  const suspects = new Map<HostId, number>();
  let quotas: ReadonlyMap<WorkspaceId, Quota> = new Map();
  let nextId = 0;
  let heardAt = -Infinity;
  let isLeaving = false;
  let probeSentAt = -Infinity;
  let probed: { sentAt: number; isReached: boolean } | undefined;

  io.store.eras?.onRise(() =>
    partitions.forEach(({ lease }) => lease.recordEra(getEra(io.store)))
  );
  fleet.onChange((key) => {
    const partition = partitions.find(({ number }) =>
      getQuotaOwnerKey(number) === key
    );
    if (partition) {
      observe(partition);
    }
  });

  function observe(partition: Partition): void {
    if (!fleet.isLoaded()) {
      return;
    }
    const { lease, number } = partition;
    const previous = tryGetOwner(partition);
    const object = fleet.tryGet(getQuotaOwnerKey(number));
    lease.recordEra(getEra(io.store));
    lease.observe({
      record: tryDecodeOwner(object?.value),
      version: object?.version ?? 0,
    });
    updateOwnership(partition);
    reportOwnerChange(partition, previous);
  }

  function updateOwnership(partition: Partition): void {
    const isOwner = partition.lease.isOwner();
    if (!isOwner) {
      partition.issuer = undefined;
    }
    if (partition.reserve?.epoch !== partition.lease.tryGetRecord()?.epoch) {
      partition.reserve = undefined;
    }
    if (isOwner !== partition.wasOwner) {
      partition.wasOwner = isOwner;
      if (!isOwner) {
        io.log.info("quota_owner_lost", {
          partition: partition.number,
          owner: tryGetOwner(partition)?.host,
        });
      }
      const count = partitions.filter(({ wasOwner }) => wasOwner).length;
      io.metrics.set("quota_partitions_owned", count, {});
    }
  }

  function reportOwnerChange(
    partition: Partition,
    previous: KnownOwner | undefined,
  ): void {
    if (tryGetOwner(partition)?.host !== previous?.host) {
      options.onOwnerChange(partition.number);
    }
  }

  /** Returns the newest owner that this host knows of. */
  function tryGetOwner({ lease, told }: Partition): KnownOwner | undefined {
    const record = lease.tryGetRecord();
    return told && (!record || isNewer(told, record)) ? told : record;
  }

  function isNewer(a: KnownOwner, b: KnownOwner): boolean {
    return a.era > b.era || (a.era === b.era && a.epoch > b.epoch);
  }

  function listRanked(number: number): readonly HostId[] {
    return rankNodes(`quota.${number}`, [self, ...fleet.listPeers()]);
  }

  function isSuspect(host: HostId): boolean {
    return nowMs() < (suspects.get(host) ?? -Infinity);
  }

  function createRecord(partition: Partition): OwnerRecord {
    const domains = new Map(
      fleet.listPlacedHosts().map(({ host, domain }) => [host, domain]),
    );
    const ranked = listRanked(partition.number).flatMap((host) => {
      const incarnation = fleet.tryGetIncarnation(host);
      const domain = domains.get(host);
      return host === self || isSuspect(host) || incarnation === undefined ||
          domain === undefined
        ? []
        : [{ host, incarnation, domain }];
    });
    return {
      ...own,
      epoch: partition.lease.getNextEpoch(),
      era: getEra(io.store),
      standbys: chooseStandbys(ranked, { domain: options.domain }),
    };
  }

  /** Writes a record; returns whether it was accepted. */
  async function put(
    partition: Partition,
    record: OwnerRecord,
  ): Promise<boolean> {
    const { lease, number } = partition;
    partition.isWriting = true;
    const sentAt = nowMs();
    const key = getQuotaOwnerKey(number);
    const res = await io.store.put(key, record, {
      ifVersion: lease.getVersion(),
    });
    partition.isWriting = false;
    options.clockJumps.getEpoch();
    if (res.isOk()) {
      if (record.era === getEra(io.store)) {
        const { version } = res.value;
        lease.recordPut({ sentAt, record, version });
      }
      fleet.applyObject(res.value);
    } else if (res.error.kind === "conflict") {
      fleet.applyObject(res.error.current);
      // The watch was late; what is still due is done on the newer version.
      partition.claimedAt = -Infinity;
    }
    updateOwnership(partition);
    return res.isOk();
  }

  async function claim(
    partition: Partition,
    reason: ClaimReason,
  ): Promise<void> {
    const { lease, number } = partition;
    const previous = tryGetOwner(partition);
    const isSilent = reason === "voted" || reason === "lapsed" ||
      reason === "process_ended";
    if (isSilent && previous && previous.host !== self) {
      suspects.set(previous.host, nowMs() + SUSPECT_MS);
    }
    partition.claimedAt = nowMs();
    const since = lease.getFreeSince(reason);
    const mayUseTolerance = lease.isToleranceUnused();
    const { reserve } = partition;
    const record = createRecord(partition);
    if (!await put(partition, record) || !lease.isOwner()) {
      return;
    }
    partition.issuer = reserve?.issuer ??
      createTokenIssuer({ mayUseTolerance });
    partition.issuer.start(since);
    partition.reserve = undefined;
    io.metrics.count("quota_owner_changes_total", { reason });
    io.log.info("quota_owner_claimed", {
      partition: number,
      reason,
      epoch: record.epoch,
      previous: previous?.host,
      standbys: record.standbys.map(({ host }) => host).join(),
    });
    const told = describeOwner(partition)!;
    fleet.listPeers().forEach((peer) => io.peers.send(peer, told));
    askForPromises(partition);
    options.onOwnerChange(number);
  }

  async function renew(partition: Partition): Promise<void> {
    const { lease } = partition;
    const renewal = lease.getRenewal({ heardAt });
    if (!renewal) {
      return;
    }
    lease.recordRenewalSent();
    if (renewal.kind === "renew") {
      await put(partition, lease.tryGetRecord()!);
      return;
    }
    renewal.silent.forEach((host) => suspects.set(host, nowMs() + SUSPECT_MS));
    const record = createRecord(partition);
    io.log.info("quota_standby_replaced", {
      partition: partition.number,
      silent: renewal.silent.join(),
      standbys: record.standbys.map(({ host }) => host).join(),
    });
    await put(partition, record);
  }

  function describeOwner(partition: Partition): TellOwner | undefined {
    const owner = tryGetOwner(partition);
    return owner && {
      kind: "tell_owner",
      partition: partition.number,
      epoch: owner.epoch,
      era: owner.era,
      owner: owner.host,
    };
  }

  function askForPromises(partition: Partition): void {
    const { lease, number } = partition;
    const { epoch, era, standbys } = lease.tryGetRecord()!;
    partition.promiseAskedAt = nowMs();
    const isStoreDoubted = lease.isStoreDoubted();
    for (const { host, incarnation } of standbys) {
      const id = nextId++;
      promiseRequests.set(id, nowMs());
      io.peers.send(host, {
        kind: "ask_lease",
        id,
        partition: number,
        epoch,
        era,
        incarnation,
        ...(isStoreDoubted ? { isStoreDoubted } : {}),
      });
    }
  }

  /** Tries the store, so that the answer to an owner is of now. */
  async function probeStore(): Promise<void> {
    if (nowMs() - probeSentAt < PROBE_INTERVAL_MS) {
      return;
    }
    const sentAt = nowMs();
    probeSentAt = sentAt;
    const res = await io.store.get(getQuotaOwnerKey(0));
    probed = {
      sentAt,
      isReached: res.isOk() || res.error.kind !== "unreachable",
    };
  }

  /** What this host can say of the store; undefined if it does not know. */
  function tryGetStoreReached(): boolean | undefined {
    const now = nowMs();
    if (probed && now - probed.sentAt <= PROBE_TTL_MS) {
      return probed.isReached;
    }
    const isPending = probeSentAt > (probed?.sentAt ?? -Infinity);
    return isPending && now - probeSentAt >= PROBE_TIMEOUT_MS
      ? false
      : undefined;
  }

  function handleAskLease(from: HostId, msg: AskLease): void {
    const { lease, number } = partitions[msg.partition]!;
    if (msg.isStoreDoubted) {
      void probeStore();
    }
    const isStoreReached = msg.isStoreDoubted
      ? tryGetStoreReached()
      : undefined;
    const statement = isStoreReached === undefined ? {} : { isStoreReached };
    if (lease.tryPromise({ from, ...msg, ...statement })) {
      io.peers.send(from, {
        kind: "tell_lease",
        id: msg.id,
        partition: number,
        epoch: msg.epoch,
        ...statement,
      });
    }
  }

  function grant(
    workspace: WorkspaceId,
    request: TokenRequest,
  ): TokenGrant | undefined {
    const partition = partitions[getPartition(workspace)]!;
    options.clockJumps.getEpoch();
    if (!options.isOwned() || isLeaving) {
      return undefined;
    }
    const quota = quotas.get(workspace);
    if (!partition.lease.canGrant()) {
      return quota && grantReserve(partition, { workspace, quota, request });
    }
    if (!quota) {
      return { count: 0, retryMs: UNKNOWN_WORKSPACE_RETRY_MS };
    }
    partition.issuer ??= createTokenIssuer({
      since: nowMs(),
      mayUseTolerance: false,
    });
    const granted = partition.issuer.grant(workspace, { quota, request });
    io.metrics.add("quota_tokens_granted_total", granted.count, {});
    if (granted.retryMs > 0) {
      io.metrics.count("quota_requests_refused_total", {});
    }
    return granted;
  }

  /** Grants tokens of the tolerance; undefined if there are none. */
  function grantReserve(
    partition: Partition,
    options: {
      readonly workspace: WorkspaceId;
      readonly quota: Quota;
      readonly request: TokenRequest;
    },
  ): TokenGrant | undefined {
    const { workspace, quota, request } = options;
    const epoch = partition.lease.tryGetRecord()?.epoch;
    if (epoch === undefined || !partition.lease.mayUseReserve()) {
      return undefined;
    }
    partition.reserve ??= {
      issuer: createTokenIssuer({ mayUseTolerance: true }),
      epoch,
    };
    const { count } = partition.reserve.issuer.grant(workspace, {
      quota,
      request: { ...request, ahead: 0 },
    });
    io.metrics.add("quota_tokens_granted_total", count, {});
    return count > 0 ? { count, retryMs: 0 } : undefined;
  }

  function removeOldAnswers(): void {
    for (const [key, { at }] of answers) {
      if (nowMs() - at < ANSWER_TTL_MS) {
        return;
      }
      answers.delete(key);
    }
  }

  function handleAskTokens(from: HostId, msg: AskTokens): void {
    removeOldAnswers();
    const key = `${msg.id} ${from}`;
    const answer = answers.get(key)?.grant ?? grant(msg.workspace, msg);
    if (answer) {
      if (!answers.has(key)) {
        answers.set(key, { grant: answer, at: nowMs() });
      }
      io.peers.send(from, { kind: "tell_tokens", id: msg.id, ...answer });
      return;
    }
    const told = describeOwner(partitions[getPartition(msg.workspace)]!);
    if (told && told.owner !== self && told.owner !== from) {
      io.peers.send(from, { ...told, id: msg.id });
    }
  }

  function handleTellOwner(msg: TellOwner): void {
    const partition = partitions[msg.partition]!;
    const previous = tryGetOwner(partition);
    const next = { host: msg.owner, epoch: msg.epoch, era: msg.era };
    if (msg.owner !== self && (!previous || isNewer(next, previous))) {
      partition.told = next;
      reportOwnerChange(partition, previous);
    }
  }

  function releaseTo(partition: Partition, heir: HostId): void {
    const { epoch, era } = partition.lease.tryGetRecord()!;
    const { number } = partition;
    if (!partition.lease.isReleased()) {
      partition.lease.release();
      io.log.info("quota_owner_released", { partition: number, heir, epoch });
    }
    io.peers.send(heir, {
      kind: "release_quota",
      partition: number,
      epoch,
      era,
    });
  }

  async function read(partition: Partition): Promise<void> {
    partition.isReading = true;
    const res = await io.store.get(getQuotaOwnerKey(partition.number));
    if (res.isOk()) {
      fleet.applyObject(res.value);
    }
    partition.isReading = false;
  }

  function checkOwned(partition: Partition): void {
    const { lease } = partition;
    const heir = isLeaving
      ? lease.tryGetRecord()?.standbys[0]?.host
      : lease.tryGetHeir();
    if (heir !== undefined) {
      releaseTo(partition, heir);
      return;
    }
    if (nowMs() - partition.promiseAskedAt >= PROMISE_INTERVAL_MS) {
      askForPromises(partition);
    }
    if (!partition.isWriting) {
      void renew(partition);
    }
  }

  function checkOther(partition: Partition): void {
    const { lease, number } = partition;
    if (isLeaving || partition.isWriting) {
      return;
    }
    const voter = lease.tryGetVoter();
    const record = lease.tryGetRecord();
    if (voter !== undefined && record) {
      const { epoch, era } = record;
      io.peers.send(voter, { kind: "ask_vote", partition: number, epoch, era });
    }
    if (lease.needsRead() && !partition.isReading) {
      void read(partition);
    }
    claimIfDue(partition);
  }

  function claimIfDue(partition: Partition): void {
    const { lease, number } = partition;
    if (
      isLeaving || partition.isWriting ||
      nowMs() - partition.claimedAt < CLAIM_RETRY_MS
    ) {
      return;
    }
    const reason = lease.getClaim({
      rank: listRanked(number).indexOf(self),
      ownedCount: partitions.filter(({ wasOwner, isWriting }) =>
        wasOwner || isWriting
      ).length,
      hasStoreReturned: fleet.hasStoreReturned(),
      isEraKnownToAll: fleet.isEraKnownToAll(MAX_UNSEEN_MS),
      isProcessEnded: ({ host, incarnation }) =>
        (fleet.tryGetIncarnation(host) ?? -Infinity) > incarnation,
    });
    if (reason !== undefined) {
      void claim(partition, reason);
    }
  }

  return {
    handleMessage(from, msg) {
      heardAt = nowMs();
      options.clockJumps.getEpoch();
      switch (msg.kind) {
        case "ask_tokens":
          return handleAskTokens(from, msg);
        case "tell_owner":
          handleTellOwner(msg);
          if (msg.id !== undefined) {
            options.onRedirect(from, msg.id);
          }
          return;
        case "ask_lease":
          return handleAskLease(from, msg);
        default:
          return handleLeaseMessage(from, msg);
      }
    },
    check() {
      if (!options.isOwned() || !fleet.isLoaded()) {
        return;
      }
      promiseRequests.forEach((at, id) => {
        if (nowMs() - at > PROBE_TTL_MS) {
          promiseRequests.delete(id);
        }
      });
      for (const partition of partitions) {
        observe(partition);
        if (partition.lease.isOwner()) {
          checkOwned(partition);
        } else {
          checkOther(partition);
        }
      }
    },
    isReady: () =>
      fleet.isLoaded() &&
      (options.isStoreLost() ||
        partitions.every((partition) => tryGetOwner(partition) !== undefined)),
    listOwners(number) {
      const partition = partitions[number]!;
      const owner = tryGetOwner(partition);
      const standbys = partition.lease.tryGetRecord()?.standbys ?? [];
      return owner
        ? [...new Set([owner.host, ...standbys.map(({ host }) => host)])]
        : [];
    },
    grant,
    setQuotas(next) {
      quotas = next;
      partitions.forEach(({ issuer }) => issuer?.setQuotas(next));
    },
    recordSuspension: () =>
      partitions.forEach(({ lease }) => lease.recordSuspension()),
    leave() {
      isLeaving = true;
      partitions.filter(({ lease }) => lease.isOwner()).forEach(checkOwned);
    },
  };

  function handleLeaseMessage(
    from: HostId,
    msg: TellLease | AskVote | TellVote | ReleaseQuota,
  ): void {
    const partition = partitions[msg.partition]!;
    const { lease } = partition;
    switch (msg.kind) {
      case "tell_lease": {
        const sentAt = promiseRequests.get(msg.id);
        if (sentAt !== undefined) {
          lease.recordPromise(from, { ...msg, sentAt });
        }
        return;
      }
      case "ask_vote":
        if (lease.tryVote({ from, ...msg })) {
          const { epoch, era } = msg;
          const partitionNumber = partition.number;
          io.peers.send(from, {
            kind: "tell_vote",
            partition: partitionNumber,
            epoch,
            era,
          });
        }
        return;
      case "tell_vote":
        lease.recordVote(from, msg);
        return claimIfDue(partition);
      case "release_quota":
        lease.recordRelease(from, msg);
        return claimIfDue(partition);
    }
  }
}
