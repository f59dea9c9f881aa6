/** Matches log entries to the requests that caused them. */

import type { CheckedChange, CheckedEntry, CheckedReq } from "./history.ts";

/** Write or committed transaction of a caller, with all attempts to send it. */
export interface Mutation {
  readonly id: string;
  readonly workspace: string;
  readonly changes: readonly CheckedChange[];
  readonly unrepeatable: boolean;
  readonly isTransaction: boolean;
  readonly attempts: readonly CheckedReq[];
}

/** Index from log entries to the mutations that may have caused them. */
export interface MutationIndex {
  readonly mutations: readonly Mutation[];
  /**
   * Returns the mutations that match an entry: more than one if the entry has
   * no id and its changes are not unique.
   */
  find(entry: CheckedEntry): readonly Mutation[];
}

/** Indexes the mutations of a run by request id and by changes. */
export function indexMutations(reqs: readonly CheckedReq[]): MutationIndex {
  const byId = new Map<string, Mutation>();
  const byChanges = new Map<string, Mutation[]>();
  for (const mutation of [...listWrites(reqs), ...listTransactions(reqs)]) {
    byId.set(mutation.id, mutation);
    const description = describeChanges(mutation.changes);
    byChanges.set(description, [...byChanges.get(description) ?? [], mutation]);
  }
  return {
    mutations: [...byId.values()],
    find(entry) {
      const matchById = entry.id === undefined ? undefined : byId.get(entry.id);
      return matchById
        ? [matchById]
        : byChanges.get(describeChanges(entry.changes)) ?? [];
    },
  };
}

/** Returns a text that is equal for equal changes in the same order. */
export function describeChanges(changes: readonly CheckedChange[]): string {
  return JSON.stringify(changes.map((change) => [
    change.op,
    change.key,
    change.op === "put" ? change.value : change.amount,
  ]));
}

function listWrites(reqs: readonly CheckedReq[]): Mutation[] {
  const mutations = new Map<string, Mutation>();
  for (const req of reqs) {
    if (req.op.kind !== "write" || req.op.tx !== undefined) {
      continue;
    }
    const { change, unrepeatable } = req.op;
    const attempts = [...mutations.get(req.id)?.attempts ?? [], req];
    mutations.set(req.id, {
      id: req.id,
      workspace: req.workspace,
      changes: [change],
      unrepeatable,
      isTransaction: false,
      attempts,
    });
  }
  return [...mutations.values()];
}

function listTransactions(reqs: readonly CheckedReq[]): Mutation[] {
  return reqs.flatMap((req) => {
    if (req.op.kind !== "end" || req.op.end !== "commit") {
      return [];
    }
    const { tx } = req.op;
    const changes = reqs.flatMap(({ op, answer }) =>
      op.kind === "write" && op.tx === tx && answer?.ok ? [op.change] : []
    );
    return changes.length === 0 ? [] : [{
      id: req.id,
      workspace: req.workspace,
      changes,
      unrepeatable: true,
      isTransaction: true,
      attempts: [req],
    }];
  });
}

/** Returns whether an attempt was answered with success. */
export function isAcknowledged(mutation: Mutation): boolean {
  return mutation.attempts.some((req) => req.answer?.ok);
}

/** Returns whether every attempt was answered with `not_run`. */
export function isReportedNotRun(mutation: Mutation): boolean {
  return mutation.attempts.every(({ answer }) =>
    answer?.ok === false && answer.run === "not_run"
  );
}
