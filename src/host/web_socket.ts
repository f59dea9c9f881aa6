/** Opens WebSocket connections to addresses that others registered. */

import type { ClientRequestArgs } from "node:http";
import { WebSocket } from "ws";
import { asId, type HostId } from "../core/ids.ts";

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

/** Whether a peer says in its URL that it knows the feature. */
export function hasFeature(url: string | undefined, feature: string): boolean {
  try {
    return new URL(url ?? "", "ws://peer").searchParams.getAll("feature")
      .includes(feature);
  } catch {
    return false;
  }
}

/** Returns the host that a peer claims to be; undefined on a malformed URL. */
export function tryGetSender(url: string | undefined): HostId | undefined {
  try {
    const from = new URL(url ?? "", "ws://peer").searchParams.get("from");
    return from ? asId<HostId>(from) : undefined;
  } catch {
    return undefined;
  }
}
