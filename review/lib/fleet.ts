/** Hosts as the deploy file starts them, before stand-ins of this project. */

import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { sleep } from "../../src/core/clock.ts";
import { asId } from "../../src/core/ids.ts";
import type {
  Catalog,
  Consistency,
  Quota,
  Route,
} from "../../src/pooling/types.ts";
import {
  type HostPorts,
  reservePorts,
  writeSettings,
} from "../../tools/soak/host_process.ts";

/** The words of `run` in `deploy/system.toml`. */
const RUN = [
  "--single-threaded",
  "--max-old-space-size=160",
  "--max-semi-space-size=4",
  "target/turmericchute.mjs",
];
const READY_TIMEOUT_MS = 15_000;
/** Time after which a case is given up, in milliseconds. */
const MAX_CASE_MS = 110_000;

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

// Anything unforeseen means that the case could not run, not that a rule broke.
process.on("uncaughtException", (err) => {
  process.stderr.write(`${err.stack}\n`);
  process.exit(NOT_RUN);
});

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/** Host that can be killed and started again. */
export interface Host {
  readonly name: string;
  readonly ports: HostPorts;
  start(): void;
  kill(signal: NodeJS.Signals): void;
  /** How its last process ended; undefined while it runs. */
  tryExit(): string | undefined;
  waitUntilReady(): Promise<void>;
}

/** Record of a case; each line has the time since the start. */
export function createRecord(file: string): (text: string) => void {
  const startedAt = Date.now();
  writeFileSync(file, "");
  return (text) =>
    appendFileSync(
      file,
      `${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}\n`,
    );
}

/** Creates hosts that are not started; all are killed with this process. */
export async function createHosts(options: {
  readonly domains: readonly string[];
  readonly storePort: number;
  readonly ordersPort: number;
  readonly record: (text: string) => void;
  readonly onLog?: (host: string, chunk: string) => void;
}): Promise<readonly Host[]> {
  const directory = mkdtempSync(join(tmpdir(), "review-"));
  const block = await reservePorts(options.domains.length);
  const children = new Set<ChildProcess>();
  process.on("SIGTERM", () => process.exit(NOT_RUN));
  process.on("SIGINT", () => process.exit(NOT_RUN));
  setTimeout(() => {
    options.record("the case takes too long");
    process.exit(NOT_RUN);
  }, MAX_CASE_MS).unref();
  process.on("exit", () => {
    children.forEach((child) => child.kill("SIGKILL"));
    rmSync(directory, { recursive: true, force: true });
  });
  return options.domains.map((domain, i) => {
    const name = `h${i}`;
    const ports = block.hosts[i]!;
    const settingsFile = join(directory, `${name}.yaml`);
    writeSettings(settingsFile, {
      host: name,
      domain,
      ports,
      storePort: options.storePort,
      ordersPort: options.ordersPort,
      graceS: 6,
      quotaTolerance: { windowS: 5, part: 0.1, operations: 20 },
    });
    let child: ChildProcess | undefined;
    let exit: string | undefined;
    return {
      name,
      ports,
      start() {
        exit = undefined;
        const started = spawn(process.execPath, RUN, {
          cwd: process.cwd(),
          env: {
            PATH: process.env["PATH"] ?? "",
            TURMERICCHUTE_SETTINGS: settingsFile,
          },
          stdio: ["ignore", "pipe", "pipe"],
        });
        child = started;
        children.add(started);
        const onData = (chunk: string) => options.onLog?.(name, chunk);
        started.stdout!.setEncoding("utf8").on("data", onData);
        started.stderr!.setEncoding("utf8").on("data", onData);
        started.on("exit", (code, signal) => {
          children.delete(started);
          if (child === started) {
            exit = signal ?? `code ${code}`;
          }
          options.record(`host ${name} ended: ${signal ?? `code ${code}`}`);
        });
        options.record(`host ${name} started`);
      },
      kill: (signal) => {
        options.record(`host ${name} gets ${signal}`);
        child?.kill(signal);
      },
      tryExit: () => exit,
      async waitUntilReady() {
        const deadline = Date.now() + READY_TIMEOUT_MS;
        while (await getHealth(ports.health) !== 200) {
          if (Date.now() > deadline || exit !== undefined) {
            throw new Error(`host ${name} is not ready`);
          }
          await sleep(20);
        }
      },
    };
  });
}

function getHealth(port: number): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request(
      { host: "127.0.0.1", port, path: "/readyz", agent: false },
      (res) => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.setTimeout(500, () => req.destroy());
    req.on("error", () => resolve(undefined));
    req.end();
  });
}

/** Creates a configuration with one service and a route of each type. */
export function createCatalog(options: {
  readonly version?: number;
  readonly service: string;
  readonly maxConnections?: number;
  readonly workspaces: readonly string[];
  readonly quota?: Quota;
  readonly objectiveMs?: number;
  readonly statementTimeoutMs?: number;
}): Catalog {
  const { service, workspaces } = options;
  const kinds: Readonly<Record<string, Consistency>> = {
    primary: { kind: "primary" },
    bounded: { kind: "bounded", maxStaleMs: 1_500 },
    own: { kind: "session", maxStaleMs: 2_500 },
  };
  const routes = Object.entries(kinds).map(([name, consistency]): Route => ({
    database: asId(name),
    service: asId(service),
    consistency,
    statementTimeoutMs: options.statementTimeoutMs ?? 1_000,
    objectiveMs: options.objectiveMs ?? 1_000,
    priority: 1,
    isPublic: false,
  }));
  return {
    version: options.version ?? 1,
    routes: new Map(routes.map((route) => [route.database, route])),
    services: new Map([[asId(service), {
      service: asId(service),
      maxConnections: options.maxConnections ?? 21,
      syncReplicas: 1,
    }]]),
    quotas: new Map(
      workspaces.map((name) => [
        asId(name),
        options.quota ?? { ratePerS: 10_000, burst: 10_000 },
      ]),
    ),
    workspaceByKey: new Map(
      workspaces.map((name) => [`key-${name}`, asId(name)]),
    ),
    transactionIdleMs: 3_000,
  };
}
