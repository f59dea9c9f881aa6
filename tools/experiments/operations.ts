/**
 * Runs a fleet of real processes under a light load through a platform outage,
 * the withdrawal of a key and a rolling restart of all hosts. Prints the number
 * of answered requests and the failures that callers saw in each phase.
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

const HOST_COUNT = 3;
const CALLER_COUNT = 6;
const OUTAGE_MS = 60_000;
const SETTLE_MS = 4_000;
const CALL_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 20;

/** Counts of the answers and failures that callers saw in one phase. */
interface PhaseCounts {
  answered: number;
  readonly failures: Record<string, number>;
}

interface LoadState {
  counts: PhaseCounts;
  isRunning: boolean;
  /** Host that is about to stop; callers do not connect to it. */
  stoppingHost: FleetHost | undefined;
}

function createPhaseCounts(): PhaseCounts {
  return { answered: 0, failures: {} };
}

function recordFailure(load: LoadState, kind: string): void {
  load.counts.failures[kind] = (load.counts.failures[kind] ?? 0) + 1;
}

/**
 * Sends reads and writes in turn, one at a time, and connects to another host
 * when the connection closes.
 */
async function runCaller(
  fleet: Fleet,
  load: LoadState,
  index: number,
): Promise<void> {
  const key = fleet.keys.get(LAKAZ.workspaces[0]!.workspace)!;
  let client: Client | undefined;
  let sessionToken = "";
  for (let n = 0; load.isRunning; n++) {
    while (!client?.isOpen()) {
      const availableHosts = fleet.hosts.filter((host) =>
        host !== load.stoppingHost
      );
      const { callersUrl } =
        availableHosts[(index + n) % availableHosts.length]!;
      client = await tryConnect(
        callersUrl,
        sessionToken ? { key, token: sessionToken } : { key },
      );
      if (!client) {
        recordFailure(load, "no connection");
        await sleep(CALL_INTERVAL_MS);
      }
    }
    const common = {
      service: LAKAZ.service,
      id: asId<ReqId>(`c${index}-${n}`),
    };
    const frame = n % 2
      ? {
        ...common,
        kind: "read" as const,
        class: "status_lookup",
        body: { op: "get", key: `row-${index}` },
      }
      : {
        ...common,
        kind: "write" as const,
        class: "order_place",
        body: { op: "put", key: `row-${index}`, value: n },
      };
    const answer = await client.request(frame, REQUEST_TIMEOUT_MS);
    sessionToken = client.token;
    if (answer?.ok) {
      load.counts.answered++;
    } else {
      recordFailure(load, answer ? answer.error : "no answer");
    }
    await sleep(CALL_INTERVAL_MS);
  }
  client?.close();
}

async function runPlatformOutage(fleet: Fleet): Promise<void> {
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

/**
 * Withdraws a key and measures, for each host, the time until requests of an
 * open session with this key are refused.
 */
async function measureKeyWithdrawal(fleet: Fleet): Promise<string> {
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
      }, REQUEST_TIMEOUT_MS);
      if (!answer || (!answer.ok && answer.error === "unauthenticated")) {
        return Math.round(performance.now() - startedAt);
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }));
  return `refused after ${times.join(", ")} ms`;
}

async function restartInTurn(fleet: Fleet, load: LoadState): Promise<void> {
  for (const host of fleet.hosts) {
    load.stoppingHost = host;
    host.child.kill("SIGTERM");
    await once(host.child, "exit");
    await fleet.restart(host);
    await sleep(SETTLE_MS);
  }
  load.stoppingHost = undefined;
}

async function main(): Promise<void> {
  const fleet = await startFleet(LAKAZ, { hosts: HOST_COUNT });
  const load: LoadState = {
    counts: createPhaseCounts(),
    isRunning: true,
    stoppingHost: undefined,
  };
  const callers = Array.from(
    { length: CALLER_COUNT },
    (_, index) => runCaller(fleet, load, index),
  );
  const phases: [string, () => Promise<unknown>][] = [
    ["no fault", () => sleep(SETTLE_MS)],
    ["platform down for 60 s", () => runPlatformOutage(fleet)],
    ["key withdrawn", () => measureKeyWithdrawal(fleet)],
    ["rolling stop", () => restartInTurn(fleet, load)],
  ];
  for (const [name, run] of phases) {
    load.counts = createPhaseCounts();
    const result = await run();
    const { answered, failures } = load.counts;
    const details = typeof result === "string" ? `, ${result}` : "";
    console.log(
      `${name}: ${answered} answered, failed ${
        JSON.stringify(failures)
      }${details}`,
    );
  }
  load.isRunning = false;
  await Promise.all(callers);
  await fleet.stop();
}

await main();
