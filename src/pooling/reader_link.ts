/** Stream over which this host watches the store through another host. */

import { Err, Ok } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import type { HostId } from "../core/ids.ts";
import type { ReaderAges, ReaderChanges } from "../generated/pool_forward.ts";
import { toResult } from "./store_relay.ts";
import type { HostStream, PoolIo, ReaderRequest } from "./types.ts";
import {
  type CachedRes,
  type CachedWatch,
  FIRST_AGE_TIMEOUT_MS,
  MAX_READER_AGE_MS,
} from "./watch_cache.ts";

/**
 * Interval of the questions for the age, in milliseconds. The reader also tells
 * it with each answer of the store.
 */
const ASK_INTERVAL_MS = 1_000;
/** Maximum number of questions to which answers are used. */
const MAX_PENDING_ASKS = 16;
/** Time without a watch after which the stream is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 15_000;

/** Why a reader is not used any more; a label of a metric. */
export type ReaderFailure =
  | "not_open"
  | "too_old"
  | "closed"
  | "leaving"
  | "no_answer"
  | "older_era"
  | "clock_jump"
  | "idle";

/** Watches through one reader. */
export interface ReaderLink {
  /** Undefined if the reader can't be used any more. */
  watch(prefix: string, watch: CachedWatch): Promise<CachedRes | undefined>;
  /** Time up to which what was received under a prefix is complete. */
  getCoveredUntil(prefix: string): number;
  /** Asks for the age when it is time to, and gives an old reader up. */
  check(): void;
  close(reason: ReaderFailure): void;
}

interface PendingWatch {
  readonly prefix: string;
  resolve(res: CachedRes | undefined): void;
}

/** Opens a stream to a reader; `onClose` is called once it can't be used. */
export function openReaderLink(
  io: Pick<PoolIo, "streams">,
  options: { readonly host: HostId; onClose(reason: ReaderFailure): void },
): ReaderLink {
  const pending = new Map<number, PendingWatch>();
  /** Times of the last questions. */
  const asks = new Map<number, number>();
  /** Time up to which what is known under a prefix is complete. */
  const coveredUntil = new Map<string, number>();
  /** End of the time in which a prefix may have no age. */
  const graceUntil = new Map<string, number>();
  const queued: ReaderRequest[] = [];
  let nextId = 0;
  let askedAt = -Infinity;
  let usedAt = nowMs();
  let isOpened = false;
  let isClosed = false;

  const stream: HostStream<ReaderRequest> = io.streams.open(options.host, {
    onOpen() {
      isOpened = true;
      queued.splice(0).forEach((msg) => stream.send(msg));
      ask();
    },
    onMessage(msg) {
      switch (msg.kind) {
        case "reader_changes":
          return handleChanges(msg);
        case "reader_ages":
          return handleAges(msg);
        case "leaving":
          return close("leaving");
        default:
          return;
      }
    },
    onClose: () => close("closed"),
  });

  function getCoveredUntil(prefix: string): number {
    return coveredUntil.get(prefix) ?? -Infinity;
  }

  function isCovered(prefix: string): boolean {
    return nowMs() - getCoveredUntil(prefix) <= MAX_READER_AGE_MS;
  }

  function handleChanges(msg: ReaderChanges): void {
    const watch = pending.get(msg.id);
    pending.delete(msg.id);
    const { era, ageMs, result } = msg;
    const decoded = toResult(result);
    watch?.resolve({
      era,
      ageMs,
      // A watch is answered with objects; anything else is no answer.
      result: decoded.andThen((value) =>
        "objects" in value ? Ok(value) : Err({ kind: "unreachable" as const })
      ),
    });
  }

  /**
   * The message was not sent before the question and the time for which the
   * reader has had it, so the delay of the path counts as age.
   */
  function handleAges({ id, heldMs, ages }: ReaderAges): void {
    const askSentAt = asks.get(id);
    if (askSentAt === undefined) {
      return;
    }
    for (const { prefix, ageMs } of ages) {
      const until = askSentAt + heldMs - ageMs;
      coveredUntil.set(prefix, Math.max(getCoveredUntil(prefix), until));
    }
  }

  function send(msg: ReaderRequest): void {
    if (isOpened) {
      stream.send(msg);
    } else {
      queued.push(msg);
    }
  }

  function ask(): void {
    askedAt = nowMs();
    const id = nextId++;
    asks.set(id, askedAt);
    const [oldest] = asks.keys();
    if (asks.size > MAX_PENDING_ASKS && oldest !== undefined) {
      asks.delete(oldest);
    }
    send({ kind: "reader_ask", id });
  }

  function close(reason: ReaderFailure): void {
    if (isClosed) {
      return;
    }
    isClosed = true;
    stream.close();
    options.onClose(reason);
    pending.forEach(({ resolve }) => resolve(undefined));
    pending.clear();
  }

  return {
    watch(prefix, { after, waitMs, era }) {
      if (isClosed) {
        return Promise.resolve(undefined);
      }
      usedAt = nowMs();
      if (!isCovered(prefix)) {
        graceUntil.set(prefix, nowMs() + FIRST_AGE_TIMEOUT_MS);
      }
      const id = nextId++;
      return new Promise((resolve) => {
        pending.set(id, { prefix, resolve });
        send({
          kind: "reader_watch",
          id,
          prefix,
          after,
          waitMs,
          ...(era === undefined ? {} : { era }),
        });
      });
    },
    getCoveredUntil,
    check() {
      const now = nowMs();
      if (isClosed) {
        return;
      }
      if (pending.size === 0) {
        if (now - usedAt > IDLE_TIMEOUT_MS) {
          close("idle");
        }
        return;
      }
      usedAt = now;
      const isOld = [...pending.values()].some(({ prefix }) =>
        !isCovered(prefix) && now >= (graceUntil.get(prefix) ?? -Infinity)
      );
      if (isOld) {
        close(isOpened ? "too_old" : "not_open");
      } else if (isOpened && now - askedAt >= ASK_INTERVAL_MS) {
        ask();
      }
    },
    close,
  };
}
