/** Faulty procedures and decisions that the failover model must detect. */

import { comparePositions } from "../../src/core/position.ts";
import { getFencingToken } from "../../src/pooling/failover_lease.ts";
import { tryChooseSuccessor } from "../../src/pooling/succession.ts";
import {
  FAILOVER_DECISIONS,
  type FailoverBounds,
  type FailoverDecisions,
  PROCEDURE,
  type Procedure,
} from "./state.ts";

/** Smallest bounds within which a failover ends. */
export const SMALL_BOUNDS: FailoverBounds = {
  holders: 1,
  commits: 1,
  restarts: 0,
  mayRestartLate: true,
  fault: "none",
  fourthCopy: "registers_in_time",
  maxStates: 1_000_000,
};

/** Faulty variant with bounds that are large enough to expose its fault. */
export interface FailoverVariant {
  readonly name: string;
  readonly procedure: Procedure;
  readonly bounds: FailoverBounds;
  readonly decisions?: FailoverDecisions;
  readonly violation: string;
  /**
   * What removes the fault: with it, no violation is left. Undefined where that
   * is the product's procedure, within bounds that are explored for it.
   */
  readonly control?: {
    readonly procedure?: Procedure;
    readonly bounds?: FailoverBounds;
  };
}

const LOST = "an acknowledged commit is missing on ";

/** Fences all at once, and counts without waiting for the old primary. */
const COUNTING: Procedure = {
  ...PROCEDURE,
  pausesLast: false,
  waitsForPrimary: false,
  rereadsList: false,
  withholdsAcknowledgements: false,
};
const KNOWN: FailoverBounds = { ...SMALL_BOUNDS, fourthCopy: "known" };
const EARLY_RESTART: FailoverBounds = {
  ...KNOWN,
  restarts: 1,
  mayRestartLate: false,
};
const LATE_RESTART: FailoverBounds = { ...KNOWN, restarts: 1 };
/** A host that takes over from another at any moment, with three copies. */
export const TWO_HOLDERS: FailoverBounds = {
  ...SMALL_BOUNDS,
  holders: 2,
  fourthCopy: "none",
};

/** Two hosts that take over; without the second query, to keep it small. */
export const THREE_HOLDERS = {
  bounds: { ...TWO_HOLDERS, holders: 3 },
  procedure: { ...PROCEDURE, looksAgain: false },
};

/** A partition, and a fourth copy that may register at any moment. */
export const PARTITION: FailoverBounds = {
  ...SMALL_BOUNDS,
  fourthCopy: "registers_late",
  fault: "partition",
};

