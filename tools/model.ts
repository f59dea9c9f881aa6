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
  readonly isHolderOf: typeof holdsWrite;
  readonly getMajority: typeof getMajority;
  readonly tryMajorityFloor: typeof tryMajorityFloor;
}

/** The decisions as the system takes them. */
export const DECISIONS: Decisions = {
  getNextTerm,
  tryChoosePrimary,
  isHolderOf: holdsWrite,
  getMajority,
  tryMajorityFloor,
};

/** Bounds of an exploration. */
export interface Bounds {
  readonly targets: number;
  readonly actors: number;
  readonly writes: number;
  readonly maxTerm: number;
  readonly maxStates: number;
}

interface Entry {
  readonly term: number;
  /** Number of the write; 0 opens a term. */
  readonly write: number;
}

interface Target {
  readonly term: number;
  readonly isPrimary: boolean;
  readonly follows: number | undefined;
  readonly log: readonly Entry[];
}

/** What the targets answered to a host that raises the term. */
interface Round {
  readonly term: number;
  readonly accepted: readonly TargetStatus[];
  readonly isDecided: boolean;
}

interface Write {
  readonly at: Position;
  readonly holders: readonly TargetId[];
  readonly isAcknowledged: boolean;
}

interface State {
  readonly targets: readonly Target[];
  readonly rounds: readonly Round[];
  /** Orders to lead; each may arrive at any time, and again. */
  readonly orders: readonly { readonly term: number; readonly to: number }[];
  readonly leaders: readonly { readonly term: number; readonly at: number }[];
  readonly writes: readonly Write[];
}

/** What an exploration found. */
export interface Exploration {
  readonly states: number;
  /** Every state within the bounds was seen. */
  readonly isComplete: boolean;
  readonly violation: string | undefined;
}

function idOf(target: number): TargetId {
  return asId<TargetId>(`t${target}`);
}

function endOf({ log }: Target): Position {
  return { term: log.at(-1)?.term ?? 0, pos: log.length };
}

function statusOf(target: Target, index: number): TargetStatus {
  return {
    target: idOf(index),
    term: target.term,
    role: target.isPrimary ? "primary" : "replica",
    logEnd: endOf(target),
  };
}

function replace<T>(list: readonly T[], index: number, value: T): T[] {
  return list.map((item, i) => i === index ? value : item);
}

function createStart(bounds: Bounds): State {
  const opening = { term: 1, write: 0 };
  return {
    targets: Array.from({ length: bounds.targets }, (_, index) => ({
      term: 1,
      isPrimary: index === 0,
      follows: index === 0 ? undefined : 0,
      log: index === 0 ? [opening] : [],
    })),
    rounds: [],
    orders: [],
    leaders: [{ term: 1, at: 0 }],
    writes: [],
  };
}

interface Given {
  readonly bounds: Bounds;
  readonly decide: Decisions;
}

/**
 * A target takes a request to raise its term. The reply reaches the actor or
 * is lost; one that comes late only orders later, and orders come at any time.
 */
function listRaisings(state: State, given: Given): State[] {
  const next: State[] = [];
  for (const round of [...state.rounds, ...listNewRounds(state, given)]) {
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
      const isKnown = state.rounds.includes(round);
      const rounds = isKnown ? state.rounds : [...state.rounds, round];
      const lost = { ...state, targets, rounds };
      next.push(lost);
      if (!round.isDecided) {
        const reply = statusOf(raised, to);
        next.push(takeReply(lost, { round, reply, decide: given.decide }));
      }
    });
  }
  return next;
}

/** Rounds that a host may begin, knowing the terms of now or older ones. */
function listNewRounds(state: State, { bounds, decide }: Given): Round[] {
  const terms = state.targets.map((target) => target.term);
  const known = [terms, ...terms.map((term) => [term]), [1]];
  const next = new Set(known.map((list) => decide.getNextTerm(list)));
  return [...next]
    .filter((term) => term <= bounds.maxTerm)
    .filter((term) =>
      state.rounds.filter((r) => r.term === term).length < bounds.actors
    )
    .map((term) => ({ term, accepted: [], isDecided: false }));
}

function takeReply(
  state: State,
  step: {
    readonly round: Round;
    readonly reply: TargetStatus;
    readonly decide: Decisions;
  },
): State {
  const { round, reply, decide } = step;
  const { term } = round;
  const accepted = [...round.accepted, reply];
  const groupSize = state.targets.length;
  const chosen = decide.tryChoosePrimary(accepted, { term, groupSize });
  const index = state.rounds.indexOf(round);
  if (!chosen) {
    const rounds = replace(state.rounds, index, { ...round, accepted });
    return { ...state, rounds };
  }
  const decided = { term, accepted: [], isDecided: true };
  const to = state.targets.findIndex((_, i) => idOf(i) === chosen.target);
  return {
    ...state,
    rounds: replace(state.rounds, index, decided),
    orders: [...state.orders, { term, to }],
  };
}

