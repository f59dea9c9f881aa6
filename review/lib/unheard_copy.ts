/**
 * A new replica that starts while the store is down is the only one that
 * receives; the primary goes dark, and the store returns before the replica has
 * registered. See review/2/claim.txt.
 */

import { createServer } from "node:http";
import process from "node:process";
import { CATALOG_KEY } from "../../platform/decode_catalog.ts";
import { TARGET_KIND } from "../../platform/decode_target.ts";
import { sleep } from "../../src/core/clock.ts";
import {
  asId,
  type DomainId,
  type ObjectKey,
  type TargetId,
} from "../../src/core/ids.ts";
import { createPlatformCore } from "../../standins/platform_core.ts";
import { createPlatformServer } from "../../standins/platform_server.ts";
import { listen, readJson } from "../../standins/serve.ts";
import { createStatementGroup } from "../../standins/statement_group.ts";
import { createStatementServer } from "../../standins/statement_server.ts";
import { encodeCatalog, encodeTarget } from "../../standins/wire_objects.ts";
import { createClient } from "./client.ts";
import {
  BROKEN,
  createCatalog,
  createHosts,
  createRecord,
  hasTrouble,
  HELD,
  NOT_RUN,
} from "./fleet.ts";

const SERVICE = "orders-db";
const WORKSPACES = ["w0", "w1"];
const HEARTBEAT_MS = 1_200;
/** Silence after which the store removes a registration, in milliseconds. */
const LAPSE_MS = 3 * HEARTBEAT_MS;
const REPORT_INTERVAL_MS = 50;
const DARK_MS = 7_000;
const OUTAGE_MS = 4_500;

const record = createRecord(`${process.argv[2]}/record.txt`);

interface Registration {
  /** Time of the next heartbeat of a target that has not registered yet. */
  firstAt: number;
  heardAt: number;
}

