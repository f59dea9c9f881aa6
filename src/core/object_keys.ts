/** Keys of the objects that the system keeps in the platform. */

import { asId, type GroupId, type HostId, type ObjectKey } from "./ids.ts";

/** Prefix of every object that hosts hold a copy of. */
export const CONFIG_PREFIX = "config/";
/** Which plan each workspace holds. */
export const PLANS_KEY = asId<ObjectKey>("config/plans");
/** What each plan may use. */
export const SERVICES_KEY = asId<ObjectKey>("config/services");
/** Database groups and their targets. */
export const GROUPS_KEY = asId<ObjectKey>("config/groups");
/** Salted hashes of the keys. */
export const KEYS_KEY = asId<ObjectKey>("config/keys");
/** The lists that operators edit. */
export const LIST_KEYS: readonly ObjectKey[] = [
  PLANS_KEY,
  SERVICES_KEY,
  GROUPS_KEY,
  KEYS_KEY,
];

/** Where the primary of a group is published. */
export function getGroupStatusKey(group: GroupId): ObjectKey {
  return asId<ObjectKey>(`config/status/${group}`);
}

/** Prefix of the leases on shares of the limits. */
export const SEATS_PREFIX = "seats/";

/** Where the lease of a seat is kept. */
export function getSeatKey(seat: number): ObjectKey {
  return asId<ObjectKey>(`${SEATS_PREFIX}${seat}`);
}

/** The lease of the host that changes the primary of a group. */
export function getGroupLeaseKey(group: GroupId): ObjectKey {
  return asId<ObjectKey>(`lease/${group}`);
}

/** Where a host registers when it starts. */
export function getHostKey(host: HostId): ObjectKey {
  return asId<ObjectKey>(`config/hosts/${host}`);
}
