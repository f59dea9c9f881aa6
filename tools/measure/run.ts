/** Runs a fleet under load and faults with one policy. */

import { nowMs, sleep } from "../../src/core/clock.ts";
import { issueKey } from "../../src/core/keys.ts";
import { KEYS_KEY } from "../../src/core/object_keys.ts";
import type { KeysList } from "../../src/generated/objects.ts";
import type { TraceLine } from "../../src/generated/trace.ts";
import { createObjectStore } from "../../platform/object_store.ts";
import { type Fleet, startFleet } from "../processes.ts";
import type { Deployment } from "../workloads.ts";
import { type Callers, createCallers } from "./callers.ts";
import {
  awaitConvergence,
  injectFaults,
  listTargets,
  readEvidence,
} from "./faults.ts";
import {
  computeDetails,
  computeFigures,
  type Details,
  type Figures,
  type RunRecord,
} from "./figures.ts";
import { assignUniqueValues, generateLoad, getFlooder } from "./plan_load.ts";
import { addProbes, generateProbeWrites } from "./probes.ts";
import { getPolicy } from "./policies.ts";
import { openRelay, type Relay } from "./relay.ts";
import {
  generateSchedule,
  type PrimaryFault,
  type ScheduledFault,
} from "./schedule.ts";

const HOST_COUNT = 6;
const WARM_UP_MS = 2_000;
const CONVERGENCE_TIMEOUT_MS = 10_000;
const REPLICATION_LAG_MS = 20;
const TX_WORKSPACE_COUNT = 2;
const TX_SESSIONS_PER_WORKSPACE = 4;
const WITHDRAWN_KEY_READ_INTERVAL_MS = 250;
const PRIMARY_FAULTS: readonly PrimaryFault[] = [
  "down",
  "cut",
  "frozen",
  "partly_cut",
];

/** Options of a run. */
export interface RunOptions {
  readonly policy: string;
  readonly seed: number;
  readonly durationMs: number;
  /** Replaces the generated load. */
  readonly trace: readonly TraceLine[] | undefined;
}

/** Result of a run. */
export interface RunResult {
  readonly figures: Figures;
  readonly details: Details;
  readonly faults: number;
  /** Whether each group ended with one primary and equal log ends. */
  readonly isSettled: boolean;
  /** Time for which the withdrawn key was still served, in milliseconds. */
  readonly withdrawnKeyMs: number | undefined;
}

/** Starts a fleet of the deployment and measures it with one policy. */
export async function runPolicy(
  deployment: Deployment,
  options: RunOptions,
): Promise<RunResult> {
  const relays: Relay[] = [];
  const fleet = await startFleet(addProbes(deployment), {
    hosts: HOST_COUNT,
    hostProgram: ["dist/tools/measure/host_main.js", options.policy],
    targetArgs: (domain) =>
      getTargetArgs(deployment, {
        domain,
        lagMs: getPolicy(options.policy).lagMs ??
          deployment.regionLatencyMs + REPLICATION_LAG_MS,
      }),
    async peerUrl(from, to) {
      const delayMs = getLatencyMs(deployment, from.domain, to.domain);
      const relay = await openRelay(to.peersPort, { delayMs });
      relays.push(relay);
      return `ws://127.0.0.1:${relay.port}`;
    },
  });
  try {
    return await measure(fleet, { deployment, ...options });
  } finally {
    await fleet.stop();
    relays.forEach((relay) => relay.close());
  }
}

function getLatencyMs(
  deployment: Deployment,
  ...[from, to]: readonly [string, string]
): number {
  return from === to ? deployment.domainLatencyMs : deployment.regionLatencyMs;
}

function getTargetArgs(
  deployment: Deployment,
  options: { readonly domain: string; readonly lagMs: number },
): string[] {
  const { domain, lagMs } = options;
  const latencies = deployment.domains.map((other) =>
    [other, getLatencyMs(deployment, domain, other)] as const
  );
  return [
    `--latency-by-domain=${JSON.stringify(Object.fromEntries(latencies))}`,
    `--lag-ms=${lagMs}`,
  ];
}

