import { expect, test } from "vitest";
import { checkHistory, type InvariantCounts } from "../tools/check/check.ts";
import type {
  CheckedChange,
  CheckedEntry,
  CheckedReq,
  GroupEvidence,
  History,
  TargetEvidence,
} from "../tools/check/history.ts";

const PLAN = { ratePerSecond: 10, burst: 5 };
const put = (value: unknown): CheckedChange => ({ op: "put", key: "k", value });

/** Creates an acknowledged write of workspace `w`. */
function write(overrides: Partial<CheckedReq> = {}): CheckedReq {
  return {
    id: "r1",
    workspace: "w",
    session: "s",
    sentAt: 1_000,
    answeredAt: 1_010,
    op: { kind: "write", change: put(1), unrepeatable: true },
    answer: { ok: true, result: 1, servedBy: "primary" },
    ...overrides,
  };
}

function read(result: unknown, sentAt = 1_100): CheckedReq {
  return write({
    id: `read-${sentAt}`,
    sentAt,
    answeredAt: sentAt + 5,
    op: { kind: "read", key: "k" },
    answer: { ok: true, result, servedBy: "replica" },
  });
}

function entry(overrides: Partial<CheckedEntry> = {}): CheckedEntry {
  return {
    term: 1,
    workspace: "w",
    id: "r1",
    ranAt: 1_005,
    changes: [put(1)],
    ...overrides,
  };
}

function target(
  log: readonly CheckedEntry[],
  overrides: Partial<TargetEvidence> = {},
): TargetEvidence {
  const term = log.at(-1)?.term ?? 1;
  return {
    status: {
      target: "t1",
      term,
      role: "primary",
      logEnd: { term, pos: log.length },
    },
    log,
    discarded: [],
    statements: [],
    keyHits: 0,
    ...overrides,
  };
}

function check(
  reqs: readonly CheckedReq[],
  targets: readonly TargetEvidence[],
): Partial<InvariantCounts> {
  const groups: GroupEvidence[] = [{ group: "g", targets }];
  const history: History = { reqs, groups, plans: new Map([["w", PLAN]]) };
  const counts = Object.entries(checkHistory(history));
  return Object.fromEntries(counts.filter(([, count]) => count > 0));
}

const TERM_2_START = entry({
  term: 2,
  id: undefined,
  changes: [],
  ranAt: 1_003,
});
const REFUSED = { ok: false, error: "unavailable", run: "not_run" } as const;
const UNKNOWN = {
  ok: false,
  error: "outcome_unknown",
  run: "unknown",
} as const;

test("a correct run has no violations", () => {
  const reqs = [
    write(),
    read(1),
    write({
      id: "r2",
      sentAt: 1_200,
      op: { kind: "write", change: put(2), unrepeatable: true },
      answer: UNKNOWN,
    }),
    read(2, 1_300),
    read(1, 1_400),
    write({ id: "r3", answer: REFUSED }),
  ];
  const log = [entry(), entry({ id: "r2", changes: [put(2)] })];
  expect(check(reqs, [target(log)])).toEqual({});
});

test("an acknowledged write that is missing is lost", () => {
  expect(check([write()], [target([])])).toEqual({ lost: 1 });
});

test("an unrepeatable write that is twice in the final log is doubled", () => {
  expect(check([write()], [target([entry(), entry()])]))
    .toEqual({ doubled: 1, ranTwice: 1 });
});

test("a second run without the request id is matched by its change", () => {
  const log = [entry(), entry({ id: undefined })];
  expect(check([write()], [target(log)])).toEqual({ doubled: 1, ranTwice: 1 });
});

test("a second run counts as run twice even if it was discarded", () => {
  const discarded = [{ pos: 2, entry: entry() }];
  expect(check([write()], [target([entry()], { discarded })]))
    .toEqual({ ranTwice: 1 });
});

test("a discarded write that ran again in the next term counts once", () => {
  const discarded = [{ pos: 1, entry: entry() }];
  const log = [TERM_2_START, entry({ term: 2, ranAt: 1_008 })];
  expect(check([write()], [target(log, { discarded })])).toEqual({});
});

