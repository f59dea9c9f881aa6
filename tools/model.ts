/**
 * Abstract model of one group: targets, hosts that change the primary, writes
 * and their acknowledgement. Every step is one message taken by its receiver,
 * so that cuts, freezes and late messages are orders of steps.
 */

import { isHolderOf } from "../src/core/confirm.ts";
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
  readonly isHolderOf: typeof isHolderOf;
  readonly getMajority: typeof getMajority;
  readonly tryMajorityFloor: typeof tryMajorityFloor;
}

/** The decisions as the system takes them. */
export const DECISIONS: Decisions = {
  getNextTerm,
  tryChoosePrimary,
  isHolderOf,
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

/** A round in which an actor raises the term; replies come at any time. */
interface Round {
  readonly actor: number;
  readonly term: number;
  readonly asked: readonly number[];
  readonly replies: readonly TargetStatus[];
  readonly accepted: readonly TargetStatus[];
  readonly isDecided: boolean;
}

interface Write {
  readonly at: Position;
  readonly holders: readonly TargetId[];
  readonly state: "open" | "acknowledged" | "given_up";
}

interface State {
  readonly targets: readonly Target[];
  readonly rounds: readonly Round[];
  /** Orders to lead; each may arrive at any time, and again. */
  readonly orders: readonly { readonly term: number; readonly to: number }[];
  readonly leaders: readonly { readonly term: number; readonly at: number }[];
  readonly writes: readonly Write[];
  /** The last report of each target that is still on its way. */
  readonly reports: readonly (TargetStatus | undefined)[];
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
    reports: Array.from({ length: bounds.targets }, () => undefined),
  };
}

/** A host begins a round, knowing the terms of now or only the first one. */
function listBeginnings(
  state: State,
  given: { readonly bounds: Bounds; readonly decide: Decisions },
): State[] {
  const { bounds, decide } = given;
  const { targets, rounds } = state;
  const known = [targets.map((target) => target.term), [1]];
  const terms = new Set(known.map((list) => decide.getNextTerm(list)));
  const asked = targets.map((_, index) => index);
  const next: State[] = [];
  for (const term of terms) {
    for (let actor = 0; actor < bounds.actors; actor++) {
      const isNew = !rounds.some((r) => r.actor === actor && r.term >= term);
      if (isNew && term <= bounds.maxTerm) {
        const round = { actor, term, asked, replies: [], accepted: [] };
        const begun = [...rounds, { ...round, isDecided: false }];
        next.push({ ...state, rounds: begun });
      }
    }
  }
  return next;
}

/** Requests of a round reach targets, and replies reach the actor. */
function listRoundSteps(state: State, decide: Decisions): State[] {
  const next: State[] = [];
  state.rounds.forEach((round, index) => {
    for (const to of round.asked) {
      next.push(raiseTerm(state, { round, index, to }));
    }
    for (const reply of round.replies) {
      next.push(takeReply(state, { round, index, reply, decide }));
    }
  });
  return next;
}

function raiseTerm(
  state: State,
  step: { readonly round: Round; readonly index: number; readonly to: number },
): State {
  const { round, index, to } = step;
  const asked = round.asked.filter((target) => target !== to);
  const target = state.targets[to]!;
  if (round.term <= target.term) {
    const rounds = replace(state.rounds, index, { ...round, asked });
    return { ...state, rounds };
  }
  const raised: Target = {
    ...target,
    term: round.term,
    isPrimary: false,
    follows: undefined,
  };
  const replies = [...round.replies, statusOf(raised, to)];
  return {
    ...state,
    targets: replace(state.targets, to, raised),
    rounds: replace(state.rounds, index, { ...round, asked, replies }),
  };
}