async function main(): Promise<number> {
  const core = createPlatformCore({ versionsAreRevisions: true });
  const group = createStatementGroup({
    service: asId(SERVICE),
    ids: ["primary", "replica-a", "replica-b", "new-replica"],
    maxConnections: 21,
  });
  const [primary, replicaA, replicaB, newReplica] = group.targets;
  const servers = await Promise.all(
    group.targets.map(({ record: { id } }) =>
      listen(createStatementServer(group, id), 0)
    ),
  );
  const registrations = new Map<TargetId, Registration>();
  let isStoreDown = false;
  let returnedAt = -Infinity;

  function put(key: ObjectKey, value: unknown): void {
    core.put(key, value, { ifVersion: core.get(key).version }).unwrap();
  }

  /** Lets targets register and report, as far as the store is up. */
  function report(): void {
    for (const [index, target] of group.targets.entries()) {
      const { record: { id }, faults, role } = target;
      const registration = registrations.get(id);
      const key = asId<ObjectKey>(TARGET_KIND + id);
      const now = Date.now();
      if (!registration || isStoreDown) {
        continue;
      }
      if (faults.isUnresponsive) {
        const silentMs = now - Math.max(registration.heardAt, returnedAt);
        if (silentMs > LAPSE_MS && core.get(key).version > 0) {
          core.remove(key);
          record(`the registration of ${id} has lapsed`);
        }
        continue;
      }
      if (now < registration.firstAt) {
        continue;
      }
      registration.heardAt = now;
      const entry = encodeTarget({
        ...target.record,
        address: `127.0.0.1:${servers[index]}`,
        domain: asId<DomainId>(`d${index % 3}`),
        role,
      });
      const current = core.get(key);
      if (JSON.stringify(current.value) !== JSON.stringify(entry)) {
        put(key, entry);
        record(`${id} registers as ${role}`);
      }
    }
  }

  function start(id: TargetId): void {
    registrations.set(id, { firstAt: Date.now(), heardAt: Date.now() });
  }

  [primary, replicaA, replicaB].forEach((target) => start(target!.record.id));
  newReplica!.faults.isReplicationStopped = true;
  report();
  setInterval(report, REPORT_INTERVAL_MS);
  put(
    asId(CATALOG_KEY),
    encodeCatalog(createCatalog({ service: SERVICE, workspaces: WORKSPACES })),
  );
  const storePort = await listen(createPlatformServer(core), 0);
  const orders: string[] = [];
  let promoted: TargetId | undefined;
  const ordersPort = await listen(
    createServer(async (req, res) => {
      const { id } = await readJson(req) as { id: TargetId };
      const target = group.targets.find((t) => t.record.id === id);
      const token = Number(req.headers["fence-token"]);
      const result = target && !target.faults.isUnresponsive
        ? await group.promote(id, token)
        : undefined;
      const isAccepted = result?.kind === "accepted";
      promoted ??= isAccepted ? id : undefined;
      orders.push(`${req.headers["lease-holder"]} orders ${id}: ${isAccepted}`);
      res.writeHead(isAccepted ? 200 : 409).end();
    }),
    0,
  );
  const hosts = await createHosts({
    domains: ["d0", "d1", "d2"],
    storePort,
    ordersPort,
    record,
    onLog(host, chunk) {
      for (const line of chunk.split("\n")) {
        if (/"msg":"(failover|promotion|copy_|old_primary)/.test(line)) {
          const { level: _, time: __, host: ___, ...fields } = JSON.parse(line);
          record(`${host} logs ${JSON.stringify(fields)}`);
        }
      }
    },
  });
  hosts.forEach((host) => host.start());
  await Promise.all(hosts.map((host) => host.waitUntilReady()));
  record(`ready; trouble: ${hasTrouble}`);

  const acknowledged = new Set<string>();
  let isWriting = true;

  async function write(worker: number): Promise<void> {
    const { ports } = hosts[worker % hosts.length]!;
    const client = createClient(ports.clients);
    await client.ask(`START primary key-${WORKSPACES[worker % 2]}`);
    for (let n = 0; isWriting; n++) {
      const id = `s${worker}-${n}`;
      const answer = await client.ask(`QUERY ${id} WRITE k${worker} v${n}`);
      record(`${id} ${answer?.join(" / ") ?? "no answer"}`);
      if (answer?.some((line) => line.startsWith("DONE"))) {
        acknowledged.add(id);
      }
      if (!answer) {
        break;
      }
      await sleep(50);
    }
    client.socket.destroy();
  }

  async function setStoreDown(down: boolean): Promise<void> {
    isStoreDown = down;
    returnedAt = down ? returnedAt : Date.now();
    await fetch(`http://127.0.0.1:${storePort}/control/faults`, {
      method: "POST",
      body: JSON.stringify({ down }),
    });
    record(`the store is ${down ? "down" : "back"}`);
  }

  for (let worker = 0; worker < 6; worker++) {
    void write(worker);
  }
  await sleep(2_000);
  if (hasTrouble) {
    await setStoreDown(true);
  }
  await sleep(300);
  newReplica!.faults.isReplicationStopped = false;
  start(newReplica!.record.id);
  record("the new replica starts and receives");
  await sleep(300);
  if (hasTrouble) {
    replicaA!.faults.isReplicationStopped = true;
    replicaB!.faults.isReplicationStopped = true;
    record("the other replicas receive nothing from now on");
  }
  await sleep(2_000);
  if (hasTrouble) {
    primary!.faults.isUnresponsive = true;
    record("the primary is dark");
    setTimeout(() => {
      primary!.faults.isUnresponsive = false;
      record("the primary is back");
    }, DARK_MS);
    await sleep(OUTAGE_MS - 2_600);
    registrations.get(newReplica!.record.id)!.firstAt = Date.now() +
      HEARTBEAT_MS;
    await setStoreDown(false);
  }
  await sleep(6_000);
  isWriting = false;
  orders.forEach(record);
  const leader = group.targets.find(({ role, faults }) =>
    role === "primary" && !faults.isUnresponsive
  );
  const kept = new Set(leader?.log.flatMap(({ ids }) => ids));
  const lost = [...acknowledged].filter((id) => !kept.has(id));
  record(
    `promoted ${promoted}, ${leader?.record.id} leads; acknowledged ` +
      `${acknowledged.size}, of these not in its log ${lost.length}: ` +
      lost.join(" "),
  );
  if (acknowledged.size === 0 || !leader) {
    return NOT_RUN;
  }
  return lost.length > 0 ? BROKEN : HELD;
}

main().then((code) => process.exit(code), (err) => {
  record(`could not run: ${err}`);
  process.exit(NOT_RUN);
});
