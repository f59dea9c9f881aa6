/** Reference deployments and their generated workloads. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";
import {
  asId,
  type DomainId,
  type GroupId,
  type PlanId,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import type {
  GroupInfo,
  PlansList,
  ServicesList,
} from "../src/generated/objects.ts";
import type { TraceLine } from "../src/generated/trace.ts";

/** Name of a reference deployment. */
export type DeploymentName = "lakaz" | "madhuvan";

/** Kind of request in a workload. */
export interface RequestKind {
  readonly class: string;
  readonly access: "read" | "write";
  readonly unrepeatable: boolean;
  /** Relative frequency among the request kinds. */
  readonly weight: number;
  readonly body: (key: string, amount: number) => unknown;
}

/** Size, latencies and workload of a deployment; times in milliseconds. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly service: ServiceId;
  readonly domains: readonly DomainId[];
  readonly groups: number;
  readonly targetsPerGroup: number;
  readonly slots: number;
  readonly connectionsPerTarget: number;
  readonly connectMs: number;
  /** Execution time of a statement at a target. */
  readonly statementMs: number;
  readonly domainLatencyMs: number;
  readonly regionLatencyMs: number;
  readonly callerLatencyMs: number;
  readonly workspaces: readonly WorkspaceSize[];
  readonly requestKinds: readonly RequestKind[];
}

/** Workspace with the rate and burst of its plan. */
export interface WorkspaceSize {
  readonly workspace: WorkspaceId;
  readonly plan: PlanId;
  readonly ratePerSecond: number;
  readonly burst: number;
}

function buildWorkspaces(
  names: readonly string[],
  rates: readonly number[],
): WorkspaceSize[] {
  return names.map((name, index) => ({
    workspace: asId<WorkspaceId>(name),
    plan: asId<PlanId>(`plan-${rates[index]}`),
    ratePerSecond: rates[index]!,
    burst: rates[index]! * 2,
  }));
}

const put = (key: string, amount: number) => ({
  op: "put",
  key,
  value: amount,
});
const add = (key: string, amount: number) => ({ op: "add", key, amount });
const get = (key: string) => ({ op: "get", key });

/** Deployment "lakaz": transcript orders across Mauritius. */
export const LAKAZ: Deployment = {
  name: "lakaz",
  service: asId<ServiceId>("ordering"),
  domains: ["port-louis", "curepipe", "rose-belle"].map(asId<DomainId>),
  groups: 3,
  targetsPerGroup: 3,
  slots: 3,
  connectionsPerTarget: 20,
  connectMs: 10,
  statementMs: 2,
  domainLatencyMs: 0.5,
  regionLatencyMs: 20,
  callerLatencyMs: 1,
  workspaces: buildWorkspaces(
    [
      "attorneys-port-louis",
      "attorneys-curepipe",
      "supreme-court",
      "district-courts",
      "clerks-rose-belle",
      "litigants",
      "industrial-court",
      "archive",
    ],
    [60, 30, 60, 20, 10, 20, 10, 5],
  ),
  requestKinds: [
    {
      class: "order_place",
      access: "write",
      unrepeatable: true,
      weight: 10,
      body: (key, amount) => put(`order-${key}`, amount),
    },
    {
      class: "payment",
      access: "write",
      unrepeatable: true,
      weight: 8,
      body: (key, amount) => add(`account-${key}`, amount),
    },
    {
      class: "status_lookup",
      access: "read",
      unrepeatable: false,
      weight: 70,
      body: (key) => get(`order-${key}`),
    },
    {
      class: "registry_sync",
      access: "write",
      unrepeatable: false,
      weight: 12,
      body: (key, amount) => put(`hearing-${key}`, amount),
    },
  ],
};

/** Deployment "madhuvan": honey lots and member accounts across Gujarat. */
export const MADHUVAN: Deployment = {
  name: "madhuvan",
  service: asId<ServiceId>("ledger"),
  domains: ["saurashtra", "kutch", "dang"].map(asId<DomainId>),
  groups: 3,
  targetsPerGroup: 3,
  slots: 5,
  connectionsPerTarget: 60,
  connectMs: 30,
  statementMs: 2,
  domainLatencyMs: 1.5,
  regionLatencyMs: 10,
  callerLatencyMs: 3,
  workspaces: buildWorkspaces(
    [
      "members-saurashtra",
      "members-kutch",
      "members-dang",
      "centre-rajkot",
      "centre-bhuj",
      "centre-ahwa",
      "buyers",
      "settlement",
    ],
    [80, 60, 40, 30, 20, 10, 20, 5],
  ),
  requestKinds: [
    {
      class: "delivery",
      access: "write",
      unrepeatable: true,
      weight: 12,
      body: (key, amount) => add(`member-${key}`, amount),
    },
    {
      class: "settlement",
      access: "write",
      unrepeatable: true,
      weight: 4,
      body: (key, amount) => add(`member-${key}`, -amount),
    },
    {
      class: "balance_check",
      access: "read",
      unrepeatable: false,
      weight: 70,
      body: (key) => get(`member-${key}`),
    },
    {
      class: "batch_mark",
      access: "read",
      unrepeatable: false,
      weight: 14,
      body: (key) => get(`batch-${key}`),
    },
  ],
};

