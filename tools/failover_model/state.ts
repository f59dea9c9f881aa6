/** State of the failover model, see `explore.ts`. */

import { ORIGIN } from "../../src/core/position.ts";
import type { Position } from "../../src/core/types.ts";
import { getFencingToken } from "../../src/pooling/failover_lease.ts";
import { tryChooseSuccessor } from "../../src/pooling/succession.ts";

/** Decision functions of the product, or faulty variants of them. */
export interface FailoverDecisions {
  readonly tryChooseSuccessor: typeof tryChooseSuccessor;
  readonly getFencingToken: typeof getFencingToken;
}

/** Decision functions of the product. */
export const FAILOVER_DECISIONS: FailoverDecisions = {
  tryChooseSuccessor,
  getFencingToken,
};

/** Order of the steps of a failover, and what they check. */
export interface Procedure {
  /** Pauses replicas once the old primary has stepped down or is cut off. */
  readonly pausesLast: boolean;
  /**
   * Waits for the old primary to step down, whose log end then decides; the
   * count of fenced copies decides only if no host reaches the old primary.
   */
  readonly waitsForPrimary: boolean;
  /** Reads the list of copies from the store before the count decides. */
  readonly rereadsList: boolean;
  /** Counts the copies that were registered once, which the store keeps. */
  readonly remembersCopies: boolean;
  /** Counts only when copies that could not register have had time for it. */
  readonly awaitsRegistrations: boolean;
  /**
   * Hands an acknowledgement out only once a copy has received the commit that
   * the record names, as the host knows it.
   */
  readonly awaitsReceipts: boolean;
  /** Counts recorded copies that no holder reaches. */
  readonly countsSilent: boolean;
  /**
   * Takes a silent copy from the record only while the primary answers and
   * another replica has all that it has.
   */
  readonly dropsCovered: boolean;
  /**
   * Hands out no acknowledgement of the old primary from before the count until
   * the claim has ended.
   */
  readonly withholdsAcknowledgements: boolean;
  /** Counts the copies that have left, whose logs may be missed. */
  readonly countsDeparted: boolean;
  /** Queries the fenced targets again before the order. */
  readonly looksAgain: boolean;
  /** Whether that query requires that the target is still paused. */
  readonly requiresPause: boolean;
  /**
   * Takes a log end for the bound only from the last target that was promoted,
   * which a host knows from the lease; any replica would answer alike.
   */
  readonly requiresLastPrimary: boolean;
  /** Orders no other target while an order is open whose target is there. */
  readonly keepsOpenTarget: boolean;
  /**
   * Forgets the target of an open order only when no order can take effect any
   * more, not as soon as that target leads.
   */
  readonly awaitsOpenOrders: boolean;
}

/** The procedure that must show no violation. */
export const PROCEDURE: Procedure = {
  pausesLast: true,
  waitsForPrimary: true,
  rereadsList: true,
  remembersCopies: true,
  awaitsRegistrations: true,
  awaitsReceipts: true,
  countsSilent: true,
  dropsCovered: true,
  withholdsAcknowledgements: true,
  countsDeparted: true,
  looksAgain: true,
  requiresPause: true,
  requiresLastPrimary: true,
  keepsOpenTarget: true,
  awaitsOpenOrders: true,
};

/** Event beyond losses of a pause and of messages. */
export type Fault =
  | "none"
  /** A replica leaves in order, with its log. */
  | "departure"
  /** A replica starts again with an empty log. */
  | "empty_start"
  /** The registration of the first target lapses while no host runs. */
  | "lapse"
  /** Hosts reach the first target again. */
  | "reach_returns"
  /**
   * The first target, or the first two, and some hosts are parted from the
   * holders and the store. These hosts go on serving clients, by the record
   * that they have, and learn of no failover.
   */
  | "partition"
  /** A replica falls silent for all hosts, and may be taken from the record. */
  | "silence"
  /** A primary that has stepped down restarts and leads again. */
  | "leads_again";

