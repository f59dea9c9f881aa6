/**
 * Input of the checker: the answers that callers received and the logs of the
 * targets. The types are declared here, independent of the system under test.
 */

/** Statement sent by a caller. */
export type CheckedBody =
  | { readonly op: "get"; readonly key: string }
  | { readonly op: "put"; readonly key: string; readonly value: unknown }
  | { readonly op: "add"; readonly key: string; readonly amount: number };

/** Statement that changes one row. */
export type CheckedChange = Exclude<CheckedBody, { op: "get" }>;

/** Answer that a caller received. */
export type CheckedAnswer =
  | {
    readonly ok: true;
    readonly result: unknown;
    readonly servedBy: "primary" | "replica";
  }
  | {
    readonly ok: false;
    readonly error: string;
    readonly run: "not_run" | "rolled_back" | "unknown" | "ran";
  };

/** One attempt to send a caller's request, with its answer. */
export interface CheckedReq {
  readonly id: string;
  readonly workspace: string;
  readonly session: string;
  /** Wall-clock time, in milliseconds. */
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly op:
    | { readonly kind: "read"; readonly key: string; readonly tx?: string }
    | {
      readonly kind: "write";
      readonly change: CheckedChange;
      readonly unrepeatable: boolean;
      readonly tx?: string;
    }
    | { readonly kind: "begin"; readonly tx: string }
    | {
      readonly kind: "end";
      readonly tx: string;
      readonly end: "commit" | "rollback";
    };
  /** Undefined if no answer arrived. */
  readonly answer: CheckedAnswer | undefined;
}

/** Log entry as reported by a target. */
export interface CheckedEntry {
  readonly term: number;
  readonly workspace?: string;
  readonly id?: string;
  readonly cancelled?: boolean;
  /** Wall-clock time, in milliseconds. */
  readonly ranAt: number;
  readonly changes: readonly CheckedChange[];
}

/** Status, log and executed statements reported by one target. */
export interface TargetEvidence {
  readonly status: {
    readonly target: string;
    readonly term: number;
    readonly role: "primary" | "replica";
    readonly logEnd: { readonly term: number; readonly pos: number };
  };
  readonly log: readonly CheckedEntry[];
  readonly discarded: readonly {
    readonly pos: number;
    readonly entry: CheckedEntry;
  }[];
  readonly statements: readonly {
    readonly kind: "read" | "write";
    readonly workspace: string;
    readonly key: string;
    readonly ranAt: number;
  }[];
  /** Number of received frames that contain text shaped like a caller's key. */
  readonly keyHits: number;
}

/** Evidence of the targets of one database group. */
export interface GroupEvidence {
  readonly group: string;
  readonly targets: readonly TargetEvidence[];
}

/** Rate and burst of a plan. */
export interface CheckedPlan {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Requests of a run and the evidence of its targets. */
export interface History {
  readonly reqs: readonly CheckedReq[];
  readonly groups: readonly GroupEvidence[];
  readonly plans: ReadonlyMap<string, CheckedPlan>;
}

/** Returns the final log of a group: that of its newest primary. */
export function getFinalLog(group: GroupEvidence): readonly CheckedEntry[] {
  const newestFirst = group.targets.toSorted((a, b) =>
    b.status.term - a.status.term ||
    (a.status.role === "primary" ? -1 : 1) -
      (b.status.role === "primary" ? -1 : 1) ||
    b.status.logEnd.term - a.status.logEnd.term ||
    b.status.logEnd.pos - a.status.logEnd.pos
  );
  return newestFirst[0]?.log ?? [];
}

/** Lists each entry that any target of the group ever held, even if discarded. */
export function listAllEntries(group: GroupEvidence): CheckedEntry[] {
  const entries = new Map<string, CheckedEntry>();
  for (const target of group.targets) {
    target.log.forEach((entry, index) =>
      entries.set(`${entry.term}/${index + 1}`, entry)
    );
    target.discarded.forEach(({ pos, entry }) =>
      entries.set(`${entry.term}/${pos}`, entry)
    );
  }
  return [...entries.values()];
}
