/**
 * Abstract model of one group: targets, coordinators that replace the primary,
 * writes and their acknowledgement. A step is the processing of one message by
 * its receiver. Partitions, freezes, crashes and delayed messages are therefore
 * covered by the order of the steps, or by steps that never happen.
 */

import { holdsWrite } from "../src/core/confirm.ts";
import { getNextTerm, tryChoosePrimary } from "../src/core/election.ts";
import { asId, type TargetId } from "../src/core/ids.ts";
import {
  getMajority,
  isAtLeast,
  tryMajorityFloor,
} from "../src/core/position.ts";
import type { Position, TargetStatus } from "../src/core/types.ts";

/** Decision functions of the product, or faulty variants of them. */
export interface Decisions {
  readonly getNextTerm: typeof getNextTerm;
  readonly tryChoosePrimary: typeof tryChoosePrimary;
  readonly holdsWrite: typeof holdsWrite;
  readonly getMajority: typeof getMajority;
  readonly tryMajorityFloor: typeof tryMajorityFloor;
}

/** Decision functions of the product. */
export const DECISIONS: Decisions = {
  getNextTerm,
  tryChoosePrimary,
  holdsWrite,
  getMajority,
  tryMajorityFloor,
};

/** Limits of the explored state space. */
export interface Bounds {
  readonly targets: number;
  readonly coordinators: number;
  readonly writes: number;
  readonly maxTerm: number;
  readonly maxStates: number;
}

interface LogEntry {
  readonly term: number;
  /** Number of the write; 0 for the entry that opens a term. */
  readonly write: number;
}

interface Target {
  readonly term: number;
  readonly isPrimary: boolean;
  readonly follows: number | undefined;
  readonly log: readonly LogEntry[];
}

/** Replies of the targets to one coordinator that raises the term. */
interface FencingRound {
  readonly term: number;
  readonly accepted: readonly TargetStatus[];
  readonly isDecided: boolean;
}

interface Write {
  readonly position: Position;
  readonly holders: readonly TargetId[];
  readonly isAcknowledged: boolean;
}

interface State {
  readonly targets: readonly Target[];
  readonly rounds: readonly FencingRound[];
  /** Promotion orders; each may arrive at any time and more than once. */
  readonly promotionOrders: readonly {
    readonly term: number;
    readonly to: number;
  }[];
  readonly primaries: readonly {
    readonly term: number;
    readonly targetIndex: number;
  }[];
  readonly writes: readonly Write[];
}

/** Result of an exploration. */
export interface Exploration {
  readonly states: number;
  /** Whether every state within the bounds was visited. */
  readonly isComplete: boolean;
  readonly violation: string | undefined;
}

function getTargetId(target: number): TargetId {
  return asId<TargetId>(`t${target}`);
}

function getLogEnd({ log }: Target): Position {
  return { term: log.at(-1)?.term ?? 0, pos: log.length };
}

function getTargetStatus(target: Target, index: number): TargetStatus {
  return {
    target: getTargetId(index),
    term: target.term,
    role: target.isPrimary ? "primary" : "replica",
    logEnd: getLogEnd(target),
  };
}

function replace<T>(list: readonly T[], index: number, value: T): T[] {
  return list.map((item, i) => i === index ? value : item);
}

function createInitialState(bounds: Bounds): State {
  const openingEntry = { term: 1, write: 0 };
  return {
    targets: Array.from({ length: bounds.targets }, (_, index) => ({
      term: 1,
      isPrimary: index === 0,
      follows: index === 0 ? undefined : 0,
      log: index === 0 ? [openingEntry] : [],
    })),
    rounds: [],
    promotionOrders: [],
    primaries: [{ term: 1, targetIndex: 0 }],
    writes: [],
  };
}

interface StepOptions {
  readonly bounds: Bounds;
  readonly decisions: Decisions;
}

/**
 * Lists the states after one target accepts a request to raise its term. The
 * reply is either lost or delivered at once. Delayed replies need no step of
 * their own: they only delay the promotion order, which may arrive at any time.
 */
function listFencingSteps(state: State, options: StepOptions): State[] {
  const next: State[] = [];
  for (const round of [...state.rounds, ...listNewRounds(state, options)]) {
    state.targets.forEach((target, to) => {
      if (target.term >= round.term) {
        return;
      }
      const raised: Target = {
        ...target,
        term: round.term,
        isPrimary: false,
        follows: undefined,
      };
      const targets = replace(state.targets, to, raised);
      const isExistingRound = state.rounds.includes(round);
      const rounds = isExistingRound ? state.rounds : [...state.rounds, round];
      const stateWithoutReply = { ...state, targets, rounds };
      next.push(stateWithoutReply);
      if (!round.isDecided) {
        const reply = getTargetStatus(raised, to);
        next.push(
          applyReply(stateWithoutReply, {
            round,
            reply,
            decisions: options.decisions,
          }),
        );
      }
    });
  }
  return next;
}