/** Limits of the explored state space, and what the platform may do. */
export interface FailoverBounds {
  readonly holders: number;
  readonly commits: number;
  /** Losses of a pause. */
  readonly restarts: number;
  /** Whether a target may restart after it was queried again. */
  readonly mayRestartLate: boolean;
  /** What may happen once besides. */
  readonly fault: Fault;
  /**
   * The fourth copy never starts, is known from the start, has registered before the old
   * primary counts as out of reach of all hosts, registers within the time that
   * it is given after an outage of the store, or registers at any moment.
   */
  readonly fourthCopy:
    | "none"
    | "known"
    | "registers_in_time"
    | "registers_after_outage"
    | "registers_late";
  readonly maxStates: number;
}

/** A target with its copy of the log. */
export interface Copy {
  /** Entries received: a prefix of the log of the last primary. */
  readonly length: number;
  readonly pausedTerm: number;
  readonly isRegistered: boolean;
  /** Whether the store's record names it. */
  readonly isRecorded: boolean;
  /** Whether no holder reaches it; for the first target see `State`. */
  readonly isCutOff: boolean;
  /** Whether the hosts that are parted from the store know it as recorded. */
  readonly isTrusted: boolean;
  readonly hasLeft: boolean;
}

/** What the holder of a claim knows and has done. */
export interface Holder {
  readonly phase: "fencing" | "looking" | "ordered" | "overtaken";
  readonly token: number;
  readonly term: number;
  readonly oldPrimary: number;
  readonly hasHeardOfFourth: boolean;
  /** Log end that a target reported when it was fenced. */
  readonly fenced: readonly (Position | undefined)[];
  readonly confirmed: readonly number[];
  readonly openTarget: number | undefined;
}

interface Order {
  readonly token: number;
  readonly to: number;
  readonly isAccepted: boolean;
}

/** State of the whole model. */
export interface State {
  /** Term of each entry of the last primary's log. */
  readonly log: readonly number[];
  readonly acknowledged: number;
  readonly primary: number | undefined;
  /** Primary of the newest term, also after it has stepped down. */
  readonly lastPrimary: number;
  readonly term: number;
  readonly copies: readonly Copy[];
  /** Whether no host reaches the first target: its replies are lost. */
  readonly isFirstCutOff: boolean;
  /** Whether hosts on the side of the first target serve clients from it. */
  readonly isSideServing: boolean;
  /** Term below which hosts hand out no acknowledgements; 0 for none. */
  readonly minTerm: number;
  readonly holders: readonly Holder[];
  readonly leaseOpenTarget: number | undefined;
  readonly orders: readonly Order[];
  readonly highestToken: number;
  readonly restarts: number;
  readonly hadFault: boolean;
  readonly violation: string | undefined;
}

/** A state that is reached by one step. */
export interface Step {
  readonly name: string;
  readonly state: State;
}

/** What is explored. */
export interface ModelOptions {
  readonly bounds: FailoverBounds;
  readonly procedure: Procedure;
  readonly decisions: FailoverDecisions;
}

const COPIES = 4;

/** Index of the target that may be new. */
export const FOURTH = 3;

/** Replicas that hold a commit before it is acknowledged. */
export const SYNC_REPLICAS = 1;

/** Returns the name of a target in reports. */
export function getName(target: number): string {
  return `t${target + 1}`;
}

/** Returns the list with one item replaced. */
export function replace<T>(list: readonly T[], index: number, value: T): T[] {
  return list.map((item, i) => i === index ? value : item);
}

/** Returns the state with one target changed. */
export function withCopy(
  state: State,
  index: number,
  change: Partial<Copy>,
): State {
  const copy = { ...state.copies[index]!, ...change };
  return { ...state, copies: replace(state.copies, index, copy) };
}

/** Returns the state with one holder changed. */
export function withHolder(
  state: State,
  index: number,
  change: Partial<Holder>,
): State {
  const holder = { ...state.holders[index]!, ...change };
  return { ...state, holders: replace(state.holders, index, holder) };
}

/** Returns the holder of a new claim. */
export function createHolder(claim: {
  readonly token: number;
  readonly term: number;
  readonly oldPrimary: number;
  readonly openTarget: number | undefined;
  readonly hasHeardOfFourth: boolean;
}): Holder {
  return {
    ...claim,
    phase: "fencing",
    fenced: Array.from({ length: COPIES }, () => undefined),
    confirmed: [],
  };
}

