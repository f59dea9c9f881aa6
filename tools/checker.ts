/**
 * Compares what callers were told with what the targets hold. Shares no code
 * with the decisions of the system.
 */

import { checkHistory, type InvariantCounts } from "./check/check.ts";
import type {
  CheckedBody,
  CheckedReq,
  GroupEvidence,
  ShownEntry,
} from "./check/history.ts";
import type { RequestRecord } from "./load.ts";

export type { ShownEntry } from "./check/history.ts";

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
  told: readonly RequestRecord[],
  logs: readonly (readonly ShownEntry[])[],
): Findings {
  const counts = checkHistory({
    reqs: told.map(toCheckedReq),
    groups: logs.map(toEvidence),
    plans: new Map(),
  });
  const { lost, doubled, staleReads, wrongWorkspace } = counts;
  return {
    sent: told.length,
    answered: told.filter((t) => t.answer?.ok).length,
    refused: told.filter((t) => t.answer?.ok === false && !isUnknown(t)).length,
    outcomeUnknown: told.filter(isUnknown).length,
    lost,
    doubled,
    staleReads,
    wrongWorkspace,
    replicaReadShare: getReplicaReadShare(told),
  };
}

/** Share of the answered reads that a replica served. */
export function getReplicaReadShare(told: readonly RequestRecord[]): number {
  const reads = told.filter((t) => t.line.access === "read" && t.answer?.ok);
  const replicaReads = reads.filter((t) =>
    t.answer?.ok && t.answer.servedBy === "replica"
  );
  return reads.length ? replicaReads.length / reads.length : 0;
}

/** No answer came, or one that leaves open whether the request ran. */
export function isUnknown(told: RequestRecord): boolean {
  return !told.answer || (!told.answer.ok && told.answer.run === "unknown");
}

/** Writes a line of a load with its answer as the checker reads it. */
export function toCheckedReq(told: RequestRecord): CheckedReq {
  const { id, line, sentAt, answeredAt, answer } = told;
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
  log: readonly ShownEntry[],
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
