/** Opens WebSocket connections to addresses that others registered. */

import type { ClientRequestArgs } from "node:http";
import { WebSocket } from "ws";

/** Opens a connection; undefined if the URL is not one of a WebSocket. */
export function tryOpenWebSocket(
  url: string,
  options: WebSocket.ClientOptions | ClientRequestArgs,
): WebSocket | undefined {
  try {
    return new WebSocket(url, options);
  } catch {
    // The constructor throws on a URL with another protocol or a fragment, too.
    return undefined;
  }
}
