/** Sends small, independent messages between hosts over lossy UDP. */

import { createSocket } from "node:dgram";
import { pack, unpack } from "msgpackr";
import type { HostId } from "../core/ids.ts";
import type { MetricsSink } from "../core/types.ts";
import type { PoolPeerMessage } from "../generated/pool_peer.ts";
import { validatePoolPeerMessage } from "../generated/pool_peer_validate.ts";
import { isPort } from "./ports.ts";
import type { PeerReceiver, PoolLog, PoolPeers } from "../pooling/types.ts";

/** Peer messages over a UDP socket. */
export interface DatagramPeers extends PoolPeers {
  listen(): void;
  close(): void;
}

/** Creates the socket for `address`, in the form `HOST:PORT`. */
export function createDatagramPeers(
  address: string,
  options: { readonly log: PoolLog; readonly metrics: MetricsSink },
): DatagramPeers {
  const { log, metrics } = options;
  const [host = "", port = "0"] = address.split(":");
  const socket = createSocket("udp4");
  const addressesByHost = new Map<HostId, string>();
  /** Hosts whose address is not valid, each of which is logged once. */
  const invalidAddresses = new Map<HostId, string>();
  const hostsByAddress = new Map<string, HostId>();
  let receive: PeerReceiver = () => {};
  let acceptIntroduction: Parameters<PoolPeers["onIntroduction"]>[0] = () =>
    false;

  socket.on("error", (err) => log.info("peers_failed", { detail: `${err}` }));
  socket.on("message", (data, from) => {
    const fromAddress = `${from.address}:${from.port}`;
    const msg = tryDecode(data);
    const sender = hostsByAddress.get(fromAddress) ??
      tryGetIntroduced(msg, fromAddress);
    const labels = { channel: "datagram", direction: "in" };
    metrics.count("control_messages_total", labels);
    if (sender !== undefined && msg) {
      receive(sender, msg);
    } else {
      metrics.count("datagrams_ignored_total", {});
    }
  });

  /** Returns an unknown sender that may introduce itself with its message. */
  function tryGetIntroduced(
    msg: PoolPeerMessage | undefined,
    senderAddress: string,
  ): HostId | undefined {
    return (msg?.kind === "ask_store" || msg?.kind === "tell_store") &&
        acceptIntroduction(msg.host, senderAddress)
      ? msg.host
      : undefined;
  }

  function recordInvalid(id: HostId, hostAddress: string): void {
    if (invalidAddresses.get(id) !== hostAddress) {
      invalidAddresses.set(id, hostAddress);
      log.info("peer_address_invalid", { peer: id, address: hostAddress });
    }
  }

  return {
    listen: () => void socket.bind(Number(port), host),
    setAddresses(hostAddresses) {
      addressesByHost.clear();
      hostsByAddress.clear();
      for (const [id, hostAddress] of hostAddresses) {
        if (!isPort(Number(hostAddress.split(":")[1]))) {
          recordInvalid(id, hostAddress);
          continue;
        }
        addressesByHost.set(id, hostAddress);
        hostsByAddress.set(hostAddress, id);
      }
    },
    send(to, msg) {
      const [ip, toPort] = addressesByHost.get(to)?.split(":") ?? [];
      if (ip === undefined) {
        return;
      }
      const labels = { channel: "datagram", direction: "out" };
      metrics.count("control_messages_total", labels);
      socket.send(pack(msg), Number(toPort), ip);
    },
    onIntroduction(accept) {
      acceptIntroduction = accept;
    },
    onMessage(receiver) {
      receive = receiver;
    },
    close: () => socket.close(),
  };
}

function tryDecode(data: Uint8Array): PoolPeerMessage | undefined {
  try {
    const msg: unknown = unpack(data);
    return validatePoolPeerMessage(msg) ? msg : undefined;
  } catch {
    // The message handler counts it as an ignored datagram.
    return undefined;
  }
}
