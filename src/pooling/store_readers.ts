/**
 * One host of a failure domain, the reader, watches the store, and the others
 * watch through it. A host that can't trust its reader asks the stand-by, and
 * then the store itself. See docs/design/store_readers.md.
 */

import { Err } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { HostId } from "../core/ids.ts";
import { getBackoffMs } from "../core/retry_delay.ts";
import type { EraCalls, EraRes } from "../core/store_era.ts";
import type {
  Stoppable,
  StoredObject,
  WatchOptions,
  WatchRes,
} from "../core/types.ts";
import type { ReaderAge, ReaderWatch } from "../generated/pool_forward.ts";
import {
  openReaderLink,
  type ReaderFailure,
  type ReaderLink,
} from "./reader_link.ts";
import type { StorePath } from "./store_access.ts";
import { toStoreResult } from "./store_relay.ts";
import type {
  ForwardResponse,
  HostStream,
  PoolIo,
  ReaderRequest,
} from "./types.ts";
import {
  type CachedRes,
  createWatchCache,
  MAX_READER_AGE_MS,
  type WatchCache,
} from "./watch_cache.ts";

/**
 * Number of readers that are tried before the store itself: the reader and its
 * stand-by. A change must arrive within 3 s, also if both have failed.
 */
const MAX_TRIED_READERS = 2;
/**
 * Time for which a reader that failed is not asked, in milliseconds. It doubles
 * with each failure, since a lost host stays in the list until its heartbeat is
 * overdue.
 */
const MIN_PAUSE_MS = 3_000;
const MAX_PAUSE_MS = 24_000;
/**
 * Longest changes that a reader passes on, in bytes of JSON. 24 hosts get them
 * within 0.5 s over a link of 7 Mbit/s; a configuration of a mebibyte would take
 * half a minute, so each host reads that from the store itself.
 */
const MAX_SERVED_BYTES = 16 * 1024;
/**
 * Wait of a watch through a reader, in milliseconds. The reader proves the age
 * of its copy meanwhile; it watches the store only while it is asked, so the
 * wait is shorter than the time after which it stops.
 */
const READER_WAIT_MS = 8_000;
/** Time without a question after which a host is not told the age. */
const CLIENT_TIMEOUT_MS = 5_000;

/** Prefix that a reader watches. */
export interface ReaderPrefix {
  readonly prefix: string;
  /** Whether changes under it may arrive seconds late. */
  readonly mayBeLate: boolean;
  /** Minimum interval between two watches, as far as the age allows it. */
  getMinWatchIntervalMs(): number;
}

/** Watches of this host and, if it is a reader, of others. */
export interface StoreReaders extends Stoppable {
  readonly watch: EraCalls["watch"];
  /** Answers another host from the copy that this one keeps. */
  serve(stream: HostStream<ForwardResponse>, msg: ReaderRequest): void;
  check(): void;
  /** Ends the trust in all ages, as after a suspension of this process. */
  distrustAges(): void;
}

/** Dependencies of the readers. */
export interface StoreReadersOptions {
  readonly self: HostId;
  readonly prefixes: readonly ReaderPrefix[];
  /**
   * Lists the hosts that may be the reader, the best first; empty if each host
   * watches for itself.
   */
  listReaders(): readonly HostId[];
  /** Returns the highest era that this host has seen. */
  tryGetEra(): number | undefined;
  /** Watches over this host's own connections. */
  readonly watchDirectly: EraCalls["watch"];
  /** Watches over whatever path to the store there is. */
  readonly watchAlone: EraCalls["watch"];
  /** Returns the path that `watchAlone` takes. */
  getPath(): StorePath;
}

interface Pause {
  readonly failures: number;
  readonly until: number;
}

/** What became of a watch through one reader. */
type ReaderOutcome =
  | { readonly kind: "answered"; readonly res: EraRes<WatchRes> }
  /** The reader can't be used, or has changes that it does not pass on. */
  | {
    readonly kind: "failed" | "not_passed_on";
    /** Time up to which the reader's changes are known here. */
    readonly knownUntil: number;
  };

interface Question {
  readonly id: number;
  readonly receivedAt: number;
}

