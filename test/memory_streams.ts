/** Streams between hosts of one process, with faults, for tests. */

import type { HostId } from "../src/core/ids.ts";
import type {
  ForwardRequest,
  ForwardResponse,
  HostStream,
  HostStreamHandlers,
  HostStreams,
} from "../src/pooling/types.ts";

/** Time that a message takes to the other host, in milliseconds. */
const DELAY_MS = 1;

type Accept = Parameters<HostStreams["onAccept"]>[0];

/** Connects the streams of all hosts of one test. */
export interface MemoryNetwork {
  /** Hosts that neither send nor receive; their streams stay open. */
  readonly silentHosts: Set<HostId>;
  /** As `silentHosts`, but what they miss arrives when they are resumed. */
  suspend(hosts: readonly HostId[]): void;
  resume(): void;
  /** Number of streams opened so far. */
  readonly openedCount: number;
  createStreams(host: HostId): HostStreams;
  /** Resets all streams from and to a host. */
  reset(host: HostId): void;
}

interface Connection {
  readonly hosts: readonly HostId[];
  reset(): void;
}

/** Creates a network without hosts. */
export function createMemoryNetwork(): MemoryNetwork {
  const accepts = new Map<HostId, Accept>();
  /** Hosts whose addresses each host has. */
  const knownBy = new Map<HostId, ReadonlySet<HostId>>();
  const silentHosts = new Set<HostId>();
  const suspendedHosts = new Set<HostId>();
  const heldBack: (() => void)[] = [];
  const connections = new Set<Connection>();
  let openedCount = 0;

  function open(
    from: HostId,
    to: HostId,
    handlers: HostStreamHandlers<ForwardResponse> & { onOpen(): void },
  ): HostStream<ForwardRequest> {
    let isOpen = true;
    let atHolder: HostStreamHandlers<ForwardRequest> | undefined;
    function deliver(action: () => void): void {
      setTimeout(() => {
        if (suspendedHosts.has(from) || suspendedHosts.has(to)) {
          heldBack.push(() => deliver(action));
        } else if (
          isOpen && !silentHosts.has(from) && !silentHosts.has(to)
        ) {
          action();
        }
      }, DELAY_MS);
    }
    const connection: Connection = {
      hosts: [from, to],
      reset() {
        if (isOpen) {
          isOpen = false;
          connections.delete(connection);
          handlers.onClose("reset");
          atHolder?.onClose("reset");
        }
      },
    };
    const isKnown = (host: HostId, other: HostId) =>
      knownBy.get(host)?.has(other) === true;
    const accept = isKnown(from, to) && isKnown(to, from)
      ? accepts.get(to)
      : undefined;
    if (!accept) {
      setTimeout(connection.reset, DELAY_MS);
    }
    connections.add(connection);
    openedCount++;
    deliver(() => {
      atHolder = accept?.(from, {
        send: (msg) => deliver(() => handlers.onMessage(msg)),
        ping: () => deliver(() => handlers.onAlive?.()),
        acceptsLoadFields: () => true,
        close: () => setTimeout(connection.reset, DELAY_MS),
      });
      deliver(handlers.onOpen);
    });
    return {
      send: (msg) => deliver(() => atHolder?.onMessage(msg)),
      ping: () => deliver(() => deliver(() => handlers.onAlive?.())),
      acceptsLoadFields: () => true,
      close: () => setTimeout(connection.reset, DELAY_MS),
    };
  }

  return {
    silentHosts,
    suspend: (hosts) => hosts.forEach((host) => suspendedHosts.add(host)),
    resume() {
      suspendedHosts.clear();
      heldBack.splice(0).forEach((send) => send());
    },
    get openedCount() {
      return openedCount;
    },
    createStreams: (host) => ({
      open: (to, handlers) => open(host, to, handlers),
      onAccept: (accept) => void accepts.set(host, accept),
      setAddresses: (known) => void knownBy.set(host, new Set(known.keys())),
    }),
    reset: (host) =>
      [...connections].filter(({ hosts }) => hosts.includes(host))
        .forEach((connection) => connection.reset()),
  };
}
