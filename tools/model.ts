/**
 * Abstract model of one group: targets, hosts that change the primary, writes
 * and their acknowledgement. A step is a message that its receiver takes, so
 * cuts, freezes, crashes and late messages are orders of steps, or steps that
 * never come.
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

/** The decisions that the model takes from the system, or a faulty variant. */
export interface Decisions {
  readonly getNextTerm: typeof getNextTerm;
  readonly tryChoosePrimary: typeof tryChoosePrimary;
  readonly holdsWrite: typeof holdsWrite;
  readonly getMajority: typeof getMajority;
  readonly tryMajorityFloor: typeof tryMajorityFloor;
}

/** The decisions as the system takes them. */
export const DECISIONS: Decisions = {
  getNextTerm,
  tryChoosePrimary,
  holdsWrite: holdsWrite,
  getMajority,
  tryMajorityFloor,
};

/** Bounds of an exploration. */
export interface Bounds {
  readonly targets: number;
  readonly coordinators: number;
  readonly writes: number;
  readonly maxTerm: number;
  readonly maxStates: number;
}

interface LogEntry {
  readonly term: number;
  /** Number of the write; 0 opens a term. */
  readonly write: number;
}

interface Target {
  readonly term: number;
  readonly isPrimary: boolean;
  readonly follows: number | undefined;
  readonly log: readonly LogEntry[];
}

/** What the targets answered to a host that raises the term. */
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
  /** Orders to lead; each may arrive at any time, and again. */
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

/** What an exploration found. */
export interface Exploration {
  readonly states: number;
  /** Every state within the bounds was seen. */
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
 * A target takes a request to raise its term. The reply reaches the actor or
 * is lost; one that comes late only orders later, and orders come at any time.
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

/** Rounds that a host may begin, knowing the terms of now or older ones. */
function listNewRounds(
  state: State,
  { bounds, decisions: decisions }: StepOptions,
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
  const { round, reply, decisions: decisions } = step;
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

/** Targets take orders to lead, learn whom to follow, and fetch. */
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
      next.push({ ...state, targets, primaries: primaries });
    }
  }
  state.targets.forEach((target, index) => {
    for (const { term, targetIndex: targetIndex } of state.primaries) {
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

/** One more entry of the primary, after what both logs have in common. */
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

/** Writes run at whatever believes to lead. */
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
 * Counts every target that holds an open write now. What was acknowledged
 * later, by a late report, is then claimed already, which is the harder claim.
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
    const holders = [...write.holders, ...newHolders.map((f) => f.target)];
    const isAcknowledged = holders.length >= majority;
    return { ...write, holders: isAcknowledged ? [] : holders, isAcknowledged };
  });
  return { ...state, writes };
}

/** Drops what no target takes any more, so that like states meet. */
function dropObsoleteOrders(state: State): State {
  const promotionOrders = state.promotionOrders.filter(({ term, to }) => {
    const target = state.targets[to]!;
    const isSettled = target.isPrimary || target.follows !== undefined;
    return target.term < term || (target.term === term && !isSettled);
  });
  return { ...state, promotionOrders: promotionOrders };
}

/** Tells what must never be, if it is so in this state. */
function tryViolation(state: State, decisions: Decisions): string | undefined {
  const { targets, primaries: primaries, writes } = state;
  const terms = primaries.map((leader) => leader.term);
  if (new Set(terms).size < terms.length) {
    return "two targets led in one term";
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
    // Any two of three answer a read of the floor, or all of them.
    const answerSets = [ends, ...ends.map((_, i) => ends.toSpliced(i, 1))];
    const isMissed = answerSets.some((answered) => {
      const floor = decisions.tryMajorityFloor(answered, targets.length);
      return floor !== undefined && !isAtLeast(floor, write.position);
    });
    if (isMissed) {
      return "the floor of a read misses an acknowledged write";
    }
  }
  return undefined;
}

/** Explores every order of steps within the bounds, breadth first. */
export function explore(bounds: Bounds, decisions = DECISIONS): Exploration {
  const initialState = createInitialState(bounds);
  const seen = new Set([encodeState(initialState)]);
  let frontier: State[] = [initialState];
  while (frontier.length > 0) {
    const next: State[] = [];
    for (const state of frontier) {
      const steps = [
        ...listFencingSteps(state, { bounds, decisions: decisions }),
        ...listTargetSteps(state),
        ...listWriteSteps(state, { bounds, decisions: decisions }),
      ];
      for (const reached of steps) {
        const nextState = dropObsoleteOrders(acknowledge(reached, decisions));
        const key = encodeState(nextState);
        if (seen.has(key)) {
          continue;
        }
        const violation = tryViolation(nextState, decisions);
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

/** A short text that two states share only if they are alike. */
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
    state.primaries.map((l) => `${l.term}${l.targetIndex}`).sort().join(),
    state.writes.map((w) =>
      `${formatPosition(w.position)}${
        w.isAcknowledged ? "a" : w.holders.toSorted().join("")
      }`
    ).join(),
  ].join("|");
}
