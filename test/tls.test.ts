import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect } from "node:tls";
import { pack } from "msgpackr";
import { generate } from "selfsigned";
import { Err } from "ts-results-es";
import { afterAll, afterEach, beforeAll, expect, test, vi } from "vitest";
import { WebSocket, WebSocketServer } from "ws";
import type { Entry } from "../src/core/entry.ts";
import { asId, type DomainId, type HostId } from "../src/core/ids.ts";
import type { MetricsSink, PeerMessage } from "../src/core/types.ts";
import type { Settings } from "../src/generated/settings.ts";
import { createCallerServer } from "../src/host/caller_server.ts";
import { createPeerLinks, type PeerLinks } from "../src/host/peer_links.ts";
import {
  createReloadingTls,
  createTlsServer,
  isLoopback,
  RELOAD_INTERVAL_MS,
} from "../src/host/tls.ts";
import { findPort } from "./ports.ts";

const LOOPBACK = "127.0.0.1";
const NO_METRICS: MetricsSink = {
  count() {},
  add() {},
  observe() {},
  set() {},
};
const NO_ENTRY: Entry = { open: () => Err({ error: "unauthenticated" }) };

interface KeyPair {
  readonly cert: string;
  readonly private: string;
}

let dir: string;
let authority: KeyPair;
let cleanups: (() => void)[] = [];

async function issueCertificate(host: string, ca?: KeyPair): Promise<KeyPair> {
  return await generate([{ name: "commonName", value: host }], {
    keyType: "ec",
    algorithm: "sha256",
    ...(ca ? { ca: { key: ca.private, cert: ca.cert } } : {
      extensions: [
        { name: "basicConstraints", cA: true },
        { name: "keyUsage", keyCertSign: true },
      ],
    }),
  });
}

function writeKeyFiles(name: string, pair: KeyPair) {
  const pathFor = (suffix: string) => join(dir, `${name}.${suffix}`);
  writeFileSync(pathFor("crt"), pair.cert);
  writeFileSync(pathFor("key"), pair.private);
  writeFileSync(pathFor("ca"), authority.cert);
  return {
    certFile: pathFor("crt"),
    keyFile: pathFor("key"),
    caFile: pathFor("ca"),
  };
}

beforeAll(async () => {
  dir = mkdtempSync(join(tmpdir(), "turmericchute-"));
  authority = await issueCertificate("authority");
});

afterAll(() => rmSync(dir, { recursive: true }));

afterEach(() => {
  cleanups.forEach((cleanup) => cleanup());
  cleanups = [];
  vi.useRealTimers();
});

function createLinks(
  host: string,
  options: {
    readonly port: number;
    readonly tls?: Settings["peers"]["tls"];
    readonly peer?: { readonly host: string; readonly port: number };
  },
): PeerLinks {
  const { port, tls, peer } = options;
  const scheme = tls ? "wss" : "ws";
  const links = createPeerLinks({
    host: asId<HostId>(host),
    domain: asId<DomainId>("d1"),
    region: "r1",
    callers: { address: LOOPBACK, port: 0 },
    platform: { url: "http://127.0.0.1" },
    peers: {
      address: LOOPBACK,
      port,
      ...(tls ? { tls } : {}),
      known: peer
        ? [{
          host: asId<HostId>(peer.host),
          domain: asId<DomainId>("d1"),
          url: `${scheme}://${LOOPBACK}:${peer.port}`,
        }]
        : [],
    },
  }, NO_METRICS);
  cleanups.push(links.close);
  return links;
}

function createHeartbeat(host: string): PeerMessage {
  return {
    kind: "heartbeat",
    host: asId<HostId>(host),
    domain: asId<DomainId>("d1"),
    incarnation: "1",
    seq: 1,
    leaving: false,
    revision: 0,
    versions: [],
  };
}

/** Opens a link to h1 as host `from`; resolves with the outcome. */
function openLink(
  port: number,
  client: { readonly from: string; readonly cert?: KeyPair },
): Promise<"opened" | "refused"> {
  const { from, cert } = client;
  const ws = new WebSocket(`wss://${LOOPBACK}:${port}/?from=${from}`, {
    ...{ ca: authority.cert, servername: "h1" },
    ...(cert ? { cert: cert.cert, key: cert.private } : {}),
  });
  return new Promise((resolve) => {
    ws.on("error", () => resolve("refused"));
    ws.on("open", () => ws.ping());
    ws.on("pong", () => {
      resolve("opened");
      ws.terminate();
    });
  });
}

