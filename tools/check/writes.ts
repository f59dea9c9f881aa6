/** Counts invariant violations of writes and transactions. */

import {
  describeChanges,
  indexMutations,
  isAcknowledged,
  isReportedNotRun,
  type Mutation,
} from "./effects.ts";
import {
  type CheckedEntry,
  getFinalLog,
  type GroupEvidence,
  type History,
  listAllEntries,
} from "./history.ts";

/** Number of violations of each invariant of writes and transactions. */
export interface WriteFindings {
  /** Acknowledged, but missing from the final log. */
  readonly lost: number;
  /** Unrepeatable, but more than once in the final log. */
  readonly doubled: number;
  /**
   * Unrepeatable, but executed more than once in one term or more than once in
   * the final log.
   */
  readonly ranTwice: number;
  /** Executed for another workspace than the caller's. */
  readonly wrongWorkspace: number;
  /** Committed with changes that differ from those of the transaction. */
  readonly mixedTransactions: number;
  /** Acknowledged, but executed only by a primary that was already replaced. */
  readonly oldPrimaryAcks: number;
  /** Answered with `not_run`, but executed by a target. */
  readonly falseNotRun: number;
}

/** Checks the writes of a run. */
export function checkWrites(history: History): WriteFindings {
  const index = indexMutations(history.reqs);
  const allEntries = history.groups.flatMap(listAllEntries).filter(hasEffect);
  const finalEntries = history.groups.flatMap(getFinalLog).filter(hasEffect);
  const finalCounts = countByMutation(finalEntries, index.find);
  const allCounts = countByMutation(allEntries, index.find);
  const countsPerTerm = history.groups.flatMap(groupEntriesByTerm)
    .map((entries) => countByMutation(entries, index.find));
  const currentCounts = countByMutation(
    history.groups.flatMap(listCurrentEntries).filter(hasEffect),
    index.find,
  );
  const unrepeatable = index.mutations.filter((mutation) =>
    mutation.unrepeatable
  );
  const acknowledged = index.mutations.filter(isAcknowledged);
  return {
    lost:
      acknowledged.filter((mutation) => getCount(finalCounts, mutation) === 0)
        .length,
    doubled:
      unrepeatable.filter((mutation) => getCount(finalCounts, mutation) > 1)
        .length,
    ranTwice:
      unrepeatable.filter((mutation) =>
        getCount(finalCounts, mutation) > 1 ||
        countsPerTerm.some((counts) => getCount(counts, mutation) > 1)
      ).length,
    wrongWorkspace: allEntries.filter((entry) => {
      const mutations = index.find(entry);
      return mutations.length > 0 &&
        mutations.every((mutation) => mutation.workspace !== entry.workspace);
    }).length,
    mixedTransactions: countMixedTransactions(history, allEntries),
    oldPrimaryAcks:
      acknowledged.filter((mutation) =>
        getCount(allCounts, mutation) > 0 &&
        getCount(currentCounts, mutation) === 0
      ).length,
    falseNotRun: index.mutations
      .filter((mutation) =>
        isReportedNotRun(mutation) && getCount(allCounts, mutation) > 0
      ).length,
  };
}

function hasEffect(entry: CheckedEntry): boolean {
  return entry.changes.length > 0 && !entry.cancelled;
}

/** Groups the entries of a group by term. */
function groupEntriesByTerm(group: GroupEvidence): CheckedEntry[][] {
  const entriesByTerm = new Map<number, CheckedEntry[]>();
  for (const entry of listAllEntries(group).filter(hasEffect)) {
    entriesByTerm.set(entry.term, [
      ...entriesByTerm.get(entry.term) ?? [],
      entry,
    ]);
  }
  return [...entriesByTerm.values()];
}

/** Lists the entries executed before a primary of a newer term executed any. */
function listCurrentEntries(group: GroupEvidence): CheckedEntry[] {
  const entries = listAllEntries(group);
  const termStartedAt = new Map<number, number>();
  for (const { term, ranAt } of entries) {
    termStartedAt.set(
      term,
      Math.min(ranAt, termStartedAt.get(term) ?? Infinity),
    );
  }
  return entries.filter((entry) =>
    [...termStartedAt].every(([term, startedAt]) =>
      term <= entry.term || entry.ranAt <= startedAt
    )
  );
}

type Counts = ReadonlyMap<Mutation, number>;

/**
 * Counts the entries of each mutation. An entry that matches several mutations
 * only raises their counts from 0 to 1.
 */
function countByMutation(
  entries: readonly CheckedEntry[],
  find: (entry: CheckedEntry) => readonly Mutation[],
): Counts {
  const counts = new Map<Mutation, number>();
  for (const entry of entries) {
    const mutations = find(entry);
    for (const mutation of mutations) {
      const count = counts.get(mutation) ?? 0;
      counts.set(
        mutation,
        mutations.length === 1 ? count + 1 : Math.max(1, count),
      );
    }
  }
  return counts;
}

function getCount(counts: Counts, mutation: Mutation): number {
  return counts.get(mutation) ?? 0;
}

/**
 * Counts the entries that contain a change of a transaction but are not exactly
 * the changes of that transaction in order.
 */
function countMixedTransactions(
  history: History,
  entries: readonly CheckedEntry[],
): number {
  const txByChange = new Map<string, string>();
  const changesByTx = new Map<string, string[]>();
  for (const { op, answer } of history.reqs) {
    if (op.kind !== "write" || op.tx === undefined) {
      continue;
    }
    const description = describeChanges([op.change]);
    txByChange.set(description, op.tx);
    if (answer?.ok) {
      changesByTx.set(op.tx, [...changesByTx.get(op.tx) ?? [], description]);
    }
  }
  return entries.filter((entry) => {
    const descriptions = entry.changes.map((change) =>
      describeChanges([change])
    );
    const txs = new Set(
      descriptions.map((description) => txByChange.get(description)),
    );
    const [tx] = txs;
    if (txs.size === 1 && tx === undefined) {
      return false;
    }
    return txs.size > 1 ||
      JSON.stringify(descriptions) !==
        JSON.stringify(changesByTx.get(tx!) ?? []);
  }).length;
}
