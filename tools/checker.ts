/**
 * Compares what callers were told with what the targets hold. Shares no code
 * with the decisions of the system.
 */

import { checkHistory, type InvariantCounts } from "./check/check.ts";
import type {
  CheckedBody,
  CheckedEntry,
  CheckedReq,
  GroupEvidence,
} from "./check/history.ts";
import type { RequestRecord } from "./load.ts";

export type { CheckedEntry as CheckedEntry } from "./check/history.ts";

/** What the checker found. */
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
export function check(
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
    answered: records.filter((t) => t.answer?.ok).length,
    refused:
      records.filter((t) => t.answer?.ok === false && !isUnknown(t)).length,
    outcomeUnknown: records.filter(isUnknown).length,
    lost,
    doubled,
    staleReads,
    wrongWorkspace,
    replicaReadShare: getReplicaReadShare(records),
  };
}

/** Share of the answered reads that a replica served. */
export function getReplicaReadShare(records: readonly RequestRecord[]): number {
  const reads = records.filter((t) => t.line.access === "read" && t.answer?.ok);
  const replicaReads = reads.filter((t) =>
    t.answer?.ok && t.answer.servedBy === "replica"
  );
  return reads.length ? replicaReads.length / reads.length : 0;
}

/** No answer came, or one that leaves open whether the request ran. */
export function isUnknown(record: RequestRecord): boolean {
  return !record.answer ||
    (!record.answer.ok && record.answer.run === "unknown");
}

/** Writes a line of a load with its answer as the checker reads it. */
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