test("a repeatable write may run twice", () => {
  const op = { kind: "write", change: put(1), unrepeatable: false } as const;
  const log = [entry({ id: undefined }), entry({ id: undefined })];
  expect(check([write({ op })], [target(log)])).toEqual({});
});

test("a read that misses the session's own write is stale", () => {
  expect(check([write(), read(null)], [target([entry()])]))
    .toEqual({ staleReads: 1 });
});

test("a read that misses the session's own increment is stale", () => {
  const change = { op: "add", key: "k", amount: 7 } as const;
  const op = { kind: "write", change, unrepeatable: true } as const;
  const reqs = [write({ op }), read(0)];
  expect(check(reqs, [target([entry({ changes: [change] })])]))
    .toEqual({ staleReads: 1 });
});

test("a write that ran for another workspace is found", () => {
  const log = [entry({ workspace: "other" })];
  expect(check([write()], [target(log)])).toEqual({ wrongWorkspace: 1 });
});

test("a read that ran for another workspace is found", () => {
  const statements = [
    { kind: "read", workspace: "other", key: "k", ranAt: 1_050 },
  ] as const;
  expect(check([write(), read(1)], [target([entry()], { statements })]))
    .toEqual({ wrongWorkspace: 1 });
});

/** Two transactions of one write each, both committed. */
const TRANSACTIONS = ["a", "b"].flatMap((tx) => [
  write({
    id: `${tx}1`,
    op: { kind: "write", change: put(tx), unrepeatable: true, tx },
  }),
  write({ id: `${tx}2`, op: { kind: "end", tx, end: "commit" } }),
]);

test("transactions with only their own changes have no violations", () => {
  const log = [
    entry({ id: "a2", changes: [put("a")] }),
    entry({ id: "b2", changes: [put("b")] }),
  ];
  expect(check(TRANSACTIONS, [target(log)])).toEqual({});
});

test("a transaction that commits the write of another is mixed", () => {
  const log = [
    entry({ id: "a2", changes: [put("a"), put("b")] }),
    entry({ id: "b2", changes: [put("b")] }),
  ];
  expect(check(TRANSACTIONS, [target(log)])).toEqual({ mixedTransactions: 1 });
});

test("a write that only a replaced primary ran must not be acknowledged", () => {
  const discarded = [{ pos: 1, entry: entry() }];
  expect(check([write()], [target([TERM_2_START], { discarded })]))
    .toEqual({ lost: 1, oldPrimaryAcks: 1 });
});

test("a replaced primary's write that ran again may be acknowledged", () => {
  const discarded = [{ pos: 1, entry: entry() }];
  const log = [TERM_2_START, entry({ term: 2, ranAt: 1_008 })];
  const replica = target([], { discarded });
  expect(check([write()], [target(log), replica])).toEqual({});
});

test("more statements than rate and burst allow in a window are found", () => {
  const createStatements = (count: number, gapMs: number) =>
    Array.from({ length: count }, (_, index) => ({
      kind: "read" as const,
      workspace: "w",
      key: "k",
      ranAt: 5_000 + index * gapMs,
    }));
  const run = (count: number, gapMs: number) =>
    check([], [target([], { statements: createStatements(count, gapMs) })]);
  expect(run(5, 0)).toEqual({});
  expect(run(6, 0)).toEqual({ overRate: 1 });
  expect(run(100, 100)).toEqual({});
  expect(run(100, 50)).toEqual({ overRate: 1 });
});

test("a write that ran although it was answered not_run is found", () => {
  expect(check([write({ answer: REFUSED })], [target([entry()])]))
    .toEqual({ falseNotRun: 1 });
});

test("a write answered not_run is found even if it was discarded", () => {
  const discarded = [{ pos: 1, entry: entry() }];
  const reqs = [write({ answer: REFUSED })];
  expect(check(reqs, [target([], { discarded })])).toEqual({ falseNotRun: 1 });
});

test("a key that reached a target is found", () => {
  expect(check([], [target([], { keyHits: 1 })])).toEqual({ keyAtTarget: 1 });
});