/** All faulty variants. */
export const FAILOVER_VARIANTS: readonly FailoverVariant[] = [
  {
    name: "count the copies that one host has heard of",
    procedure: COUNTING,
    bounds: SMALL_BOUNDS,
    violation: `${LOST}t2`,
    control: { bounds: KNOWN },
  },
  {
    name: "do not wait for the old primary while replicas are paused",
    procedure: COUNTING,
    bounds: LATE_RESTART,
    violation: `${LOST}t2`,
    control: { procedure: { ...COUNTING, waitsForPrimary: true } },
  },
  {
    name: "leave the second query out, with replicas paused first",
    procedure: { ...PROCEDURE, pausesLast: false, looksAgain: false },
    bounds: LATE_RESTART,
    violation: `${LOST}t2`,
    control: { procedure: { ...PROCEDURE, pausesLast: false } },
  },
  {
    name: "leave the second query out, without waiting for the old primary",
    procedure: { ...COUNTING, looksAgain: false },
    bounds: EARLY_RESTART,
    violation: `${LOST}t2`,
    control: { procedure: COUNTING },
  },
  {
    name: "count a restarted replica as fenced",
    procedure: { ...COUNTING, requiresPause: false },
    bounds: EARLY_RESTART,
    violation: `${LOST}t2`,
    control: { procedure: COUNTING },
  },
  {
    name: "order another target while an order is open",
    procedure: { ...PROCEDURE, keepsOpenTarget: false },
    bounds: TWO_HOLDERS,
    violation: `${LOST}t1`,
  },
  {
    name: "forget an open order as soon as its target leads",
    procedure: { ...THREE_HOLDERS.procedure, awaitsOpenOrders: false },
    bounds: THREE_HOLDERS.bounds,
    violation: `${LOST}t2`,
    control: THREE_HOLDERS,
  },
  {
    name: "let one fenced target less be enough",
    procedure: PROCEDURE,
    bounds: KNOWN,
    decisions: {
      ...FAILOVER_DECISIONS,
      tryChooseSuccessor: (fenced, options) =>
        tryChooseSuccessor(fenced, { ...options, copies: options.copies - 1 }),
    },
    violation: `${LOST}t3`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "promote the least advanced",
    procedure: PROCEDURE,
    bounds: KNOWN,
    decisions: {
      ...FAILOVER_DECISIONS,
      tryChooseSuccessor: (fenced, options) =>
        tryChooseSuccessor(fenced, options) &&
        fenced.toSorted((a, b) =>
          comparePositions(a.report.position, b.report.position)
        )[0],
    },
    violation: `${LOST}t3`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "use a token twice",
    procedure: PROCEDURE,
    bounds: TWO_HOLDERS,
    decisions: {
      ...FAILOVER_DECISIONS,
      getFencingToken: (_, era) => getFencingToken(1, era),
    },
    violation: "two hosts order with token 1",
  },
  {
    name: "take the log end of a deposed primary for the bound",
    procedure: { ...PROCEDURE, requiresLastPrimary: false },
    bounds: TWO_HOLDERS,
    violation: `${LOST}t1`,
  },
  {
    name: "do not count a copy that has left",
    procedure: { ...PROCEDURE, countsDeparted: false },
    bounds: { ...KNOWN, fault: "departure" },
    violation: `${LOST}t3`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "forget the copies of the log when all hosts restart",
    procedure: { ...PROCEDURE, remembersCopies: false },
    bounds: { ...SMALL_BOUNDS, fourthCopy: "none", fault: "lapse" },
    violation: `${LOST}t3`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "hand out acknowledgements of an old primary that is reached again",
    procedure: { ...PROCEDURE, withholdsAcknowledgements: false },
    bounds: { ...LATE_RESTART, fault: "reach_returns" },
    violation: `${LOST}t2`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "count before copies can have registered after an outage",
    procedure: {
      ...PROCEDURE,
      awaitsReceipts: false,
      awaitsRegistrations: false,
    },
    bounds: { ...SMALL_BOUNDS, fourthCopy: "registers_after_outage" },
    violation: `${LOST}t2`,
    control: { procedure: { ...PROCEDURE, awaitsReceipts: false } },
  },
  {
    name: "acknowledge what only an unrecorded copy has received",
    procedure: { ...PROCEDURE, awaitsReceipts: false },
    bounds: PARTITION,
    violation: `${LOST}t2`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "do not count a recorded copy that is silent",
    procedure: { ...PROCEDURE, countsSilent: false },
    bounds: PARTITION,
    violation: `${LOST}t3`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "take a silent copy from the record although it may hold more",
    procedure: { ...PROCEDURE, dropsCovered: false },
    bounds: { ...KNOWN, fourthCopy: "none", fault: "silence" },
    violation: `${LOST}t3`,
    control: { procedure: PROCEDURE },
  },
  {
    name: "count although a copy may register later, without receipts",
    procedure: { ...PROCEDURE, awaitsReceipts: false },
    bounds: { ...SMALL_BOUNDS, fourthCopy: "registers_late" },
    violation: `${LOST}t2`,
    control: { procedure: PROCEDURE },
  },
  // The platform's doing: no procedure that counts can make up for these.
  {
    name: "order while a paused replica may restart beside a partition",
    procedure: PROCEDURE,
    bounds: { ...PARTITION, restarts: 1 },
    violation: `${LOST}t2`,
    control: { bounds: { ...PARTITION, restarts: 1, mayRestartLate: false } },
  },
  {
    name: "order although the old primary may lead again",
    procedure: PROCEDURE,
    bounds: { ...KNOWN, fault: "leads_again" },
    violation: `${LOST}t2`,
    control: { bounds: KNOWN },
  },
];
