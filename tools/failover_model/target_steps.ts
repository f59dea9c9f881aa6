/** Steps of the targets and of the platform in the failover model. */

import { assertNever } from "../../src/core/errors.ts";
import {
  type FailoverBounds,
  FOURTH,
  getName,
  isReachable,
  type ModelOptions,
  type Procedure,
  type State,
  type Step,
  withCopy,
} from "./state.ts";

/**
 * Raises the acknowledged entries to those that a host may hand out now: of the
 * primary's term, and received by a copy that makes them safe in the eyes of a
 * host that reaches primary and copy. Later is less strict.
 */
function acknowledge(state: State, procedure: Procedure): State {
  const { log, primary, term, copies } = state;
  if (primary === undefined) {
    return state;
  }
  const isServedNear = isReachable(state, primary) && term >= state.minTerm;
  const isServedApart = state.isSideServing && primary === 0;
  const received = copies.map((copy, index) => {
    const { isRecorded, isTrusted, hasLeft, length } = copy;
    const isReceipt = procedure.awaitsReceipts
      ? (isServedNear && isRecorded && isReachable(state, index)) ||
        (isServedApart && isTrusted)
      : isServedNear || isServedApart;
    return index !== primary && !hasLeft && isReceipt &&
        log[length - 1] === term
      ? length
      : 0;
  });
  return {
    ...state,
    acknowledged: Math.max(state.acknowledged, ...received),
  };
}

/**
 * Lists the steps of the targets: a commit, an entry received, a restart, a
 * registration. A commit is acknowledged as soon as it may be.
 */
export function listTargetSteps(
  state: State,
  { bounds, procedure }: ModelOptions,
): Step[] {
  const steps: Step[] = [];
  const { log, primary, copies } = state;
  const canCommit = primary !== undefined &&
    (isReachable(state, primary) || (state.isSideServing && primary === 0));
  if (canCommit && log.length < bounds.commits) {
    const committed = withCopy(state, primary, { length: log.length + 1 });
    steps.push({
      name: `${getName(primary)} commits ${state.term}.${log.length + 1}`,
      state: { ...committed, log: [...log, state.term] },
    });
  }
  copies.forEach((copy, index) => {
    const name = getName(index);
    if (copy.hasLeft || index === primary) {
      return;
    }
    if (copy.pausedTerm === 0 && copy.length < log.length) {
      const length = copy.length + 1;
      const received = acknowledge(
        withCopy(state, index, { length }),
        procedure,
      );
      const isAcknowledged = received.acknowledged > state.acknowledged;
      steps.push({
        name: `${name} receives entry ${length}` +
          (isAcknowledged && primary !== undefined
            ? `, which ${getName(primary)} acknowledges`
            : ""),
        state: received,
      });
    }
    const mayRestart = bounds.mayRestartLate ||
      state.holders.every(({ phase, confirmed }) =>
        phase !== "ordered" && !confirmed.includes(index)
      );
    if (copy.pausedTerm > 0 && state.restarts < bounds.restarts && mayRestart) {
      const restarted = withCopy(state, index, { pausedTerm: 0 });
      steps.push({
        name: `${name} restarts and receives again`,
        state: { ...restarted, restarts: state.restarts + 1 },
      });
    }
    if (!copy.isRegistered && !copy.isRecorded && !copy.isCutOff) {
      const registered = withCopy(state, index, {
        isRegistered: true,
        isRecorded: true,
      });
      steps.push({
        name: `${name} registers`,
        state: acknowledge(registered, procedure),
      });
    }
    if (copy.isCutOff && mayDrop(state, index, procedure)) {
      const change = { isRegistered: false, isRecorded: false };
      steps.push({
        name: `${name} is taken from the record`,
        state: withCopy(state, index, change),
      });
    }
  });
  if (
    !state.isFirstCutOff && state.lastPrimary === 0 &&
    mayLoseFirst(state, bounds)
  ) {
    steps.push({
      name: "no host reaches t1 from now on",
      state: { ...state, isFirstCutOff: true },
    });
  }
  return steps;
}