/** Targets take orders to lead, learn whom to follow, and fetch. */
function listTargetSteps(state: State): State[] {
  const next: State[] = [];
  for (const { term, to } of state.orders) {
    const target = state.targets[to]!;
    const mayLead = target.term === term && target.follows === undefined &&
      !target.isPrimary;
    if (mayLead) {
      const log = [...target.log, { term, write: 0 }];
      const leading: Target = { ...target, isPrimary: true, log };
      const targets = replace(state.targets, to, leading);
      const leaders = [...state.leaders, { term, at: to }];
      next.push({ ...state, targets, leaders });
    }
  }
  state.targets.forEach((target, index) => {
    for (const { term, at } of state.leaders) {
      const isRefused = term < target.term || at === index ||
        (term === target.term && (target.isPrimary || target.follows === at));
      if (!isRefused) {
        const following = { ...target, term, isPrimary: false, follows: at };
        const targets = replace(state.targets, index, following);
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
function listWritings(state: State, { bounds }: Given): State[] {
  const next: State[] = [];
  state.targets.forEach((target, index) => {
    if (!target.isPrimary || state.writes.length >= bounds.writes) {
      return;
    }
    const write = state.writes.length + 1;
    const log = [...target.log, { term: target.term, write }];
    const written = { ...target, log };
    const open: Write = {
      at: endOf(written),
      holders: [idOf(index)],
      isAcknowledged: false,
    };
    const targets = replace(state.targets, index, written);
    next.push({ ...state, targets, writes: [...state.writes, open] });
  });
  return next;
}

/**
 * Counts every target that holds an open write now. What was acknowledged
 * later, by a late report, is then claimed already, which is the harder claim.
 */
function acknowledge(state: State, decide: Decisions): State {
  const statuses = state.targets.map(statusOf);
  const majority = decide.getMajority(state.targets.length);
  const writes = state.writes.map((write) => {
    if (write.isAcknowledged) {
      return write;
    }
    const found = statuses.filter((status) =>
      !write.holders.includes(status.target) &&
      decide.isHolderOf(status, write.at)
    );
    const holders = [...write.holders, ...found.map((f) => f.target)];
    const isAcknowledged = holders.length >= majority;
    return { ...write, holders: isAcknowledged ? [] : holders, isAcknowledged };
  });
  return { ...state, writes };
}

/** Drops what no target takes any more, so that like states meet. */
function simplify(state: State): State {
  const orders = state.orders.filter(({ term, to }) => {
    const target = state.targets[to]!;
    const isSettled = target.isPrimary || target.follows !== undefined;
    return target.term < term || (target.term === term && !isSettled);
  });
  return { ...state, orders };
}

/** Tells what must never be, if it is so in this state. */
function tryViolation(state: State, decide: Decisions): string | undefined {
  const { targets, leaders, writes } = state;
  const terms = leaders.map((leader) => leader.term);
  if (new Set(terms).size < terms.length) {
    return "two targets led in one term";
  }
  for (const [index, write] of writes.entries()) {
    if (!write.isAcknowledged) {
      continue;
    }
    const isLost = targets.some((target) =>
      target.isPrimary && target.term > write.at.term &&
      !target.log.some((entry) => entry.write === index + 1)
    );
    if (isLost) {
      return "an acknowledged write is missing on a newer primary";
    }
    const ends = targets.map(endOf);
    // Any two of three answer a read of the floor, or all of them.
    const answers = [ends, ...ends.map((_, i) => ends.toSpliced(i, 1))];
    const isMissed = answers.some((answered) => {
      const floor = decide.tryMajorityFloor(answered, targets.length);
      return floor !== undefined && !isAtLeast(floor, write.at);
    });
    if (isMissed) {
      return "the floor of a read misses an acknowledged write";
    }
  }
  return undefined;
}

/** Explores every order of steps within the bounds, breadth first. */
export function explore(bounds: Bounds, decide = DECISIONS): Exploration {
  const start = createStart(bounds);
  const seen = new Set([encode(start)]);
  let frontier: State[] = [start];
  while (frontier.length > 0) {
    const next: State[] = [];
    for (const state of frontier) {
      const steps = [
        ...listRaisings(state, { bounds, decide }),
        ...listTargetSteps(state),
        ...listWritings(state, { bounds, decide }),
      ];
      for (const taken of steps) {
        const step = simplify(acknowledge(taken, decide));
        const key = encode(step);
        if (seen.has(key)) {
          continue;
        }
        const violation = tryViolation(step, decide);
        if (violation) {
          return { states: seen.size, isComplete: false, violation };
        }
        if (seen.size >= bounds.maxStates) {
          const states = seen.size;
          return { states, isComplete: false, violation: undefined };
        }
        seen.add(key);
        next.push(step);
      }
    }
    frontier = next;
  }
  return { states: seen.size, isComplete: true, violation: undefined };
}

/** A short text that two states share only if they are alike. */
function encode(state: State): string {
  const at = ({ term, pos }: Position) => `${term}.${pos}`;
  return [
    state.targets.map((t) =>
      `${t.term}${t.isPrimary ? "p" : t.follows ?? "n"}` +
      t.log.map((entry) => `${entry.term}${entry.write}`).join("")
    ).join(),
    state.rounds.map((r) =>
      `${r.term}${r.isDecided ? "d" : ""}` +
      r.accepted.map((s) => `${s.target}${at(s.logEnd)}`).sort().join("")
    ).sort().join(),
    state.orders.map((o) => `${o.term}${o.to}`).sort().join(),
    state.leaders.map((l) => `${l.term}${l.at}`).sort().join(),
    state.writes.map((w) =>
      `${at(w.at)}${w.isAcknowledged ? "a" : w.holders.toSorted().join("")}`
    ).join(),
  ].join("|");
}
