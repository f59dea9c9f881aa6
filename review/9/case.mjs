// A new version of the configuration moves a key to another tenant while its
// consumer has a transaction open. Checks under which tenant the statements run
// that the consumer sends later than configMs after the confirmation.

import process from "node:process";
import { startGroup } from "../lib-2/database.mjs";
import {
  createRecord,
  openSession,
  sleep,
  startFleet,
} from "../lib-2/fleet.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const CONFIG_MS = 4_000;
const STABLE_MS = 5_000;
/** A transaction has 12 statements at most, and may rest for txIdleMs. */
const STATEMENTS = 12;
const PAUSE_MS = 1_000;
const KEY = "key-of-the-orders-team";

const record = createRecord("review/9/record.txt");
const runs = [];
const group = await startGroup({
  service: "orders",
  zones: ["a", "b", "c"],
  record(run) {
    runs.push({ ...run, at: Date.now() });
    record(`run ${JSON.stringify(run)}`);
  },
});

/** The key is the only one that moves; each tenant keeps one of its own. */
function toTenants(holder) {
  return ["attorneys", "clerks"].map((name) => ({
    name,
    apiKeys: [`key-of-${name}`, ...(name === holder ? [KEY] : [])],
    ratePerS: 200,
    burst: 200,
  }));
}

const fleet = await startFleet({
  groups: [group],
  zones: ["a", "b", "c"],
  hosts: 3,
  record,
  tenants: toTenants("attorneys"),
  routes: [{ host: "placing", service: "orders", type: "primary" }],
});
if (!await fleet.waitUntilReady()) {
  record("not ready");
  fleet.close();
  process.exit(2);
}
// All machines are in touch from here on.
await sleep(STABLE_MS);

let confirmedAt = Infinity;
const sent = new Map();
let nextId = 1;

async function send(session, consumer, text) {
  const id = `${consumer}${(nextId++).toString(16).padStart(6, "0")}`;
  sent.set(id, { at: Date.now(), text, consumer });
  record(`sent ${id} ${text}`);
  const { isWhole, lines } = await session.query(id, text);
  const outcome = isWhole ? lines.at(-2) : "cut";
  record(`answer ${id} ${outcome}; ${lines.at(-1) ?? ""}`);
  return outcome;
}

/** One consumer at each host: a transaction with pauses, then a commit. */
async function transact(host, index) {
  const session = openSession(host.clients, { database: "placing", key: KEY });
  const started = await session.start();
  record(`start at ${host.name}: ${started.lines.at(-1)}`);
  const outcomes = [await send(session, index, "BEGIN")];
  for (let i = 0; i < STATEMENTS - 2; i++) {
    const text = i % 2 === 0 ? `READ order${i}` : `WRITE order${i} paid`;
    outcomes.push(await send(session, index, text));
    await sleep(PAUSE_MS);
  }
  outcomes.push(await send(session, index, "COMMIT"));
  session.close();
  return outcomes;
}

const transactions = fleet.hosts.map(transact);
await sleep(1_500);
if (HAS_TROUBLE) {
  fleet.configure({ tenants: toTenants("clerks") });
  confirmedAt = Date.now();
  record(`confirmed: ${KEY} moves from attorneys to clerks`);
}
const outcomes = await Promise.all(transactions);

// The key works, and stands for its new tenant, in a new session.
const check = openSession(fleet.hosts[0].clients, {
  database: "placing",
  key: KEY,
});
await check.start();
await send(check, "n", "READ order0");
check.close();
const holder = HAS_TROUBLE ? "clerks" : "attorneys";
const isServed = runs.at(-1)?.tenant === holder;

const wrong = runs.filter(({ id, tenant }) => {
  const request = sent.get(id);
  return request !== undefined && tenant !== holder &&
    request.at > confirmedAt + CONFIG_MS;
});
for (const { id, tenant, text } of wrong) {
  const { at } = sent.get(id);
  record(
    `UNASKED: ${id} ${text} ran for ${tenant}, sent ${
      at - confirmedAt
    } ms after its key was confirmed as one of ${holder}`,
  );
}
record(
  `${wrong.length} statements under the wrong tenant, ${
    wrong.filter(({ text }) => text === "COMMIT").length
  } of them commits; last answers ${
    outcomes.map((list) => list.at(-1)).join(", ")
  }`,
);
const isBroken = wrong.length > 0;
record(isBroken ? "rule broken: UNASKED" : isServed ? "rule held" : "not run");
fleet.close();
setTimeout(() => process.exit(isBroken ? 1 : isServed ? 0 : 2), 200);
