/** Runs a load against a local fleet under a fake clock. */

import { install } from "@sinonjs/fake-timers";
import type { CallerSession } from "../../src/core/entry.ts";
import { asId, type ReqId, type WorkspaceId } from "../../src/core/ids.ts";
import { issueKey } from "../../src/core/keys.ts";
import {
  GROUPS_KEY,
  KEYS_KEY,
  PLANS_KEY,
  SERVICES_KEY,
} from "../../src/core/object_keys.ts";
import { createFairQueue } from "../../src/core/queue.ts";
import type { Answer } from "../../src/core/types.ts";
import {
  createLocalFleet,
  type LocalFleet,
  type LocalFleetOptions,
} from "../../standins/local_fleet.ts";
import { buildGroups, buildPlans, buildServices } from "../workloads.ts";
import type { Deployment } from "../workloads.ts";

const WARM_UP_MS = 4_000;
const STEP_MS = 5;
/** Time after the last arrival during which answers are awaited. */
const ANSWER_WAIT_MS = 6_000;

/** Request of the load with its arrival time. */
export interface Arrival {
  readonly atMs: number;
  readonly host: string;
  readonly workspace: string;
  readonly access: "read" | "write";
  readonly costMs?: number;
  readonly timeoutMs?: number;
}

/** Request of the load with its answer. */
export interface RequestResult {
  readonly arrival: Arrival;
  readonly elapsedMs: number;
  /** Undefined if no answer arrived before the end of the run. */
  readonly answer: Answer | undefined;
}

/** Fault that is applied to the fleet at a given time of the load. */
export interface TimedFault {
  /** Multiple of `STEP_MS`; a fault at any other time is not applied. */
  readonly atMs: number;
  readonly apply: (fleet: LocalFleet) => void;
}

/** Options of one experiment run. */
export interface RunOptions {
  readonly deployment: Deployment;
  readonly hosts: number;
  readonly seed: number;
  readonly load: readonly Arrival[];
  readonly timedFaults?: readonly TimedFault[];
  readonly policies?: LocalFleetOptions["policies"];
  readonly settings?: LocalFleetOptions["settings"];
}

/** Results of a run. */
export interface RunReport {
  readonly results: readonly RequestResult[];
  /**
   * Statements that targets executed; `ranAt` is in milliseconds since the load
   * began.
   */
  readonly executed: readonly {
    readonly workspace: string;
    readonly ranAt: number;
  }[];
  readonly platformCalls: number;
  /** Statements that acquired a slot, including those not yet sent. */
  readonly attempts: number;
}

/** Runs a load to its end and reports answers and executed statements. */
export async function runLoad(options: RunOptions): Promise<RunReport> {
  const clock = install({
    toFake: [
      "setTimeout",
      "clearTimeout",
      "setInterval",
      "clearInterval",
      "Date",
      "performance",
    ],
  });
  try {
    return await runWithFakeClock(options, (ms) => clock.tickAsync(ms));
  } finally {
    clock.uninstall();
  }
}

async function runWithFakeClock(
  options: RunOptions,
  advance: (ms: number) => Promise<unknown>,
): Promise<RunReport> {
  const { fleet, openSession, attempts } = startFleet(options);
  await advance(WARM_UP_MS);
  const startedAt = Date.now();
  const callsBefore = fleet.platformCalls.length;
  const results: RequestResult[] = [];
  const load = options.load.toSorted((a, b) => a.atMs - b.atMs);
  const timedFaults = [...options.timedFaults ?? []];
  const endMs = (load.at(-1)?.atMs ?? 0) + ANSWER_WAIT_MS;
  let nextIndex = 0;
  for (let ms = 0; ms < endMs; ms += STEP_MS) {
    for (const timedFault of timedFaults.filter((f) => f.atMs === ms)) {
      timedFault.apply(fleet);
    }
    while (nextIndex < load.length && load[nextIndex]!.atMs < ms + STEP_MS) {
      void send(load[nextIndex]!, nextIndex++);
    }
    await advance(STEP_MS);
  }

  async function send(arrival: Arrival, index: number): Promise<void> {
    const sentAt = performance.now();
    const resultIndex = results.length;
    results.push({ arrival, elapsedMs: Infinity, answer: undefined });
    const session = openSession(arrival);
    const answer = await session.request(toFrame(arrival, {
      index,
      service: options.deployment.service,
    }));
    const elapsedMs = performance.now() - sentAt;
    results[resultIndex] = { arrival, elapsedMs, answer };
  }

  const executed = [...fleet.targets.values()].flatMap(({ core }) =>
    core.statements.map(({ workspace, ranAt }) => ({
      workspace,
      ranAt: ranAt - startedAt,
    }))
  );
  const platformCalls = fleet.platformCalls.length - callsBefore;
  fleet.stop();
  return {
    results,
    executed,
    platformCalls,
    attempts: attempts.count,
  };
}

