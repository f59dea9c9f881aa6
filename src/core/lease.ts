/** The lease by which the platform chooses who changes a primary. */

import { withTimeout } from "./clock.ts";
import type { GroupId, HostId } from "./ids.ts";
import { getGroupLeaseKey, getGroupStatusKey } from "./object_keys.ts";
import type { HostIo, StoredObject } from "./types.ts";
import type { GroupLease, GroupStatus } from "../generated/objects.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";

/** Time for which the lease is taken, in milliseconds. */
export const LEASE_MS = 1_500;
const PLATFORM_TIMEOUT_MS = 300;
const MAX_PUBLISH_ATTEMPTS = 3;

/** Whether this host may act; `unreachable` leaves it open. */
export type LeaseState = "acquired" | "held" | "unreachable";

/** Takes the lease of a group if nobody else holds it. */
export async function acquireLease(
  io: HostIo,
  options: { readonly group: GroupId; readonly self: HostId },
): Promise<LeaseState> {
  const { group, self } = options;
  const key = getGroupLeaseKey(group);
  const found = await tryGet(io, key);
  if (!found) {
    return "unreachable";
  }
  const lease = tryParseLease(found.value);
  if (lease && lease.holder !== self && isActive(lease)) {
    return "held";
  }
  const until = Date.now() + LEASE_MS;
  const newLease: GroupLease = {
    kind: "group_lease",
    group,
    holder: self,
    until,
  };
  const put = await withTimeout(
    io.platform.put(key, newLease, { ifVersion: found.version }),
    { ms: PLATFORM_TIMEOUT_MS, fallback: undefined },
  );
  if (put?.isOk()) {
    return "acquired";
  }
  return put?.isErr() && put.error.kind === "conflict" ? "held" : "unreachable";
}

/** Gives the lease back before it lapses. */
export async function releaseLease(
  io: HostIo,
  options: { readonly group: GroupId; readonly self: HostId },
): Promise<void> {
  const { group, self } = options;
  const key = getGroupLeaseKey(group);
  const found = await tryGet(io, key);
  if (found && tryParseLease(found.value)?.holder === self) {
    const value = { kind: "group_lease", group, holder: self, until: 0 };
    await io.platform.put(key, value, { ifVersion: found.version });
  }
}

/** Publishes the primary of a group unless a newer term was published. */
export async function publishStatus(
  io: HostIo,
  status: GroupStatus,
): Promise<boolean> {
  const key = getGroupStatusKey(status.group);
  for (let attempt = 0; attempt < MAX_PUBLISH_ATTEMPTS; attempt++) {
    const found = await tryGet(io, key);
    if (!found) {
      continue;
    }
    const published = tryParseStatus(found.value);
    if (published && published.term >= status.term) {
      return true;
    }
    const put = await io.platform.put(key, status, {
      ifVersion: found.version,
    });
    if (put.isOk()) {
      return true;
    }
  }
  return false;
}

async function tryGet(
  io: HostIo,
  key: StoredObject["key"],
): Promise<StoredObject | undefined> {
  const found = await withTimeout(io.platform.get(key), {
    ms: PLATFORM_TIMEOUT_MS,
    fallback: undefined,
  });
  return found?.isOk() ? found.value : undefined;
}

function tryParseLease(value: unknown): GroupLease | undefined {
  // The validator takes objects only; an object that is absent has no value.
  return value !== undefined && validatePlatformObject(value) &&
      value.kind === "group_lease"
    ? value
    : undefined;
}

function tryParseStatus(value: unknown): GroupStatus | undefined {
  return value !== undefined && validatePlatformObject(value) &&
      value.kind === "group_status"
    ? value
    : undefined;
}

/** A lease that ends later than one taken now was taken by a wrong clock. */
function isActive(lease: GroupLease): boolean {
  const leftMs = lease.until - Date.now();
  return leftMs > 0 && leftMs <= LEASE_MS;
}
