/** Stored lease on the failover of a service. */

import type { HostId, TargetId } from "../core/ids.ts";

/** Reason for replacing a primary. */
export type FailoverCause =
  /** The primary is draining. */
  | "leaving"
  /** The primary does not answer. */
  | "silent"
  /** The primary is no longer registered. */
  | "gone"
  /** No primary is known. */
  | "leaderless"
  /** A failover did not finish, and replicas are still paused. */
  | "left_paused";

/** Lease on the failover of a service; one host holds it at a time. */
export interface FailoverLease {
  readonly holder: HostId;
  /**
   * Increases with every claim; the platform refuses orders with older tokens.
   */
  readonly fencingToken: number;
  /** Whether the failover has ended, successfully or not. */
  readonly isDone: boolean;
  /**
   * Target of a promotion order that got no answer and may still take effect.
   * While set, replicas stay paused. Another target is promoted only if this
   * target has left the directory or is known to lack commits.
   */
  readonly openTarget?: TargetId;
}

/** Decodes a stored lease; undefined if the value is not a lease. */
export function tryDecodeFailoverLease(
  value: unknown,
): FailoverLease | undefined {
  const lease = value as Partial<FailoverLease> | undefined;
  return typeof lease?.fencingToken === "number" && lease.holder !== undefined
    ? {
      holder: lease.holder,
      fencingToken: lease.fencingToken,
      isDone: lease.isDone === true,
      ...(lease.openTarget === undefined
        ? {}
        : { openTarget: lease.openTarget }),
    }
    : undefined;
}
