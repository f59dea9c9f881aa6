/** Steps of the targets and of the platform in the failover model. */

import { assertNever } from "../../src/core/errors.ts";
import {
  type FailoverBounds,
  FOURTH,
  getName,
  isReachable,
  type ModelOptions,
  type State,
  type Step,
  withCopy,
} from "./state.ts";

/**
 * Lists the steps of the targets: a commit, an entry received, a restart, a
 * registration. A commit is acknowledged as soon as a replica has received it,
 * if the primary leads and a host hears it; later is less strict.
 */
export function listTargetSteps(
  state: State,
  { bounds }: ModelOptions,
): Step[] {
  const steps: Step[] = [];
  const { log, primary, copies } = state;
  const canCommit = primary !== undefined && isReachable(state, primary);
  const canAcknowledge = canCommit && state.term >= state.minTerm;
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
      const isAcknowledged = canAcknowledge && length > state.acknowledged &&
        log[length - 1] === state.term;
      steps.push({
        name: `${name} receives entry ${length}` +
          (isAcknowledged ? `, which ${getName(primary)} acknowledges` : ""),
        state: {
          ...withCopy(state, index, { length }),
          acknowledged: isAcknowledged ? length : state.acknowledged,
        },
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
    if (!copy.isRegistered && !copy.isRecorded) {
      steps.push({
        name: `${name} registers`,
        state: withCopy(state, index, {
          isRegistered: true,
          isRecorded: true,
        }),
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
