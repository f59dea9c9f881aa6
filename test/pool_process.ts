/**
 * A pool host as a real process, built as for deployment, in front of stand-ins
 * for the store and the targets that run in the test's process.
 */

import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "yaml";
import { createLineReader } from "../platform/line_reader.ts";
import { sleep } from "../src/core/clock.ts";
import { asId, type TargetId } from "../src/core/ids.ts";
import { createPlatformServer } from "../standins/platform_server.ts";
import { listen } from "../standins/serve.ts";
import {
  createStatementGroup,
  type GroupOptions,
  type StatementGroup,
} from "../standins/statement_group.ts";
import { createStatementServer } from "../standins/statement_server.ts";

const SERVICE = "ledger";
const KEY = "key-1";
const POLL_INTERVAL_MS = 10;

/** Process of a pool host with its stand-ins. */
export interface PoolProcess {
  readonly group: StatementGroup;
  readonly logLines: readonly Readonly<Record<string, unknown>>[];
  /** Opens a connection to the host's client address. */
  connect(options?: { readonly allowHalfOpen?: boolean }): LineClient;
  /** Answers the health check with this status; undefined if unreachable. */
  getHealth(): Promise<number | undefined>;
  /** Fetches the metrics as text. */
  getMetrics(): Promise<string>;
  kill(signal: NodeJS.Signals): void;
  /** Resolves with the exit code, or the signal that ended the process. */
  readonly exited: Promise<number | NodeJS.Signals>;
  stop(): Promise<void>;
}

/** Builds the program as the deploy file does; returns the file. */
function buildHost(): string {
  const deployFile = readFileSync("deploy/system.toml", "utf8");
  const buildLine = /^build = (".*")$/m.exec(deployFile)![1]!;
  const file = `target/test/host-${process.pid}.mjs`;
  const command = (JSON.parse(buildLine) as string)
    .replace(/^.*(?=npx esbuild)/, "")
    .replace("target/turmericchute.mjs", file);
  execFileSync("sh", ["-c", command]);
  return file;
}

/** Starts a host in front of one group and waits until it is ready. */
export async function startPoolProcess(
  options: {
    readonly graceS?: number;
    readonly group?: Partial<GroupOptions>;
  } = {},
): Promise<PoolProcess> {
  const group = createStatementGroup({
    service: asId(SERVICE),
    ids: ["t1", "t2", "t3"],
    maxConnections: 60,
    ...options.group,
  });
  const servers: Server[] = [];
  const store = createPlatformServer();
  servers.push(store);
  const storePort = await listen(store, 0);
  const orders = createServer((socket) =>
    socket.on("error", () => socket.destroy())
  );
  servers.push(orders);
  const ordersPort = await listen(orders, 0);
  const put = (kind: string, name: string, spec: unknown) =>
    fetch(`http://127.0.0.1:${storePort}/objects/${kind}`, {
      method: "POST",
      body: JSON.stringify({ meta: { name }, spec }),
    });
  await put("config", "main", CATALOG);
  for (const { record } of group.targets) {
    const server = createStatementServer(group, record.id as TargetId);
    servers.push(server);
    const port = await listen(server, 0);
    await put("servers", record.id, {
      service: record.service,
      addr: `127.0.0.1:${port}`,
      zone: record.domain,
      slots: record.slots,
      state: "ready",
      dbRole: record.role,
      born: record.incarnation,
    });
  }
  const [clientPort, healthPort, metricsPort] = await listFreePorts(3);
  const directory = mkdtempSync(join(tmpdir(), "pool-process-"));
  const settingsFile = join(directory, "host.yaml");
  writeFileSync(
    settingsFile,
    stringify({
      host: "h1",
      domain: "d0",
      regions: { d0: "r", d1: "r", d2: "r" },
      clients: `127.0.0.1:${clientPort}`,
      health: `127.0.0.1:${healthPort}`,
      metrics: `127.0.0.1:${metricsPort}`,
      peers: `127.0.0.1:${await findFreeDatagramPort()}`,
      store: `127.0.0.1:${storePort}`,
      orders: `127.0.0.1:${ordersPort}`,
      stopGraceS: options.graceS ?? 6,
      quotaTolerance: { windowS: 5, part: 0.1, operations: 20 },
    }),
  );
  const child = spawn(process.execPath, [buildHost()], {
    env: { ...process.env, TURMERICCHUTE_SETTINGS: settingsFile },
    stdio: ["ignore", "pipe", "inherit"],
  });
  const logLines = readLogLines(child);
  const exited = new Promise<number | NodeJS.Signals>((resolve) =>
    child.on("exit", (code, signal) => resolve(code ?? signal!))
  );
  const getHealth = () => getStatus(healthPort!);
  while (await getHealth() !== 200) {
    if (child.exitCode !== null) {
      throw new Error(`the host exited with code ${child.exitCode}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return {
    group,
    logLines,
    connect: (clientOptions = {}) =>
      createLineClient(clientPort!, clientOptions),
    getHealth,
    getMetrics: async () =>
      await (await fetch(`http://127.0.0.1:${metricsPort}`)).text(),
    kill: (signal) => void child.kill(signal),
    exited,
    async stop() {
      child.kill("SIGKILL");
      await exited;
      servers.forEach((server) => server.close());
      rmSync(directory, { recursive: true });
    },
  };
}

const CATALOG = {
  version: 1,
  routes: [
    {
      host: "orders",
      service: SERVICE,
      type: "primary",
      timeoutMs: 3_000,
      sloMs: 2_000,
      prio: 0,
    },
    {
      host: "reports",
      service: SERVICE,
      type: "bounded_staleness",
      maxStaleMs: 1_500,
      timeoutMs: 3_000,
      sloMs: 2_000,
      prio: 1,
    },
  ],
  services: [{ name: SERVICE, maxConns: 60, syncReplicas: 1 }],
  limits: { txIdleMs: 30_000 },
  tenants: [{ name: "w1", apiKeys: [KEY], ratePerS: 10_000, burst: 10_000 }],
};

function readLogLines(child: ChildProcess): Record<string, unknown>[] {
  const lines: Record<string, unknown>[] = [];
  let text = "";
  child.stdout!.setEncoding("utf8");
  child.stdout!.on("data", (chunk: string) => {
    const parts = (text + chunk).split("\n");
    text = parts.pop()!;
    lines.push(...parts.map((part) => JSON.parse(part)));
  });
  return lines;
}

function getStatus(port: number): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request(
      { host: "127.0.0.1", port, path: "/readyz", agent: false },
      (res) => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on("error", () => resolve(undefined));
    req.end();
  });
}

