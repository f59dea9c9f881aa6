/** Keys of the objects that this system stores in the platform. */

import { asId, type GroupId, type HostId, type ObjectKey } from "./ids.ts";

/** Prefix of the objects that every host caches. */
export const CONFIG_PREFIX = "config/";
/** Assignment of workspaces to plans. */
export const PLANS_KEY = asId<ObjectKey>("config/plans");
/** Services and limits of each plan. */
export const SERVICES_KEY = asId<ObjectKey>("config/services");
/** Database groups and their targets. */
export const GROUPS_KEY = asId<ObjectKey>("config/groups");
/** Salted hashes of the API keys. */
export const KEYS_KEY = asId<ObjectKey>("config/keys");
/** Keys of the lists that operators edit. */
export const LIST_KEYS: readonly ObjectKey[] = [
  PLANS_KEY,
  SERVICES_KEY,
  GROUPS_KEY,
  KEYS_KEY,
];

/** Returns the key of the published status of a group. */
export function getGroupStatusKey(group: GroupId): ObjectKey {
  return asId<ObjectKey>(`config/status/${group}`);
}

/** Prefix of the seats: leases on shares of the rate limits. */
export const SEATS_PREFIX = "seats/";

/** Returns the key of the lease on a seat. */
export function getSeatKey(seat: number): ObjectKey {
  return asId<ObjectKey>(`${SEATS_PREFIX}${seat}`);
}

/** Returns the key of the lease to replace the primary of a group. */
export function getGroupLeaseKey(group: GroupId): ObjectKey {
  return asId<ObjectKey>(`lease/${group}`);
}

/** Returns the key of the registration of a host. */
export function getHostKey(host: HostId): ObjectKey {
  return asId<ObjectKey>(`config/hosts/${host}`);
}