function toFrame(
  arrival: Arrival,
  options: { readonly index: number; readonly service: Deployment["service"] },
) {
  const { index, service } = options;
  const cost = arrival.costMs ? { costMs: arrival.costMs } : {};
  const key = `row-${index % 50}`;
  const common = {
    id: asId<ReqId>(`x${index}`),
    service,
    class: "order",
    timeoutMs: arrival.timeoutMs ?? 2_000,
  };
  return arrival.access === "read"
    ? { kind: "read" as const, ...common, body: { op: "get", key, ...cost } }
    : {
      kind: "write" as const,
      ...common,
      body: { op: "put", key, value: index, ...cost },
    };
}

function startFleet(options: RunOptions) {
  const { deployment } = options;
  const attempts = { count: 0 };
  const fleet = createLocalFleet({
    hosts: options.hosts,
    domains: deployment.domains,
    groups: buildGroups(deployment, (target) => target),
    target: {
      connectMs: deployment.connectMs,
      statementMs: 2,
      latencyMs: deployment.domainLatencyMs,
      lagMs: 20,
    },
    peerLatencyMs: deployment.domainLatencyMs,
    platformLatencyMs: 2,
    seed: options.seed,
    policies: countAttempts(options.policies, attempts),
    ...(options.settings ? { settings: options.settings } : {}),
  });
  const issuedKeys = deployment.workspaces.map((w) => issueKey(w.workspace));
  const keys = new Map<string, string>(
    issuedKeys.map((key) => [key.record.workspace, key.secret]),
  );
  const objects = [
    { key: PLANS_KEY, value: buildPlans(deployment) },
    { key: SERVICES_KEY, value: buildServices(deployment) },
    { key: GROUPS_KEY, value: { kind: "groups", groups: fleet.groups } },
    {
      key: KEYS_KEY,
      value: { kind: "keys", keys: issuedKeys.map((key) => key.record) },
    },
  ];
  for (const { key, value } of objects) {
    fleet.platform.put(key, value, { ifVersion: 0 }).unwrap();
  }
  const sessions = new Map<string, CallerSession>();
  function openSession({ host, workspace }: Arrival): CallerSession {
    const name = `${host}/${workspace}`;
    const session = sessions.get(name) ??
      fleet.getHost(host).host.entry.open({
        kind: "hello",
        key: keys.get(asId<WorkspaceId>(workspace))!,
      }).unwrap();
    sessions.set(name, session);
    return session;
  }
  return { fleet, openSession, attempts };
}

/** Wraps the queue policy to count the statements that acquire a slot. */
function countAttempts(
  policies: LocalFleetOptions["policies"],
  attempts: { count: number },
): LocalFleetOptions["policies"] {
  const createQueue = policies?.createQueue ?? createFairQueue;
  return {
    ...policies,
    createQueue(options) {
      const queue = createQueue(options);
      return {
        stop: queue.stop,
        async enter(target, request) {
          const slot = await queue.enter(target, request);
          attempts.count += slot.isOk() ? 1 : 0;
          return slot;
        },
      };
    },
  };
}