/** Returns the state before all steps. */
export function createInitialState({ bounds, decisions }: ModelOptions): State {
  const isFourthKnown = bounds.fourthCopy === "known";
  return {
    log: [],
    acknowledged: 0,
    primary: 0,
    lastPrimary: 0,
    term: 1,
    copies: Array.from({ length: COPIES }, (_, index) => ({
      length: 0,
      pausedTerm: 0,
      isRegistered: index !== FOURTH || isFourthKnown,
      isRecorded: index !== FOURTH || isFourthKnown,
      isCutOff: false,
      isTrusted: false,
      hasLeft: index === FOURTH && bounds.fourthCopy === "none",
    })),
    isFirstCutOff: false,
    isSideServing: false,
    minTerm: 0,
    holders: [createHolder({
      token: decisions.getFencingToken(1, 0),
      term: 2,
      oldPrimary: 0,
      openTarget: undefined,
      hasHeardOfFourth: isFourthKnown,
    })],
    leaseOpenTarget: undefined,
    orders: [],
    highestToken: 0,
    restarts: 0,
    hadFault: false,
    violation: undefined,
  };
}

/** Whether a host that may hold the lease reaches the target. */
export function isReachable(state: State, target: number): boolean {
  const { hasLeft, isCutOff } = state.copies[target]!;
  return !hasLeft && !isCutOff && !(target === 0 && state.isFirstCutOff);
}

/** Returns the position of the last entry of a target. */
export function getLogEnd({ log, copies }: State, target: number): Position {
  const { length } = copies[target]!;
  return length === 0 ? ORIGIN : { term: log[length - 1]!, pos: length };
}

/**
 * Drops what cannot matter any more, so that equivalent states are equal: what
 * a host knew whose claim is over, and orders that the platform would refuse.
 */
export function normalize(state: State): State {
  const { highestToken, copies } = state;
  const last = state.holders.length - 1;
  const nothing = { term: 0, oldPrimary: 0, fenced: [], confirmed: [] };
  return {
    ...state,
    minTerm: state.minTerm > state.term ? state.minTerm : 0,
    orders: state.orders.filter(({ token, to, isAccepted }) =>
      !copies[to]!.hasLeft && (isAccepted || token >= highestToken)
    ),
    holders: state.holders.map((holder, index): Holder => {
      const openTarget = index === last ? holder.openTarget : undefined;
      const isOvertaken = holder.phase === "overtaken" ||
        (holder.phase === "fencing" && index !== last) ||
        (holder.phase === "looking" && holder.token < highestToken);
      return isOvertaken
        ? { ...holder, ...nothing, phase: "overtaken", openTarget }
        : holder.phase === "ordered"
        ? { ...holder, ...nothing, openTarget }
        : holder;
    }),
  };
}

/** Returns a compact key that is equal only for equivalent states. */
export function encodeState(state: State): string {
  return [
    state.log.join(""),
    state.acknowledged,
    state.primary ?? "-",
    state.lastPrimary,
    state.term,
    state.copies.map((c) =>
      `${c.length}${c.pausedTerm}${c.isRegistered ? "r" : ""}${
        c.isRecorded ? "m" : ""
      }${c.isCutOff ? "x" : ""}${c.isTrusted ? "t" : ""}${c.hasLeft ? "g" : ""}`
    ).join(),
    state.isFirstCutOff ? "c" : "",
    state.isSideServing ? "s" : "",
    state.minTerm,
    state.holders.map((h) =>
      `${h.phase[1]}${h.token}.${h.term}${h.oldPrimary}${
        h.hasHeardOfFourth ? "h" : ""
      }${h.fenced.map((end) => end ? `${end.term}${end.pos}` : "-").join("")}/${
        h.confirmed.join("")
      }/${h.openTarget ?? "-"}`
    ).join(),
    state.leaseOpenTarget ?? "-",
    state.orders.map((o) => `${o.token}.${o.to}${o.isAccepted ? "a" : ""}`)
      .sort().join(),
    state.highestToken,
    state.restarts,
    state.hadFault ? "f" : "",
  ].join("|");
}