/** Returns the deployment of that name; throws if there is none. */
export function getDeployment(name: string): Deployment {
  const deployments = [LAKAZ, MADHUVAN];
  const found = deployments.find((deployment) => deployment.name === name);
  if (!found) {
    const names = deployments.map((deployment) => deployment.name).join(", ");
    throw new Error(`unknown deployment "${name}"; expected one of ${names}`);
  }
  return found;
}

/** Returns the list that assigns a plan to each workspace. */
export function buildPlans(deployment: Deployment): PlansList {
  return {
    kind: "plans",
    workspaces: deployment.workspaces
      .map(({ workspace, plan }) => ({ workspace, plan })),
  };
}

/** Returns the list of services, rates and bursts by plan. */
export function buildServices(deployment: Deployment): ServicesList {
  const { service } = deployment;
  const plans = new Map(deployment.workspaces.map((w) => [w.plan, w]));
  return {
    kind: "services",
    plans: [...plans.values()].map(({ plan, ratePerSecond, burst }) => ({
      plan,
      ratePerSecond,
      burst,
      services: [{ service }],
    })),
  };
}

/**
 * Returns the groups of a deployment. The first target of a group is its
 * primary; the targets of a group are in successive failure domains.
 */
export function buildGroups(
  deployment: Deployment,
  getUrl: (target: TargetId) => string,
): GroupInfo[] {
  return range(deployment.groups).map((g) => ({
    group: asId<GroupId>(`${deployment.service}-${g + 1}`),
    service: deployment.service,
    slots: deployment.slots,
    targets: range(deployment.targetsPerGroup).map((t) => {
      const target = asId<TargetId>(`${deployment.service}-${g + 1}-${t + 1}`);
      return {
        target,
        domain: deployment.domains[(g + t) % deployment.domains.length]!,
        url: getUrl(target),
        maxConnections: deployment.connectionsPerTarget,
      };
    }),
  }));
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

/** Generates a random trace of a deployment, sorted by time. */
export function generateTrace(
  deployment: Deployment,
  options: {
    readonly seed: number;
    readonly durationMs: number;
    /** Fraction of the plans' rates that callers use. */
    readonly load: number;
  },
): TraceLine[] {
  const generator = mersenne(options.seed);
  const draw = (below: number) => uniformInt(generator, 0, below - 1);
  const lines = deployment.workspaces.flatMap((size) => {
    const perSecond = size.ratePerSecond * options.load;
    const count = Math.round(perSecond * options.durationMs / 1_000);
    const sessions = Math.max(1, Math.round(size.ratePerSecond / 5));
    return range(count).map(() =>
      generateLine(deployment, {
        size,
        session: `${size.workspace}-${draw(sessions)}`,
        atMs: draw(options.durationMs),
        draw,
      })
    );
  });
  return lines.sort((a, b) => a.atMs - b.atMs);
}

const KEYS_PER_SESSION = 5;
const MAX_AMOUNT = 1_000;

function generateLine(
  deployment: Deployment,
  options: {
    readonly size: WorkspaceSize;
    readonly session: string;
    readonly atMs: number;
    readonly draw: (below: number) => number;
  },
): TraceLine {
  const { size, session, atMs, draw } = options;
  const kinds = deployment.requestKinds;
  const total = kinds.reduce((sum, kind) => sum + kind.weight, 0);
  let remaining = draw(total);
  const kind = kinds.find((k) => (remaining -= k.weight) < 0)!;
  const key = `${session}-${draw(KEYS_PER_SESSION)}`;
  return {
    atMs,
    workspace: size.workspace,
    session,
    service: deployment.service,
    class: kind.class,
    access: kind.access,
    ...(kind.unrepeatable ? { unrepeatable: true } : {}),
    body: kind.body(key, 1 + draw(MAX_AMOUNT)),
  };
}
