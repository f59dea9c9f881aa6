/** Calls to the store that one host makes for another, over a host stream. */

import { Err, Ok } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { HostId, ObjectKey } from "../core/ids.ts";
import type { EraCalls, EraRes } from "../core/store_era.ts";
import type { PlatformErr, StoredObject, WatchRes } from "../core/types.ts";
import type {
  StoreCall,
  StoreObject,
  StoreReply,
  StoreRequest,
  StoreResult,
} from "../generated/pool_forward.ts";
import type { ForwardResponse, HostStream, PoolIo } from "./types.ts";

/** Maximum number of calls that a host makes for others at the same time. */
const MAX_RELAYED_CALLS = 48;
/**
 * Time for a relayed call without the wait of a watch, in milliseconds; longer
 * than the store's own timeout at the relay.
 */
const RELAY_TIMEOUT_MS = 2_000;
/** Time to open a stream to the relay, in milliseconds. */
const OPEN_TIMEOUT_MS = 700;

/** Result of a call to which no response arrived. */
export const UNANSWERED: EraRes<never> = createFailure({ kind: "unreachable" });

/** Makes calls to the store for other hosts. */
export interface StoreRelay {
  serve(
    from: HostId,
    stream: HostStream<ForwardResponse>,
    msg: StoreCall,
  ): void;
}

/** Creates a relay that makes its calls over this host's own path. */
export function createStoreRelay(
  io: Pick<PoolIo, "log" | "metrics">,
  options: {
    readonly calls: EraCalls;
    /** Whether the store answers this host. */
    isDirect(): boolean;
    /** Whether hosts write objects with this key. */
    isWritable(key: ObjectKey): boolean;
  },
): StoreRelay {
  let callCount = 0;

  async function call(
    from: HostId,
    request: StoreRequest,
  ): Promise<EraRes<StoredObject | WatchRes>> {
    const { calls } = options;
    switch (request.kind) {
      case "get":
        return await calls.get(request.key);
      case "list":
        return await calls.list(request.prefix);
      case "watch":
        return await calls.watch(request.prefix, request);
      case "put":
        if (!options.isWritable(request.key)) {
          io.log.info("relayed_write_refused", {
            peer: from,
            key: request.key,
          });
          return createFailure({
            kind: "rejected",
            detail: "not an object of the hosts",
          });
        }
        return await calls.put(request.key, request.value, request);
      default:
        return assertNever(request);
    }
  }

  return {
    async serve(from, stream, { id, request }) {
      const isRefused = !options.isDirect() || callCount >= MAX_RELAYED_CALLS;
      io.metrics.count("store_relayed_calls_total", {
        call: request.kind,
        result: isRefused ? "refused" : "made",
      });
      if (isRefused) {
        stream.send(toReply(id, UNANSWERED));
        return;
      }
      callCount++;
      // A request that no call can carry must not end the process.
      const res = await call(from, request).catch((err: unknown) => {
        const detail = `${err}`;
        io.log.info("relayed_call_failed", { peer: from, detail });
        return createFailure({ kind: "rejected", detail });
      });
      callCount--;
      stream.send(toReply(id, res));
    },
  };
}

/** Stream over which a peer calls the store for this host. */
export interface RelayLink {
  readonly host: HostId;
  call(request: StoreRequest): Promise<EraRes<StoredObject | WatchRes>>;
  /** Closes the stream once no call is pending. */
  retire(): void;
  close(): void;
}

/** Opens a stream to a relay; `onClose` is called once it can't be used. */
export function openRelayLink(
  io: Pick<PoolIo, "streams">,
  options: { readonly host: HostId; onClose(detail: string): void },
): RelayLink {
  const { host } = options;
  const pending = new Map<
    number,
    (res: EraRes<StoredObject | WatchRes>) => void
  >();
  const queued: StoreCall[] = [];
  let nextId = 0;
  let isOpened = false;
  let isClosed = false;
  let isRetiring = false;

  const stream = io.streams.open(host, {
    onOpen() {
      isOpened = true;
      clearTimeout(openTimer);
      queued.splice(0).forEach((msg) => stream.send(msg));
    },
    onMessage(msg) {
      if (msg.kind === "store_reply") {
        pending.get(msg.id)?.({ era: msg.era, result: toResult(msg.result) });
      } else if (msg.kind === "leaving") {
        close("the relay is leaving");
      }
    },
    onClose: close,
  });
  const openTimer = setTimeout(
    () => close(`not open after ${OPEN_TIMEOUT_MS} ms`),
    OPEN_TIMEOUT_MS,
  );

  function close(detail: string): void {
    if (isClosed) {
      return;
    }
    isClosed = true;
    clearTimeout(openTimer);
    stream.close();
    pending.forEach((resolve) => resolve(UNANSWERED));
    options.onClose(detail);
  }

  function closeIfRetired(): void {
    if (isRetiring && pending.size === 0) {
      close("not needed any more");
    }
  }

  return {
    host,
    call(request) {
      if (isClosed) {
        return Promise.resolve(UNANSWERED);
      }
      const id = nextId++;
      const waitMs = request.kind === "watch" ? request.waitMs : 0;
      const startedAt = nowMs();
      return new Promise((resolve) => {
        const timer = setTimeout(
          () => close(`no reply for ${Math.round(nowMs() - startedAt)} ms`),
          RELAY_TIMEOUT_MS + waitMs,
        );
        pending.set(id, (res) => {
          clearTimeout(timer);
          pending.delete(id);
          resolve(res);
          closeIfRetired();
        });
        const msg: StoreCall = { kind: "store_call", id, request };
        if (isOpened) {
          stream.send(msg);
        } else {
          queued.push(msg);
        }
      });
    },
    retire() {
      isRetiring = true;
      closeIfRetired();
    },
    close: () => close("closed by this host"),
  };
}

function createFailure(error: PlatformErr): EraRes<never> {
  return { era: undefined, result: Err(error) };
}

function toReply(
  id: number,
  { era, result }: EraRes<StoredObject | WatchRes>,
): StoreReply {
  return {
    kind: "store_reply",
    id,
    ...(era === undefined ? {} : { era }),
    result: toStoreResult(result),
  };
}

/** Encodes an answer of the store. */
export function toStoreResult(
  result: EraRes<StoredObject | WatchRes>["result"],
): StoreResult {
  return result.isOk() ? toFound(result.value) : toFailed(result.error);
}

function toFound(value: StoredObject | WatchRes): StoreResult {
  return "objects" in value
    ? { kind: "objects", revision: value.revision, objects: [...value.objects] }
    : { kind: "object", object: value };
}

function toFailed(error: PlatformErr): StoreResult {
  return error.kind === "conflict" || error.kind === "rejected"
    ? error
    : { kind: error.kind };
}

/** Decodes an answer of the store. */
export function toResult(
  result: StoreResult,
): EraRes<StoredObject | WatchRes>["result"] {
  switch (result.kind) {
    case "object":
      return Ok(toObject(result.object));
    case "objects":
      return Ok({
        revision: result.revision,
        objects: result.objects.map(toObject),
      });
    case "conflict":
      return Err({ kind: "conflict", current: toObject(result.current) });
    case "rejected":
      return Err({ kind: "rejected", detail: result.detail });
    case "unreachable":
    case "history_gone":
    case "outdated":
      return Err({ kind: result.kind });
    default:
      return assertNever(result);
  }
}

function toObject({ key, version, value }: StoreObject): StoredObject {
  return { key, version, value };
}