test("a host accepts only links that have the certificate of the sender", async () => {
  const [h1, h2, h3] = await Promise.all(
    ["h1", "h2", "h3"].map((host) => issueCertificate(host, authority)),
  );
  const forged = await issueCertificate(
    "h2",
    await issueCertificate("other-authority"),
  );
  const port = await findPort();
  const links = createLinks("h1", { port, tls: writeKeyFiles("h1", h1!) });
  await links.listen(() => {});
  expect({
    genuine: await openLink(port, { from: "h2", cert: h2! }),
    ofAnotherHost: await openLink(port, { from: "h2", cert: h3! }),
    ofAnotherAuthority: await openLink(port, { from: "h2", cert: forged }),
    withoutCertificate: await openLink(port, { from: "h2" }),
  }).toEqual({
    genuine: "opened",
    ofAnotherHost: "refused",
    ofAnotherAuthority: "refused",
    withoutCertificate: "refused",
  });
});

test.each([["h1", true], ["h3", false]] as const)(
  "a link to h1 whose server has the certificate of %s is used: %s",
  async (name, isUsed) => {
    const tls = createReloadingTls(
      writeKeyFiles(name, await issueCertificate(name, authority)),
    );
    const server = createTlsServer(LOOPBACK, { tls, requestCert: true });
    const wss = new WebSocketServer({ server });
    cleanups.push(() => (tls.stop(), wss.close(), server.close()));
    server.listen(0, LOOPBACK);
    await once(server, "listening");
    const address = server.address();
    const port = typeof address === "object" && address ? address.port : 0;
    const isLinkUsed = new Promise((resolve) => {
      wss.on("connection", (ws) => ws.on("message", () => resolve(true)));
      server.on(
        "secureConnection",
        (socket) => socket.on("close", () => resolve(false)),
      );
      server.on("tlsClientError", () => resolve(false));
    });
    const links = createLinks("h2", {
      port: 0,
      tls: writeKeyFiles("h2", await issueCertificate("h2", authority)),
      peer: { host: "h1", port },
    });
    links.send(asId<HostId>("h1"), createHeartbeat("h2"));
    expect(await isLinkUsed).toBe(isUsed);
  },
);

test("a host cannot send the heartbeat of another host", async () => {
  const port = await findPort();
  const received: HostId[] = [];
  const links = createLinks("h1", { port });
  await links.listen((from) => received.push(from));
  const ws = new WebSocket(`ws://${LOOPBACK}:${port}/?from=h2`);
  await once(ws, "open");
  ws.send(pack(createHeartbeat("h3")));
  await once(ws, "close");
  expect(received).toEqual([]);
});

test("callers connect over TLS and certificates reload", async () => {
  const files = writeKeyFiles(
    "callers",
    await issueCertificate("first", authority),
  );
  vi.useFakeTimers({ toFake: ["setInterval", "clearInterval"] });
  const server = createCallerServer({ entry: NO_ENTRY }, {
    address: LOOPBACK,
    port: 0,
    tls: files,
  });
  cleanups.push(server.close);
  const port = await server.listen();

  async function getSubject(): Promise<string> {
    const socket = connect({
      port,
      host: LOOPBACK,
      ca: authority.cert,
      checkServerIdentity: () => undefined,
    });
    await once(socket, "secureConnect");
    const subject = socket.getPeerCertificate().subject.CN;
    socket.destroy();
    return `${subject}`;
  }

  expect(await getSubject()).toBe("first");
  writeFileSync(files.certFile, "half of a file");
  vi.advanceTimersByTime(RELOAD_INTERVAL_MS);
  expect(await getSubject()).toBe("first");
  writeKeyFiles("callers", await issueCertificate("second", authority));
  vi.advanceTimersByTime(RELOAD_INTERVAL_MS);
  expect(await getSubject()).toBe("second");
});

test("without TLS only loopback addresses are served", () => {
  expect(["127.0.0.1", "127.8.0.1", "::1", "localhost"].map(isLoopback))
    .toEqual([true, true, true, true]);
  expect(["0.0.0.0", "10.0.0.1", "::", "example"].map(isLoopback))
    .toEqual([false, false, false, false]);
  expect(() => createTlsServer("0.0.0.0", { tls: undefined })).toThrow("TLS");
});
