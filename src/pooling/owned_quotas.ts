/**
 * Takes quota tokens from the owners of the partitions: asks in batches, holds
 * what was granted for its validity, and refuses what an owner refuses.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import type { HostId, WorkspaceId } from "../core/ids.ts";
import { getRetryAfterMs } from "../core/retry_delay.ts";
import type { AskTokens, TellTokens } from "../generated/pool_peer.ts";
import type { PoolFailure } from "./errors.ts";
import { getPartition } from "./quota_owners.ts";
import {
  createTokenAccount,
  TOKEN_TTL_MS,
  type TokenAccount,
  type TokenRequest,
} from "./quota_tokens.ts";
import type { Quotas } from "./quotas.ts";
import type { PoolIo, Quota } from "./types.ts";

/**
 * Bounds of the time after which a request without an answer is repeated: more
 * than a round trip between regions, of 40 ms.
 */
const MIN_REPEAT_MS = 60;
const MAX_REPEAT_MS = 100;
/** Sends of one request before another host is asked. */
const MAX_SENDS = 2;
/** Bounds of the retry delay: one round trip, and the window of quotas. */
const MIN_RETRY_AFTER_MS = 30;
const MAX_RETRY_AFTER_MS = 5_000;
/** Bound of the first request id. */
const MAX_FIRST_ID = 2 ** 31;
/** Expected wait for an owner that does not answer: half of a takeover. */
const NO_OWNER_WAIT_MS = 500;

/** Quotas of a fleet with owners, on one host. */
export interface OwnedQuotas
  extends Pick<Quotas, "takeToken" | "setQuotas" | "close"> {
  handleTokens(from: HostId, msg: TellTokens): void;
  /** Asks the owner that another host has named. */
  handleRedirect(from: HostId, id: number): void;
  /** Asks again for what waits, after an owner has become known. */
  recordOwner(partition: number): void;
  /** Discards tokens whose age is not known any more. */
  recordSuspension(): void;
}

/** Dependencies of the quotas. */
export interface OwnedQuotaOptions {
  readonly self: HostId;
  /** Checks for a suspension of the process. */
  checkClock(): void;
  /** Lists the hosts to ask, the likely owner first. */
  listOwners(partition: number): readonly HostId[];
  /** Handles a request of this host to itself; undefined if it may not grant. */
  grantLocally(
    workspace: WorkspaceId,
    request: TokenRequest,
  ): { readonly count: number; readonly retryMs: number } | undefined;
}

interface Waiter {
  readonly deadline: number;
  settle(result: Result<void, PoolFailure>): void;
}

interface OpenRequest {
  readonly workspace: WorkspaceId;
  readonly request: TokenRequest;
  readonly to: HostId;
  readonly askedAt: number;
  sends: number;
  /** Whether the tokens are expected no more, though they may still arrive. */
  isGivenUp: boolean;
}

interface Entry {
  readonly workspace: WorkspaceId;
  readonly partition: number;
  readonly account: TokenAccount;
  readonly waiters: Waiter[];
  timer: NodeJS.Timeout | undefined;
}

