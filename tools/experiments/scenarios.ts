/** Loads for experiments on the policies of the product. */

import { mersenne } from "pure-rand/generator/mersenne";
import { asId, type PlanId } from "../../src/core/ids.ts";
import type { Arrival, TimedFault } from "./run.ts";
import { type Deployment, LAKAZ } from "../workloads.ts";

const UINT32_RANGE = 2 ** 32;
const WRITE_FRACTION = 0.3;

/** Load with the faults that are applied during it. */
export interface Scenario {
  readonly name: string;
  readonly deployment: Deployment;
  readonly load: readonly Arrival[];
  readonly timedFaults?: readonly TimedFault[];
  /** Workspaces that exceed their plans; excluded from most figures. */
  readonly flooders?: readonly string[];
}

/** Generates Poisson arrivals of one workspace. */
export function generateArrivals(options: {
  readonly seed: number;
  readonly workspace: string;
  readonly perSecond: number;
  readonly fromMs?: number;
  readonly durationMs: number;
  readonly getHost: (atMs: number, random: number) => string;
  readonly costMs?: number;
  readonly writeFraction?: number;
}): Arrival[] {
  const generator = mersenne(options.seed);
  const random = () => (generator.next() >>> 0) / UINT32_RANGE;
  const { perSecond, durationMs, fromMs = 0 } = options;
  const arrivals: Arrival[] = [];
  let atMs = fromMs;
  while (true) {
    atMs += -Math.log(1 - random()) * 1_000 / perSecond;
    if (atMs >= fromMs + durationMs) {
      return arrivals;
    }
    arrivals.push({
      atMs,
      host: options.getHost(atMs, random()),
      workspace: options.workspace,
      access: random() < (options.writeFraction ?? WRITE_FRACTION)
        ? "write"
        : "read",
      ...(options.costMs ? { costMs: options.costMs } : {}),
    });
  }
}

/** Creates a function that picks one of `count` hosts uniformly. */
export function createUniformHostPicker(count: number) {
  return (_atMs: number, random: number) =>
    `h${1 + Math.floor(random * count)}`;
}

/** Generates arrivals of every workspace at a fraction of its rate. */
export function generateAllArrivals(
  deployment: Deployment,
  options: {
    readonly seed: number;
    readonly rateFraction: number;
    readonly durationMs: number;
    readonly getHost: (atMs: number, random: number) => string;
  },
): Arrival[] {
  return deployment.workspaces.flatMap((size, index) =>
    generateArrivals({
      ...options,
      seed: options.seed * 100 + index,
      workspace: size.workspace,
      perSecond: size.ratePerSecond * options.rateFraction,
    })
  );
}

/** Loads that compare rate limit policies. */
export function listLimitScenarios(seed: number, hosts: number): Scenario[] {
  const durationMs = 15_000;
  const spread = createUniformHostPicker(hosts);
  const common = { seed, rateFraction: 0.9, durationMs };
  const bursts = LAKAZ.workspaces.flatMap((size) =>
    [3_000, 10_000].flatMap((fromMs, burstIndex) =>
      Array.from({ length: Math.floor(size.burst * 0.95) }, (_, index) => ({
        atMs: fromMs + index * 0.5,
        host: `h${1 + (burstIndex * 3) % hosts}`,
        workspace: size.workspace,
        access: "read" as const,
      }))
    )
  );
  const rare = LAKAZ.workspaces.map((size, index) => ({
    atMs: 1_000 + index * 1_500,
    host: `h${1 + index % hosts}`,
    workspace: size.workspace,
    access: "read" as const,
  }));
  const flood = generateArrivals({
    seed: seed + 7,
    workspace: "supreme-court",
    perSecond: 600,
    durationMs,
    getHost: spread,
  });
  const others = generateAllArrivals(LAKAZ, { ...common, getHost: spread })
    .filter((arrival) => arrival.workspace !== "supreme-court");
  return [
    {
      name: "one host",
      deployment: LAKAZ,
      load: generateAllArrivals(LAKAZ, { ...common, getHost: () => "h1" }),
    },
    {
      name: "spread",
      deployment: LAKAZ,
      load: generateAllArrivals(LAKAZ, { ...common, getHost: spread }),
    },
    {
      name: "moving",
      deployment: LAKAZ,
      load: generateAllArrivals(LAKAZ, {
        ...common,
        getHost: (atMs) => `h${1 + Math.floor(atMs / 2_000) % hosts}`,
      }),
    },
    { name: "bursts", deployment: LAKAZ, load: bursts },
    { name: "rare", deployment: LAKAZ, load: rare },
    {
      name: "host dies",
      deployment: LAKAZ,
      load: generateAllArrivals(LAKAZ, {
        ...common,
        durationMs: 10_000,
        getHost: (_atMs, random) => `h${2 + Math.floor(random * (hosts - 1))}`,
      }),
      timedFaults: [{ atMs: 1_000, apply: (fleet) => fleet.kill("h1") }],
    },
    {
      name: "flood",
      deployment: LAKAZ,
      load: [...flood, ...others],
      flooders: ["supreme-court"],
    },
  ];
}

