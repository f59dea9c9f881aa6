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
export interface Duty {
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
export function tryDecodeDuty(value: unknown): Duty | undefined {
  const duty = value as Partial<Duty> | undefined;
  return typeof duty?.fencingToken === "number" && duty.holder !== undefined
    ? {
      holder: duty.holder,
      fencingToken: duty.fencingToken,
      isDone: duty.isDone === true,
      ...(duty.openTarget === undefined ? {} : { openTarget: duty.openTarget }),
    }
    : undefined;
}
