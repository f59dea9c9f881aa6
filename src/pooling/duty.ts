/** The duty to replace the primary of a service, as it lies in the store. */

import type { HostId, TargetId } from "../core/ids.ts";

/** Why a primary is replaced. */
export type FailoverCause =
  | "leaving"
  | "silent"
  | "gone"
  | "leaderless"
  /** A host stopped in the middle; its replicas still receive nothing. */
  | "left_paused";

/** A claim of the duty. */
export interface FailoverLease {
  readonly holder: HostId;
  /** Rises with every claim; the platform refuses older ones. */
  readonly fencingToken: number;
  readonly isDone: boolean;
  /**
   * Target of an order that got no answer and may take effect at any time.
   * Until it leads nobody else is promoted and nothing is resumed.
   */
  readonly openTarget?: TargetId;
}

/** Decodes what the store holds; undefined if it is not a duty. */
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
