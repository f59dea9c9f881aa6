/** What the checker finds at the end of a replay. */

import { checkHistory } from "../../tools/check/check.ts";
import type {
  CheckedReq,
  GroupEvidence,
  TargetEvidence,
} from "../../tools/check/history.ts";
import type { Fault } from "../generated/replay.ts";
import type { ReplayFleet } from "./replay_fleet.ts";
import type { LineOf, OutcomeLine } from "./trace.ts";

/** Time in which a withdrawn key stops everywhere, in milliseconds. */
const KEY_WITHDRAWAL_LIMIT_MS = 5_000;
/** Time in which new work for a leaving target stops, in milliseconds. */
const TARGET_DRAIN_LIMIT_MS = 3_000;

type Header = LineOf<"header">;

/** A fault or an operator's change with its wall clock. */
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

/** Term and primary of each group. */
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

/** Counts every broken invariant of a replay. */
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

/** Requests served although their key was withdrawn long enough before. */
function countServedWithWithdrawnKey(history: {
  readonly reqs: readonly CheckedReq[];
  readonly faults: readonly TimedFault[];
}): number {
  return history.faults.reduce((count, { fault, appliedAt: appliedAt }) => {
    const served = history.reqs.filter((req) =>
      fault.kind === "withdraw_key" && req.workspace === fault.workspace &&
      req.sentAt > appliedAt + KEY_WITHDRAWAL_LIMIT_MS && req.answer?.ok
    );
    return count + served.length;
  }, 0);
}

/** Statements that a target ran although it was leaving for long enough. */
function countRunAtLeavingTargets(
  groups: readonly GroupEvidence[],
  faults: readonly TimedFault[],
): number {
  const targets = groups.flatMap((group) => group.targets);
  return faults.reduce((count, { fault, appliedAt: appliedAt }) => {
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
