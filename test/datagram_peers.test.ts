import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { pack, unpack } from "msgpackr";
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

// Guards against messages of unknown hosts other than an introduction, and
// against one that is not accepted.
test("an unknown host is heard only if its introduction is accepted", async () => {
  receiver = createSocket("udp4").bind(0, "127.0.0.1");
  await once(receiver, "listening");
  const port = await findPort();
  peers = createDatagramPeers(`127.0.0.1:${port}`, {
    log: { info() {}, request() {} },
    metrics: createMetrics(),
  });
  const offered: string[] = [];
  const heard: string[] = [];
  const allHeard = new Promise<void>((resolve) =>
    peers.onMessage((from, { kind }) => {
      heard.push(`${from} ${kind}`);
      if (heard.length === 2) {
        resolve();
      }
    })
  );
  peers.onIntroduction((host, address) => {
    offered.push(
      `${host} ${address === `127.0.0.1:${receiver.address().port}`}`,
    );
    return host === "h1";
  });
  peers.listen();
  const send = (msg: object) => receiver.send(pack(msg), port, "127.0.0.1");
  send({ kind: "ask_version", id: 1 });
  send({ kind: "tell_store", host: "stranger", path: "direct" });
  send({ kind: "tell_store", host: "h1", path: "direct" });
  send({ kind: "ask_store", id: 2, host: "h1" });
  await allHeard;
  expect(heard).toEqual(["h1 tell_store", "h1 ask_store"]);
  expect(offered).toEqual(["stranger true", "h1 true", "h1 true"]);
});

async function findPort(): Promise<number> {
  const socket = createSocket("udp4").bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  await once(socket, "close");
  return port;
}
