/**
 * A configuration adds a tenant whose name has a letter outside of Latin-1. See
 * the claim of the case.
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

const OLD_TENANT = "adam";
const NEW_TENANT = hasTrouble ? "šdam" : "sdam";
const KEYS: Readonly<Record<string, string>> = {
  [OLD_TENANT]: "k1a2b3",
  [NEW_TENANT]: "k4c5d6",
};
/** Time within which the configuration is in force, in milliseconds. */
const IN_FORCE_MS = 4_000;

const record = createRecord(`${process.argv[2]}/record.txt`);

function createVersion(version: number, workspaces: readonly string[]) {
  const catalog = createCatalog({
    version,
    service: "orders-db",
    workspaces,
  });
  const workspaceByKey = new Map(
    [...catalog.workspaceByKey.values()].map((name) => [KEYS[name]!, name]),
  );
  return { ...catalog, workspaceByKey };
}

async function main(): Promise<number> {
  const platform = await startPlatform({
    services: ["orders-db"],
    targetsPerGroup: 3,
    domains: ["d0", "d1", "d2"],
    maxConnections: 21,
    draw: (below) => Math.floor(Math.random() * below),
  });
  const { group } = platform.groups[0]!;
  platform.setCatalog(createVersion(1, [OLD_TENANT]));
  const hosts = await createHosts({
    domains: ["d0", "d1", "d2"],
    storePort: platform.storePort,
    ordersPort: platform.ordersPort,
    record,
  });
  hosts.forEach((host) => host.start());
  await Promise.all(hosts.map((host) => host.waitUntilReady()));
  platform.setCatalog(createVersion(2, [OLD_TENANT, NEW_TENANT]));
  record(`version 2 adds the tenant ${NEW_TENANT}`);
  await sleep(IN_FORCE_MS);

  const tenantById = new Map<string, string>();
  for (const tenant of [OLD_TENANT, NEW_TENANT]) {
    for (const [index, { ports }] of hosts.entries()) {
      const client = createClient(ports.clients);
      const started = await client.ask(`START primary ${KEYS[tenant]}`);
      record(`a consumer of ${tenant} at h${index}: ${started?.join(" / ")}`);
      for (const text of ["WRITE k1 v1", "READ k1"]) {
        const id = `${tenantById.size}${text.slice(0, 1)}`;
        tenantById.set(id, tenant);
        const answer = await client.ask(`QUERY ${id} ${text}`);
        record(`${id} ${text} for ${tenant}: ${answer?.join(" / ")}`);
      }
      client.socket.destroy();
    }
  }
  let foreign = 0;
  for (const { id, workspace, target } of group.runs) {
    const tenant = tenantById.get(id);
    if (tenant !== undefined) {
      record(`${target} runs ${id} for the tenant ${workspace}`);
      foreign += workspace !== tenant && workspace === OLD_TENANT ? 1 : 0;
    }
  }
  record(`statements of ${NEW_TENANT} that ran as ${OLD_TENANT}: ${foreign}`);
  if (group.runs.length === 0) {
    return NOT_RUN;
  }
  return foreign > 0 ? BROKEN : HELD;
}

main().then((code) => process.exit(code), (err) => {
  record(`could not run: ${err}`);
  process.exit(NOT_RUN);
});