/** Creates readers that watch nothing yet. */
export function createStoreReaders(
  io: Pick<PoolIo, "streams" | "log" | "metrics">,
  options: StoreReadersOptions,
): StoreReaders {
  const { self } = options;
  const caches = new Map<string, WatchCache>(
    options.prefixes.map((prefix) => [
      prefix.prefix,
      createWatchCache(io, {
        ...prefix,
        watchStore: options.watchDirectly,
        onRenewed: tellAges,
      }),
    ]),
  );
  const links = new Map<HostId, ReaderLink>();
  /** Last question on each stream of a host that watches through this one. */
  const questions = new Map<HostStream<ForwardResponse>, Question>();
  const pauses = new Map<HostId, Pause>();
  /** Reader used last for each prefix; undefined for the store itself. */
  const usedReaders = new Map<string, HostId | undefined>();
  let isStopped = false;

  function pause(host: HostId, reason: ReaderFailure): void {
    const failures = pauses.get(host)?.failures ?? 0;
    const pauseMs = getBackoffMs(failures, {
      minMs: MIN_PAUSE_MS,
      maxMs: MAX_PAUSE_MS,
    });
    pauses.set(host, { failures: failures + 1, until: nowMs() + pauseMs });
    io.log.info("store_reader_given_up", { reader: host, reason, pauseMs });
    io.metrics.count("store_reader_failures_total", { reason });
  }

  function isPaused(host: HostId): boolean {
    return nowMs() < (pauses.get(host)?.until ?? -Infinity);
  }

  function getLink(host: HostId): ReaderLink {
    const known = links.get(host);
    if (known) {
      return known;
    }
    const link = openReaderLink(io, {
      host,
      onClose(reason) {
        links.delete(host);
        if (reason !== "idle" && reason !== "clock_jump" && !isStopped) {
          pause(host, reason);
        }
      },
    });
    links.set(host, link);
    return link;
  }

  /** Returns why an answer is not used; undefined if it is. */
  function tryGetFlaw(res: CachedRes): ReaderFailure | undefined {
    const { era, ageMs, result } = res;
    const ownEra = options.tryGetEra();
    if (era !== undefined && ownEra !== undefined && era < ownEra) {
      return "older_era";
    }
    if (result.isErr()) {
      // A newer era ends the trust in the revision that this host asked about.
      const isNewer = era !== undefined && era > (ownEra ?? -Infinity);
      return isNewer ? undefined : "no_answer";
    }
    return ageMs === undefined || ageMs > MAX_READER_AGE_MS
      ? "too_old"
      : undefined;
  }

  /** Watches through one reader. */
  async function tryReader(
    host: HostId,
    request: { readonly prefix: string; readonly watch: WatchOptions },
  ): Promise<ReaderOutcome> {
    const { prefix } = request;
    const watch = {
      after: request.watch.after,
      waitMs: request.watch.waitMs === 0 ? 0 : READER_WAIT_MS,
      era: options.tryGetEra(),
    };
    const link = host === self ? undefined : getLink(host);
    const cache = caches.get(prefix);
    const res = await (link ? link.watch(prefix, watch) : cache?.watch(watch));
    const knownUntil = link
      ? link.getCoveredUntil(prefix)
      : nowMs() - (cache?.tryGetAgeMs() ?? Infinity);
    if (!res) {
      return { kind: "failed", knownUntil };
    }
    if (res.result.isErr() && res.result.error.kind === "history_gone") {
      return { kind: "not_passed_on", knownUntil };
    }
    const flaw = tryGetFlaw(res);
    if (flaw === undefined) {
      pauses.delete(host);
      const { era, ageMs } = res;
      const result = res.result.map((changes) => ({ ...changes, ageMs }));
      return { kind: "answered", res: { era, result } };
    }
    if (link) {
      link.close(flaw);
    } else {
      pause(host, flaw);
    }
    return { kind: "failed", knownUntil };
  }

  function recordUse(prefix: string, host: HostId | undefined): void {
    if (!usedReaders.has(prefix) || usedReaders.get(prefix) !== host) {
      usedReaders.set(prefix, host);
      io.log.info("store_reader_used", { prefix, reader: host ?? "none" });
    }
  }

  /**
   * Watches without a reader. The store may leave a watch unanswered until its
   * wait is over, so what was known before counts towards the wait.
   */
  function watchAlone(
    prefix: string,
    watch: WatchOptions,
    { knownUntil, reason }: {
      readonly knownUntil: number;
      readonly reason?: "readers_failed" | "reader_lacks_changes";
    },
  ): Promise<EraRes<WatchRes>> {
    const ageMs = Math.round(nowMs() - knownUntil);
    const waitMs = Math.max(0, watch.waitMs - ageMs);
    if (reason) {
      io.log.info("store_watched_alone", {
        prefix,
        reason,
        path: options.getPath(),
        after: watch.after,
        waitMs,
        ageMs,
      });
    }
    return options.watchAlone(prefix, { ...watch, waitMs });
  }

  async function watch(
    prefix: string,
    watch: WatchOptions,
  ): Promise<EraRes<WatchRes>> {
    const tried = new Set<HostId>();
    let knownUntil = nowMs() - (watch.ageMs ?? 0);
    while (caches.has(prefix) && tried.size < MAX_TRIED_READERS) {
      const host = options.listReaders().find((reader) =>
        !tried.has(reader) && !isPaused(reader)
      );
      if (host === undefined || isStopped) {
        break;
      }
      tried.add(host);
      recordUse(prefix, host);
      const outcome = await tryReader(host, { prefix, watch });
      if (outcome.kind === "answered") {
        return outcome.res;
      }
      knownUntil = Math.max(knownUntil, outcome.knownUntil);
      if (outcome.kind === "not_passed_on") {
        const reason = "reader_lacks_changes";
        return await watchAlone(prefix, watch, { knownUntil, reason });
      }
    }
    if (usedReaders.size > 0) {
      recordUse(prefix, undefined);
    }
    const res = await watchAlone(prefix, watch, {
      knownUntil,
      ...(usedReaders.size > 0 ? { reason: "readers_failed" } : {}),
    });
    if (watch.waitMs === 0 && res.result.isOk()) {
      // The store has answered again, so readers may do so too.
      pauses.clear();
    }
    return res;
  }

  async function serveWatch(
    stream: HostStream<ForwardResponse>,
    { id, prefix, after, waitMs, era }: ReaderWatch,
  ): Promise<void> {
    const cached = await caches.get(prefix)?.watch({ after, waitMs, era });
    const isTooLong = cached?.result.isOk() === true &&
      getJsonBytes(cached.result.value.objects) > MAX_SERVED_BYTES;
    const res = isTooLong
      ? { ...cached, result: Err({ kind: "history_gone" as const }) }
      : cached;
    const outcome = res?.result.isOk() === true
      ? "answered"
      : isTooLong
      ? "too_long"
      : "failed";
    io.metrics.count("store_reader_served_total", { outcome });
    stream.send({
      kind: "reader_changes",
      id,
      ...(res?.era === undefined ? {} : { era: res.era }),
      ...(res?.ageMs === undefined ? {} : { ageMs: res.ageMs }),
      result: res ? toStoreResult(res.result) : { kind: "unreachable" },
    });
  }

  function listAges(): ReaderAge[] {
    return [...caches].flatMap(([prefix, cache]) => {
      const ageMs = cache.tryGetAgeMs();
      return ageMs === undefined ? [] : [{ prefix, ageMs }];
    });
  }

  function tellAges(): void {
    const ages = listAges();
    for (const [stream, { id, receivedAt }] of questions) {
      const heldMs = nowMs() - receivedAt;
      if (heldMs > CLIENT_TIMEOUT_MS) {
        questions.delete(stream);
      } else {
        stream.send({ kind: "reader_ages", id, heldMs, ages });
      }
    }
  }

  function serveAges(stream: HostStream<ForwardResponse>, id: number): void {
    questions.set(stream, { id, receivedAt: nowMs() });
    stream.send({ kind: "reader_ages", id, heldMs: 0, ages: listAges() });
  }

  return {
    watch,
    serve(stream, msg) {
      switch (msg.kind) {
        case "reader_watch":
          return void serveWatch(stream, msg);
        case "reader_ask":
          return serveAges(stream, msg.id);
        default:
          return assertNever(msg);
      }
    },
    check() {
      links.forEach((link) => link.check());
      caches.forEach((cache) => cache.check());
    },
    distrustAges() {
      caches.forEach((cache) => cache.distrustAge());
      links.forEach((link) => link.close("clock_jump"));
    },
    stop() {
      isStopped = true;
      links.forEach((link) => link.close("closed"));
      caches.forEach((cache) => cache.stop());
    },
  };
}

function getJsonBytes(objects: readonly StoredObject[]): number {
  return objects.reduce(
    (sum, { value }) => sum + (JSON.stringify(value) ?? "").length,
    0,
  );
}
