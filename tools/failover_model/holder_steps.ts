/** Steps of the hosts that hold the failover lease in the failover model. */

import { assertNever } from "../../src/core/errors.ts";
import { asId, type TargetId } from "../../src/core/ids.ts";
import { comparePositions, isAtLeast } from "../../src/core/position.ts";
import type { Position } from "../../src/core/types.ts";
import type { ReportedTarget } from "../../src/pooling/succession.ts";
import {
  createHolder,
  FOURTH,
  getLogEnd,
  getName,
  type Holder,
  isReachable,
  type ModelOptions,
  type Procedure,
  replace,
  type State,
  type Step,
  SYNC_REPLICAS,
  withCopy,
  withHolder,
} from "./state.ts";

/**
 * Lists the claims of the next holder. It may have missed the promotion of the
 * holder before, and knows of an open order from the lease.
 */
export function listClaimSteps(
  state: State,
  { bounds, decisions }: ModelOptions,
): Step[] {
  const index = state.holders.length;
  if (index >= bounds.holders) {
    return [];
  }
  const { lastPrimary, term, leaseOpenTarget: openTarget } = state;
  const beliefs = lastPrimary === 0 ? [{ oldPrimary: 0, term: term + 1 }] : [
    { oldPrimary: 0, term: term + 1 },
    { oldPrimary: lastPrimary, term: term + 1 },
  ];
  return beliefs.map((belief) => {
    const holder = createHolder({
      ...belief,
      token: decisions.getFencingToken(index + 1, 0),
      openTarget,
      hasHeardOfFourth: bounds.fourthCopy === "known",
    });
    return {
      name: `host ${index + 1} claims the lease with token ${holder.token}; ` +
        `it takes ${getName(belief.oldPrimary)} for the primary of term ` +
        `${belief.term - 1}`,
      state: {
        ...state,
        // Without an open target, no order of an earlier claim can follow.
        minTerm: openTarget === undefined ? 0 : state.minTerm,
        holders: [...state.holders, holder],
      },
    };
  });
}

/**
 * Whether a holder has heard of a target. A holder that reads the list before
 * it decides has heard of all that are registered; hearing of one later is the
 * same as pausing it later.
 */
function isKnown(
  state: State,
  target: number,
  { holder, procedure }: {
    readonly holder: Holder;
    readonly procedure: Procedure;
  },
): boolean {
  const { isRegistered, isRecorded } = state.copies[target]!;
  if (!procedure.countsSilent && !isReachable(state, target)) {
    return false;
  }
  return procedure.rereadsList
    ? isRegistered || (isRecorded && procedure.remembersCopies)
    : target !== FOURTH || holder.hasHeardOfFourth;
}

/** Lists the steps in which a holder's commands are carried out. */
export function listCommandSteps(
  state: State,
  { index, procedure }: {
    readonly index: number;
    readonly procedure: Procedure;
  },
): Step[] {
  const steps: Step[] = [];
  const holder = state.holders[index]!;
  const { oldPrimary, fenced } = holder;
  const by = `for host ${index + 1}`;
  if (holder.phase !== "fencing" || holder.term <= state.term) {
    return [];
  }

  function report(done: State, target: number): State {
    const end = getLogEnd(done, target);
    return withHolder(done, index, { fenced: replace(fenced, target, end) });
  }

  const isLastPrimary = oldPrimary === state.lastPrimary ||
    !procedure.requiresLastPrimary;
  if (
    fenced[oldPrimary] === undefined && isReachable(state, oldPrimary) &&
    isLastPrimary
  ) {
    const done = {
      ...withCopy(state, oldPrimary, { pausedTerm: holder.term }),
      primary: state.primary === oldPrimary ? undefined : state.primary,
    };
    const name = `${getName(oldPrimary)} steps down ${by}`;
    steps.push({ name, state: report(done, oldPrimary) });
    steps.push({ name: `${name}, reply lost`, state: done });
  }
  const isOutOfReach = !isReachable(state, oldPrimary);
  const mayPause = !procedure.pausesLast || isOutOfReach ||
    fenced[oldPrimary] !== undefined;
  for (const target of state.copies.keys()) {
    const isReplica = target !== oldPrimary && target !== state.primary;
    if (
      mayPause && isReplica && fenced[target] === undefined &&
      isReachable(state, target) &&
      isKnown(state, target, { holder, procedure })
    ) {
      const done = withCopy(state, target, { pausedTerm: holder.term });
      const { term, pos } = getLogEnd(state, target);
      steps.push({
        name: `${getName(target)} pauses ${by} at ${term}.${pos}`,
        state: report(done, target),
      });
    }
  }
  return steps;
}

