/** Policies under measurement: the product's own, baselines, broken ones. */

import type { RunHostOptions } from "../../src/daemon/run_host.ts";
import type { Settings } from "../../src/generated/settings.ts";
import {
  createFifoQueue,
  createRoundRobin,
  createStaticLimits,
} from "./baselines.ts";
import type { PrimaryFault } from "./schedule.ts";
import { BROKEN_WRAPPERS, type BrokenName } from "./broken.ts";

/** Policy under measurement: settings and options of its hosts. */
export interface MeasuredPolicy {
  readonly settings: Partial<Settings>;
  create(settings: Settings): RunHostOptions;
  /** Replaces the kinds of primary faults. */
  readonly primaryFaults?: readonly PrimaryFault[];
  /** Replaces the replication lag, in milliseconds. */
  readonly lagMs?: number;
}

const OWN_POOLS_HOSTS = 9;

/** Names of the policies compared by default; `chosen` is the product's own. */
export const COMPARED_POLICIES = [
  "chosen",
  "static-share",
  "fifo",
  "own-pools",
  "round-robin",
] as const;

type ComparedName = (typeof COMPARED_POLICIES)[number];

const COMPARED: Readonly<Record<ComparedName, MeasuredPolicy>> = {
  "chosen": { settings: {}, create: () => ({}) },
  "static-share": {
    settings: {},
    create: () => ({ policies: { createLimits: createStaticLimits } }),
  },
  "fifo": {
    settings: {},
    create: () => ({ policies: { createQueue: createFifoQueue } }),
  },
  "own-pools": {
    settings: { pools: { hostsPerGroup: OWN_POOLS_HOSTS } },
    create: () => ({}),
  },
  "round-robin": {
    settings: {},
    create: () => ({ policies: { orderReplicas: createRoundRobin() } }),
  },
};

const LONG_LAG_MS = 1_000;

/** Overrides with which a broken policy causes violations within seconds. */
const BROKEN_POLICY_OVERRIDES: Readonly<
  Record<string, Pick<MeasuredPolicy, "primaryFaults" | "lagMs">>
> = {
  "broken-lost": { lagMs: LONG_LAG_MS },
  "broken-staleReads": { lagMs: LONG_LAG_MS },
  "broken-oldPrimaryAcks": { primaryFaults: ["partly_cut"] },
};

/** Names of the deliberately broken policies. */
export function listBrokenPolicies(): string[] {
  return Object.keys(BROKEN_WRAPPERS).map((name) => `broken-${name}`);
}

/** Returns the policy of that name; throws if there is none. */
export function getPolicy(name: string): MeasuredPolicy {
  if (name.startsWith("broken-")) {
    const wrap = BROKEN_WRAPPERS[name.slice("broken-".length) as BrokenName];
    if (wrap) {
      return {
        settings: {},
        create: (hostSettings) => ({ wrapIo: wrap(hostSettings) }),
        ...BROKEN_POLICY_OVERRIDES[name],
      };
    }
  }
  const policy = COMPARED[name as ComparedName];
  if (!policy) {
    const names = [...COMPARED_POLICIES, ...listBrokenPolicies()];
    throw new Error(
      `unknown policy ${name}; expected one of ${names.join(", ")}`,
    );
  }
  return policy;
}
