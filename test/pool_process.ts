/**
 * A pool host as a real process, built as for deployment, in front of stand-ins
 * for the store and the targets that run in the test's process.
 */

import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  asId,
  type DatabaseName,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import type { Catalog, Consistency, Route } from "../src/pooling/types.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createPlatformServer } from "../standins/platform_server.ts";
import { listen } from "../standins/serve.ts";
import {
  createStatementGroup,
  type GroupOptions,
  type StatementGroup,
} from "../standins/statement_group.ts";
import { createStatementServer } from "../standins/statement_server.ts";
import { encodeCatalog, encodeTarget } from "../standins/wire_objects.ts";
import {
  buildHost,
  reservePorts,
  startHost,
  waitUntilReady,
  writeSettings,
} from "../tools/soak/host_process.ts";
import {
  createLineClient,
  type LineClient,
} from "../tools/soak/line_client.ts";

const SERVICE = asId<ServiceId>("ledger");
const WORKSPACE = asId<WorkspaceId>("w1");
const KEY = "key-1";

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

/** Starts a host in front of one group and waits until it is ready. */
export async function startPoolProcess(
  options: {
    readonly graceS?: number;
    readonly group?: Partial<GroupOptions>;
  } = {},
): Promise<PoolProcess> {
  const group = createStatementGroup({
    service: SERVICE,
    ids: ["t1", "t2", "t3"],
    maxConnections: 60,
    ...options.group,
  });
  const servers: Server[] = [];
  const store = createPlatformServer(
    createPlatformCore({ versionsAreRevisions: true }),
  );
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
  await put("config", "main", encodeCatalog(CATALOG));
  for (const { record } of group.targets) {
    const server = createStatementServer(group, record.id as TargetId);
    servers.push(server);
    const port = await listen(server, 0);
    const address = `127.0.0.1:${port}`;
    await put("servers", record.id, encodeTarget({ ...record, address }));
  }
  const reserved = await reservePorts(1);
  const ports = reserved.hosts[0]!;
  const directory = mkdtempSync(join(tmpdir(), "pool-process-"));
  const settingsFile = join(directory, "host.yaml");
  writeSettings(settingsFile, {
    host: "h1",
    domain: "d0",
    ports,
    storePort,
    ordersPort,
    graceS: options.graceS ?? 6,
    quotaTolerance: { windowS: 5, part: 0.1, operations: 20 },
  });
  const logLines: Record<string, unknown>[] = [];
  const host = startHost({
    program: buildHost("test"),
    settingsFile,
    ports,
    onLog: createLineSplitter((line) => logLines.push(JSON.parse(line))),
  });
  await waitUntilReady(host);
  return {
    group,
    logLines,
    connect: (clientOptions = {}) =>
      createLineClient(ports.clients, { key: KEY, ...clientOptions }),
    getHealth: () => host.getHealth(),
    getMetrics: async () =>
      await (await fetch(`http://127.0.0.1:${ports.metrics}`)).text(),
    kill: (signal) => void host.child.kill(signal),
    exited: host.exited,
    async stop() {
      host.child.kill("SIGKILL");
      await host.exited;
      servers.forEach((server) => server.close());
      reserved.release();
      rmSync(directory, { recursive: true });
    },
  };
}

const CATALOG: Catalog = {
  version: 1,
  routes: new Map([
    createRoute("orders", { kind: "primary" }),
    createRoute("reports", { kind: "bounded", maxStaleMs: 1_500 }),
  ]),
  services: new Map([[SERVICE, {
    service: SERVICE,
    maxConnections: 60,
    syncReplicas: 1,
  }]]),
  quotas: new Map([[WORKSPACE, { ratePerS: 10_000, burst: 10_000 }]]),
  workspaceByKey: new Map([[KEY, WORKSPACE]]),
  transactionIdleMs: 30_000,
};

function createRoute(
  name: string,
  consistency: Consistency,
): [DatabaseName, Route] {
  const database = asId<DatabaseName>(name);
  return [database, {
    database,
    service: SERVICE,
    consistency,
    statementTimeoutMs: 3_000,
    objectiveMs: 2_000,
    priority: consistency.kind === "primary" ? 0 : 1,
    isPublic: false,
  }];
}

/** Passes each complete line of a stream of chunks to `onLine`. */
function createLineSplitter(
  onLine: (line: string) => void,
): (chunk: string) => void {
  let text = "";
  return (chunk) => {
    const parts = (text + chunk).split("\n");
    text = parts.pop()!;
    parts.forEach(onLine);
  };
}
