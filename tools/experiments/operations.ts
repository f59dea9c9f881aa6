/**
 * Real processes under a light load: an outage of the platform, a key that is
 * withdrawn, and a rolling stop of every host. Prints what callers saw.
 */

import { once } from "node:events";
import { sleep } from "../../src/core/clock.ts";
import { asId, type ReqId } from "../../src/core/ids.ts";
import { tryParseKeyId } from "../../src/core/keys.ts";
import { withdrawKey } from "../../src/core/lists.ts";
import { createObjectStore } from "../../platform/object_store.ts";
import { type Client, tryConnect } from "../client.ts";
import { type Fleet, type FleetHost, startFleet } from "../processes.ts";
import { LAKAZ } from "../workloads.ts";

const HOSTS = 3;
const CALLERS = 6;
const OUTAGE_MS = 60_000;
const SETTLE_MS = 4_000;
const PAUSE_MS = 100;
const TIMEOUT_MS = 5_000;
const POLL_MS = 20;

/** What callers saw in one phase. */
interface Seen {
  answered: number;
  readonly failures: Record<string, number>;
}

interface Load {
  seen: Seen;
  running: boolean;
  /** The host that is about to stop. */
  stopping: FleetHost | undefined;
}

function createSeen(): Seen {
  return { answered: 0, failures: {} };
}

function noteFailure(load: Load, kind: string): void {
  load.seen.failures[kind] = (load.seen.failures[kind] ?? 0) + 1;
}

/** Sends writes and reads one after the other, moving when told to. */
async function runCaller(
  fleet: Fleet,
  load: Load,
  index: number,
): Promise<void> {
  const key = fleet.keys.get(LAKAZ.workspaces[0]!.workspace)!;
  let client: Client | undefined;
  let token = "";
  for (let n = 0; load.running; n++) {
    while (!client?.isOpen()) {
      const free = fleet.hosts.filter((host) => host !== load.stopping);
      const { callersUrl } = free[(index + n) % free.length]!;
      client = await tryConnect(callersUrl, token ? { key, token } : { key });
      if (!client) {
        noteFailure(load, "no connection");
        await sleep(PAUSE_MS);
      }
    }
    const row = { service: LAKAZ.service, id: asId<ReqId>(`c${index}-${n}`) };
    const frame = n % 2
      ? {
        ...row,
        kind: "read" as const,
        class: "status_lookup",
        body: { op: "get", key: `row-${index}` },
      }
      : {
        ...row,
        kind: "write" as const,
        class: "order_place",
        body: { op: "put", key: `row-${index}`, value: n },
      };
    const answer = await client.request(frame, TIMEOUT_MS);
    token = client.token;
    if (answer?.ok) {
      load.seen.answered++;
    } else {
      noteFailure(load, answer ? answer.error : "no answer");
    }
    await sleep(PAUSE_MS);
  }
  client?.close();
}

async function runOutage(fleet: Fleet): Promise<void> {
  const setFaults = (faults: object) =>
    fetch(`${fleet.platformUrl}/control/faults`, {
      method: "POST",
      body: JSON.stringify(faults),
    });
  await setFaults({ down: true });
  await sleep(OUTAGE_MS);
  await setFaults({});
  await sleep(SETTLE_MS);
}

/** Time until an open session of the key is refused at each host. */
async function withdraw(fleet: Fleet): Promise<string> {
  const secret = fleet.keys.get(LAKAZ.workspaces[7]!.workspace)!;
  const clients = await Promise.all(
    fleet.hosts.map((host) => tryConnect(host.callersUrl, { key: secret })),
  );
  const store = createObjectStore(fleet.platformUrl, { caller: "tools" });
  (await withdrawKey(store, tryParseKeyId(secret)!)).unwrap();
  const startedAt = performance.now();
  const times = await Promise.all(clients.map(async (client, index) => {
    for (let n = 0;; n++) {
      const answer = await client?.request({
        kind: "read",
        id: asId<ReqId>(`w${index}-${n}`),
        service: LAKAZ.service,
        class: "status_lookup",
        body: { op: "get", key: "row" },
      }, TIMEOUT_MS);
      if (!answer || (!answer.ok && answer.error === "unauthenticated")) {
        return Math.round(performance.now() - startedAt);
      }
      await sleep(POLL_MS);
    }
  }));
  return `refused after ${times.join(", ")} ms`;
}

async function stopInTurn(fleet: Fleet, load: Load): Promise<void> {
  for (const host of fleet.hosts) {
    load.stopping = host;
    host.child.kill("SIGTERM");
    await once(host.child, "exit");
    await fleet.restart(host);
    await sleep(SETTLE_MS);
  }
  load.stopping = undefined;
}

async function main(): Promise<void> {
  const fleet = await startFleet(LAKAZ, { hosts: HOSTS });
  const load: Load = {
    seen: createSeen(),
    running: true,
    stopping: undefined,
  };
  const callers = Array.from(
    { length: CALLERS },
    (_, index) => runCaller(fleet, load, index),
  );
  const phases: [string, () => Promise<unknown>][] = [
    ["no fault", () => sleep(SETTLE_MS)],
    ["platform down for 60 s", () => runOutage(fleet)],
    ["key withdrawn", () => withdraw(fleet)],
    ["rolling stop", () => stopInTurn(fleet, load)],
  ];
  for (const [name, run] of phases) {
    load.seen = createSeen();
    const found = await run();
    const { answered, failures } = load.seen;
    const told = typeof found === "string" ? `, ${found}` : "";
    console.log(
      `${name}: ${answered} answered, failed ${
        JSON.stringify(failures)
      }${told}`,
    );
  }
  load.running = false;
  await Promise.all(callers);
  await fleet.stop();
}

await main();
