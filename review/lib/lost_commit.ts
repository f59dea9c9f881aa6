/**
 * A primary goes dark while one replica receives nothing, and all hosts lose
 * power until the primary's registration has lapsed. See review/1/claim.txt.
 */

import process from "node:process";
import { sleep } from "../../src/core/clock.ts";
import { startPlatform } from "../../tools/soak/stand_in_platform.ts";
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

/**
 * Delay of each chunk to and from a target of another region, in milliseconds.
 * Three round trips of 40 ms open a connection and carry a first command; the
 * proxy can't delay the first of them, the TCP handshake, so it spreads the
 * same time over the other two.
 */
const REGION_DELAY_MS = 30;
const DARK_MS = 7_000;
/** Time for which the hosts have no power. */
const DOWN_MS = 3_500;
/** How much later the host of the other zone has power, in milliseconds. */
const LATER_MS = 300;
const WORKSPACES = ["w0", "w1"];

const record = createRecord(`${process.argv[2]}/record.txt`);

async function main(): Promise<number> {
  const platform = await startPlatform({
    services: ["orders-db"],
    targetsPerGroup: 3,
    domains: ["d0", "d1", "d2"],
    maxConnections: 21,
    draw: (below) => Math.floor(Math.random() * below),
  });
  const { group, links } = platform.groups[0]!;
  const [primary, , deaf] = group.targets;
  // Two hosts and the last target are in one zone.
  links[0]!.faults.delayMs = REGION_DELAY_MS;
  links[1]!.faults.delayMs = REGION_DELAY_MS;
  platform.setCatalog(
    createCatalog({ service: "orders-db", workspaces: WORKSPACES }),
  );
  const hosts = await createHosts({
    domains: ["d2", "d2", "d1"],
    storePort: platform.storePort,
    ordersPort: platform.ordersPort,
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

  for (let worker = 0; worker < 6; worker++) {
    void write(worker);
  }
  await sleep(2_000);
  if (hasTrouble) {
    deaf!.faults.isReplicationStopped = true;
    record(`${deaf!.record.id} receives nothing from now on`);
  }
  await sleep(2_000);
  if (hasTrouble) {
    primary!.faults.isUnresponsive = true;
    record(`the primary ${primary!.record.id} is dark`);
    setTimeout(() => {
      primary!.faults.isUnresponsive = false;
      record(`the primary ${primary!.record.id} is back`);
    }, DARK_MS);
    await sleep(850);
    hosts.forEach((host) => host.kill("SIGKILL"));
    await sleep(DOWN_MS);
    hosts.slice(0, 2).forEach((host) => host.start());
    await sleep(LATER_MS);
    hosts[2]!.start();
  }
  isWriting = false;
  const isPromoted = () =>
    platform.promotions.some(({ isAccepted }) => isAccepted);
  for (let i = 0; i < 100 && !isPromoted(); i++) {
    await sleep(100);
  }
  await sleep(500);
  platform.promotions.forEach((order) =>
    record(`order to promote: ${JSON.stringify(order)}`)
  );
  const leader = group.targets.find(({ role, faults }) =>
    role === "primary" && !faults.isUnresponsive
  );
  const kept = new Set(leader?.log.flatMap(({ ids }) => ids));
  const lost = [...acknowledged].filter((id) => !kept.has(id));
  record(
    `${leader?.record.id} leads; acknowledged ${acknowledged.size}, ` +
      `of these not in its log ${lost.length}: ${lost.join(" ")}`,
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