/**
 * Lists the fencing rounds that a coordinator may begin, given the current
 * terms of the targets or older ones.
 */
function listNewRounds(
  state: State,
  { bounds, decisions }: StepOptions,
): FencingRound[] {
  const terms = state.targets.map((target) => target.term);
  const knownTermLists = [terms, ...terms.map((term) => [term]), [1]];
  const nextTerms = new Set(
    knownTermLists.map((list) => decisions.getNextTerm(list)),
  );
  return [...nextTerms]
    .filter((term) => term <= bounds.maxTerm)
    .filter((term) =>
      state.rounds.filter((r) => r.term === term).length < bounds.coordinators
    )
    .map((term) => ({ term, accepted: [], isDecided: false }));
}

function applyReply(
  state: State,
  step: {
    readonly round: FencingRound;
    readonly reply: TargetStatus;
    readonly decisions: Decisions;
  },
): State {
  const { round, reply, decisions } = step;
  const { term } = round;
  const accepted = [...round.accepted, reply];
  const groupSize = state.targets.length;
  const chosen = decisions.tryChoosePrimary(accepted, { term, groupSize });
  const index = state.rounds.indexOf(round);
  if (!chosen) {
    const rounds = replace(state.rounds, index, { ...round, accepted });
    return { ...state, rounds };
  }
  const decidedRound = { term, accepted: [], isDecided: true };
  const to = state.targets.findIndex((_, i) =>
    getTargetId(i) === chosen.target
  );
  return {
    ...state,
    rounds: replace(state.rounds, index, decidedRound),
    promotionOrders: [...state.promotionOrders, { term, to }],
  };
}

/**
 * Lists the states after one target accepts a promotion order, starts to follow
 * a primary, or fetches a log entry.
 */
function listTargetSteps(state: State): State[] {
  const next: State[] = [];
  for (const { term, to } of state.promotionOrders) {
    const target = state.targets[to]!;
    const canBecomePrimary = target.term === term &&
      target.follows === undefined &&
      !target.isPrimary;
    if (canBecomePrimary) {
      const log = [...target.log, { term, write: 0 }];
      const promoted: Target = { ...target, isPrimary: true, log };
      const targets = replace(state.targets, to, promoted);
      const primaries = [...state.primaries, { term, targetIndex: to }];
      next.push({ ...state, targets, primaries });
    }
  }
  state.targets.forEach((target, index) => {
    for (const { term, targetIndex } of state.primaries) {
      const isRefused = term < target.term || targetIndex === index ||
        (term === target.term &&
          (target.isPrimary || target.follows === targetIndex));
      if (!isRefused) {
        const follower = {
          ...target,
          term,
          isPrimary: false,
          follows: targetIndex,
        };
        const targets = replace(state.targets, index, follower);
        next.push({ ...state, targets });
      }
    }
    const fetched = tryFetch(state, target);
    if (fetched) {
      next.push({ ...state, targets: replace(state.targets, index, fetched) });
    }
  });
  return next;
}

/**
 * Returns the target with one more entry of its primary's log, after the common
 * prefix of both logs; undefined if there is nothing to fetch.
 */
function tryFetch(state: State, target: Target): Target | undefined {
  const primary = target.follows === undefined
    ? undefined
    : state.targets[target.follows];
  if (!primary?.isPrimary || primary.term !== target.term) {
    return undefined;
  }
  let common = 0;
  while (
    common < target.log.length && common < primary.log.length &&
    target.log[common]!.term === primary.log[common]!.term &&
    target.log[common]!.write === primary.log[common]!.write
  ) {
    common++;
  }
  if (common === primary.log.length && common === target.log.length) {
    return undefined;
  }
  return { ...target, log: primary.log.slice(0, common + 1) };
}

/**
 * Lists the states after a write at each target that considers itself primary,
 * including deposed ones.
 */
function listWriteSteps(state: State, { bounds }: StepOptions): State[] {
  const next: State[] = [];
  state.targets.forEach((target, index) => {
    if (!target.isPrimary || state.writes.length >= bounds.writes) {
      return;
    }
    const write = state.writes.length + 1;
    const log = [...target.log, { term: target.term, write }];
    const written = { ...target, log };
    const pendingWrite: Write = {
      position: getLogEnd(written),
      holders: [getTargetId(index)],
      isAcknowledged: false,
    };
    const targets = replace(state.targets, index, written);
    next.push({ ...state, targets, writes: [...state.writes, pendingWrite] });
  });
  return next;
}

