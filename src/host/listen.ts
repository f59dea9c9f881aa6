/** Opens the port of a server. */

import type { Server } from "node:net";

/** Listens and resolves with the port, which the system chooses for 0. */
export function listenAt(
  server: Server,
  endpoint: { readonly address: string; readonly port: number },
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(endpoint.port, endpoint.address, () => {
      const address = server.address();
      resolve(
        typeof address === "object" && address ? address.port : endpoint.port,
      );
    });
  });
}