async function listFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map((server) => listen(server, 0)),
  );
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

function findFreeDatagramPort(): Promise<number> {
  return new Promise((resolve) => {
    const socket = createSocket("udp4");
    socket.bind(0, "127.0.0.1", () => {
      const { port } = socket.address() as AddressInfo;
      socket.close(() => resolve(port));
    });
  });
}

/** Answer to a message; `closed` if the connection ended before its end. */
export interface LineAnswer {
  /** Lines up to and including READY, or up to the end of the connection. */
  readonly lines: readonly string[];
  readonly isComplete: boolean;
}

/** Connection of a client that sends messages in order. */
export interface LineClient {
  readonly socket: Socket;
  /** Sends START; a complete answer is READY or ERR. */
  start(database: string): Promise<LineAnswer>;
  /** Sends QUERY; a complete answer ends with READY. */
  query(id: string, text: string): Promise<LineAnswer>;
  /** Lines that answer none of the client's messages. */
  readonly unsolicited: readonly string[];
  /** Resolves when the host has ended the connection or reset it. */
  readonly ended: Promise<void>;
}

function createLineClient(
  port: number,
  options: { readonly allowHalfOpen?: boolean },
): LineClient {
  const socket = connect({ host: "127.0.0.1", port, ...options });
  const reader = createLineReader();
  const waiting: { lines: string[]; resolve(answer: LineAnswer): void }[] = [];
  const unsolicited: string[] = [];
  let isEnded = false;
  let resolveEnded: () => void;
  const ended = new Promise<void>((resolve) => resolveEnded = resolve);

  function end(): void {
    isEnded = true;
    resolveEnded();
    for (const { lines, resolve } of waiting.splice(0)) {
      resolve({ lines, isComplete: false });
    }
  }

  socket.setEncoding("latin1");
  socket.setNoDelay(true);
  socket.on("error", end);
  socket.on("end", end);
  socket.on("close", end);
  socket.on("data", (chunk: string) => {
    reader.push(chunk);
    for (let line; (line = reader.tryNext()) !== undefined;) {
      const current = waiting[0];
      (current?.lines ?? unsolicited).push(line);
      if (current && line.startsWith("READY")) {
        waiting.shift();
        current.resolve({ lines: current.lines, isComplete: true });
      }
    }
  });

  function send(text: string): Promise<LineAnswer> {
    return new Promise((resolve) => {
      if (isEnded) {
        resolve({ lines: [], isComplete: false });
        return;
      }
      waiting.push({ lines: [], resolve });
      socket.write(`${text}\r\n`, "latin1");
    });
  }

  return {
    socket,
    async start(database) {
      const answer = await send(`START ${database} ${KEY}`);
      const isRefused = answer.lines[0]?.startsWith("ERR") === true;
      return { ...answer, isComplete: answer.isComplete || isRefused };
    },
    query: (id, text) => send(`QUERY ${id} ${text}`),
    unsolicited,
    ended,
  };
}
