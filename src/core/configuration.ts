/** The host's copy of the lists, keys and group states of the platform. */

import type {
  GroupInfo,
  GroupStatus,
  KeyRecord,
  PlanAllowance,
} from "../generated/objects.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";
import { sleep } from "./clock.ts";
import type { GroupId, KeyId, ObjectKey, WorkspaceId } from "./ids.ts";
import { CONFIG_PREFIX } from "./object_keys.ts";
import type { HostIo, Stoppable, StoredObject } from "./types.ts";

const WATCH_WAIT_MS = 10_000;
const WATCH_RETRY_MS = 500;

/** What the accepted lists say, ready to look up. */
export interface Configuration extends Stoppable {
  start(): void;
  tryAllowance(workspace: WorkspaceId): PlanAllowance | undefined;
  tryKey(keyId: KeyId): KeyRecord | undefined;
  tryGroup(group: GroupId): GroupInfo | undefined;
  tryGroupStatus(group: GroupId): GroupStatus | undefined;
  readonly groups: readonly GroupInfo[];
  readonly objects: readonly StoredObject[];
  /** Takes an object if it is newer than the one held. */
  accept(object: StoredObject): boolean;
  /** Resolves when the first objects have arrived. */
  ready(): Promise<void>;
}

/** Creates an empty copy that `start` fills from the platform. */
export function createConfiguration(io: HostIo): Configuration {
  const objects = new Map<ObjectKey, StoredObject>();
  const plans = new Map<WorkspaceId, string>();
  const allowances = new Map<string, PlanAllowance>();
  const keys = new Map<KeyId, KeyRecord>();
  const groups = new Map<GroupId, GroupInfo>();
  const statuses = new Map<GroupId, GroupStatus>();
  let stopped = false;
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
        value.groups.forEach((group) => groups.set(group.group, group));
        break;
      case "group_status":
        statuses.set(value.group, value);
        break;
    }
  }

  function accept(object: StoredObject): boolean {
    if (object.version <= (objects.get(object.key)?.version ?? 0)) {
      return false;
    }
    objects.set(object.key, object);
    index(object.value);
    io.log({
      component: "configuration",
      event: "accepted",
      fields: { key: object.key, version: object.version },
    });
    return true;
  }

  async function watch(): Promise<void> {
    let revision = 0;
    while (!stopped) {
      const found = revision === 0
        ? await io.platform.list(CONFIG_PREFIX)
        : await io.platform.watch(CONFIG_PREFIX, {
          after: revision,
          waitMs: WATCH_WAIT_MS,
        });
      if (found.isErr()) {
        await sleep(WATCH_RETRY_MS * (1 + io.random()));
        continue;
      }
      found.value.objects.forEach(accept);
      revision = found.value.revision;
      markReady();
    }
  }

  return {
    start: () => void watch(),
    tryAllowance: (workspace) => allowances.get(plans.get(workspace) ?? ""),
    tryKey: (keyId) => keys.get(keyId),
    tryGroup: (group) => groups.get(group),
    tryGroupStatus: (group) => statuses.get(group),
    get groups() {
      return [...groups.values()];
    },
    get objects() {
      return [...objects.values()];
    },
    accept,
    ready: () => isReady,
    stop() {
      stopped = true;
    },
  };
}
