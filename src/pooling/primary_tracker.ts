/** Tracks the current primary of each service, as seen by this host. */

import { nowMs } from "../core/clock.ts";
import type { ServiceId, TargetId } from "../core/ids.ts";
import type { PoolIo, TargetReport } from "./types.ts";

/** Primary of one service, as seen by this host. */
interface PrimaryState {
  primary: TargetId | undefined;
  /** Highest term observed. */
  term: number;
  changedAt: number;
}

/** Evidence that a target is or is not primary. */
export type Evidence =
  /** Found registered as primary; the registration may be outdated. */
  | { readonly kind: "registered" }
  /** Its registration changed from replica to primary. */
  | { readonly kind: "turned_primary" }
  | { readonly kind: "reported"; readonly report: TargetReport }
  /** Answered a command that only a primary answers. */
  | { readonly kind: "answered"; readonly term: number }
  /** Refused a write as a replica, or is no longer registered as primary. */
  | { readonly kind: "denied" };

/** Primaries by service. */
export interface PrimaryTracker {
  tryPrimary(service: ServiceId): TargetId | undefined;
  getTerm(service: ServiceId): number;
  /** Time since the tracked primary changed, in milliseconds. */
  getTimeSinceChangeMs(service: ServiceId): number;
  applyEvidence(service: ServiceId, target: TargetId, evidence: Evidence): void;
  onChange(listener: (service: ServiceId) => void): void;
}

/** Creates a tracker that knows no primary. */
export function createPrimaryTracker(io: Pick<PoolIo, "log">): PrimaryTracker {
  const states = new Map<ServiceId, PrimaryState>();
  const listeners = new Set<(service: ServiceId) => void>();

  function getState(service: ServiceId): PrimaryState {
    const state = states.get(service) ??
      { primary: undefined, term: 0, changedAt: nowMs() };
    states.set(service, state);
    return state;
  }

  function setPrimary(
    service: ServiceId,
    options: {
      readonly primary: TargetId | undefined;
      readonly term: number;
      readonly evidence: Evidence["kind"];
    },
  ): void {
    const state = getState(service);
    const { primary, evidence } = options;
    state.term = Math.max(state.term, options.term);
    if (state.primary === primary) {
      return;
    }
    state.primary = primary;
    state.changedAt = nowMs();
    io.log.info("primary_believed", {
      service,
      primary,
      term: state.term,
      evidence,
    });
    listeners.forEach((listener) => listener(service));
  }

  return {
    tryPrimary: (service) => getState(service).primary,
    getTerm: (service) => getState(service).term,
    getTimeSinceChangeMs: (service) => nowMs() - getState(service).changedAt,
    applyEvidence(service, target, evidence) {
      const state = getState(service);
      const asPrimary = { primary: target, evidence: evidence.kind };
      const asUnknown = { ...asPrimary, primary: undefined };
      switch (evidence.kind) {
        case "registered":
          // A deposed primary that was partitioned off is still registered as
          // primary.
          if (state.primary === undefined) {
            setPrimary(service, { ...asPrimary, term: 0 });
          }
          return;
        case "turned_primary":
          setPrimary(service, { ...asPrimary, term: 0 });
          return;
        case "answered":
          if (evidence.term >= state.term) {
            setPrimary(service, { ...asPrimary, term: evidence.term });
          }
          return;
        case "reported": {
          const { role, term } = evidence.report;
          if (role === "primary" && term >= state.term) {
            setPrimary(service, { ...asPrimary, term });
          } else if (role === "replica" && state.primary === target) {
            setPrimary(service, { ...asUnknown, term });
          }
          state.term = Math.max(state.term, term);
          return;
        }
        case "denied":
          if (state.primary === target) {
            setPrimary(service, { ...asUnknown, term: 0 });
          }
          return;
      }
    },
    onChange: (listener) => void listeners.add(listener),
  };
}
