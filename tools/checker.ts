/**
 * Compares the answers that callers received with the logs of the targets.
 * Shares no code with the system under test.
 */

import { checkHistory, type InvariantCounts } from "./check/check.ts";
import type {
  CheckedBody,
  CheckedEntry,
  CheckedReq,
  GroupEvidence,
} from "./check/history.ts";
import type { RequestRecord } from "./load.ts";

export type { CheckedEntry } from "./check/history.ts";

/** Violations and request counts of a load. */
export interface Findings extends
  Pick<
    InvariantCounts,
    "lost" | "doubled" | "staleReads" | "wrongWorkspace"
  > {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly outcomeUnknown: number;
  readonly replicaReadShare: number;
}

/** Checks the answers against the final log of each group's primary. */
export function checkRecords(
  records: readonly RequestRecord[],
  logs: readonly (readonly CheckedEntry[])[],
): Findings {
  const counts = checkHistory({
    reqs: records.map(toCheckedReq),
    groups: logs.map(toEvidence),
    plans: new Map(),
  });
  const { lost, doubled, staleReads, wrongWorkspace } = counts;
  return {
    sent: records.length,
    answered: records.filter((record) => record.answer?.ok).length,
    refused:
      records.filter((record) =>
        record.answer?.ok === false && !isUnknown(record)
      ).length,
    outcomeUnknown: records.filter(isUnknown).length,
    lost,
    doubled,
    staleReads,
    wrongWorkspace,
    replicaReadShare: getReplicaReadShare(records),
  };
}

/** Returns the fraction of the answered reads that a replica served. */
export function getReplicaReadShare(records: readonly RequestRecord[]): number {
  const reads = records.filter((record) =>
    record.line.access === "read" && record.answer?.ok
  );
  const replicaReads = reads.filter((record) =>
    record.answer?.ok && record.answer.servedBy === "replica"
  );
  return reads.length ? replicaReads.length / reads.length : 0;
}

/** Returns whether the outcome is unknown: no answer, or one that says so. */
export function isUnknown(record: RequestRecord): boolean {
  return !record.answer ||
    (!record.answer.ok && record.answer.run === "unknown");
}

/** Converts a request record of a load to the checker's type. */
export function toCheckedReq(record: RequestRecord): CheckedReq {
  const { id, line, sentAt, answeredAt, answer } = record;
  const body = line.body as CheckedBody;
  const { workspace, session } = line;
  return {
    id,
    workspace,
    session,
    sentAt,
    answeredAt,
    op: body.op === "get" ? { kind: "read", key: body.key } : {
      kind: "write",
      change: body,
      unrepeatable: line.unrepeatable ?? false,
    },
    answer,
  };
}

function toEvidence(
  log: readonly CheckedEntry[],
  index: number,
): GroupEvidence {
  const logEnd = { term: log.at(-1)?.term ?? 0, pos: log.length };
  const target = `${index}`;
  const { term } = logEnd;
  const status = { target, term, role: "primary", logEnd } as const;
  return {
    group: target,
    targets: [{ status, log, discarded: [], statements: [], keyHits: 0 }],
  };
}
