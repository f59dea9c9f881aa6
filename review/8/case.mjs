// Configurations come in quick succession: one leads a `read_your_writes` route
// to another service, the next one back. Replicas fall behind meanwhile. Checks
// that sessions read what they have written.

import process from "node:process";
import { startGroup } from "../lib-2/database.mjs";
import {
  createRecord,
  openSession,
  sleep,
  startFleet,
} from "../lib-2/fleet.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const STABLE_MS = 5_000;
/** Usual lag, and how many times as late replicas apply. */
const LAG_MS = 60;
const LAG_FACTOR = 22;
/** Time between two versions of a storm. */
const GAP_MS = 330;
const ROUNDS = 12;
const SESSIONS_PER_HOST = 3;
const MAX_STALE_MS = 2_500;

const record = createRecord("review/8/record.txt");
const runById = new Map();
const groups = [];
for (const service of ["orders", "archive"]) {
  groups.push(
    await startGroup({
      service,
      zones: ["a", "b", "c"],
      lagMs: HAS_TROUBLE ? LAG_MS * LAG_FACTOR : LAG_MS,
      record(run) {
        runById.set(run.id, run);
        record(`run ${JSON.stringify(run)}`);
      },
    }),
  );
}

const toRoutes = (service) => [{
  name: "r-sync",
  host: "sync",
  service,
  type: "read_your_writes",
  maxStaleMs: MAX_STALE_MS,
  pathPrefix: "/",
  timeoutMs: 1_000,
  sloMs: 1_000,
  prio: 1,
  attempts: 2,
  public: false,
}];
const fleet = await startFleet({
  groups,
  zones: ["a", "b", "c"],
  hosts: 3,
  record,
  tenants: Array.from({ length: 8 }, (_, i) => ({
    name: `tenant${i}`,
    apiKeys: [`key${i}`],
    ratePerS: 200,
    burst: 200,
  })),
  routes: toRoutes("orders"),
});
if (!await fleet.waitUntilReady()) {
  record("not ready");
  fleet.close();
  process.exit(2);
}
await sleep(STABLE_MS);

let nextId = 1;

async function send(session, text) {
  const id = (nextId++).toString(16).padStart(8, "0");
  record(`sent ${id} ${text}`);
  const { isWhole, lines } = await session.query(id, text);
  const last = isWhole ? lines.at(-2) : "cut";
  const row = lines.find((line) => line.startsWith("ROW "))?.slice(4);
  record(`answer ${id} ${last}${row === undefined ? "" : `; row ${row}`}`);
  return { id, isDone: last.startsWith("DONE"), row };
}

const stale = [];
let reads = 0;

/** Writes, reads from wherever the route leads next, and reads again. */
async function playRound(session, { item, value, until }) {
  const written = await send(session, `WRITE ${item} ${value}`);
  await sleep(until.moved - Date.now());
  await send(session, `READ ${item}`);
  await sleep(until.back - Date.now());
  const read = await send(session, `READ ${item}`);
  const run = runById.get(read.id);
  if (!written.isDone || !read.isDone || !run?.server.startsWith("orders")) {
    return;
  }
  reads++;
  if (read.row !== value) {
    stale.push(read.id);
    record(
      `STALE: ${read.id} returned ${read.row} from ${run.server} at ${run.position}; ` +
        `the session's write ${written.id} of ${value} was acknowledged before, ` +
        `by ${runById.get(written.id).server}`,
    );
  }
}

const sessions = [];
for (const host of fleet.hosts) {
  for (let i = 0; i < SESSIONS_PER_HOST; i++) {
    const session = openSession(host.clients, {
      database: "sync",
      key: `key${sessions.length % 8}`,
    });
    await session.start();
    sessions.push(session);
  }
}
for (let round = 0; round < ROUNDS; round++) {
  const startedAt = Date.now();
  const until = {
    moved: startedAt + 150 + GAP_MS - 50,
    back: startedAt + 150 + 2 * GAP_MS,
  };
  const played = sessions.map((session, index) =>
    playRound(session, {
      item: `item${index}`,
      value: `value${round}.${index}`,
      until,
    })
  );
  await sleep(150);
  if (HAS_TROUBLE) {
    fleet.configure({ routes: toRoutes("archive") });
    record("confirmed: sync leads to archive");
    await sleep(GAP_MS);
    fleet.configure({ routes: toRoutes("orders") });
    record("confirmed: sync leads to orders");
  }
  await Promise.all(played);
  await sleep(startedAt + 2_000 - Date.now());
}
sessions.forEach((session) => session.close());

record(`${stale.length} of ${reads} reads lacked a write of their own session`);
const isBroken = stale.length > 0;
record(isBroken ? "rule broken: STALE" : reads > 0 ? "rule held" : "not run");
fleet.close();
setTimeout(() => process.exit(isBroken ? 1 : reads > 0 ? 0 : 2), 200);
