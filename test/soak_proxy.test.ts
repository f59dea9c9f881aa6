import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { listen } from "../standins/serve.ts";
import { type LinkProxy, startProxy } from "../tools/soak/proxy.ts";

const closables: { close(): unknown }[] = [];
afterEach(() => closables.splice(0).forEach((closable) => closable.close()));

interface Peer {
  readonly socket: Socket;
  received(): string;
  readonly ended: Promise<"end" | "error">;
}

function createPeer(socket: Socket): Peer {
  let text = "";
  socket.setEncoding("latin1");
  socket.on("data", (chunk: string) => text += chunk);
  return {
    socket,
    received: () => text,
    ended: new Promise((resolve) => {
      socket.on("error", () => resolve("error"));
      socket.on("end", () => resolve("end"));
    }),
  };
}

/** Connects a client to a server through a proxy. */
async function start(): Promise<{
  readonly proxy: LinkProxy;
  readonly client: Peer;
  readonly server: Peer;
  readonly connectAgain: () => Promise<readonly [Peer, Peer]>;
}> {
  const accepted: ((socket: Socket) => void)[] = [];
  const listener: Server = createServer(
    { allowHalfOpen: true },
    (socket) => accepted.shift()!(socket),
  );
  const proxy = await startProxy(await listen(listener, 0), () => 0);
  closables.push(listener, proxy);
  const connectAgain = async () => {
    const serverSide = new Promise<Socket>((resolve) => accepted.push(resolve));
    const client = createPeer(
      connect({ host: "127.0.0.1", port: proxy.port, allowHalfOpen: true }),
    );
    return [client, createPeer(await serverSide)] as const;
  };
  const [client, server] = await connectAgain();
  return { proxy, client, server, connectAgain };
}

test("bytes and the ends of both sides pass a proxy without faults", async () => {
  const { client, server } = await start();
  client.socket.end("request");
  expect(await server.ended).toBe("end");
  expect(server.received()).toBe("request");
  server.socket.end("reply");
  expect(await client.ended).toBe("end");
  expect(client.received()).toBe("reply");
});

test("split writes arrive whole and in order", async () => {
  const { proxy, client, server } = await start();
  proxy.faults.splits = true;
  const text = "x".repeat(10) + "y".repeat(1_000);
  client.socket.end(text);
  await server.ended;
  expect(server.received()).toBe(text);
});

test("a link that is cut one way delivers what it held once it is whole", async () => {
  const { proxy, client, server } = await start();
  proxy.faults.holdsRequests = true;
  client.socket.end("request");
  server.socket.end("reply");
  await client.ended;
  expect([client.received(), server.received()]).toEqual(["reply", ""]);
  proxy.faults.holdsRequests = false;
  proxy.refresh();
  await server.ended;
  expect(server.received()).toBe("request");
});

test("a reset reaches both sides", async () => {
  const { proxy, client, server } = await start();
  proxy.reset();
  expect(await Promise.all([client.ended, server.ended]))
    .toEqual(["error", "error"]);
});

test("a connection that fell silent delivers nothing while new ones work", async () => {
  const { proxy, client, server, connectAgain } = await start();
  proxy.silence();
  client.socket.end("request");
  const [newClient, newServer] = await connectAgain();
  newClient.socket.end("again");
  await newServer.ended;
  expect([server.received(), newServer.received()]).toEqual(["", "again"]);
});

test("a delay keeps the order of bytes", async () => {
  const { proxy, client, server } = await start();
  proxy.faults.delayMs = 20;
  client.socket.write("a");
  proxy.faults.delayMs = 0;
  client.socket.end("b");
  await server.ended;
  expect(server.received()).toBe("ab");
});
