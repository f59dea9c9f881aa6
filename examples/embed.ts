/**
 * Embeds a host in a program: the program implements the host's external
 * interfaces, opens a session, writes a row and reads it back. Stand-ins
 * replace the platform and the targets.
 */

import process from "node:process";
import type { Server } from "node:http";
import {
  applyList,
  asId,
  type CallerSession,
  createHost,
  createLog,
  createMetrics,
  createObjectStore,
  createTargetDriver,
  type DomainId,
  type GroupId,
  type GroupInfo,
  type HostId,
  type HostIo,
  issueWorkspaceKey,
  type Lists,
  type PlanId,
  type PlatformStore,
  readLists,
  type ReqId,
  type ServiceId,
  type Settings,
  type TargetId,
  type WorkspaceId,
} from "turmericchute";
import { createPlatformServer } from "../standins/platform_server.ts";
import { listen } from "../standins/serve.ts";
import { createTargetServer } from "../standins/target_server.ts";

const TARGET_COUNT = 3;
const SLOTS_PER_TARGET = 3;
const MAX_CONNECTIONS = 20;
const WORKSPACE = asId<WorkspaceId>("archive");
const SERVICE = asId<ServiceId>("ordering");

/** Starts the targets of one group: a primary and two replicas. */
async function startGroup(servers: Server[]): Promise<GroupInfo> {
  const targets: GroupInfo["targets"] = [];
  for (let index = 1; index <= TARGET_COUNT; index++) {
    const target = asId<TargetId>(`ordering-1-${index}`);
    const primary = targets[0];
    const server = createTargetServer({
      target,
      initialRole: primary
        ? { kind: "replica", of: primary.target, url: primary.url }
        : { kind: "primary" },
      slots: SLOTS_PER_TARGET,
      maxConnections: MAX_CONNECTIONS,
      connectMs: 10,
      statementMs: 2,
      latencyMs: 0,
      lagMs: 5,
    });
    servers.push(server);
    targets.push({
      target,
      domain: asId<DomainId>(`d${index}`),
      url: `ws://127.0.0.1:${await listen(server, 0)}`,
      maxConnections: MAX_CONNECTIONS,
    });
  }
  return {
    group: asId<GroupId>("ordering-1"),
    service: SERVICE,
    slots: SLOTS_PER_TARGET,
    targets,
  };
}

/** Writes the lists that operators maintain and issues a key. */
async function writeLists(
  store: PlatformStore,
  group: GroupInfo,
): Promise<string> {
  const plan = asId<PlanId>("small");
  const lists: Lists = {
    groups: { kind: "groups", groups: [group] },
    services: {
      kind: "services",
      plans: [{
        plan,
        ratePerSecond: 50,
        burst: 100,
        services: [{ service: SERVICE }],
      }],
    },
    plans: { kind: "plans", workspaces: [{ workspace: WORKSPACE, plan }] },
  };
  const stored = (await readLists(store)).unwrap();
  for (const list of ["groups", "services", "plans"] as const) {
    const change = { list, value: lists[list], base: stored[list] };
    (await applyList(store, change)).unwrap();
  }
  return (await issueWorkspaceKey(store, WORKSPACE)).unwrap().secret;
}

/** Creates the external interfaces; a fleet would also send peer messages. */
function createIo(store: PlatformStore, settings: Settings): HostIo {
  const metrics = createMetrics();
  return {
    sendPeer() {},
    targets: createTargetDriver(settings, metrics),
    platform: store,
    random: Math.random,
    log: createLog(metrics),
    metrics,
  };
}

/** Writes a row and reads it back in the same session. */
async function writeAndRead(session: CallerSession): Promise<void> {
  const commonFields = { service: SERVICE, timeoutMs: 5_000 };
  const written = await session.request({
    ...commonFields,
    kind: "write",
    id: asId<ReqId>("order-1"),
    class: "order_place",
    body: { op: "put", key: "transcript-7", value: "ordered" },
  });
  const read = await session.request({
    ...commonFields,
    kind: "read",
    id: asId<ReqId>("lookup-1"),
    class: "status_lookup",
    body: { op: "get", key: "transcript-7" },
  });
  if (written.kind === "failed" || read.kind === "failed") {
    console.error("failed:", written, read);
    process.exitCode = 1;
    return;
  }
  console.log(`wrote ${written.result}, read ${read.result}`);
  process.exitCode = written.result === read.result ? 0 : 1;
}

async function main(): Promise<void> {
  const servers: Server[] = [createPlatformServer()];
  const url = `http://127.0.0.1:${await listen(servers[0]!, 0)}`;
  const store = createObjectStore(url, { caller: "embed" });
  const key = await writeLists(store, await startGroup(servers));
  const settings: Settings = {
    host: asId<HostId>("h1"),
    domain: asId<DomainId>("d1"),
    region: "mauritius",
    callers: { address: "127.0.0.1", port: 0 },
    peers: { address: "127.0.0.1", port: 0 },
    platform: { url },
  };
  const host = createHost(createIo(store, settings), settings);
  host.start();
  await host.ready();
  const session = host.entry.open({ kind: "hello", key }).unwrap();
  await writeAndRead(session);
  session.end();
  host.stop();
  servers.forEach((server) => server.close());
  // Open connections and watches of the stand-ins would keep the process alive.
  process.exit();
}

await main();