/** Whether a silent copy may be taken from the record. */
function mayDrop(
  state: State,
  index: number,
  { dropsCovered }: Procedure,
): boolean {
  const { primary, copies, log } = state;
  const isCovered = primary !== undefined && isReachable(state, primary) &&
    !state.isSideServing &&
    copies.some(({ length, isRecorded }, other) =>
      other !== index && other !== primary && isRecorded &&
      isReachable(state, other) && length === log.length
    );
  return copies[index]!.isRecorded && (isCovered || !dropsCovered);
}

/** Whether the first target may be out of reach by now, see `fourthCopy`. */
function mayLoseFirst({ copies }: State, bounds: FailoverBounds): boolean {
  const { isRegistered, length } = copies[FOURTH]!;
  return bounds.fourthCopy !== "registers_in_time" || isRegistered ||
    length === 0;
}

/** Lists the states after the fault. */
export function listFaultSteps(state: State, bounds: FailoverBounds): Step[] {
  const { primary, lastPrimary, isFirstCutOff } = state;
  const faulty = { ...state, hadFault: true };
  const replicas = state.copies.flatMap(({ hasLeft }, index) =>
    hasLeft || index === primary ? [] : [index]
  );
  if (state.hadFault) {
    return [];
  }
  switch (bounds.fault) {
    case "none":
      return [];
    case "departure":
      return replicas.filter((index) =>
        index !== 0 || mayLoseFirst(state, bounds)
      ).map((index) => ({
        name: `${getName(index)} leaves with its log`,
        state: withCopy(faulty, index, { hasLeft: true, pausedTerm: 0 }),
      }));
    case "empty_start":
      return replicas.map((index) => ({
        name: `${getName(index)} starts again with an empty log`,
        state: withCopy(faulty, index, { length: 0, pausedTerm: 0 }),
      }));
    case "lapse":
      return !isFirstCutOff ? [] : [{
        name: "the registration of t1 lapses while no host runs",
        state: withCopy(faulty, 0, { isRegistered: false }),
      }];
    case "reach_returns":
      return !isFirstCutOff ? [] : [{
        name: "hosts reach t1 again",
        state: { ...faulty, isFirstCutOff: false },
      }];
    case "partition": {
      const parted: State = {
        ...faulty,
        isFirstCutOff: true,
        isSideServing: true,
        copies: state.copies.map((copy) => ({
          ...copy,
          isTrusted: copy.isRecorded,
        })),
      };
      const isStillFirst = lastPrimary === 0 && !isFirstCutOff;
      return !isStillFirst ? [] : [
        { name: "t1 and some hosts are parted from the others", state: parted },
        {
          name: "t1, t2 and some hosts are parted from the others",
          state: withCopy(parted, 1, { isCutOff: true }),
        },
      ];
    }
    case "silence":
      return replicas.filter((index) => index !== 0).map((index) => ({
        name: `${getName(index)} falls silent`,
        state: withCopy(faulty, index, { isCutOff: true }),
      }));
    case "leads_again":
      return primary !== undefined ? [] : [{
        name: `${getName(lastPrimary)} restarts and leads again`,
        state: { ...faulty, primary: lastPrimary },
      }];
    default:
      return assertNever(bounds.fault);
  }
}

/**
 * Lists the steps of the platform: it accepts an order, or carries it out.
 * `normalize` drops the orders that it would refuse.
 */
export function listPlatformSteps(state: State): Step[] {
  return state.orders.flatMap((order, index): Step[] => {
    const { token, to } = order;
    const text = `the order of ${getName(to)} with token ${token}`;
    const orders = state.orders.toSpliced(index, 1);
    const copy = state.copies[to]!;
    if (!order.isAccepted) {
      return [{
        name: `${text} is accepted`,
        state: {
          ...state,
          orders: [...orders, { ...order, isAccepted: true }],
          highestToken: token,
        },
      }];
    }
    if (state.primary === to) {
      return [{ name: `${text} changes nothing`, state: { ...state, orders } }];
    }
    const isLost = copy.length < state.acknowledged;
    return [{
      name: `${text} takes effect`,
      state: {
        ...state,
        orders,
        log: state.log.slice(0, copy.length),
        primary: to,
        lastPrimary: to,
        term: state.term + 1,
        copies: state.copies.map((other) => ({
          ...other,
          length: Math.min(other.length, copy.length),
          pausedTerm: 0,
        })),
        violation: isLost
          ? `an acknowledged commit is missing on ${getName(to)}`
          : undefined,
      },
    }];
  });
}
