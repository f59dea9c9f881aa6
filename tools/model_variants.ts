/** Faulty decision functions that the model check must detect. */

import { type Bounds, DECISIONS, type Decisions } from "./model.ts";
import { comparePositions } from "../src/core/position.ts";

/** Faulty variant with bounds that are large enough to expose its fault. */
export interface Variant {
  readonly name: string;
  readonly decisions: Decisions;
  readonly bounds: Bounds;
}

const SMALL_BOUNDS: Bounds = {
  targets: 3,
  coordinators: 1,
  writes: 1,
  maxTerm: 2,
  maxStates: 1_000_000,
};

/** All faulty variants. */
export const VARIANTS: readonly Variant[] = [
  {
    name: "raise the term at one target instead of a majority",
    bounds: SMALL_BOUNDS,
    decisions: {
      ...DECISIONS,
      tryChoosePrimary: (accepted, options) =>
        DECISIONS.tryChoosePrimary(accepted, { ...options, groupSize: 1 }),
    },
  },
  {
    name: "acknowledge on the primary alone",
    bounds: SMALL_BOUNDS,
    decisions: { ...DECISIONS, getMajority: () => 1 },
  },
  {
    name: "promote the least advanced",
    bounds: SMALL_BOUNDS,
    decisions: {
      ...DECISIONS,
      tryChoosePrimary: (accepted, options) =>
        DECISIONS.tryChoosePrimary(accepted, options) &&
        accepted.toSorted((a, b) => comparePositions(a.logEnd, b.logEnd))[0],
    },
  },
  {
    name: "promote by position only",
    bounds: { ...SMALL_BOUNDS, writes: 3, maxTerm: 3 },
    decisions: {
      ...DECISIONS,
      tryChoosePrimary: (accepted, options) =>
        DECISIONS.tryChoosePrimary(accepted, options) &&
        accepted.toSorted((a, b) => b.logEnd.pos - a.logEnd.pos)[0],
    },
  },
  {
    name: "promote in a term that another coordinator uses",
    bounds: { ...SMALL_BOUNDS, coordinators: 2 },
    decisions: {
      ...DECISIONS,
      tryChoosePrimary: (accepted, { term, groupSize }) =>
        accepted.length + 1 >= DECISIONS.getMajority(groupSize)
          ? accepted.find((status) => status.term === term)
          : undefined,
    },
  },
  {
    name: "count replicas by position only",
    bounds: { ...SMALL_BOUNDS, writes: 2 },
    decisions: {
      ...DECISIONS,
      holdsWrite: (status, position) => status.logEnd.pos >= position.pos,
    },
  },
  {
    name: "take the lowest answer as the read floor",
    bounds: SMALL_BOUNDS,
    decisions: {
      ...DECISIONS,
      tryMajorityFloor: (ends, size) =>
        ends.length > size / 2 ? ends.toSorted(comparePositions)[0] : undefined,
    },
  },
];
