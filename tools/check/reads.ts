/** Counts stale reads and reads across workspaces. */

import type { CheckedChange, CheckedReq, History } from "./history.ts";

/** Limit on the candidate values kept per row; the newest are kept. */
const MAX_POSSIBLE_VALUES = 4_096;

/**
 * Counts reads that miss an earlier write of their session. Only one session
 * writes a row, so a read must return the value that results from the session's
 * acknowledged writes and any subset of its writes with unknown outcome.
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

/** Returns the values that a row may have after one more write. */
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
 * Counts reads that were executed for a workspace whose callers never accessed
 * the row. Rows that no request names are ignored.
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
