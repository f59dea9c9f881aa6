/**
 * Abstract model of the failover of one service: four copies of the log, hosts
 * that hold the failover lease one after the other, and the platform. A step is
 * the processing of one message by its receiver, with its reply delivered or
 * lost. A delayed reply needs no step of its own: it only delays the decision,
 * which may come at any later moment. A `RESUME` that is carried out late has
 * the effect of a restart. A pause whose reply is not used needs none either,
 * nor does one after the order: both only take steps of a target away.
 */

import {
  createInitialState,
  encodeState,
  FAILOVER_DECISIONS,
  type FailoverBounds,
  type ModelOptions,
  normalize,
  PROCEDURE,
  type State,
  type Step,
} from "./state.ts";
import {
  listClaimSteps,
  listCommandSteps,
  listDecisionSteps,
} from "./holder_steps.ts";
import {
  listFaultSteps,
  listPlatformSteps,
  listTargetSteps,
} from "./target_steps.ts";

/** Result of an exploration. */
export interface FailoverExploration {
  readonly states: number;
  /** Whether every state within the bounds was visited. */
  readonly isComplete: boolean;
  readonly violation: string | undefined;
  /** Steps that lead to the violation. */
  readonly steps: readonly string[];
}

function listSteps(state: State, options: ModelOptions): Step[] {
  return [
    ...listTargetSteps(state, options),
    ...listFaultSteps(state, options.bounds),
    ...listPlatformSteps(state),
    ...listClaimSteps(state, options),
    ...state.holders.flatMap((_, index) => [
      ...listCommandSteps(state, { index, procedure: options.procedure }),
      ...listDecisionSteps(state, { index, options }),
    ]),
  ];
}

/** Explores all orders of steps within the bounds, breadth first. */
export function exploreFailover(
  bounds: FailoverBounds,
  {
    procedure = PROCEDURE,
    decisions = FAILOVER_DECISIONS,
  }: Partial<Omit<ModelOptions, "bounds">> = {},
): FailoverExploration {
  const options = { bounds, procedure, decisions };
  const initial = createInitialState(options);
  /** State before each state, and the step from there. */
  const origins = new Map<string, { before: string; name: string }>();
  const initialKey = encodeState(initial);
  origins.set(initialKey, { before: "", name: "" });

  function listNames(last: string): string[] {
    const names: string[] = [];
    for (let key = last; key !== initialKey; key = origins.get(key)!.before) {
      names.unshift(origins.get(key)!.name);
    }
    return names;
  }

  let frontier = [{ key: initialKey, state: initial }];
  while (frontier.length > 0) {
    const next: { key: string; state: State }[] = [];
    for (const { key: before, state: current } of frontier) {
      for (const { name, state: reached } of listSteps(current, options)) {
        const state = normalize(reached);
        const key = encodeState(state);
        const { violation } = state;
        if (origins.has(key) && violation === undefined) {
          continue;
        }
        const states = origins.size;
        if (violation !== undefined) {
          const steps = [...listNames(before), name];
          return { states, isComplete: false, violation, steps };
        }
        if (states >= bounds.maxStates) {
          return { states, isComplete: false, violation, steps: [] };
        }
        origins.set(key, { before, name });
        next.push({ key, state });
      }
    }
    frontier = next;
  }
  const states = origins.size;
  return { states, isComplete: true, violation: undefined, steps: [] };
}
