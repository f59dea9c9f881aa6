// Consumers ask for answers of several messages and read them slowly. Checks
// that the hosts outlive it.

import process from "node:process";
import { startGroup } from "../database.mjs";
import { createRecord, openSession, sleep, startFleet } from "../fleet.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Peers of the disturbance, and how long it lasts. */
const READERS = 120;
const FOR_MS = 6_500;
const ARRIVAL_MS = 50;
const WAVES = 3;
const WAVE_INTERVAL_MS = 15_000;
const RETRIES = 2;
/** A message is 1 MiB at most; an answer has any number of them. */
const ROW = "x".repeat(1_000_000);
const ROWS = 6;
/** Ends of one machine's processes by themselves that a day bears. */
const MAX_ENDS = 2;
const MIN_MACHINES = 2;

const record = createRecord("review/lib-2/extra/record.txt");
let nextId = 1;
const newId = () => `${(nextId++).toString(16).padStart(8, "0")}`;

const runs = new Map();
const group = await startGroup({
  service: "orders",
  zones: ["a", "b", "a"],
  getRows: (text) => text.includes("report") ? Array(ROWS).fill(ROW) : [],
  record(run) {
    runs.set(run.id, run);
    record(`run ${JSON.stringify(run)}`);
  },
});
const fleet = await startFleet({
  groups: [group],
  zones: ["a", "a", "b"],
  hosts: 3,
  record,
  tenants: Array.from({ length: 8 }, (_, i) => ({
    name: `tenant${i}`,
    apiKeys: [`key${i}`],
    ratePerS: 200,
    burst: 200,
  })),
  routes: [
    { host: "placing", service: "orders", type: "primary", sloMs: 600 },
    {
      host: "lookup",
      service: "orders",
      type: "bounded_staleness",
      maxStaleMs: 1_500,
      timeoutMs: 2_000,
      sloMs: 1_200,
    },
  ],
});
if (!await fleet.waitUntilReady()) {
  record("not ready");
  fleet.close();
  process.exit(2);
}
await sleep(2_000);

/** Returns a ready host of zone a, by the consumer's number. */
async function choose(consumer, attempt) {
  const zone = fleet.hosts.slice(0, 2);
  const first = zone[(consumer + attempt) % 2];
  const other = zone[(consumer + attempt + 1) % 2];
  return await fleet.isReady(first) ? first : other;
}

const outcomes = { readers: {}, ordinary: {} };
function count(who, outcome) {
  outcomes[who][outcome] = (outcomes[who][outcome] ?? 0) + 1;
}

/** One consumer of the disturbance: one read, with the consumer's retries. */
async function readSlowly(consumer, until) {
  for (let attempt = 0; attempt <= RETRIES && Date.now() < until; attempt++) {
    const host = await choose(consumer, attempt);
    const session = openSession(host.clients, {
      database: "lookup",
      key: `key${consumer % 8}`,
    });
    const started = await session.start();
    if (!started.isWhole || started.lines[0] !== "READY I -") {
      session.close();
      continue;
    }
    const id = newId();
    record(`sent ${id} READ report${consumer} to ${host.name}`);
    const answered = session.query(id, `READ report${consumer}`);
    const ended = new Promise((resolve) =>
      session.socket.on("close", () => resolve("cut"))
    );
    if (HAS_TROUBLE) {
      session.socket.pause();
      // A paused socket does not notice its end.
      const how = await Promise.race([
        ended,
        host.untilEnd(),
        sleep(until - Date.now()).then(() => "left"),
      ]);
      record(`answer ${id} ${how}`);
      count("readers", how);
      session.close();
      if (how === "left") {
        return;
      }
      continue;
    }
    const { isWhole, lines } = await answered;
    const outcome = isWhole ? lines.at(-2).split(" ")[0] : "cut";
    record(`answer ${id} ${outcome} with ${lines.length - 2} rows`);
    count("readers", outcome);
    session.close();
    if (isWhole) {
      return;
    }
  }
}

let isOver = false;

/** Consumers that write and read short rows all the time. */
async function orderAndLookUp(consumer) {
  while (!isOver) {
    const host = fleet.hosts[consumer % 3];
    const session = openSession(host.clients, {
      database: "placing",
      key: `key${consumer % 8}`,
    });
    const started = await session.start();
    let isUsable = started.isWhole && started.lines[0] === "READY I -";
    while (isUsable && !isOver) {
      const id = newId();
      const text = nextId % 2 === 0 ? `WRITE item${id} v` : `READ item${id}`;
      record(`sent ${id} ${text} to ${host.name}`);
      const { isWhole, lines } = await session.query(id, text);
      const outcome = isWhole
        ? lines.at(-2).split(" ").slice(0, 2).join(" ").replace(
          /^DONE.*/,
          "DONE",
        )
        : `cut${runs.has(id) ? " after it had run" : ""}`;
      record(`answer ${id} ${outcome}`);
      count("ordinary", outcome);
      isUsable = isWhole;
      await sleep(100);
    }
    session.close();
    await sleep(200);
  }
}

const ordinary = Array.from({ length: 9 }, (_, i) => orderAndLookUp(i));
for (let wave = 0; wave < WAVES; wave++) {
  const startedAt = Date.now();
  record(`wave ${wave}: ${READERS} readers in zone a`);
  const readers = [];
  for (let i = 0; i < READERS; i++) {
    readers.push(readSlowly(i, startedAt + READERS * ARRIVAL_MS + FOR_MS));
    await sleep(ARRIVAL_MS);
  }
  await Promise.all(readers);
  await sleep(startedAt + WAVE_INTERVAL_MS - Date.now());
}
isOver = true;
await Promise.all(ordinary);

const failing = fleet.hosts.filter(({ ends }) => ends.length > MAX_ENDS);
for (const { name, ends } of fleet.hosts) {
  record(`${name} ended by itself ${ends.length} times`);
}
record(`readers ${JSON.stringify(outcomes.readers)}`);
record(`ordinary consumers ${JSON.stringify(outcomes.ordinary)}`);
const isServed = (outcomes.ordinary.DONE ?? 0) > 0;
const isBroken = failing.length >= MIN_MACHINES;
record(isBroken ? "rule broken: Fault" : isServed ? "rule held" : "not run");
fleet.close();
setTimeout(() => process.exit(isBroken ? 1 : isServed ? 0 : 2), 200);