/** Creates the quotas; workspaces without a quota are not limited. */
export function createOwnedQuotas(
  io: Pick<PoolIo, "peers" | "metrics" | "random" | "log">,
  options: OwnedQuotaOptions,
): OwnedQuotas {
  const entries = new Map<WorkspaceId, Entry>();
  const open = new Map<number, OpenRequest>();
  /** Requests in a row that were given up, by partition, and the last time. */
  const failures = new Map<number, number>();
  const failedAt = new Map<number, number>();
  /** Partitions whose owner does not answer, as logged. */
  const silentPartitions = new Set<number>();
  // A new process does not get the answers to requests of an earlier one.
  let nextId = Date.now() % MAX_FIRST_ID;
  let isClosed = false;

  function refuse(
    entry: Entry,
    waitMs: number,
    cause: string,
  ): Err<PoolFailure> {
    io.metrics.count("quota_refusals_total", { cause });
    const [owner] = options.listOwners(entry.partition);
    return Err({
      error: "over_quota",
      detail: `${cause}, partition ${entry.partition} of ${
        owner ?? "no known owner"
      }, next token in ${Math.round(waitMs)} ms`,
      retryAfterMs: getRetryAfterMs(waitMs, {
        minMs: MIN_RETRY_AFTER_MS,
        maxMs: MAX_RETRY_AFTER_MS,
        random: io.random(),
      }),
    });
  }

  /** Serves waiters in order, refuses late ones, and asks for the others. */
  function serve(entry: Entry): void {
    const { waiters, account } = entry;
    while (waiters.length > 0 && account.tryTake()) {
      waiters.shift()!.settle(Ok(undefined));
    }
    const now = nowMs();
    for (let index = waiters.length - 1; index >= 0; index--) {
      if (waiters[index]!.deadline <= now) {
        waiters.splice(index, 1)[0]!
          .settle(refuse(entry, NO_OWNER_WAIT_MS, "no_answer"));
      }
    }
    schedule(entry);
  }

  function schedule(entry: Entry): void {
    clearTimeout(entry.timer);
    if (entry.waiters.length > 0) {
      const deadline = Math.min(...entry.waiters.map((w) => w.deadline));
      entry.timer = setTimeout(
        () => serve(entry),
        Math.max(1, Math.ceil(deadline - nowMs())),
      );
    }
  }

  function listOpen(entry: Entry): readonly TokenRequest[] {
    return [...open.values()].filter((pending) =>
      pending.workspace === entry.workspace && !pending.isGivenUp
    ).map(({ request }) => request);
  }

  function ask(entry: Entry): void {
    const requests = listOpen(entry);
    const request = entry.account.planRequest({
      waiting: entry.waiters.length,
      openRequests: requests.length,
      open: {
        need: requests.reduce((sum, { need }) => sum + need, 0),
        ahead: requests.reduce((sum, { ahead }) => sum + ahead, 0),
      },
    });
    const owners = options.listOwners(entry.partition);
    if (!request || owners.length === 0) {
      return;
    }
    const failureCount = failures.get(entry.partition) ?? 0;
    const to = owners[failureCount % owners.length]!;
    if (to === options.self) {
      askLocally(entry, request);
      return;
    }
    const id = nextId++;
    open.set(id, {
      workspace: entry.workspace,
      request,
      to,
      askedAt: nowMs(),
      sends: 0,
      isGivenUp: false,
    });
    send(entry, id);
  }

  function askLocally(entry: Entry, request: TokenRequest): void {
    const askedAt = nowMs();
    const grant = options.grantLocally(entry.workspace, request);
    if (grant) {
      applyGrant(entry, { ...grant, askedAt });
    } else {
      recordFailure(entry);
      setTimeout(() => isClosed || retry(entry), getRepeatMs());
    }
  }

  function recordFailure({ partition }: Entry): void {
    failures.set(partition, (failures.get(partition) ?? 0) + 1);
    failedAt.set(partition, nowMs());
  }

  function getRepeatMs(): number {
    return MIN_REPEAT_MS + (MAX_REPEAT_MS - MIN_REPEAT_MS) * io.random();
  }

  function retry(entry: Entry): void {
    serve(entry);
    refuseOldest(entry, entry.account.getPauseMs());
    ask(entry);
  }

  /** Refuses the waiters for which no request is open, until the next token. */
  function refuseOldest(entry: Entry, pauseMs: number): void {
    if (pauseMs <= 0) {
      return;
    }
    const expected = listOpen(entry).reduce((sum, { need }) => sum + need, 0);
    const count = Math.max(0, entry.waiters.length - expected);
    entry.waiters.splice(0, count).forEach(({ settle }) =>
      settle(refuse(entry, pauseMs, "no_tokens"))
    );
    schedule(entry);
  }

  function send(entry: Entry, id: number): void {
    const pending = open.get(id)!;
    pending.sends++;
    const msg: AskTokens = {
      kind: "ask_tokens",
      id,
      workspace: pending.workspace,
      ...pending.request,
    };
    io.peers.send(pending.to, msg);
    setTimeout(() => repeat(entry, id), getRepeatMs());
  }

  function repeat(entry: Entry, id: number): void {
    const pending = open.get(id);
    if (!pending || pending.isGivenUp || isClosed) {
      return;
    }
    io.metrics.count("quota_requests_repeated_total", {});
    if (pending.sends < MAX_SENDS) {
      send(entry, id);
      return;
    }
    giveUp(id);
    // Requests that were open at the same time count as one.
    if (pending.askedAt > (failedAt.get(entry.partition) ?? -Infinity)) {
      recordFailure(entry);
    }
    if (!silentPartitions.has(entry.partition)) {
      silentPartitions.add(entry.partition);
      io.log.info("quota_owner_silent", {
        partition: entry.partition,
        owner: pending.to,
      });
    }
    retry(entry);
  }

  /** Expects no answer any more, but takes one that still arrives in time. */
  function giveUp(id: number): void {
    const pending = open.get(id)!;
    pending.isGivenUp = true;
    setTimeout(
      () => open.delete(id),
      Math.max(0, pending.askedAt + TOKEN_TTL_MS - nowMs()),
    );
  }

  function applyGrant(
    entry: Entry,
    grant: {
      readonly count: number;
      readonly retryMs: number;
      readonly askedAt: number;
    },
  ): void {
    entry.account.addGrant(grant);
    const lost = entry.account.takeExpiredCount();
    if (lost > 0) {
      io.metrics.add("quota_tokens_lost_total", lost, {});
    }
    if (grant.retryMs > 0) {
      entry.account.recordRefusal(grant.retryMs);
    }
    serve(entry);
    refuseOldest(entry, grant.retryMs);
  }

  function createEntry(workspace: WorkspaceId): Entry {
    return {
      workspace,
      partition: getPartition(workspace),
      account: createTokenAccount(),
      waiters: [],
      timer: undefined,
    };
  }

  function endWaits(entry: Entry, failure: PoolFailure): void {
    clearTimeout(entry.timer);
    entry.waiters.splice(0).forEach(({ settle }) => settle(Err(failure)));
  }

  return {
    takeToken(workspace, { maxWaitMs }) {
      if (isClosed) {
        return Promise.resolve(Err({ error: "stopping" }));
      }
      const entry = entries.get(workspace);
      if (!entry) {
        return Promise.resolve(Ok(undefined));
      }
      options.checkClock();
      entry.account.recordDemand();
      if (entry.waiters.length === 0 && entry.account.tryTake()) {
        ask(entry);
        return Promise.resolve(Ok(undefined));
      }
      const pauseMs = entry.account.getPauseMs();
      if (pauseMs > 0) {
        return Promise.resolve(refuse(entry, pauseMs, "no_tokens"));
      }
      return new Promise((resolve) => {
        const deadline = nowMs() + maxWaitMs;
        entry.waiters.push({ deadline, settle: resolve });
        ask(entry);
        serve(entry);
      });
    },
    handleTokens(from, { id, count, retryMs }) {
      const pending = open.get(id);
      const entry = pending && entries.get(pending.workspace);
      if (!pending || !entry || pending.to !== from) {
        return;
      }
      open.delete(id);
      if (from === options.listOwners(entry.partition)[0]) {
        failures.delete(entry.partition);
      }
      const { need, ahead } = pending.request;
      if (silentPartitions.delete(entry.partition)) {
        io.log.info("quota_owner_answers", {
          partition: entry.partition,
          owner: from,
        });
      }
      applyGrant(entry, {
        // More would be tokens that no bucket has given up.
        count: Math.min(count, need + ahead),
        retryMs,
        askedAt: pending.askedAt,
      });
      ask(entry);
    },
    handleRedirect(from, id) {
      const pending = open.get(id);
      const entry = pending && entries.get(pending.workspace);
      if (entry && pending.to === from && !pending.isGivenUp) {
        open.delete(id);
        failures.delete(entry.partition);
        retry(entry);
      }
    },
    recordOwner(partition) {
      const [owner] = options.listOwners(partition);
      failures.delete(partition);
      for (const entry of entries.values()) {
        if (entry.partition === partition) {
          open.forEach((pending, id) => {
            const isOther = pending.workspace === entry.workspace &&
              pending.to !== owner && !pending.isGivenUp;
            if (isOther) {
              giveUp(id);
            }
          });
          ask(entry);
        }
      }
    },
    recordSuspension() {
      const lost = [...entries.values()].reduce(
        (sum, { account }) => sum + account.clear(),
        0,
      );
      io.metrics.add("quota_tokens_lost_total", lost, {});
      open.clear();
    },
    setQuotas(quotas: ReadonlyMap<WorkspaceId, Quota>) {
      for (const [workspace, entry] of entries) {
        if (!quotas.has(workspace)) {
          endWaits(entry, { error: "over_quota", detail: "quota removed" });
          entries.delete(workspace);
        }
      }
      for (const workspace of quotas.keys()) {
        if (!entries.has(workspace)) {
          entries.set(workspace, createEntry(workspace));
        }
      }
    },
    close() {
      isClosed = true;
      entries.forEach((entry) => endWaits(entry, { error: "stopping" }));
    },
  };
}
