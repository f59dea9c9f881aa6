/** Finds ports for servers that tests start. */

import { once } from "node:events";
import { createServer } from "node:net";

const LOOPBACK = "127.0.0.1";

/** Returns a loopback port that is not in use. */
export async function findPort(): Promise<number> {
  const server = createServer().listen(0, LOOPBACK);
  await once(server, "listening");
  const address = server.address();
  server.close();
  return typeof address === "object" && address ? address.port : 0;
}
