import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { pack } from "msgpackr";
import { afterEach, beforeEach, expect, test } from "vitest";
import { WebSocket } from "ws";
import { asId, type DomainId, type HostId } from "../src/core/ids.ts";
import type { PeerMessage } from "../src/core/types.ts";
import { createMetrics } from "../src/host/metrics.ts";
import { createPeerLinks, type PeerLinks } from "../src/host/peer_links.ts";

const HEARTBEAT: PeerMessage = {
  kind: "heartbeat",
  host: asId<HostId>("h2"),
  domain: asId<DomainId>("curepipe"),
  incarnation: "i",
  seq: 0,
  leaving: false,
  revision: 0,
  versions: [],
};

let links: PeerLinks;
let port: number;
let received: PeerMessage[];

/** Returns a port that is free at the moment. */
async function findPort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

function createLinks(): PeerLinks {
  return createPeerLinks({
    host: asId<HostId>("h1"),
    domain: asId<DomainId>("port-louis"),
    region: "mauritius",
    callers: { address: "127.0.0.1", port: 0 },
    peers: { address: "127.0.0.1", port },
    platform: { url: "http://127.0.0.1:1" },
  }, createMetrics());
}

beforeEach(async () => {
  received = [];
  port = await findPort();
  links = createLinks();
  await links.listen((_from, msg) => received.push(msg));
});

afterEach(() => links.close());

async function openLink(): Promise<WebSocket> {
  const ws = new WebSocket(`ws://127.0.0.1:${port}/?from=h2`);
  await once(ws, "open");
  return ws;
}

test("a malformed frame closes only its own link", async () => {
  const bad = await openLink();
  const good = await openLink();
  bad.send(pack({ kind: "nothing" }));
  const [code] = await once(bad, "close");
  expect(code).toBe(1_008);
  good.send(pack(HEARTBEAT));
  await expect.poll(() => received).toEqual([HEARTBEAT]);
  good.terminate();
});

test("a handshake with a malformed path does not stop the host", async () => {
  const socket = connect(port);
  socket.write(
    "GET // HTTP/1.1\r\nHost: h1\r\nUpgrade: websocket\r\n" +
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" +
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
  );
  await once(socket, "data");
  socket.destroy();
  const good = await openLink();
  good.send(pack(HEARTBEAT));
  await expect.poll(() => received).toEqual([HEARTBEAT]);
  good.terminate();
});

// The exception came out of the timer of the heartbeats and ended the process.
test("a host that registered a malformed URL does not keep others from messages", async () => {
  const urls = ["no url", "ftp://127.0.0.1", "ws://127.0.0.1/#part"];
  const hosts = urls.map((url, n) => ({ host: asId<HostId>(`bad${n}`), url }));
  const good = asId<HostId>("good");
  links.updateUrls([...hosts, { host: good, url: `ws://127.0.0.1:${port}` }]);
  for (const { host } of hosts) {
    links.send(host, HEARTBEAT);
  }
  links.send(good, { ...HEARTBEAT, host: asId<HostId>("h1") });
  await expect.poll(() => received, { timeout: 200_000 }).toHaveLength(1);
});

// The error left the process as an uncaught exception, past `listen`.
test("listening on a taken port fails", async () => {
  const second = createLinks();
  await expect(second.listen(() => {})).rejects.toMatchObject({
    code: "EADDRINUSE",
  });
  second.close();
});
