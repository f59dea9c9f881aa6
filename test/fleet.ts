/** Local fleet with the Lakaz deployment, for tests with fake timers. */

import { vi } from "vitest";
import type { CallerSession, RequestFrame } from "../src/core/entry.ts";
import {
  asId,
  type HostId,
  type ReqId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import { issueKey } from "../src/core/keys.ts";
import {
  GROUPS_KEY,
  KEYS_KEY,
  PLANS_KEY,
  SERVICES_KEY,
} from "../src/core/object_keys.ts";
import type { Answer } from "../src/core/types.ts";
import {
  createLocalFleet,
  type LocalFleet,
  type LocalFleetOptions,
} from "../standins/local_fleet.ts";
import {
  buildGroups,
  buildPlans,
  buildServices,
  type Deployment,
  LAKAZ,
} from "../tools/workloads.ts";

/** Fleet with the keys of its workspaces. */
export interface TestFleet extends LocalFleet {
  readonly deployment: Deployment;
  readonly keys: ReadonlyMap<WorkspaceId, string>;
  /** Opens a session at a host; throws if the host refuses it. */
  openSession(
    host: string,
    options?: { readonly workspace?: string; readonly token?: string },
  ): CallerSession;
}

/** Time in which a new fleet becomes ready. */
const STARTUP_MS = 1_500;

/** Starts a fleet with vitest's fake timers and waits until it is ready. */
export async function startTestFleet(
  options: Partial<LocalFleetOptions> & {
    readonly deployment?: Deployment;
  } = {},
): Promise<TestFleet> {
  const { deployment = LAKAZ, ...rest } = options;
  const fleet = createLocalFleet({
    hosts: 3,
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
    seed: 1,
    ...rest,
  });
  const issuedKeys = deployment.workspaces.map((w) => issueKey(w.workspace));
  const keyRecords = issuedKeys.map((key) => key.record);
  const objects = [
    { key: PLANS_KEY, value: buildPlans(deployment) },
    { key: SERVICES_KEY, value: buildServices(deployment) },
    { key: GROUPS_KEY, value: { kind: "groups", groups: fleet.groups } },
    { key: KEYS_KEY, value: { kind: "keys", keys: keyRecords } },
  ];
  for (const { key, value } of objects) {
    fleet.platform.put(key, value, { ifVersion: 0 }).unwrap();
  }
  await vi.advanceTimersByTimeAsync(STARTUP_MS);
  const keys = new Map(
    issuedKeys.map((key) => [key.record.workspace, key.secret]),
  );
  return {
    ...fleet,
    deployment,
    keys,
    openSession(host, sessionOptions = {}) {
      const workspace = asId<WorkspaceId>(
        sessionOptions.workspace ?? deployment.workspaces[0]!.workspace,
      );
      return fleet.getHost(host).host.entry.open({
        kind: "hello",
        key: keys.get(workspace)!,
        ...(sessionOptions.token ? { token: sessionOptions.token } : {}),
      }).unwrap();
    },
  };
}

/** Advances the fake timers until `promise` settles; throws after `limitMs`. */
export async function settle<T>(
  promise: Promise<T>,
  limitMs = 30_000,
): Promise<T> {
  let state: "waiting" | "settled" = "waiting";
  const tracked = promise.finally(() => state = "settled");
  tracked.catch(() => {});
  for (let ms = 0; ms < limitMs && state === "waiting"; ms += 5) {
    await vi.advanceTimersByTimeAsync(5);
  }
  if (state === "waiting") {
    throw new Error(`promise not settled within ${limitMs} ms`);
  }
  return await tracked;
}

let nextId = 1;

/** Creates the frame of a write that puts a value into a row. */
export function createPutFrame(
  key: string,
  value: unknown,
  rest: Partial<Extract<RequestFrame, { kind: "write" }>> = {},
): RequestFrame {
  return {
    kind: "write",
    id: asId<ReqId>(`t${nextId++}`),
    service: LAKAZ.service,
    class: "order_place",
    body: { op: "put", key, value },
    ...rest,
  };
}

/** Creates the frame of a read of a row. */
export function createGetFrame(
  key: string,
  rest: Partial<Extract<RequestFrame, { kind: "read" }>> = {},
): RequestFrame {
  return {
    kind: "read",
    id: asId<ReqId>(`t${nextId++}`),
    service: LAKAZ.service,
    class: "status_lookup",
    body: { op: "get", key },
    ...rest,
  };
}

/** Returns the result of an answer; throws if the request failed. */
export function getResult(answer: Answer): unknown {
  if (answer.kind === "failed") {
    throw new Error(`request failed: ${answer.failure.error}`);
  }
  return answer.result;
}

/** Returns the largest number of platform calls made by any one host. */
export function getMaxPlatformCalls(fleet: TestFleet): number {
  const counts = new Map<HostId, number>();
  fleet.platformCalls.forEach(({ host }) =>
    counts.set(host, (counts.get(host) ?? 0) + 1)
  );
  return Math.max(...counts.values());
}