function takeReply(
  state: State,
  step: {
    readonly round: Round;
    readonly index: number;
    readonly reply: TargetStatus;
    readonly decide: Decisions;
  },
): State {
  const { round, index, reply, decide } = step;
  const replies = round.replies.filter((other) => other !== reply);
  const accepted = [...round.accepted, reply];
  const chosen = round.isDecided ? undefined : decide.tryChoosePrimary(
    accepted,
    { term: round.term, groupSize: state.targets.length },
  );
  const isDecided = round.isDecided || chosen !== undefined;
  const to = state.targets.findIndex((_, i) => idOf(i) === chosen?.target);
  const changed = { ...round, replies, accepted, isDecided };
  return {
    ...state,
    rounds: replace(state.rounds, index, changed),
    orders: chosen ? [...state.orders, { term: round.term, to }] : state.orders,
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

/** Writes run at whatever believes to lead; reports confirm them, late. */
function listWriteSteps(
  state: State,
  given: { readonly bounds: Bounds; readonly decide: Decisions },
): State[] {
  const { bounds, decide } = given;
  const next: State[] = [];
  state.targets.forEach((target, index) => {
    if (target.isPrimary && state.writes.length < bounds.writes) {
      const write = state.writes.length + 1;
      const log = [...target.log, { term: target.term, write }];
      const written = { ...target, log };
      const open: Write = {
        at: endOf(written),
        holders: [idOf(index)],
        state: "open",
      };
      const writes = [...state.writes, settleWrite(state, { open, decide })];
      const targets = replace(state.targets, index, written);
      next.push({ ...state, targets, writes });
    }
    const report = state.reports[index];
    const status = statusOf(target, index);
    if (state.writes.length > 0 && !isSame(report, status)) {
      const reports = replace(state.reports, index, status);
      next.push({ ...state, reports });
    }
    if (report) {
      const writes = state.writes.map((write) =>
        takeReport(state, { write, report, decide })
      );
      const reports = replace(state.reports, index, undefined);
      next.push({ ...state, writes, reports });
    }
  });
  return next;
}

function takeReport(
  state: State,
  step: {
    readonly write: Write;
    readonly report: TargetStatus;
    readonly decide: Decisions;
  },
): Write {
  const { write, report, decide } = step;
  if (write.state !== "open") {
    return write;
  }
  if (report.term > write.at.term) {
    return { ...write, state: "given_up" };
  }
  const isNew = !write.holders.includes(report.target) &&
    decide.isHolderOf(report, write.at);
  const holders = isNew ? [...write.holders, report.target] : write.holders;
  return settleWrite(state, { open: { ...write, holders }, decide });
}

function settleWrite(
  state: State,
  given: { readonly open: Write; readonly decide: Decisions },
): Write {
  const { open, decide } = given;
  const isHeld =
    open.holders.length >= decide.getMajority(state.targets.length);
  return isHeld ? { ...open, state: "acknowledged" } : open;
}

function isSame(a: TargetStatus | undefined, b: TargetStatus): boolean {
  return a !== undefined && a.term === b.term && a.role === b.role &&
    a.logEnd.term === b.logEnd.term && a.logEnd.pos === b.logEnd.pos;
}

/** Tells what must never be, if it is so in this state. */
function tryViolation(state: State, decide: Decisions): string | undefined {
  const { targets, leaders, writes } = state;
  const terms = leaders.map((leader) => leader.term);
  if (new Set(terms).size < terms.length) {
    return "two targets led in one term";
  }
  for (const [index, write] of writes.entries()) {
    if (write.state !== "acknowledged") {
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
        ...listBeginnings(state, { bounds, decide }),
        ...listRoundSteps(state, decide),
        ...listTargetSteps(state),
        ...listWriteSteps(state, { bounds, decide }),
      ];
      for (const step of steps) {
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
  const report = (status: TargetStatus | undefined) =>
    status
      ? `${status.target}${status.term}${status.role[0]}${at(status.logEnd)}`
      : "-";
  return [
    state.targets.map((t) =>
      `${t.term}${t.isPrimary ? "p" : t.follows ?? "n"}` +
      t.log.map((entry) => `${entry.term}${entry.write}`).join("")
    ).join(),
    state.rounds.map((r) =>
      `${r.actor}${r.term}${r.isDecided}${r.asked.join("")}` +
      `${r.replies.map(report).sort()}/${r.accepted.map(report).sort()}`
    ).sort().join(),
    state.orders.map((o) => `${o.term}${o.to}`).join(),
    state.leaders.map((l) => `${l.term}${l.at}`).sort().join(),
    state.writes.map((w) =>
      `${at(w.at)}${w.state[0]}${w.holders.toSorted().join("")}`
    ).join(),
    state.reports.map(report).join(),
  ].join("|");
}
