/** Injects the faults of a schedule into a running fleet. */

import { sleep } from "../../src/core/clock.ts";
import { assertNever } from "../../src/core/errors.ts";
import { KEYS_KEY } from "../../src/core/object_keys.ts";
import type { KeysList } from "../../src/generated/objects.ts";
import { createObjectStore } from "../../platform/object_store.ts";
import type { TargetEvidence } from "../check/history.ts";
import { type Fleet, type FleetTarget, killProcess } from "../processes.ts";
import type { PrimaryFault, ScheduledFault } from "./schedule.ts";

const REPLICA_LAG_MS = 1_500;

/** Primary taken out of service. */
export interface Failover {
  readonly group: string;
  readonly fault: PrimaryFault;
  /** Wall-clock time, in milliseconds. */
  readonly injectedAt: number;
}

/** Faults that were injected in a run. */
export interface FaultLog {
  readonly failovers: Failover[];
  /** Wall-clock time, in milliseconds; undefined before the key is withdrawn. */
  keyWithdrawnAt: number | undefined;
}

/** Replaces the injected faults of a stand-in. */
export async function setFaults(url: string, faults: unknown): Promise<void> {
  await fetch(`${url.replace("ws:", "http:")}/control/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

/** Reads the evidence of a target for the checker. */
export async function readEvidence(
  target: FleetTarget,
): Promise<TargetEvidence> {
  const url = `${target.url.replace("ws:", "http:")}/control/evidence`;
  return await (await fetch(url)).json() as TargetEvidence;
}

/** Reads the status of a target. */
export async function readStatus(
  target: FleetTarget,
): Promise<TargetEvidence["status"]> {
  const url = `${target.url.replace("ws:", "http:")}/control/status`;
  return await (await fetch(url)).json() as TargetEvidence["status"];
}

/** Lists the running targets of a group. */
export function listTargets(fleet: Fleet, group: number): FleetTarget[] {
  const names = fleet.groups[group]!.targets.map((info) => info.target);
  return fleet.targets.filter((target) => names.includes(target.target));
}

/** Injects all scheduled faults; resolves once the last one has ended. */
export async function injectFaults(
  fleet: Fleet,
  options: {
    readonly schedule: readonly ScheduledFault[];
    /** Public id of the key to withdraw. */
    readonly withdrawnKeyId: string;
  },
): Promise<FaultLog> {
  const log: FaultLog = { failovers: [], keyWithdrawnAt: undefined };

  async function injectFault(fault: ScheduledFault): Promise<void> {
    await sleep(fault.atMs);
    switch (fault.kind) {
      case "primary":
        return await injectPrimaryFault(fleet, { ...fault, log });
      case "replica_lag":
        return await injectReplicaLag(fleet, fault);
      case "host_killed": {
        const host = fleet.hosts[fault.host]!;
        await killProcess(host.child);
        await sleep(fault.forMs);
        return await fleet.restart(host);
      }
      case "host_frozen": {
        const { child } = fleet.hosts[fault.host]!;
        child.kill("SIGSTOP");
        await sleep(fault.forMs);
        child.kill("SIGCONT");
        return;
      }
      case "platform_down":
        await setFaults(fleet.platformUrl, { down: true });
        await sleep(fault.forMs);
        return await setFaults(fleet.platformUrl, {});
      case "key_withdrawn":
        await withdrawKey(fleet, options.withdrawnKeyId);
        log.keyWithdrawnAt = Date.now();
        return;
      default:
        return assertNever(fault);
    }
  }

  await Promise.all(options.schedule.map(injectFault));
  return log;
}

async function injectPrimaryFault(
  fleet: Fleet,
  fault: Extract<ScheduledFault, { kind: "primary" }> & {
    readonly log: FaultLog;
  },
): Promise<void> {
  const primary = await tryFindPrimary(fleet, fault.group);
  if (!primary) {
    return;
  }
  const at = Date.now();
  await setFaults(primary.url, toTargetFaults(fleet, fault.fault));
  const group = fleet.groups[fault.group]!.group;
  fault.log.failovers.push({ group, fault: fault.fault, injectedAt: at });
  await sleep(fault.forMs);
  await setFaults(primary.url, {});
}

/** Returns the primary of the group's newest term, if there is one. */
async function tryFindPrimary(
  fleet: Fleet,
  group: number,
): Promise<FleetTarget | undefined> {
  const targets = listTargets(fleet, group);
  const statuses = await Promise.all(targets.map(readStatus));
  const term = Math.max(...statuses.map((status) => status.term));
  return targets[
    statuses.findIndex((s) => s.role === "primary" && s.term === term)
  ];
}

function toTargetFaults(fleet: Fleet, fault: PrimaryFault) {
  switch (fault) {
    case "down":
      return { down: true };
    case "cut":
      return { cutFrom: ["*"] };
    case "frozen":
      return { frozen: true };
    case "partly_cut": {
      // Only the first host can still reach the target.
      const others = fleet.hosts.slice(1).map((host) => host.host);
      const targets = fleet.targets.map((target) => target.target);
      return { cutFrom: [...others, ...targets] };
    }
    default:
      return assertNever(fault);
  }
}

async function injectReplicaLag(
  fleet: Fleet,
  fault: Extract<ScheduledFault, { kind: "replica_lag" }>,
): Promise<void> {
  const targets = listTargets(fleet, fault.group);
  const statuses = await Promise.all(targets.map(readStatus));
  const replica = targets[statuses.findIndex((s) => s.role === "replica")];
  if (replica) {
    await setFaults(replica.url, { lagMs: REPLICA_LAG_MS });
    await sleep(fault.forMs);
    await setFaults(replica.url, {});
  }
}

async function withdrawKey(fleet: Fleet, keyId: string): Promise<void> {
  const store = createObjectStore(fleet.platformUrl, { caller: "tools" });
  const stored = (await store.get(KEYS_KEY)).unwrap();
  const list = stored.value as KeysList;
  const keys = list.keys.map((key) =>
    key.keyId === keyId
      ? { ...key, withdrawnAt: new Date().toISOString() }
      : key
  );
  const options = { ifVersion: stored.version };
  (await store.put(KEYS_KEY, { ...list, keys }, options)).unwrap();
}

/**
 * Clears all faults and waits until each group has one primary and equal log
 * ends; returns false on timeout.
 */
export async function awaitConvergence(
  fleet: Fleet,
  options: { readonly timeoutMs: number },
): Promise<boolean> {
  await setFaults(fleet.platformUrl, {});
  await Promise.all(fleet.targets.map((target) => setFaults(target.url, {})));
  const deadline = Date.now() + options.timeoutMs;
  while (Date.now() < deadline) {
    const areConverged = await Promise.all(
      fleet.groups.map((_, group) => isGroupConverged(fleet, group)),
    );
    if (areConverged.every(Boolean)) {
      return true;
    }
    await sleep(100);
  }
  return false;
}

async function isGroupConverged(fleet: Fleet, group: number): Promise<boolean> {
  const statuses = await Promise.all(
    listTargets(fleet, group).map(readStatus),
  );
  const logEnds = new Set(
    statuses.map((s) => `${s.logEnd.term}/${s.logEnd.pos}`),
  );
  const primaries = statuses.filter((status) => status.role === "primary");
  return logEnds.size === 1 && primaries.length === 1;
}
