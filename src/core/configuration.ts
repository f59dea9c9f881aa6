/** The host's copy of the lists, keys and group states of the platform. */

import type {
  GroupInfo,
  GroupStatus,
  HostRecord,
  KeyRecord,
  PlanAllowance,
} from "../generated/objects.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";
import type {
  GroupId,
  HostId,
  KeyId,
  ObjectKey,
  ServiceId,
  WorkspaceId,
} from "./ids.ts";
import { tryGroupFor } from "./route.ts";
import type { HostIo, StoredObject, WatchRes } from "./types.ts";

/** What the accepted lists say, ready to look up. */
export interface Configuration {
  tryAllowance(workspace: WorkspaceId): PlanAllowance | undefined;
  tryKey(keyId: KeyId): KeyRecord | undefined;
  tryGroup(group: GroupId): GroupInfo | undefined;
  /** The group of a service that keeps the rows of a workspace. */
  tryGroupFor(
    place: { readonly service: ServiceId; readonly workspace: WorkspaceId },
  ): GroupInfo | undefined;
  tryGroupStatus(group: GroupId): GroupStatus | undefined;
  readonly groups: readonly GroupInfo[];
  /** Hosts that registered, the leaving ones included. */
  readonly hosts: readonly HostRecord[];
  readonly objects: readonly StoredObject[];
  /** Every change up to this revision of the platform is held. */
  readonly revision: number;
  /** Revision up to which the latest change that is held was learnt. */
  readonly changedAt: number;
  /** Takes every change after a revision that is held already. */
  acceptAll(changes: WatchRes): void;
  listChangedAfter(revision: number): readonly StoredObject[];
  /** Calls back after objects were accepted. */
  onChange(listener: () => void): () => void;
  /** Resolves when the first objects have arrived. */
  ready(): Promise<void>;
}

interface Held {
  readonly object: StoredObject;
  /** At or above the revision of the change. */
  readonly learntAt: number;
}

/** Creates an empty copy. */
export function createConfiguration(io: HostIo): Configuration {
  const objects = new Map<ObjectKey, Held>();
  const plans = new Map<WorkspaceId, string>();
  const allowances = new Map<string, PlanAllowance>();
  const keys = new Map<KeyId, KeyRecord>();
  const groups = new Map<GroupId, GroupInfo>();
  /** What the hash of a workspace over the groups of a service gave. */
  const groupsByPlace = new Map<string, GroupInfo | undefined>();
  const statuses = new Map<GroupId, GroupStatus>();
  const hosts = new Map<HostId, HostRecord>();
  const listeners = new Set<() => void>();
  let revision = 0;
  let changedAt = 0;
  let markReady: () => void;
  const isReady = new Promise<void>((resolve) => markReady = resolve);

  function index(value: unknown): void {
    if (!validatePlatformObject(value)) {
      return;
    }
    switch (value.kind) {
      case "plans":
        plans.clear();
        value.workspaces.forEach((w) => plans.set(w.workspace, w.plan));
        break;
      case "services":
        allowances.clear();
        value.plans.forEach((plan) => allowances.set(plan.plan, plan));
        break;
      case "keys":
        keys.clear();
        value.keys.forEach((key) => keys.set(key.keyId, key));
        break;
      case "groups":
        groups.clear();
        groupsByPlace.clear();
        value.groups.forEach((group) => groups.set(group.group, group));
        break;
      case "group_status":
        statuses.set(value.group, value);
        break;
      case "host":
        hosts.set(value.host, value);
        break;
    }
  }

  /** Takes an object if it is newer than the one held. */
  function hold(object: StoredObject, learntAt: number): boolean {
    const held = objects.get(object.key);
    if (object.version <= (held?.object.version ?? 0)) {
      return false;
    }
    objects.set(object.key, { object, learntAt });
    changedAt = Math.max(changedAt, learntAt);
    index(object.value);
    io.log({
      component: "configuration",
      event: "accepted",
      fields: { key: object.key, version: object.version },
    });
    return true;
  }

  return {
    tryAllowance: (workspace) => allowances.get(plans.get(workspace) ?? ""),
    tryKey: (keyId) => keys.get(keyId),
    tryGroup: (group) => groups.get(group),
    tryGroupFor({ service, workspace }) {
      const place = `${service}/${workspace}`;
      if (!groupsByPlace.has(place)) {
        const found = [...groups.values()].filter((g) => g.service === service);
        groupsByPlace.set(place, tryGroupFor(workspace, found));
      }
      return groupsByPlace.get(place);
    },
    tryGroupStatus: (group) => statuses.get(group),
    get groups() {
      return [...groups.values()];
    },
    get hosts() {
      return [...hosts.values()];
    },
    get objects() {
      return [...objects.values()].map((held) => held.object);
    },
    get revision() {
      return revision;
    },
    get changedAt() {
      return changedAt;
    },
    acceptAll(changes) {
      const learntAt = Math.max(revision, changes.revision);
      const isNew = changes.objects
        .map((object) => hold(object, learntAt))
        .includes(true);
      revision = learntAt;
      markReady();
      if (isNew) {
        listeners.forEach((listener) => listener());
      }
    },
    listChangedAfter: (after) =>
      [...objects.values()]
        .filter((held) => held.learntAt > after)
        .map((held) => held.object),
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    ready: () => isReady,
  };
}