async function measure(
  fleet: Fleet,
  options: RunOptions & { readonly deployment: Deployment },
): Promise<RunResult> {
  const { deployment, durationMs, seed } = options;
  const extraKey = await issueExtraKey(fleet);
  await sleep(WARM_UP_MS);
  const callers = createCallers({
    urls: fleet.hosts.map((host) => host.callersUrl),
    latencyMs: deployment.callerLatencyMs,
    durationMs,
  });
  const lines = assignUniqueValues([
    ...options.trace ?? generateLoad(deployment, { seed, durationMs }),
    ...generateProbeWrites(deployment, { durationMs }),
  ]);
  const schedule = getSchedule(fleet, options);
  const startedAt = nowMs();
  const [log] = await Promise.all([
    injectFaults(fleet, { schedule, withdrawnKeyId: extraKey.keyId }),
    callers.runLines(lines, fleet.keys),
    runTransactions(fleet, { callers, durationMs }),
    sendWithdrawnKeyReads(callers, { ...extraKey, deployment, durationMs }),
  ]);
  await sleep(Math.max(0, startedAt + durationMs - nowMs()));
  const isSettled = await awaitConvergence(fleet, {
    timeoutMs: CONVERGENCE_TIMEOUT_MS,
  });
  const record: RunRecord = {
    calls: callers.calls,
    failovers: log.failovers,
    groups: await Promise.all(fleet.groups.map(async (info, group) => ({
      group: info.group,
      targets: await Promise.all(listTargets(fleet, group).map(readEvidence)),
    }))),
    plans: new Map(
      fleet.deployment.workspaces.map((w) => [w.workspace, w]),
    ),
    flooder: getFlooder(deployment),
  };
  return {
    figures: computeFigures(record),
    details: computeDetails(record),
    faults: schedule.length,
    isSettled,
    withdrawnKeyMs: getWithdrawnKeyMs(callers, log.keyWithdrawnAt),
  };
}

function getSchedule(fleet: Fleet, options: RunOptions): ScheduledFault[] {
  return generateSchedule({
    seed: options.seed,
    durationMs: options.durationMs,
    groups: fleet.groups.length,
    hosts: fleet.hosts.length,
    primaryFaults: getPolicy(options.policy).primaryFaults ?? PRIMARY_FAULTS,
  });
}

/** Issues an extra key, to be withdrawn while its caller is connected. */
async function issueExtraKey(
  fleet: Fleet,
): Promise<{ readonly keyId: string; readonly secret: string }> {
  const store = createObjectStore(fleet.platformUrl, { caller: "tools" });
  const { workspace } = fleet.deployment.workspaces[0]!;
  const issued = issueKey(workspace);
  const stored = (await store.get(KEYS_KEY)).unwrap();
  const list = stored.value as KeysList;
  const keys = [...list.keys, issued.record];
  const putOptions = { ifVersion: stored.version };
  (await store.put(KEYS_KEY, { ...list, keys }, putOptions)).unwrap();
  return { keyId: issued.record.keyId, secret: issued.secret };
}

const WITHDRAWN_KEY_SESSION = "withdrawn";

/** Reads at a fixed interval with the key that will be withdrawn. */
async function sendWithdrawnKeyReads(
  callers: Callers,
  options: {
    readonly secret: string;
    readonly deployment: Deployment;
    readonly durationMs: number;
  },
): Promise<void> {
  const { deployment, secret, durationMs } = options;
  const { workspace } = deployment.workspaces[0]!;
  const kind = deployment.requestKinds.find((k) => k.access === "read")!;
  const count = Math.floor(durationMs / WITHDRAWN_KEY_READ_INTERVAL_MS);
  const lines = Array.from({ length: count }, (_, index): TraceLine => ({
    atMs: index * WITHDRAWN_KEY_READ_INTERVAL_MS,
    workspace,
    session: WITHDRAWN_KEY_SESSION,
    service: deployment.service,
    class: kind.class,
    access: "read",
    body: kind.body(WITHDRAWN_KEY_SESSION, 0),
  }));
  await callers.runLines(lines, new Map([[workspace, secret]]));
}

function getWithdrawnKeyMs(
  callers: Callers,
  withdrawnAt: number | undefined,
): number | undefined {
  if (withdrawnAt === undefined) {
    return undefined;
  }
  const servedAfterMs = callers.calls
    .filter(({ req }) =>
      req.session === WITHDRAWN_KEY_SESSION && req.answer?.ok
    )
    .map(({ req }) => req.sentAt - withdrawnAt);
  return Math.max(0, ...servedAfterMs);
}

async function runTransactions(
  fleet: Fleet,
  options: { readonly callers: Callers; readonly durationMs: number },
): Promise<void> {
  const { deployment, keys } = fleet;
  const sessions = deployment.workspaces.slice(1, 1 + TX_WORKSPACE_COUNT)
    .flatMap(({ workspace }) =>
      Array.from({ length: TX_SESSIONS_PER_WORKSPACE }, (_, index) => ({
        workspace,
        session: `${workspace}-tx-${index}`,
        service: deployment.service,
        key: keys.get(workspace)!,
        durationMs: options.durationMs,
      }))
    );
  await Promise.all(sessions.map(options.callers.runTransactions));
}