function toReport(
  state: State,
  fence: { readonly target: number; readonly position: Position },
): ReportedTarget {
  const { target, position } = fence;
  return {
    target: {
      id: asId<TargetId>(`${target}`),
      incarnation: 0,
      service: asId("s"),
      address: "",
      domain: asId("d"),
      slots: 1,
      isDraining: false,
      role: "replica",
    },
    report: {
      role: "replica",
      term: state.term,
      position,
      pausedTerm: state.term,
      lagMs: 0,
      busy: 0,
      connections: 0,
    },
  };
}

/** Whether the number of fenced copies may decide. */
function mayCount(
  state: State,
  { holder, options: { procedure, bounds } }: {
    readonly holder: Holder;
    readonly options: ModelOptions;
  },
): boolean {
  const { isRegistered, length } = state.copies[FOURTH]!;
  const hasSettled = bounds.fourthCopy !== "registers_after_outage" ||
    isRegistered || length === 0;
  const isWithheld = state.minTerm >= holder.term;
  // After the lease is written, the old primary is not asked for again.
  const isOutOfReach = !isReachable(state, holder.oldPrimary) ||
    (holder.phase === "looking" && isWithheld);
  return !procedure.waitsForPrimary ||
    (isOutOfReach &&
      (hasSettled || !procedure.awaitsRegistrations) &&
      (isWithheld || !procedure.withholdsAcknowledgements));
}

/** Returns the target that a holder would order, given fenced targets. */
function tryChoose(
  state: State,
  choice: {
    readonly holder: Holder;
    readonly targets: readonly number[];
    readonly options: ModelOptions;
  },
): number | undefined {
  const { holder, targets, options: { procedure, decisions } } = choice;
  const { oldPrimary, openTarget } = holder;
  const reports = targets.map((target) =>
    toReport(state, { target, position: holder.fenced[target]! })
  );
  const oldReport = reports[targets.indexOf(oldPrimary)];
  const isBoundKnown = procedure.waitsForPrimary && oldReport !== undefined;
  if (!isBoundKnown && !mayCount(state, { holder, options: choice.options })) {
    return undefined;
  }
  const candidates = isBoundKnown
    ? reports.filter(({ report }) =>
      isAtLeast(report.position, oldReport.report.position)
    )
    : reports;
  // Where the old primary's log end decides, one target at or past it is
  // enough.
  const copies = isBoundKnown
    ? SYNC_REPLICAS + 1
    : state.copies.filter(({ hasLeft }, target) =>
      isKnown(state, target, { holder, procedure }) &&
      (procedure.countsDeparted || !hasLeft)
    ).length;
  const successor = decisions.tryChooseSuccessor(candidates, {
    copies,
    syncReplicas: SYNC_REPLICAS,
    oldPrimary: asId(`${oldPrimary}`),
    mayKeepOldPrimary: true,
    preferred: openTarget === undefined ? undefined : asId(`${openTarget}`),
  });
  const chosen = successor && Number(successor.target.id);
  const isOther = openTarget !== undefined && chosen !== openTarget &&
    !state.copies[openTarget]!.hasLeft;
  return isOther && procedure.keepsOpenTarget ? undefined : chosen;
}

