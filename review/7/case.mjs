// A primary is to be replaced, and the new server starts as the primary is
// parted from its replicas, the platform and some hosts. Checks that no
// acknowledged commit is missing in the log of a server that is promoted.

import process from "node:process";
import { startGroup } from "../lib-2/database.mjs";
import {
  createRecord,
  openSession,
  sleep,
  startFleet,
} from "../lib-2/fleet.mjs";
import { createNetwork } from "../lib-2/network.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const STABLE_MS = 5_000;
const CUT_MS = 7_000;
/** Time from the cut to the start of the new server. */
const START_MS = 100;
/** The new server has started before the old one says that it leaves. */
const LEAVE_MS = 1_000;
const AFTER_MS = 8_000;
/** Silent ping intervals after which the platform removes an entry. */
const LAPSE_MS = 3 * 1_200;

const record = createRecord("review/7/record.txt");
const PRIMARY = "orders-0";
const NEW_SERVER = "orders-3";
/** The side of the primary; two of five hosts are on it. */
const SIDE = new Set(["front-0", "front-1", PRIMARY, NEW_SERVER]);
let isApart = false;
const isCut = (from, to) => isApart && SIDE.has(from) !== SIDE.has(to);

const group = await startGroup({
  service: "orders",
  zones: ["a", "b", "c", "a"],
  startLater: 1,
  isCut,
  record: (run) => record(`run ${JSON.stringify(run)}`),
});
/** Commits that a consumer has got an acknowledgement for, by their id. */
const acknowledged = new Map();
const lost = [];

// The log of a server is compared as it is promoted.
const promote = group.promote;
group.promote = async (id) => {
  const next = group.servers.find((server) => server.id === id);
  const isLeader = next.role === "primary";
  await promote(id);
  if (isLeader) {
    return;
  }
  const kept = new Set(
    next.log.flatMap(({ writes }) => writes.map((write) => write.id)),
  );
  const missing = [...acknowledged.keys()].filter((commit) =>
    !kept.has(commit)
  );
  record(
    `promoted ${id} in term ${next.term} with ${kept.size} writes; ${missing.length} of ${acknowledged.size} acknowledged ones are not in its log`,
  );
  for (const commit of missing) {
    const { at, host } = acknowledged.get(commit);
    lost.push(commit);
    record(
      `LOST: ${commit}, acknowledged at ${host} ${
        Date.now() - at
      } ms before the promotion`,
    );
  }
};

const fleet = await startFleet({
  groups: [group],
  zones: ["a", "a", "b", "b", "c"],
  hosts: 5,
  record,
  network: createNetwork({ isCut, nameHost: (i) => `front-${i}` }),
  tenants: Array.from({ length: 8 }, (_, i) => ({
    name: `tenant${i}`,
    apiKeys: [`key${i}`],
    ratePerS: 200,
    burst: 200,
  })),
  routes: [{ host: "placing", service: "orders", type: "primary" }],
});
if (!await fleet.waitUntilReady()) {
  record("not ready");
  fleet.close();
  process.exit(2);
}
await sleep(STABLE_MS);

let nextId = 1;
let isOver = false;
const counts = {};

/** A consumer of one host that places five orders a second. */
async function placeOrders(host, index) {
  while (!isOver) {
    const session = openSession(host.clients, {
      database: "placing",
      key: `key${index}`,
    });
    const started = await session.start();
    let isUsable = started.isWhole && started.lines[0] === "READY I -";
    while (isUsable && !isOver) {
      const id = `${index}${(nextId++).toString(16).padStart(6, "0")}`;
      record(`sent ${id} WRITE order${index} ${id} to ${host.name}`);
      const { isWhole, lines } = await session.query(
        id,
        `WRITE order${index} ${id}`,
      );
      const answer = isWhole
        ? lines.at(-2).split(" ").slice(0, 2).join(" ").replace(
          /^DONE.*/,
          "DONE",
        )
        : "cut";
      record(`answer ${id} ${answer}`);
      const key = `${host.name} ${answer}`;
      counts[key] = (counts[key] ?? 0) + 1;
      if (answer === "DONE") {
        acknowledged.set(id, { at: Date.now(), host: host.name });
      }
      isUsable = isWhole;
      await sleep(200);
    }
    session.close();
    await sleep(200);
  }
}

const consumers = fleet.hosts.map(placeOrders);
await sleep(3_000);
const leaving = group.servers.find(({ id }) => id === PRIMARY);
const hidden = group.servers.filter(({ id }) => SIDE.has(id));
if (HAS_TROUBLE) {
  record("the primary's side is parted from the other one");
  isApart = true;
  [0, 1].forEach((host) => fleet.store.setCut(host, true));
  hidden.forEach((server) => server.isHidden = true);
}
await sleep(START_MS);
record(`${NEW_SERVER} starts, to replace ${PRIMARY}`);
group.start(NEW_SERVER);
fleet.registerAll();
await sleep(LEAVE_MS);
leaving.state = "draining";
fleet.registerAll();
await sleep(LAPSE_MS - START_MS - LEAVE_MS);
if (HAS_TROUBLE) {
  hidden.forEach(({ id }) => fleet.store.remove("servers", id));
}
await sleep(CUT_MS - LAPSE_MS);
if (HAS_TROUBLE) {
  record("both sides reach each other again");
  isApart = false;
  [0, 1].forEach((host) => fleet.store.setCut(host, false));
  hidden.forEach((server) => server.isHidden = false);
  fleet.registerAll();
}
await sleep(AFTER_MS);
isOver = true;
await Promise.all(consumers);

record(`answers ${JSON.stringify(counts)}`);
const isBroken = lost.length > 0;
const isServed = acknowledged.size > 0;
record(
  isBroken
    ? `rule broken: LOST, ${lost.length} acknowledged commits`
    : isServed
    ? "rule held"
    : "not run",
);
fleet.close();
setTimeout(() => process.exit(isBroken ? 1 : isServed ? 0 : 2), 200);