const HEAVY_STATEMENT_MS = 20;

/** Builds a single group with a workspace that can overload its targets. */
function buildSingleGroup(largeRate: number): Deployment {
  const sizes = LAKAZ.workspaces.map((size, index) =>
    index === 0
      ? {
        ...size,
        plan: asId<PlanId>("plan-large"),
        ratePerSecond: largeRate,
        burst: largeRate * 2,
      }
      : size
  );
  return { ...LAKAZ, groups: 1, workspaces: sizes };
}

/** Loads that compare queue policies. */
export function listFairnessScenarios(
  seed: number,
  hosts: number,
): Scenario[] {
  const durationMs = 8_000;
  const getHost = createUniformHostPicker(hosts);
  const deployment = buildSingleGroup(800);
  const large = deployment.workspaces[0]!.workspace;
  const small = generateAllArrivals(deployment, {
    seed,
    rateFraction: 0.8,
    durationMs,
    getHost,
  })
    .filter((arrival) => arrival.workspace !== large);
  const heavy = generateArrivals({
    seed,
    workspace: large,
    perSecond: 800,
    durationMs,
    getHost,
    costMs: HEAVY_STATEMENT_MS,
    writeFraction: 0.1,
  });
  return [
    { name: "no flood", deployment, load: small, flooders: [large] },
    {
      name: "heavy",
      deployment,
      load: [...small, ...heavy],
      flooders: [large],
    },
    {
      name: "heavy, slow target",
      deployment,
      load: [...small, ...heavy],
      flooders: [large],
      timedFaults: [{
        atMs: 2_000,
        apply: (fleet) => {
          fleet.getTarget("ordering-1-2").faults = { statementMs: 40 };
        },
      }],
    },
  ];
}

/** Reads at multiples of the capacity of one group's targets. */
export function listOverloadScenarios(
  seed: number,
  hosts: number,
): Scenario[] {
  const deployment = buildSingleGroup(5_000);
  const { workspace } = deployment.workspaces[0]!;
  const capacity = deployment.targetsPerGroup * deployment.slots * 1_000 /
    HEAVY_STATEMENT_MS;
  return [0.9, 1.5, 3].map((loadFactor) => ({
    name: `${loadFactor} times capacity`,
    deployment,
    load: generateArrivals({
      seed,
      workspace,
      perSecond: capacity * loadFactor,
      durationMs: 6_000,
      getHost: createUniformHostPicker(hosts),
      costMs: HEAVY_STATEMENT_MS,
      writeFraction: 0,
    }),
  }));
}

/** Loads that lose a primary or a whole group, to evaluate retries. */
export function listFailoverScenarios(seed: number, hosts: number): Scenario[] {
  const getHost = createUniformHostPicker(hosts);
  const load = generateAllArrivals(LAKAZ, {
    seed,
    rateFraction: 0.8,
    durationMs: 12_000,
    getHost,
  });
  return [
    {
      name: "primary cut off",
      deployment: LAKAZ,
      load,
      timedFaults: [{
        atMs: 3_000,
        apply: (fleet) => {
          fleet.getTarget("ordering-1-1").faults = { cutFrom: ["*"] };
        },
      }],
    },
    {
      name: "group away for 4 s",
      deployment: LAKAZ,
      load,
      timedFaults: [3_000, 7_000].map((atMs) => ({
        atMs,
        apply: (fleet) => {
          for (const number of [1, 2, 3]) {
            fleet.getTarget(`ordering-1-${number}`).faults = atMs === 3_000
              ? { cutFrom: ["*"] }
              : {};
          }
        },
      })),
    },
  ];
}
