/** Stored lease on the failover of a service. */

import type { HostId, TargetId } from "../core/ids.ts";
import { maxPosition } from "../core/position.ts";
import type { Position } from "./types.ts";

/** Reason for replacing a primary. */
export type FailoverCause =
  /** The primary is draining. */
  | "leaving"
  /** The primary's failure domain is evacuated. */
  | "evacuated"
  /** The primary does not answer. */
  | "silent"
  /** The primary is no longer registered. */
  | "gone"
  /** No primary is known. */
  | "leaderless"
  /**
   * A failover did not finish, and replicas are still paused or acknowledgements
   * withheld.
   */
  | "left_paused";

/** Target that has been seen to lead in a term. */
export interface ProvenPrimary {
  readonly target: TargetId;
  readonly incarnation: number;
  readonly term: number;
}

/** Lease on the failover of a service; one host holds it at a time. */
export interface FailoverLease {
  readonly holder: HostId;
  /**
   * Token of the last claim that was written after it was accepted, see
   * `getFencingToken`; the platform refuses orders with older tokens.
   */
  readonly fencingToken: number;
  /** Era of the store in which the lease was written; 0 if it has none. */
  readonly era: number;
  /** Whether the failover has ended, successfully or not. */
  readonly isDone: boolean;
  /**
   * Target of a promotion order that got no answer and may still take effect.
   * While set, replicas stay paused. Another target is promoted only if this
   * target has left the directory or is known to lack commits.
   */
  readonly openTarget?: TargetId;
  /**
   * Whether an order for the target that leads now got no answer. It may take
   * effect once that target has stepped down.
   */
  readonly hasUnansweredOrder?: boolean;
  /**
   * Last primary, which answered as primary to a holder of the lease, written
   * before it is made to step down. Its log end bounds every acknowledged
   * commit, also for a later holder that finds it as a replica. Removed before
   * an order, after which another target may lead; a host of an earlier version
   * does not carry it over to its claim.
   */
  readonly lastPrimary?: ProvenPrimary;
  /**
   * Term from which a primary's acknowledgements count. Set before replicas are
   * fenced if the old primary has not stepped down, and kept once a target was
   * promoted; taken back if no promotion was ordered. Also tells hosts that
   * start meanwhile.
   */
  readonly minTerm?: number;
  /**
   * Position that the log of every successor must have reached, see
   * `StoredFloors`; carried over from claim to claim.
   */
  readonly floor?: Position;
}

/** Returns the higher floor of two leases; undefined if there is none. */
export function tryHigherFloor(
  a: Pick<FailoverLease, "floor"> | undefined,
  b: Pick<FailoverLease, "floor"> | undefined,
): Position | undefined {
  return a?.floor && b?.floor
    ? maxPosition(a.floor, b.floor)
    : a?.floor ?? b?.floor;
}

/** Revisions that fencing tokens distinguish within an era of the store. */
const REVISIONS_PER_ERA = 2 ** 40;

/**
 * Returns the fencing token of a claim that the store accepted at a version.
 * The store gives a version out once in an era, and versions and eras rise, so
 * no other claim has this token, and every later one has a higher one.
 */
export function getFencingToken(
  version: number,
  era: number,
): number {
  return era * REVISIONS_PER_ERA + version;
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
      era: lease.era ?? 0,
      isDone: lease.isDone === true,
      ...(lease.openTarget === undefined
        ? {}
        : { openTarget: lease.openTarget }),
      ...(lease.hasUnansweredOrder === true
        ? { hasUnansweredOrder: true }
        : {}),
      ...(isProvenPrimary(lease.lastPrimary)
        ? { lastPrimary: lease.lastPrimary }
        : {}),
      ...(typeof lease.minTerm === "number" ? { minTerm: lease.minTerm } : {}),
      ...(isPosition(lease.floor) ? { floor: lease.floor } : {}),
    }
    : undefined;
}

function isPosition(value: unknown): value is Position {
  const { term, pos } = (value ?? {}) as Partial<Position>;
  return typeof term === "number" && typeof pos === "number";
}

function isProvenPrimary(value: unknown): value is ProvenPrimary {
  const { target, incarnation, term } = (value ?? {}) as Partial<ProvenPrimary>;
  return typeof target === "string" && typeof incarnation === "number" &&
    typeof term === "number";
}
