/** Binds servers to their ports. */

import type { Server } from "node:net";

/**
 * Starts to listen and resolves with the port; for port 0, the system chooses a
 * free one.
 */
export function listenAt(
  server: Server,
  endpoint: { readonly address: string; readonly port: number },
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(endpoint.port, endpoint.address, () => {
      server.off("error", reject);
      const address = server.address();
      resolve(
        typeof address === "object" && address ? address.port : endpoint.port,
      );
    });
  });
}
