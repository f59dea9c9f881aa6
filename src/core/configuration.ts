/** Local cache of the platform's lists, keys, group states and host records. */

import type {
  GroupInfo,
  GroupStatus,
  HostRecord,
  KeyRecord,
  PlanAllowance,
  PlatformObject,
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

/** Cached platform objects, indexed for look-up. */
export interface Configuration {
  tryAllowance(workspace: WorkspaceId): PlanAllowance | undefined;
  tryKey(keyId: KeyId): KeyRecord | undefined;
  tryGroup(group: GroupId): GroupInfo | undefined;
  /** Returns the group of a service that stores the rows of a workspace. */
  tryGroupFor(
    key: { readonly service: ServiceId; readonly workspace: WorkspaceId },
  ): GroupInfo | undefined;
  tryGroupStatus(group: GroupId): GroupStatus | undefined;
  readonly groups: readonly GroupInfo[];
  /** Registered hosts, including those that are leaving. */
  readonly hosts: readonly HostRecord[];
  /** Cached objects, including those that failed validation. */
  readonly objects: readonly StoredObject[];
  /** Version in force of each object: the latest that passed validation. */
  readonly acceptedVersions: readonly ObjectVersion[];
  /** Platform revision up to which every change is cached. */
  readonly revision: number;
  /** Platform revision of the batch that brought the latest cached change. */
  readonly lastChangeRevision: number;
  /** Applies a batch of all changes since a revision that is already cached. */
  applyChanges(changes: WatchRes): void;
  listChangedAfter(revision: number): readonly StoredObject[];
  /** Adds a listener for changed objects; returns a function to remove it. */
  onChange(listener: () => void): () => void;
  /** Resolves once the first batch has been applied. */
  ready(): Promise<void>;
}

/** Version of one object. */
export type ObjectVersion = Pick<StoredObject, "key" | "version">;

interface CachedObject {
  readonly object: StoredObject;
  /** Platform revision of the batch; at or above that of the change itself. */
  readonly receivedRevision: number;
}

/** Creates an empty cache. */
export function createConfiguration(io: HostIo): Configuration {
  const objects = new Map<ObjectKey, CachedObject>();
  const plans = new Map<WorkspaceId, string>();
  const allowances = new Map<string, PlanAllowance>();
  const keys = new Map<KeyId, KeyRecord>();
  const groups = new Map<GroupId, GroupInfo>();
  /** Group for each service and workspace, kept to hash each pair only once. */
  const groupByRoute = new Map<string, GroupInfo | undefined>();
  const statuses = new Map<GroupId, GroupStatus>();
  const hosts = new Map<HostId, HostRecord>();
  const acceptedVersions = new Map<ObjectKey, number>();
  const listeners = new Set<() => void>();
  let revision = 0;
  let lastChangeRevision = 0;
  let resolveReady: () => void;
  const readyPromise = new Promise<void>((resolve) => resolveReady = resolve);

  function indexValue(value: PlatformObject): void {
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

  /**
   * Puts an object in force if it is valid; otherwise the last valid version
   * stays in force.
   */
  function acceptIfValid({ key, version, value }: StoredObject): void {
    if (validatePlatformObject(value)) {
      indexValue(value);
      acceptedVersions.set(key, version);
      io.log({
        component: "configuration",
        event: "accepted",
        fields: { key, version },
      });
      return;
    }
    const [err] = validatePlatformObject.errors ?? [];
    io.log({
      component: "configuration",
      event: "rejected",
      // Without the values found, which may be secret.
      fields: { key, version, detail: `${err?.instancePath} ${err?.message}` },
    });
  }

  /**
   * Caches an object if its version is newer; returns whether it was. An
   * invalid object is cached too: peers get the latest version of each.
   */
  function storeIfNewer(
    object: StoredObject,
    receivedRevision: number,
  ): boolean {
    const current = objects.get(object.key);
    if (object.version <= (current?.object.version ?? 0)) {
      return false;
    }
    objects.set(object.key, { object, receivedRevision });
    lastChangeRevision = Math.max(lastChangeRevision, receivedRevision);
    acceptIfValid(object);
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
    get acceptedVersions() {
      return [...acceptedVersions].map(([key, version]) => ({ key, version }));
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
