/** Computes the figures of a run from the answers that callers received. */

import { checkHistory, type InvariantCounts } from "../check/check.ts";
import type { GroupEvidence, History } from "../check/history.ts";
import type { Call } from "./callers.ts";
import type { Failover } from "./faults.ts";
import { groupBy } from "./group_by.ts";

/** A distribution of times, in milliseconds. */
export interface Quantiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Figures by which policies are compared. */
export interface Figures {
  readonly replicaReadShare: number;
  readonly failoverGapMs: Quantiles;
  readonly worstWorkspaceServedShare: number;
  readonly refusedWithinRateShare: number;
  readonly attemptsPerRequest: number;
  readonly invariants: InvariantCounts;
}

/** Gap in service after a failover, with the fault that caused it. */
export interface Gap {
  readonly group: string;
  readonly fault: string;
  readonly ms: number;
}

/** Data of the charts. */
export interface Details {
  readonly gaps: readonly Gap[];
  readonly latencies: readonly {
    readonly workspace: string;
    readonly quantiles: Quantiles;
    /** Failed requests by error. */
    readonly errors: Readonly<Record<string, number>>;
  }[];
  /** Requests refused with `rate_limited` in each second of the run. */
  readonly refusedBySecond: readonly number[];
}

/** Recorded data of a run. */
export interface RunRecord {
  readonly calls: readonly Call[];
  readonly failovers: readonly Failover[];
  readonly groups: readonly GroupEvidence[];
  readonly plans: History["plans"];
  /** Workspace that exceeds its rate; left out of the worst served share. */
  readonly flooder: string;
}

const MS_PER_SECOND = 1_000;
/** Time before a fault from which a gap is measured. */
const PRE_FAULT_WINDOW_MS = 1_000;

/** Computes the figures of a run. */
export function computeFigures(run: RunRecord): Figures {
  const history: History = { ...run, reqs: run.calls.map((call) => call.req) };
  const gaps = listGaps(run).map((gap) => gap.ms);
  return {
    replicaReadShare: getReplicaReadShare(run.calls),
    failoverGapMs: computeQuantiles(gaps),
    worstWorkspaceServedShare: getWorstServedShare(run),
    refusedWithinRateShare: getRefusedWithinRateShare(run),
    attemptsPerRequest: getAttemptsPerRequest(run),
    invariants: checkHistory(history),
  };
}

/** Computes the data of the charts. */
export function computeDetails(run: RunRecord): Details {
  const byWorkspace = groupBy(run.calls, (call) => call.req.workspace);
  return {
    gaps: listGaps(run),
    latencies: [...byWorkspace].sort().map(([workspace, calls]) => {
      const answered = calls.filter((call) => call.req.answer?.ok);
      return {
        workspace,
        quantiles: computeQuantiles(answered.map((call) => call.latencyMs)),
        errors: countErrors(calls),
      };
    }),
    refusedBySecond: countRefusedBySecond(run.calls),
  };
}

function countErrors(calls: readonly Call[]): Record<string, number> {
  const errors: Record<string, number> = {};
  for (const { req } of calls) {
    const error = req.answer === undefined
      ? "no_answer"
      : req.answer.ok
      ? undefined
      : req.answer.error;
    if (error !== undefined) {
      errors[error] = (errors[error] ?? 0) + 1;
    }
  }
  return errors;
}

function countRefusedBySecond(calls: readonly Call[]): number[] {
  const startedAt = Math.min(...calls.map((call) => call.req.sentAt));
  const counts: number[] = [];
  for (const { req } of calls) {
    const isRefused = req.answer?.ok === false &&
      req.answer.error === "rate_limited";
    const second = Math.floor((req.sentAt - startedAt) / MS_PER_SECOND);
    counts[second] = (counts[second] ?? 0) + (isRefused ? 1 : 0);
  }
  return [...counts].map((count) => count ?? 0);
}

/** Computes the quantiles of times; all are 0 if there are none. */
export function computeQuantiles(values: readonly number[]): Quantiles {
  const sorted = values.toSorted((a, b) => a - b);
  const getQuantile = (fraction: number) =>
    Math.round(sorted[Math.ceil(fraction * sorted.length) - 1] ?? 0);
  return {
    count: sorted.length,
    p50: getQuantile(0.5),
    p99: getQuantile(0.99),
    max: getQuantile(1),
  };
}

