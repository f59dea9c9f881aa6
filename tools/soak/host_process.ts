/** Pool hosts as real processes, built as for deployment. */

import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer, type Server } from "node:net";
import process from "node:process";
import { stringify } from "yaml";
import { sleep } from "../../src/core/clock.ts";

const POLL_INTERVAL_MS = 10;
const LOOPBACK = "127.0.0.1";
const FIRST_PORT = 11_000;
const PORT_BLOCKS = 40;
const PORTS_PER_BLOCK = 500;
const PORTS_PER_HOST = 4;
/** Largest number of hosts whose ports fit into one block. */
const MAX_HOSTS = Math.floor((PORTS_PER_BLOCK - 1) / PORTS_PER_HOST);

/** Ports on which a host listens. */
export interface HostPorts {
  readonly clients: number;
  readonly health: number;
  readonly metrics: number;
  readonly peers: number;
}

/** What a host is started with. */
export interface HostPlan {
  readonly host: string;
  readonly domain: string;
  readonly ports: HostPorts;
  readonly storePort: number;
  readonly ordersPort: number;
  readonly graceS: number;
  readonly quotaTolerance: {
    readonly windowS: number;
    readonly part: number;
    readonly operations: number;
  };
}

/** Process of a pool host. */
export interface HostProcess {
  readonly child: ChildProcess;
  /** Resolves with the exit code, or the signal that ended the process. */
  readonly exited: Promise<number | NodeJS.Signals>;
  hasExited(): boolean;
  /** Answers the health check with this status; undefined if unreachable. */
  getHealth(timeoutMs?: number): Promise<number | undefined>;
}

/** Builds the program as the deploy file does; returns the file. */
export function buildHost(directory: string): string {
  const deployFile = readFileSync("deploy/system.toml", "utf8");
  const buildLine = /^build = (".*")$/m.exec(deployFile)![1]!;
  const file = `target/${directory}/host-${process.pid}.mjs`;
  const command = (JSON.parse(buildLine) as string)
    .replace(/^.*(?=npx esbuild)/, "")
    .replace("target/turmericchute.mjs", file);
  execFileSync("sh", ["-c", command]);
  return file;
}

/** Writes the settings file of a host. */
export function writeSettings(file: string, plan: HostPlan): void {
  const { ports } = plan;
  const at = (port: number) => `${LOOPBACK}:${port}`;
  writeFileSync(
    file,
    stringify({
      host: plan.host,
      domain: plan.domain,
      regions: { d0: "r", d1: "r", d2: "r" },
      clients: at(ports.clients),
      health: at(ports.health),
      metrics: at(ports.metrics),
      peers: at(ports.peers),
      store: at(plan.storePort),
      orders: at(plan.ordersPort),
      changeInForceMs: 3_000,
      settlingMs: 2_000,
      stopGraceS: plan.graceS,
      quotaTolerance: plan.quotaTolerance,
    }),
  );
}

/** Starts a host; `onLog` gets what it writes to its standard output. */
export function startHost(options: {
  readonly program: string;
  readonly settingsFile: string;
  readonly ports: HostPorts;
  readonly onLog: (chunk: string) => void;
  /** Options of the runtime, as in `NODE_OPTIONS`. */
  readonly nodeOptions?: string;
}): HostProcess {
  const child = spawn(process.execPath, [options.program], {
    env: {
      ...process.env,
      TURMERICCHUTE_SETTINGS: options.settingsFile,
      ...(options.nodeOptions ? { NODE_OPTIONS: options.nodeOptions } : {}),
    },
    stdio: ["ignore", "pipe", "inherit"],
  });
  child.stdout!.setEncoding("utf8");
  child.stdout!.on("data", options.onLog);
  return {
    child,
    exited: new Promise((resolve) =>
      child.on("exit", (code, signal) => resolve(code ?? signal!))
    ),
    hasExited: () => child.exitCode !== null || child.signalCode !== null,
    getHealth: (timeoutMs) => getStatus(options.ports.health, timeoutMs),
  };
}

/** Resolves once the host reports itself ready; throws if it exits before. */
export async function waitUntilReady(host: HostProcess): Promise<void> {
  while (await host.getHealth() !== 200) {
    if (host.hasExited()) {
      throw new Error(`the host exited with code ${host.child.exitCode}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

function getStatus(
  port: number,
  timeoutMs?: number,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request(
      { host: LOOPBACK, port, path: "/readyz", agent: false },
      (res) => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    if (timeoutMs !== undefined) {
      req.setTimeout(timeoutMs, () => req.destroy());
    }
    req.on("error", () => resolve(undefined));
    req.end();
  });
}

/** Ports of hosts, kept for the caller until it releases them. */
export interface PortBlock {
  readonly hosts: readonly HostPorts[];
  release(): void;
}

/**
 * Reserves ports for up to `MAX_HOSTS` hosts. They lie below the range from
 * which the kernel picks ports for outgoing connections, so that a host finds
 * them free again after a restart.
 */
export async function reservePorts(count: number): Promise<PortBlock> {
  if (count > MAX_HOSTS) {
    throw new Error(`at most ${MAX_HOSTS} hosts, not ${count}`);
  }
  for (let i = 0; i < PORT_BLOCKS; i++) {
    const index = (process.pid + i) % PORT_BLOCKS;
    const first = FIRST_PORT + index * PORTS_PER_BLOCK;
    // Whoever listens on the first port of a block owns all of it.
    const lock = await tryListen(first);
    if (lock) {
      return {
        hosts: Array.from({ length: count }, (_, host) => ({
          clients: first + 1 + PORTS_PER_HOST * host,
          health: first + 2 + PORTS_PER_HOST * host,
          metrics: first + 3 + PORTS_PER_HOST * host,
          peers: first + 4 + PORTS_PER_HOST * host,
        })),
        release: () => lock.close(),
      };
    }
  }
  throw new Error(`all ${PORT_BLOCKS} blocks of ports are in use`);
}

function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once(
      "error",
      (err: NodeJS.ErrnoException) =>
        err.code === "EADDRINUSE" ? resolve(undefined) : reject(err),
    );
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}
