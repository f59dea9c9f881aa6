/** Creates the in-process fleet that a recorded run is replayed on. */

import {
  asId,
  type GroupId,
  type ObjectKey,
  type PlanId,
  type TargetId,
  type WorkspaceId,
} from "../core/ids.ts";
import { assertNever } from "../core/errors.ts";
import { issueKey } from "../core/keys.ts";
import {
  GROUPS_KEY,
  KEYS_KEY,
  PLANS_KEY,
  SERVICES_KEY,
} from "../core/object_keys.ts";
import type {
  GroupInfo,
  GroupsList,
  KeysList,
  PlansList,
  ServicesList,
} from "../generated/objects.ts";
import type { Fault } from "../generated/replay.ts";
import {
  createLocalFleet,
  type LocalFleet,
} from "../../standins/local_fleet.ts";
import type { LineOf } from "./trace.ts";

type Header = LineOf<"header">;

/** In-process fleet with the secret key of each workspace. */
export interface ReplayFleet extends LocalFleet {
  readonly keys: ReadonlyMap<WorkspaceId, string>;
  /** Applies a fault or an operator's change. */
  applyFault(fault: Fault): void;
}

/**
 * Creates the fleet that the header of a recorded run describes and writes its
 * lists to the platform.
 */
export function createReplayFleet(header: Header): ReplayFleet {
  const groups = buildGroups(header);
  const fleet = createLocalFleet({
    hosts: header.hosts,
    domains: header.domains,
    groups,
    target: {
      connectMs: header.connectMs,
      statementMs: header.statementMs,
      latencyMs: header.targetLatencyMs,
      lagMs: header.lagMs,
    },
    peerLatencyMs: header.peerLatencyMs,
    platformLatencyMs: header.platformLatencyMs,
    seed: header.seed,
  });
  const issuedKeys = header.workspaces.map((w) => issueKey(w.workspace));

  /**
   * Changes an object of the platform as an operator does, on condition that
   * its version has not changed since it was read.
   */
  function editObject<T>(key: ObjectKey, change: (value: T) => T): void {
    const { version, value } = fleet.platform.get(key);
    const ifVersion = version;
    fleet.platform.put(key, change(value as T), { ifVersion }).unwrap();
  }

  editObject<PlansList>(PLANS_KEY, () => ({
    kind: "plans",
    workspaces: header.workspaces.map(({ workspace }) => ({
      workspace,
      plan: asId<PlanId>(workspace),
    })),
  }));
  editObject<ServicesList>(SERVICES_KEY, () => ({
    kind: "services",
    plans: header.workspaces.map(({ workspace, ratePerSecond, burst }) => ({
      plan: asId<PlanId>(workspace),
      ratePerSecond,
      burst,
      services: [{ service: header.service }],
    })),
  }));
  editObject<GroupsList>(GROUPS_KEY, () => ({ kind: "groups", groups }));
  editObject<KeysList>(KEYS_KEY, () => ({
    kind: "keys",
    keys: issuedKeys.map((key) => key.record),
  }));

  function applyFault(fault: Fault): void {
    switch (fault.kind) {
      case "target": {
        const { kind: _, target, ...faults } = fault;
        fleet.getTarget(target).faults = faults;
        return;
      }
      case "host":
        return fleet[fault.change](fault.host);
      case "cut":
        return fleet.partition(fault.a, fault.b);
      case "heal":
        return fleet.heal();
      case "platform": {
        const { down = false, slowMs = 0, loseAnswers = false } = fault;
        Object.assign(fleet.platformFaults, { down, slowMs, loseAnswers });
        return;
      }
      case "withdraw_key":
        return editObject<KeysList>(KEYS_KEY, (list) => ({
          ...list,
          keys: list.keys.map((key) =>
            key.workspace === fault.workspace
              ? { ...key, withdrawnAt: new Date().toISOString() }
              : key
          ),
        }));
      case "target_leaving":
        return editObject<GroupsList>(GROUPS_KEY, (list) => ({
          ...list,
          groups: list.groups.map((group) => ({
            ...group,
            targets: group.targets.map((target) =>
              target.target === fault.target
                ? { ...target, leaving: true }
                : target
            ),
          })),
        }));
      case "rate":
        return editObject<ServicesList>(SERVICES_KEY, (list) => ({
          ...list,
          plans: list.plans.map((plan) => {
            const { ratePerSecond, burst } = fault;
            return `${plan.plan}` === `${fault.workspace}`
              ? { ...plan, ratePerSecond, burst }
              : plan;
          }),
        }));
      default:
        return assertNever(fault);
    }
  }

  return {
    ...fleet,
    keys: new Map(issuedKeys.map((key) => [key.record.workspace, key.secret])),
    applyFault,
  };
}

function buildGroups(header: Header): GroupInfo[] {
  const { service, domains } = header;
  const numbersTo = (count: number) =>
    Array.from({ length: count }, (_, index) => index + 1);
  return numbersTo(header.groups).map((g) => ({
    group: asId<GroupId>(`${service}-${g}`),
    service,
    slots: header.slots,
    targets: numbersTo(header.targetsPerGroup).map((t) => {
      const target = asId<TargetId>(`${service}-${g}-${t}`);
      return {
        target,
        domain: domains[(g + t) % domains.length]!,
        url: target,
        maxConnections: header.connectionsPerTarget,
      };
    }),
  }));
}
