/** Loopback proxy that delays, holds, splits or loses what it forwards. */

import { connect, createServer, type Server, type Socket } from "node:net";
import { sleep } from "../../src/core/clock.ts";
import { listen } from "../../standins/serve.ts";

/** Longest piece of a split write, in bytes. */
const MAX_PIECE_BYTES = 64;
/** Pieces of a chunk; what is left is written at once. */
const MAX_PIECES = 20;

/** Faults of a link; they hold until they are unset. */
export interface LinkFaults {
  /** Delay of each chunk, in milliseconds. */
  delayMs?: number;
  /** Writes pieces of random length. */
  splits?: boolean;
  /** Holds what the connecting side sends. */
  holdsRequests?: boolean;
  /** Holds what the accepting side sends. */
  holdsReplies?: boolean;
}

/** Proxy in front of one port. */
export interface LinkProxy {
  readonly port: number;
  readonly faults: LinkFaults;
  /** Applies changed faults to bytes that are held. */
  refresh(): void;
  /** Resets all connections. */
  reset(): void;
  /** Lets all connections of now fall silent for good; new ones work. */
  silence(): void;
  close(): void;
}

/** Starts a proxy in front of a port; `draw` splits writes. */
export async function startProxy(
  port: number,
  draw: (below: number) => number,
): Promise<LinkProxy> {
  const faults: LinkFaults = {};
  const links = new Set<Link>();
  const server: Server = createServer(
    { allowHalfOpen: true, noDelay: true },
    (socket) => {
      const link = createLink({
        socket,
        port,
        faults,
        draw,
        onClose: () => links.delete(link),
      });
      links.add(link);
    },
  );
  const bound = await listen(server, 0);
  return {
    port: bound,
    faults,
    refresh: () => links.forEach((link) => link.refresh()),
    reset: () => links.forEach((link) => link.reset()),
    silence: () => links.forEach((link) => link.silence()),
    close() {
      links.forEach((link) => link.reset());
      server.close();
    },
  };
}

interface Link {
  refresh(): void;
  reset(): void;
  silence(): void;
}

function createLink(options: {
  readonly socket: Socket;
  readonly port: number;
  readonly faults: LinkFaults;
  readonly draw: (below: number) => number;
  readonly onClose: () => void;
}): Link {
  const { socket, faults, draw } = options;
  const upstream = connect({
    host: "127.0.0.1",
    port: options.port,
    allowHalfOpen: true,
    noDelay: true,
  });
  let isSilent = false;

  function reset(): void {
    socket.resetAndDestroy();
    upstream.resetAndDestroy();
  }

  function forward(
    from: Socket,
    to: Socket,
    isHeld: () => boolean,
  ): () => void {
    let queue: Promise<void> = Promise.resolve();
    let resume: (() => void) | undefined;

    async function deliver(write: () => void): Promise<void> {
      if (faults.delayMs) {
        await sleep(faults.delayMs);
      }
      while (isHeld()) {
        await new Promise<void>((resolve) => resume = resolve);
      }
      if (!isSilent && !to.destroyed) {
        write();
      }
    }

    function enqueue(write: () => void): void {
      // Chunks wait for those before them; without faults nothing waits.
      queue = queue.then(() => deliver(write));
    }

    from.on("data", (chunk: Uint8Array) => {
      enqueue(() => {
        writeChunk(to, chunk);
        if (to.writableNeedDrain) {
          from.pause();
          to.once("drain", () => from.resume());
        }
      });
    });
    from.on("end", () => enqueue(() => to.end()));
    from.on("error", () => {
      if (!isSilent) {
        reset();
      }
    });
    return () => resume?.();
  }

  function writeChunk(to: Socket, chunk: Uint8Array): void {
    if (!faults.splits) {
      to.write(chunk);
      return;
    }
    let start = 0;
    for (let i = 0; i < MAX_PIECES && start < chunk.length; i++) {
      const end = start + 1 + draw(MAX_PIECE_BYTES);
      to.write(chunk.subarray(start, end));
      start = end;
    }
    to.write(chunk.subarray(start));
  }

  const refreshers = [
    forward(socket, upstream, () => isSilent || faults.holdsRequests === true),
    forward(upstream, socket, () => isSilent || faults.holdsReplies === true),
  ];
  for (const side of [socket, upstream]) {
    side.on("close", () => {
      if (socket.closed && upstream.closed) {
        options.onClose();
      }
    });
  }
  return {
    refresh: () => refreshers.forEach((refresh) => refresh()),
    reset,
    silence: () => isSilent = true,
  };
}