function getReplicaReadShare(calls: readonly Call[]): number {
  const answers = calls.flatMap(({ req }) =>
    req.op.kind === "read" && req.answer?.ok ? [req.answer] : []
  );
  const replicas = answers.filter((answer) => answer.servedBy === "replica");
  return answers.length ? replicas.length / answers.length : 0;
}

/**
 * Lists the gap of each failover: the longest time between two answered writes
 * of the group's most frequent request class, from just before the fault until
 * the group's next fault or the end of the run.
 */
export function listGaps(run: RunRecord): Gap[] {
  const endAt = Math.max(...run.calls.map((call) => call.req.sentAt));
  return run.failovers.map(({ group, fault, injectedAt: at }) => {
    const next = run.failovers.find((f) =>
      f.group === group && f.injectedAt > at
    );
    const windowEnd = next?.injectedAt ?? endAt;
    const answers = listWriteAnswerTimes(run, group)
      .filter((t) => t >= at - PRE_FAULT_WINDOW_MS && t <= windowEnd);
    const times = [...answers, windowEnd];
    const gaps = times.map((t, index) =>
      t - (times[index - 1] ?? at - PRE_FAULT_WINDOW_MS)
    );
    return { group, fault, ms: Math.max(...gaps) };
  });
}

/** Lists the answer times of writes of the group's most frequent class. */
function listWriteAnswerTimes(run: RunRecord, group: string): number[] {
  const groupEvidence = run.groups.find((g) => g.group === group);
  const workspaces = new Set(
    groupEvidence?.targets.flatMap((t) => t.statements.map((s) => s.workspace)),
  );
  const writes = run.calls.filter(({ req }) =>
    req.op.kind === "write" && req.op.tx === undefined &&
    workspaces.has(req.workspace)
  );
  const byClass = [...groupBy(writes, (call) => call.class).values()]
    .sort((a, b) => b.length - a.length);
  return (byClass[0] ?? [])
    .filter((call) => call.req.answer?.ok)
    .map((call) => call.req.answeredAt)
    .sort((a, b) => a - b);
}

function getWorstServedShare(run: RunRecord): number {
  const byWorkspace = groupBy(run.calls, (call) => call.req.workspace);
  byWorkspace.delete(run.flooder);
  const shares = [...byWorkspace.values()].map((calls) =>
    calls.filter((call) => call.req.answer?.ok).length / calls.length
  );
  return shares.length ? Math.min(...shares) : 0;
}

/**
 * Returns the fraction of the requests within rate and burst that were refused
 * with `rate_limited`. A request is within the limit if a token bucket that is
 * charged for every admitted request still holds a token. A request that is
 * refused within the limit also takes its token, so that one unused token makes
 * one refusal wrongful and not all that follow.
 */
function getRefusedWithinRateShare(run: RunRecord): number {
  let withinRateCount = 0;
  let wrongfulCount = 0;
  const byWorkspace = groupBy(run.calls, (call) => call.req.workspace);
  for (const [workspace, calls] of byWorkspace) {
    const plan = run.plans.get(workspace);
    if (!plan) {
      continue;
    }
    let tokens = plan.burst;
    let refilledAt = 0;
    for (
      const { req } of calls.toSorted((a, b) => a.req.sentAt - b.req.sentAt)
    ) {
      const refill = (req.sentAt - refilledAt) * plan.ratePerSecond /
        MS_PER_SECOND;
      tokens = Math.min(plan.burst, tokens + refill);
      refilledAt = req.sentAt;
      const isRefused = req.answer?.ok === false &&
        req.answer.error === "rate_limited";
      const isWithin = tokens >= 1;
      withinRateCount += isWithin ? 1 : 0;
      wrongfulCount += isWithin && isRefused ? 1 : 0;
      tokens -= isRefused && !isWithin ? 0 : 1;
    }
  }
  return withinRateCount ? wrongfulCount / withinRateCount : 0;
}

/** Returns the number of executed statements per admitted request. */
function getAttemptsPerRequest(run: RunRecord): number {
  const statements = run.groups
    .flatMap((group) => group.targets)
    .reduce((sum, target) => sum + target.statements.length, 0);
  const admittedCount = run.calls.filter(({ req }) => {
    const isStatement = req.op.kind === "read" || req.op.kind === "write";
    const isRefused = req.answer?.ok === false &&
      req.answer.run === "not_run";
    return isStatement && !isRefused;
  }).length;
  return admittedCount ? statements / admittedCount : 0;
}
