/** Counts reads that miss what their own session wrote before. */

import type { CheckedChange, CheckedReq, History } from "./history.ts";

/** Values of unknown writes that a row may still turn out to have. */
const MAX_POSSIBLE_VALUES = 4_096;

/**
 * Counts stale reads. A row is written by one session only, so a read must give
 * the value that the session's acknowledged writes leave, with or without those
 * of unknown outcome.
 */
export function countStaleReads(reqs: readonly CheckedReq[]): number {
  const possibleValues = new Map<string, Set<unknown>>();
  const writtenRows = new Set<string>();
  let staleCount = 0;
  for (const req of reqs.toSorted((a, b) => a.sentAt - b.sentAt)) {
    const { op, answer } = req;
    if (op.kind === "write" && op.tx === undefined) {
      const row = `${req.session}/${op.change.key}`;
      writtenRows.add(row);
      possibleValues.set(
        row,
        getPossibleValues(possibleValues.get(row), { req, ...op }),
      );
    } else if (op.kind === "read" && op.tx === undefined && answer?.ok) {
      const row = `${req.session}/${op.key}`;
      const values = possibleValues.get(row);
      staleCount += writtenRows.has(row) && !values!.has(answer.result) ? 1 : 0;
    }
  }
  return staleCount;
}

/** The values that a row may have after one more write. */
function getPossibleValues(
  before: ReadonlySet<unknown> = new Set([null]),
  options: { readonly req: CheckedReq; readonly change: CheckedChange },
): Set<unknown> {
  const { answer } = options.req;
  const changedValues = [...before].map((value) =>
    applyChange(value, options.change)
  );
  if (answer?.ok) {
    return new Set(changedValues);
  }
  const mayHaveRun = answer === undefined || answer.run === "unknown";
  const values = new Set(mayHaveRun ? [...before, ...changedValues] : before);
  return values.size > MAX_POSSIBLE_VALUES
    ? new Set([...values].slice(-MAX_POSSIBLE_VALUES))
    : values;
}

function applyChange(value: unknown, change: CheckedChange): unknown {
  return change.op === "put"
    ? change.value
    : (typeof value === "number" ? value : 0) + change.amount;
}

/**
 * Counts reads that ran for another workspace than the one whose callers use
 * the row. Rows that no caller named are not looked at.
 */
export function countCrossWorkspaceReads(history: History): number {
  const owners = new Map<string, Set<string>>();
  for (const { op, workspace } of history.reqs) {
    const key = op.kind === "read"
      ? op.key
      : op.kind === "write"
      ? op.change.key
      : undefined;
    if (key !== undefined) {
      owners.set(key, new Set([...owners.get(key) ?? [], workspace]));
    }
  }
  return history.groups
    .flatMap((group) => group.targets)
    .flatMap((target) => target.statements)
    .filter(({ kind, key, workspace }) =>
      kind === "read" && owners.get(key)?.has(workspace) === false
    ).length;
}
