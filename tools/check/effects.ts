/** Matches log entries with the requests that caused them. */

import type { CheckedChange, CheckedReq, ShownEntry } from "./history.ts";

/** A write or a committed transaction with every sending of it. */
export interface Work {
  readonly id: string;
  readonly workspace: string;
  readonly changes: readonly CheckedChange[];
  readonly unrepeatable: boolean;
  readonly isTransaction: boolean;
  readonly sendings: readonly CheckedReq[];
}

/** Finds the works whose effect an entry may be. */
export interface WorkIndex {
  readonly works: readonly Work[];
  /** More than one when the entry has no id and its change is not unique. */
  find(entry: ShownEntry): readonly Work[];
}

/** Indexes the works of a run. */
export function indexWorks(reqs: readonly CheckedReq[]): WorkIndex {
  const byId = new Map<string, Work>();
  const byChanges = new Map<string, Work[]>();
  for (const work of [...listWrites(reqs), ...listTransactions(reqs)]) {
    byId.set(work.id, work);
    const text = describeChanges(work.changes);
    byChanges.set(text, [...byChanges.get(text) ?? [], work]);
  }
  return {
    works: [...byId.values()],
    find(entry) {
      const named = entry.id === undefined ? undefined : byId.get(entry.id);
      return named
        ? [named]
        : byChanges.get(describeChanges(entry.changes)) ?? [];
    },
  };
}

/** Text that is the same for the same changes in the same order. */
export function describeChanges(changes: readonly CheckedChange[]): string {
  return JSON.stringify(changes.map((change) => [
    change.op,
    change.key,
    change.op === "put" ? change.value : change.amount,
  ]));
}

function listWrites(reqs: readonly CheckedReq[]): Work[] {
  const works = new Map<string, Work>();
  for (const req of reqs) {
    if (req.op.kind !== "write" || req.op.tx !== undefined) {
      continue;
    }
    const { change, unrepeatable } = req.op;
    const sendings = [...works.get(req.id)?.sendings ?? [], req];
    works.set(req.id, {
      id: req.id,
      workspace: req.workspace,
      changes: [change],
      unrepeatable,
      isTransaction: false,
      sendings,
    });
  }
  return [...works.values()];
}

function listTransactions(reqs: readonly CheckedReq[]): Work[] {
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
      sendings: [req],
    }];
  });
}

/** The caller was told that the work is done. */
export function isAcknowledged(work: Work): boolean {
  return work.sendings.some((req) => req.answer?.ok);
}

/** The caller was told that no sending of the work ran. */
export function isToldNotRun(work: Work): boolean {
  return work.sendings.every(({ answer }) =>
    answer?.ok === false && answer.run === "not_run"
  );
}
