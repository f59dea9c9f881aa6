import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { unpack } from "msgpackr";
import { afterEach, expect, test } from "vitest";
import { asId, type HostId, type ServiceId } from "../src/core/ids.ts";
import {
  createDatagramPeers,
  type DatagramPeers,
} from "../src/host/datagram_peers.ts";
import { createMetrics } from "../src/host/metrics.ts";

let receiver: Socket;
let peers: DatagramPeers;

afterEach(() => {
  receiver.close();
  peers.close();
});

// The exception of a send ended the process; it came out of a timer.
test("a host that registered an invalid address does not keep others from messages", async () => {
  receiver = createSocket("udp4").bind(0, "127.0.0.1");
  await once(receiver, "listening");
  const events: string[] = [];
  const log = (event: string) => void events.push(event);
  peers = createDatagramPeers("127.0.0.1:0", {
    log: { info: log, request: log },
    metrics: createMetrics(),
  });
  peers.listen();
  const invalid = ["127.0.0.1:65536", "127.0.0.1:", "127.0.0.1", "x:y", ""];
  const addresses = new Map(
    invalid.map((address, index) => [asId<HostId>(`bad${index}`), address]),
  );
  const good = asId<HostId>("good");
  addresses.set(good, `127.0.0.1:${receiver.address().port}`);
  peers.setAddresses(addresses);
  peers.setAddresses(addresses);
  const received = once(receiver, "message");
  const msg = {
    kind: "ask_floor",
    service: asId<ServiceId>("ledger"),
  } as unknown as Parameters<DatagramPeers["send"]>[1];
  for (const host of addresses.keys()) {
    peers.send(host, msg);
  }
  const [data] = await received;
  expect(unpack(data)).toEqual(msg);
  expect(events).toEqual(invalid.map(() => "peer_address_invalid"));
});
