/** Counts the violated invariants at the end of a replay. */

import { checkHistory } from "../../tools/check/check.ts";
import type {
  CheckedReq,
  GroupEvidence,
  TargetEvidence,
} from "../../tools/check/history.ts";
import type { Fault } from "../generated/replay.ts";
import type { ReplayFleet } from "./replay_fleet.ts";
import type { LineOf, OutcomeLine } from "./trace.ts";

/**
 * Time after its withdrawal within which every host must refuse a key, in
 * milliseconds.
 */
const KEY_WITHDRAWAL_LIMIT_MS = 5_000;
/**
 * Time after it was marked as leaving within which a target must stop getting
 * new statements, in milliseconds.
 */
const TARGET_DRAIN_LIMIT_MS = 3_000;

type Header = LineOf<"header">;

/**
 * Fault or operator's change with the wall-clock time at which it was applied,
 * in Unix milliseconds.
 */
export interface TimedFault {
  readonly fault: Fault;
  readonly appliedAt: number;
}

function listEvidence(fleet: ReplayFleet): GroupEvidence[] {
  return fleet.groups.map(({ group, targets }) => ({
    group,
    targets: targets.map(({ target }): TargetEvidence => {
      const { core, keyHits } = fleet.getTarget(target);
      const { log, discarded, statements } = core;
      return { status: core.status(), log, discarded, statements, keyHits };
    }),
  }));
}

/** Lists the highest term of each group and its primary, if it has one. */
export function listGroupLines(fleet: ReplayFleet): OutcomeLine[] {
  return fleet.groups.map(({ group, targets }) => {
    const statuses = targets
      .map(({ target }) => fleet.getTarget(target).core.status());
    const term = Math.max(...statuses.map((status) => status.term));
    const primary = statuses
      .find((status) => status.role === "primary" && status.term === term);
    const primaryField = primary ? { primary: primary.target } : {};
    return { kind: "group", group, term, ...primaryField };
  });
}

/** Counts the violations of each invariant in a replay. */
export function countInvariants(
  fleet: ReplayFleet,
  history: {
    readonly header: Header;
    readonly reqs: readonly CheckedReq[];
    readonly faults: readonly TimedFault[];
  },
): OutcomeLine {
  const groups = listEvidence(fleet);
  const counts = checkHistory({
    reqs: history.reqs,
    groups,
    plans: new Map(history.header.workspaces.map((w) => [w.workspace, w])),
  });
  const withdrawnKeyServed = countServedWithWithdrawnKey(history);
  const leavingTargetWork = countRunAtLeavingTargets(groups, history.faults);
  return {
    kind: "invariants",
    counts: { ...counts, withdrawnKeyServed, leavingTargetWork },
  };
}

/**
 * Counts requests that were served although they were sent more than
 * `KEY_WITHDRAWAL_LIMIT_MS` after the withdrawal of their key.
 */
function countServedWithWithdrawnKey(history: {
  readonly reqs: readonly CheckedReq[];
  readonly faults: readonly TimedFault[];
}): number {
  return history.faults.reduce((count, { fault, appliedAt }) => {
    const served = history.reqs.filter((req) =>
      fault.kind === "withdraw_key" && req.workspace === fault.workspace &&
      req.sentAt > appliedAt + KEY_WITHDRAWAL_LIMIT_MS && req.answer?.ok
    );
    return count + served.length;
  }, 0);
}

/**
 * Counts statements that a target ran more than `TARGET_DRAIN_LIMIT_MS` after
 * it was marked as leaving.
 */
function countRunAtLeavingTargets(
  groups: readonly GroupEvidence[],
  faults: readonly TimedFault[],
): number {
  const targets = groups.flatMap((group) => group.targets);
  return faults.reduce((count, { fault, appliedAt }) => {
    const leaving = targets.find(({ status }) =>
      fault.kind === "target_leaving" && status.target === fault.target
    );
    const ran = leaving?.statements
      .filter((statement) =>
        statement.ranAt > appliedAt + TARGET_DRAIN_LIMIT_MS
      );
    return count + (ran?.length ?? 0);
  }, 0);
}
