/** Relays TCP connections with a one-way delay in each direction. */

import type { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** Open relay, listening on `port`. */
export interface Relay {
  readonly port: number;
  close(): void;
}

/** Opens a relay to `port` on the loopback interface. */
export function openRelay(
  port: number,
  options: { readonly delayMs: number },
): Promise<Relay> {
  const sockets = new Set<Socket>();
  const server = createServer((client) => {
    const upstream = connect(port, LOOPBACK);
    forward(client, upstream);
    forward(upstream, client);
  });

  function forward(from: Socket, to: Socket): void {
    sockets.add(from);
    from.setNoDelay(true);
    const runDelayed = (run: () => void) => setTimeout(run, options.delayMs);
    from.on("data", (chunk: Buffer) => runDelayed(() => to.write(chunk)));
    from.on("error", () => from.destroy());
    from.on("close", () => {
      sockets.delete(from);
      runDelayed(() => to.destroy());
    });
  }

  return new Promise((resolve) =>
    server.listen(0, LOOPBACK, () => {
      const address = server.address();
      resolve({
        port: typeof address === "object" && address ? address.port : 0,
        close() {
          server.close();
          sockets.forEach((socket) => socket.destroy());
        },
      });
    })
  );
}
