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
    key: { readonly service: ServiceId; readonly workspace: WorkspaceId },
  ): GroupInfo | undefined;
  tryGroupStatus(group: GroupId): GroupStatus | undefined;
  readonly groups: readonly GroupInfo[];
  /** Hosts that registered, the leaving ones included. */
  readonly hosts: readonly HostRecord[];
  readonly objects: readonly StoredObject[];
  /** Every change up to this revision of the platform is held. */
  readonly revision: number;
  /** Revision up to which the latest change that is held was learnt. */
  readonly lastChangeRevision: number;
  /** Takes every change after a revision that is held already. */
  applyChanges(changes: WatchRes): void;
  listChangedAfter(revision: number): readonly StoredObject[];
  /** Calls back after objects were accepted. */
  onChange(listener: () => void): () => void;
  /** Resolves when the first objects have arrived. */
  ready(): Promise<void>;
}

interface CachedObject {
  readonly object: StoredObject;
  /** At or above the revision of the change. */
  readonly receivedRevision: number;
}

/** Creates an empty copy. */
export function createConfiguration(io: HostIo): Configuration {
  const objects = new Map<ObjectKey, CachedObject>();
  const plans = new Map<WorkspaceId, string>();
  const allowances = new Map<string, PlanAllowance>();
  const keys = new Map<KeyId, KeyRecord>();
  const groups = new Map<GroupId, GroupInfo>();
  /** What the hash of a workspace over the groups of a service gave. */
  const groupByRoute = new Map<string, GroupInfo | undefined>();
  const statuses = new Map<GroupId, GroupStatus>();
  const hosts = new Map<HostId, HostRecord>();
  const listeners = new Set<() => void>();
  let revision = 0;
  let lastChangeRevision = 0;
  let resolveReady: () => void;
  const readyPromise = new Promise<void>((resolve) => resolveReady = resolve);

  function indexValue(value: unknown): void {
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
        groupByRoute.clear();
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
  function storeIfNewer(
    object: StoredObject,
    receivedRevision: number,
  ): boolean {
    const current = objects.get(object.key);
    if (object.version <= (current?.object.version ?? 0)) {
      return false;
    }
    objects.set(object.key, { object, receivedRevision: receivedRevision });
    lastChangeRevision = Math.max(lastChangeRevision, receivedRevision);
    indexValue(object.value);
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
      const routeKey = `${service}/${workspace}`;
      if (!groupByRoute.has(routeKey)) {
        const candidates = [...groups.values()].filter((g) =>
          g.service === service
        );
        groupByRoute.set(routeKey, tryGroupFor(workspace, candidates));
      }
      return groupByRoute.get(routeKey);
    },
    tryGroupStatus: (group) => statuses.get(group),
    get groups() {
      return [...groups.values()];
    },
    get hosts() {
      return [...hosts.values()];
    },
    get objects() {
      return [...objects.values()].map((cached) => cached.object);
    },
    get revision() {
      return revision;
    },
    get lastChangeRevision() {
      return lastChangeRevision;
    },
    applyChanges(changes) {
      const receivedRevision = Math.max(revision, changes.revision);
      const hasChanges = changes.objects
        .map((object) => storeIfNewer(object, receivedRevision))
        .includes(true);
      revision = receivedRevision;
      resolveReady();
      if (hasChanges) {
        listeners.forEach((listener) => listener());
      }
    },
    listChangedAfter: (after) =>
      [...objects.values()]
        .filter((cached) => cached.receivedRevision > after)
        .map((cached) => cached.object),
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    ready: () => readyPromise,
  };
}
