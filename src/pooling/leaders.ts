/** What this host believes about the primary of each service. */

import { nowMs } from "../core/clock.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import type { PoolIo, TargetReport } from "./types.ts";

/** The belief about one service. */
interface Belief {
  primary: TargetId | undefined;
  /** Highest term seen. */
  term: number;
  changedAt: number;
}

/** Evidence that a target leads or does not lead. */
export type Evidence =
  /** It registered itself as primary; its view of itself may be old. */
  | { readonly kind: "registered" }
  /** Its registration changed from replica to primary just now. */
  | { readonly kind: "turned_primary" }
  | { readonly kind: "reported"; readonly report: TargetReport }
  /** It answered as only a primary does. */
  | { readonly kind: "answered"; readonly term: number }
  /** It refused a write, or is gone. */
  | { readonly kind: "denied" }
  /** A promotion of it was accepted. */
  | { readonly kind: "promoted"; readonly term: number };

/** Primaries by service. */
export interface Leaders {
  tryPrimary(service: ServiceId): TargetId | undefined;
  getTerm(service: ServiceId): number;
  /** Time since the belief changed, in milliseconds. */
  getAgeMs(service: ServiceId): number;
  note(service: ServiceId, target: TargetId, evidence: Evidence): void;
  onChange(listener: (service: ServiceId) => void): void;
}

/** Creates beliefs without evidence. */
export function createLeaders(io: Pick<PoolIo, "log">): Leaders {
  const beliefs = new Map<ServiceId, Belief>();
  const listeners = new Set<(service: ServiceId) => void>();

  function getBelief(service: ServiceId): Belief {
    const found = beliefs.get(service) ??
      { primary: undefined, term: 0, changedAt: nowMs() };
    beliefs.set(service, found);
    return found;
  }

  function setPrimary(
    service: ServiceId,
    options: {
      readonly primary: TargetId | undefined;
      readonly term: number;
      readonly evidence: Evidence["kind"];
    },
  ): void {
    const belief = getBelief(service);
    const { primary, evidence } = options;
    belief.term = Math.max(belief.term, options.term);
    if (belief.primary === primary) {
      return;
    }
    belief.primary = primary;
    belief.changedAt = nowMs();
    io.log.info("primary_believed", {
      service,
      primary,
      term: belief.term,
      evidence,
    });
    listeners.forEach((listener) => listener(service));
  }

  return {
    tryPrimary: (service) => getBelief(service).primary,
    getTerm: (service) => getBelief(service).term,
    getAgeMs: (service) => nowMs() - getBelief(service).changedAt,
    note(service, target, evidence) {
      const belief = getBelief(service);
      const found = { primary: target, evidence: evidence.kind };
      const lost = { ...found, primary: undefined };
      switch (evidence.kind) {
        case "registered":
          // A target that was cut off while it was replaced still says so.
          if (belief.primary === undefined) {
            setPrimary(service, { ...found, term: 0 });
          }
          return;
        case "turned_primary":
          setPrimary(service, { ...found, term: 0 });
          return;
        case "promoted":
          setPrimary(service, { ...found, term: evidence.term });
          return;
        case "answered":
          if (evidence.term >= belief.term) {
            setPrimary(service, { ...found, term: evidence.term });
          }
          return;
        case "reported": {
          const { role, term } = evidence.report;
          if (role === "primary" && term >= belief.term) {
            setPrimary(service, { ...found, term });
          } else if (role === "replica" && belief.primary === target) {
            setPrimary(service, { ...lost, term });
          }
          belief.term = Math.max(belief.term, term);
          return;
        }
        case "denied":
          if (belief.primary === target) {
            setPrimary(service, { ...lost, term: 0 });
          }
          return;
      }
    },
    onChange: (listener) => void listeners.add(listener),
  };
}