/**
 * Acknowledges writes as soon as a majority holds them. In the product a late
 * status report may delay an acknowledgement; acknowledging at once is the
 * stricter check.
 */
function acknowledge(state: State, decisions: Decisions): State {
  const statuses = state.targets.map(getTargetStatus);
  const majority = decisions.getMajority(state.targets.length);
  const writes = state.writes.map((write) => {
    if (write.isAcknowledged) {
      return write;
    }
    const newHolders = statuses.filter((status) =>
      !write.holders.includes(status.target) &&
      decisions.holdsWrite(status, write.position)
    );
    const holders = [
      ...write.holders,
      ...newHolders.map((status) => status.target),
    ];
    const isAcknowledged = holders.length >= majority;
    return { ...write, holders: isAcknowledged ? [] : holders, isAcknowledged };
  });
  return { ...state, writes };
}

/**
 * Removes the promotion orders that no target would accept any more, so that
 * equivalent states compare as equal.
 */
function dropObsoleteOrders(state: State): State {
  const promotionOrders = state.promotionOrders.filter(({ term, to }) => {
    const target = state.targets[to]!;
    const hasRole = target.isPrimary || target.follows !== undefined;
    return target.term < term || (target.term === term && !hasRole);
  });
  return { ...state, promotionOrders };
}

/** Returns the invariant that the state violates, if any. */
function tryFindViolation(
  state: State,
  decisions: Decisions,
): string | undefined {
  const { targets, primaries, writes } = state;
  const terms = primaries.map((primary) => primary.term);
  if (new Set(terms).size < terms.length) {
    return "two targets were primary in one term";
  }
  for (const [index, write] of writes.entries()) {
    if (!write.isAcknowledged) {
      continue;
    }
    const isLost = targets.some((target) =>
      target.isPrimary && target.term > write.position.term &&
      !target.log.some((entry) => entry.write === index + 1)
    );
    if (isLost) {
      return "an acknowledged write is missing on a newer primary";
    }
    const ends = targets.map(getLogEnd);
    // All targets answer the query for the read floor, or all but one of them
    // (two of three).
    const answerSets = [ends, ...ends.map((_, i) => ends.toSpliced(i, 1))];
    const isMissed = answerSets.some((answered) => {
      const floor = decisions.tryMajorityFloor(answered, targets.length);
      return floor !== undefined && !isAtLeast(floor, write.position);
    });
    if (isMissed) {
      return "the read floor misses an acknowledged write";
    }
  }
  return undefined;
}

/** Explores all orders of steps within the bounds, breadth first. */
export function explore(bounds: Bounds, decisions = DECISIONS): Exploration {
  const initialState = createInitialState(bounds);
  const seen = new Set([encodeState(initialState)]);
  let frontier: State[] = [initialState];
  while (frontier.length > 0) {
    const next: State[] = [];
    for (const state of frontier) {
      const steps = [
        ...listFencingSteps(state, { bounds, decisions }),
        ...listTargetSteps(state),
        ...listWriteSteps(state, { bounds, decisions }),
      ];
      for (const reached of steps) {
        const nextState = dropObsoleteOrders(acknowledge(reached, decisions));
        const key = encodeState(nextState);
        if (seen.has(key)) {
          continue;
        }
        const violation = tryFindViolation(nextState, decisions);
        if (violation) {
          return { states: seen.size, isComplete: false, violation };
        }
        if (seen.size >= bounds.maxStates) {
          const states = seen.size;
          return { states, isComplete: false, violation: undefined };
        }
        seen.add(key);
        next.push(nextState);
      }
    }
    frontier = next;
  }
  return { states: seen.size, isComplete: true, violation: undefined };
}

/** Returns a compact key that is equal only for equivalent states. */
function encodeState(state: State): string {
  const formatPosition = ({ term, pos }: Position) => `${term}.${pos}`;
  return [
    state.targets.map((t) =>
      `${t.term}${t.isPrimary ? "p" : t.follows ?? "n"}` +
      t.log.map((entry) => `${entry.term}${entry.write}`).join("")
    ).join(),
    state.rounds.map((r) =>
      `${r.term}${r.isDecided ? "d" : ""}` +
      r.accepted.map((s) => `${s.target}${formatPosition(s.logEnd)}`).sort()
        .join("")
    ).sort().join(),
    state.promotionOrders.map((o) => `${o.term}${o.to}`).sort().join(),
    state.primaries.map((p) => `${p.term}${p.targetIndex}`).sort().join(),
    state.writes.map((w) =>
      `${formatPosition(w.position)}${
        w.isAcknowledged ? "a" : w.holders.toSorted().join("")
      }`
    ).join(),
  ].join("|");
}
