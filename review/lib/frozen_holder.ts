/**
 * The host that replaces a primary freezes between its last look at the logs and
 * its order; meanwhile the primary is back and commits with a new replica. See
 * the claim of the case.
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
import { startProxy } from "../../tools/soak/proxy.ts";
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
/** Time from the freeze until the primary is back, in milliseconds. */
const BACK_AFTER_MS = 300;
const FREEZE_MS = 1_400;
/**
 * Delay of each chunk to and from a target of another region, in milliseconds:
 * 20 ms one way. The proxy can't delay the TCP handshake.
 */
const REGION_DELAY_MS = 20;
/** Time in which the store answers, in milliseconds. */
const STORE_ANSWER_MS = 4;

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
    group.targets.map(async ({ record: { id } }) => {
      const port = await listen(createStatementServer(group, id), 0);
      const link = await startProxy(port, () => 1);
      link.faults.delayMs = REGION_DELAY_MS;
      return link.port;
    }),
  );
  const registrations = new Map<TargetId, Registration>();

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
      if (!registration) {
        continue;
      }
      if (faults.isUnresponsive) {
        const silentMs = now - registration.heardAt;
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
  await fetch(`http://127.0.0.1:${storePort}/control/faults`, {
    method: "POST",
    body: JSON.stringify({ slowMs: STORE_ANSWER_MS }),
  });
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
  let isFrozen = false;

  function endTrouble(): void {
    primary!.faults.isUnresponsive = false;
    record("the primary is back");
    startNewReplica();
  }

  function startNewReplica(): void {
    newReplica!.faults.isReplicationStopped = false;
    start(newReplica!.record.id);
    record("the new replica starts and receives");
  }

  function freeze(name: string): void {
    const host = hosts.find((h) => h.name === name)!;
    host.kill("SIGSTOP");
    setTimeout(() => host.kill("SIGCONT"), FREEZE_MS);
    setTimeout(endTrouble, BACK_AFTER_MS);
  }

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
          if (hasTrouble && fields.msg === "failover_fenced" && !isFrozen) {
            isFrozen = true;
            freeze(host);
          }
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

  for (let worker = 0; worker < 6; worker++) {
    void write(worker);
  }
  await sleep(2_000);
  if (hasTrouble) {
    primary!.faults.isUnresponsive = true;
    record("the primary is dark");
  } else {
    startNewReplica();
  }
  await sleep(12_000);
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