/** Lists the steps in which a holder decides, writes the lease or orders. */
export function listDecisionSteps(
  state: State,
  { index, options }: {
    readonly index: number;
    readonly options: ModelOptions;
  },
): Step[] {
  const { procedure } = options;
  const holder = state.holders[index]!;
  const by = `host ${index + 1}`;
  const isHolder = index === state.holders.length - 1;
  const reported = holder.fenced.flatMap((end, target) =>
    end === undefined ? [] : [target]
  );
  const steps: Step[] = [];
  if (
    holder.phase === "fencing" && !holder.hasHeardOfFourth &&
    !procedure.rereadsList &&
    state.copies[FOURTH]!.isRegistered
  ) {
    steps.push({
      name: `${by} hears of ${getName(FOURTH)}`,
      state: withHolder(state, index, { hasHeardOfFourth: true }),
    });
  }
  switch (holder.phase) {
    case "fencing": {
      if (
        isHolder && procedure.withholdsAcknowledgements &&
        !isReachable(state, holder.oldPrimary) &&
        state.minTerm < holder.term
      ) {
        steps.push({
          name: `hosts withhold acknowledgements for ${by}`,
          state: { ...state, minTerm: holder.term },
        });
      }
      const chosen = tryChoose(state, { holder, targets: reported, options });
      if (chosen !== undefined && isHolder) {
        const written = withHolder(state, index, {
          phase: "looking",
          openTarget: chosen,
          confirmed: procedure.looksAgain ? [] : reported,
        });
        steps.push({
          name: `${by} writes ${getName(chosen)} into the lease`,
          state: { ...written, leaseOpenTarget: chosen },
        });
      }
      break;
    }
    case "looking": {
      for (const target of reported) {
        const { pausedTerm } = state.copies[target]!;
        const end = getLogEnd(state, target);
        const isPaused = pausedTerm >= holder.term || !procedure.requiresPause;
        const isUnchanged = isPaused &&
          comparePositions(end, holder.fenced[target]!) === 0 &&
          target !== state.primary && isReachable(state, target);
        if (isUnchanged && !holder.confirmed.includes(target)) {
          const confirmed = [...holder.confirmed, target].sort();
          steps.push({
            name: `${by} finds ${getName(target)} unchanged`,
            state: withHolder(state, index, { confirmed }),
          });
        }
      }
      const targets = holder.confirmed;
      const chosen = tryChoose(state, { holder, targets, options });
      if (chosen !== undefined && chosen === holder.openTarget) {
        const order = { token: holder.token, to: chosen, isAccepted: false };
        const isTokenUsed = state.holders.some((other) =>
          other !== holder && other.phase === "ordered" &&
          other.token === holder.token
        );
        steps.push({
          name: `${by} orders ${getName(chosen)} with token ${holder.token}`,
          state: {
            ...withHolder(state, index, { phase: "ordered" }),
            orders: [...state.orders, order],
            violation: isTokenUsed
              ? `two hosts order with token ${holder.token}`
              : undefined,
          },
        });
      }
      break;
    }
    case "ordered":
    case "overtaken":
      break;
    default:
      return assertNever(holder.phase);
  }
  const { phase, openTarget } = holder;
  const hasTakenOver = openTarget !== undefined &&
    state.primary === openTarget && isHolder && phase !== "looking" &&
    state.leaseOpenTarget !== undefined &&
    (state.orders.length === 0 || !procedure.awaitsOpenOrders);
  if (hasTakenOver) {
    const ended = withHolder(state, index, {
      phase: phase === "ordered" ? "ordered" : "overtaken",
    });
    steps.push({
      name: `${by} finds ${getName(openTarget)} to be primary and ends`,
      state: { ...ended, leaseOpenTarget: undefined },
    });
  }
  return steps;
}
