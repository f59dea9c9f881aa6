/**
 * Lease on a group, stored in the platform. Only the host that holds it may
 * change the primary of the group.
 */

import { withTimeout } from "./clock.ts";
import type { GroupId, HostId } from "./ids.ts";
import { getGroupLeaseKey, getGroupStatusKey } from "./object_keys.ts";
import type { HostIo, StoredObject } from "./types.ts";
import type { GroupLease, GroupStatus } from "../generated/objects.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";

/** Duration of the lease, in milliseconds. */
export const LEASE_MS = 1_500;
const PLATFORM_TIMEOUT_MS = 300;
const MAX_PUBLISH_ATTEMPTS = 3;

/**
 * Result of an attempt to acquire a lease: acquired by this host, held by
 * another host, or unknown because the platform did not answer.
 */
export type LeaseState = "acquired" | "held" | "unreachable";

/** Acquires or extends the lease of a group unless another host holds it. */
export async function acquireLease(
  io: HostIo,
  options: { readonly group: GroupId; readonly self: HostId },
): Promise<LeaseState> {
  const { group, self } = options;
  const key = getGroupLeaseKey(group);
  const stored = await tryGet(io, key);
  if (!stored) {
    return "unreachable";
  }
  const lease = tryParseLease(stored.value);
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
    io.platform.put(key, newLease, { ifVersion: stored.version }),
    { ms: PLATFORM_TIMEOUT_MS, fallback: undefined },
  );
  if (put?.isOk()) {
    return "acquired";
  }
  return put?.isErr() && put.error.kind === "conflict" ? "held" : "unreachable";
}

/** Releases the lease of a group before it expires, if this host holds it. */
export async function releaseLease(
  io: HostIo,
  options: { readonly group: GroupId; readonly self: HostId },
): Promise<void> {
  const { group, self } = options;
  const key = getGroupLeaseKey(group);
  const stored = await tryGet(io, key);
  if (stored && tryParseLease(stored.value)?.holder === self) {
    const value = { kind: "group_lease", group, holder: self, until: 0 };
    await io.platform.put(key, value, { ifVersion: stored.version });
  }
}

/**
 * Publishes the primary of a group unless the same or a newer term is already
 * published. Returns false if all attempts failed.
 */
export async function publishStatus(
  io: HostIo,
  status: GroupStatus,
): Promise<boolean> {
  const key = getGroupStatusKey(status.group);
  for (let attempt = 0; attempt < MAX_PUBLISH_ATTEMPTS; attempt++) {
    const stored = await tryGet(io, key);
    if (!stored) {
      continue;
    }
    const published = tryParseStatus(stored.value);
    if (published && published.term >= status.term) {
      return true;
    }
    const put = await io.platform.put(key, status, {
      ifVersion: stored.version,
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
  const res = await withTimeout(io.platform.get(key), {
    ms: PLATFORM_TIMEOUT_MS,
    fallback: undefined,
  });
  return res?.isOk() ? res.value : undefined;
}

function tryParseLease(value: unknown): GroupLease | undefined {
  // The validator accepts objects only, and an absent object has no value.
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

/**
 * Returns true if a lease is in force. A lease that ends later than one that is
 * acquired now was written by a host with a wrong clock, and is ignored.
 */
function isActive(lease: GroupLease): boolean {
  const leftMs = lease.until - Date.now();
  return leftMs > 0 && leftMs <= LEASE_MS;
}
