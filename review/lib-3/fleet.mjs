/** A small deployment: store, one database group, hosts in three zones. */

import { createGroup } from "./backends.mjs";
import { createHosts, setTranscript } from "./hosts.mjs";
import { createOrders, createStore, listenOnLoopback } from "./store.mjs";

export const SERVICE = "ledger";
const ZONES = { za: "ra", zb: "rb", zc: "rc" };
const MAX_CONNECTIONS = 60;

/** Routes of a deployment, one of each type. */
export const ROUTES = {
  intake: { type: "primary", timeoutMs: 1_000, sloMs: 600, prio: 1 },
  lookup: {
    type: "bounded_staleness",
    maxStaleMs: 1_500,
    timeoutMs: 6_000,
    sloMs: 6_000,
    prio: 2,
  },
  sync: {
    type: "read_your_writes",
    maxStaleMs: 2_500,
    timeoutMs: 1_000,
    sloMs: 1_000,
    prio: 2,
  },
};

/** Creates the operator's configuration. */
export function createConfiguration({ version, routes = ROUTES }) {
  return {
    version,
    routes: Object.entries(routes).map(([host, route]) => ({
      host,
      service: SERVICE,
      ...route,
    })),
    services: [{
      name: SERVICE,
      maxConns: MAX_CONNECTIONS,
      syncReplicas: 1,
    }],
    limits: { txIdleMs: 3_000 },
    tenants: [{ name: "t1", apiKeys: ["k1"], ratePerS: 500, burst: 500 }],
  };
}

/** Starts a deployment and waits until its hosts are ready. */
export async function startFleet({ record, atEnd }, options = {}) {
  setTranscript(record);
  const store = createStore();
  const storePort = await listenOnLoopback(store.server);
  const group = createGroup({
    name: SERVICE,
    ids: ["b1", "b2", "b3"],
    zones: Object.keys(ZONES),
    store,
    maxConns: MAX_CONNECTIONS,
    onRun: ({ backend, id, text }) =>
      record(`${backend.id} runs ${id} ${text.slice(0, 120)}`),
    ...options.group,
  });
  for (const backend of group.backends) {
    backend.address = `127.0.0.1:${await listenOnLoopback(backend.server)}`;
  }
  atEnd(group.startHeartbeats());
  const orders = createOrders(
    [group],
    ({ id, token, status, holder }) =>
      record(`promote ${id} by ${holder} with token ${token}: ${status}`),
  );
  const ordersPort = await listenOnLoopback(orders);
  store.put("config", "main", createConfiguration({ version: 3 }));
  const hosts = createHosts({ zones: ZONES, storePort, ordersPort, record });
  atEnd(hosts.close);
  for (const [index, zone] of Object.keys(ZONES).entries()) {
    await hosts.add(`h${index + 1}`, zone);
  }
  await hosts.waitUntilReady();
  record("all hosts are ready");
  return { store, group, ...hosts };
}
