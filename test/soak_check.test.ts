import { expect, test } from "vitest";
import type { LogEntry, StatementRun } from "../standins/statement_group.ts";
import { asId } from "../src/core/ids.ts";
import { checkSoak } from "../tools/soak/checkers.ts";
import type {
  ClientStatement,
  GroupHistory,
  SoakHistory,
} from "../tools/soak/history.ts";

const SERVICE = "ledger";
const OLD_STOP = { host: "h1", at: 4_000, endedAt: 9_000, isDisrupted: false };
const STOP = { host: "h1", at: 10_000, endedAt: 15_000, isDisrupted: false };

function createStatement(
  id: string,
  fields: Partial<ClientStatement> = {},
): ClientStatement {
  const { kind = "read" } = fields;
  const text = kind === "write"
    ? `WRITE a ${id}`
    : kind === "commit"
    ? "COMMIT"
    : "READ a";
  const rows = kind === "commit" ? [] : [`ROW row of ${text}`];
  return {
    id,
    operation: id,
    session: "s1",
    host: "h1",
    workspace: "w1",
    service: SERVICE,
    route: "primary",
    kind,
    text,
    isInTransaction: false,
    variables: {},
    sentAt: 11_000,
    endedAt: 11_010,
    lines: [...rows, `DONE signed-${id}`, "READY I 1.0"],
    isComplete: true,
    isAbandoned: false,
    readsSlowly: false,
    ...fields,
  };
}

function createRun(
  { id, text, isInTransaction, variables, sentAt }: ClientStatement,
  fields: Partial<StatementRun> = {},
): StatementRun {
  return {
    id,
    target: asId("t1"),
    workspace: "w1",
    text,
    variables,
    position: { term: 1, pos: 9 },
    connection: 1,
    isInTransaction,
    at: sentAt + 5,
    ...fields,
  };
}

function createGroup(
  runs: readonly StatementRun[],
  log: readonly LogEntry[] = [],
): GroupHistory {
  return {
    service: SERVICE,
    runs,
    begun: new Map(runs.map(({ id, at }) => [id, at])),
    log,
  };
}

function createEntry(pos: number, ids: readonly string[]): LogEntry {
  return { position: { term: 1, pos }, ids };
}

/** Rules that a history with these parts breaks, with their subjects. */
function listBroken(parts: Partial<SoakHistory>): readonly string[] {
  return checkSoak({
    statements: [],
    groups: [],
    stops: [],
    reloads: [],
    promotions: [],
    disruptions: [],
    stalls: [],
    quotas: [],
    ...parts,
  }).map(({ rule, subject }) => `${rule} ${subject}`);
}

const CUT = { lines: [], isComplete: false } as const;

test("a history without faults breaks no rule", () => {
  const write = createStatement("a", { kind: "write" });
  const read = createStatement("b", { sentAt: 11_020, endedAt: 11_030 });
  expect(listBroken({
    statements: [write, read],
    groups: [
      createGroup([createRun(write), createRun(read)], [createEntry(1, ["a"])]),
    ],
    stops: [STOP],
  })).toEqual([]);
});

test("a statement that a stop cuts off after it reached a target is lost", () => {
  const cut = createStatement("a", CUT);
  const groups = [createGroup([createRun(cut)])];
  expect(listBroken({ statements: [cut], groups, stops: [STOP] }))
    .toEqual(["LOST a"]);
});

test("a statement that a stop cuts off later than the slack is lost", () => {
  const cut = createStatement("a", { ...CUT, endedAt: 11_201 });
  const soon = createStatement("b", { ...CUT, endedAt: 11_200 });
  expect(listBroken({ statements: [cut, soon], stops: [STOP] }))
    .toEqual(["LOST a"]);
});

test("the time in which a host does not run is added to the slack", () => {
  const cut = createStatement("a", { ...CUT, endedAt: 11_250 });
  const stall = { host: "h1", from: 11_100, to: 11_150 };
  const list = (stalls: SoakHistory["stalls"]) =>
    listBroken({ statements: [cut], stops: [STOP], stalls });
  expect(list([stall])).toEqual([]);
  expect(list([{ ...stall, to: 11_149 }])).toEqual(["LOST a"]);
  expect(list([{ ...stall, host: "h2" }])).toEqual(["LOST a"]);
});

test("a statement without its last line is lost in a stop", () => {
  const cut = createStatement("a", {
    lines: ["ROW row of READ a", "DONE signed-a"],
    isComplete: false,
  });
  const groups = [createGroup([createRun(cut)])];
  expect(listBroken({ statements: [cut], groups, stops: [STOP] }))
    .toEqual(["LOST a"]);
});

test("a statement that a reload cuts off is lost", () => {
  const cut = createStatement("a", { ...CUT, endedAt: 11_300 });
  expect(
    listBroken({ statements: [cut], reloads: [{ host: "h1", at: 10_500 }] }),
  )
    .toEqual(["LOST a"]);
});

test("the exceptions of the rules on lost answers hold", () => {
  const forwarded = createStatement("a", CUT);
  const groups = [createGroup([createRun(forwarded)])];
  const statements = [forwarded];
  // Another host's stop, and one that is long over.
  expect(listBroken({ statements, groups, stops: [{ ...STOP, host: "h2" }] }))
    .toEqual([]);
  expect(listBroken({ statements, groups, stops: [OLD_STOP] }))
    .toEqual([]);
  // An unplanned disruption within the time before the statement.
  const disruptions = [{ from: 5_000, to: 6_000 }];
  expect(listBroken({ statements, groups, stops: [STOP], disruptions }))
    .toEqual([]);
  // The client gave up, or the statement timeout was reached.
  const abandoned = createStatement("a", { ...CUT, isAbandoned: true });
  const late = createStatement("a", { ...CUT, endedAt: 14_000 });
  for (const entry of [abandoned, late]) {
    expect(listBroken({ statements: [entry], groups, stops: [STOP] }))
      .toEqual([]);
  }
  // The target is at work in the last sixth of the grace on an early statement.
  const cut = createStatement("a", { ...CUT, sentAt: 13_000, endedAt: 15_500 });
  const slow = [createGroup([createRun(cut, { at: 15_000 })])];
  expect(listBroken({ statements: [cut], groups: slow, stops: [STOP] }))
    .toEqual([]);
  const sentLate = { ...cut, sentAt: 13_001 };
  expect(listBroken({ statements: [sentLate], groups: slow, stops: [STOP] }))
    .toEqual(["LOST a"]);
});

test("an acknowledged commit that the log lacks is lost", () => {
  const write = createStatement("a", { kind: "write" });
  const groups = [createGroup([createRun(write)])];
  expect(listBroken({ statements: [write], groups })).toEqual(["LOST a"]);
});

test("an acknowledged transaction that the log lacks is lost", () => {
  const fields = { operation: "t", isInTransaction: true } as const;
  const write = createStatement("a", { ...fields, kind: "write" });
  const commit = createStatement("b", { ...fields, kind: "commit" });
  const groups = [createGroup([createRun(write), createRun(commit)])];
  expect(listBroken({ statements: [write, commit], groups }))
    .toEqual(["LOST a"]);
  // Without the acknowledgement of its commit nothing is owed.
  const inDoubt = { ...commit, lines: ["ERR INDOUBT unknown", "READY I -"] };
  expect(listBroken({ statements: [write, inDoubt], groups })).toEqual([]);
});

test("a write that the log holds twice is reported", () => {
  const write = createStatement("a", { kind: "write" });
  const log = [createEntry(1, ["a"]), createEntry(2, ["a"])];
  expect(listBroken({
    statements: [write],
    groups: [createGroup([createRun(write)], log)],
  })).toEqual(["TWICE a"]);
});

test("a committed write whose client was promised that nothing is kept is reported", () => {
  const write = createStatement("a", {
    kind: "write",
    lines: ["ERR BUSY later", "READY I -"],
  });
  const groups = [createGroup([createRun(write)], [createEntry(1, ["a"])])];
  expect(listBroken({ statements: [write], groups })).toEqual(["REFUSED a"]);
  const inDoubt = { ...write, lines: ["ERR INDOUBT unknown", "READY I -"] };
  expect(listBroken({ statements: [inDoubt], groups })).toEqual([]);
});

test("a promise on one statement of a transaction covers all of its writes", () => {
  const fields = { operation: "t", isInTransaction: true } as const;
  const write = createStatement("a", { ...fields, kind: "write" });
  const commit = createStatement("b", {
    ...fields,
    kind: "commit",
    lines: ["ERR ABORTED lost", "READY I -"],
  });
  expect(listBroken({
    statements: [write, commit],
    groups: [
      createGroup([createRun(write), createRun(commit)], [
        createEntry(1, ["a"]),
      ]),
    ],
  })).toEqual(["REFUSED a"]);
});

test("reads that lack a commit acknowledged before them are stale", () => {
  const write = createStatement("w", { kind: "write", endedAt: 11_010 });
  const log = [createEntry(5, ["w"])];
  const list = (fields: Partial<ClientStatement>) => {
    const read = createStatement("r", fields);
    const old = createRun(read, { position: { term: 1, pos: 4 } });
    const groups = [createGroup([createRun(write), old], log)];
    return listBroken({ statements: [write, read], groups });
  };
  const route = "bounded";
  expect(list({ sentAt: 11_011, endedAt: 11_020 })).toEqual(["STALE r"]);
  expect(list({ sentAt: 11_009, endedAt: 11_020 })).toEqual([]);
  expect(list({ route, sentAt: 12_511, endedAt: 12_520 })).toEqual(["STALE r"]);
  expect(list({ route, sentAt: 12_509, endedAt: 12_520 })).toEqual([]);
  const own = "session";
  expect(list({ route: own, sentAt: 11_011, endedAt: 11_020 }))
    .toEqual(["STALE r"]);
  expect(list({ route: own, session: "s2", sentAt: 11_011, endedAt: 11_020 }))
    .toEqual([]);
});

test("runs that no client sent, or sent in other words, are reported", () => {
  const read = createStatement("a");
  const list = (fields: Partial<StatementRun>) =>
    listBroken({
      statements: [read],
      groups: [createGroup([createRun(read, fields)])],
    });
  expect(list({ id: "x" })).toEqual(["UNASKED x"]);
  expect(list({ text: "READ b" })).toEqual(["UNASKED a"]);
  expect(list({ workspace: "w2" })).toEqual(["UNASKED a"]);
});

test("a commit that its client did not send is reported", () => {
  const write = createStatement("a", {
    operation: "t",
    kind: "write",
    isInTransaction: true,
  });
  expect(listBroken({
    statements: [write],
    groups: [createGroup([createRun(write)], [createEntry(1, ["a"])])],
  })).toEqual(["UNASKED a"]);
});

test("runs with other variables or another shape than acknowledged are reported", () => {
  const read = createStatement("a", { variables: { zone: "x" } });
  const variables = { zone: "y" };
  expect(listBroken({
    statements: [read],
    groups: [createGroup([createRun(read, { variables })])],
  })).toEqual(["PINNED a"]);
  const prepared = createStatement("b", {
    text: "q1 a",
    lines: ["ROW row of q1 a", "DONE signed-b", "READY I 1.0"],
  });
  expect(listBroken({
    statements: [prepared],
    groups: [createGroup([createRun(prepared, { text: "q2 a" })])],
  })).toEqual(["PINNED b"]);
});

test("transactions that share or change their connection are reported", () => {
  const fields = { operation: "t", isInTransaction: true } as const;
  const first = createStatement("a", fields);
  const second = createStatement("b", fields);
  const other = createStatement("c");
  const list = (runs: readonly StatementRun[]) =>
    listBroken({
      statements: [first, second, other],
      groups: [createGroup(runs)],
    });
  expect(list([createRun(first), createRun(second), createRun(other)]))
    .toEqual([]);
  expect(list([createRun(first), createRun(second, { connection: 2 })]))
    .toEqual(["PINNED b"]);
  expect(list([createRun(first), createRun(other), createRun(second)]))
    .toEqual(["PINNED c"]);
  expect(list([createRun(first, { isInTransaction: false })]))
    .toEqual(["PINNED a"]);
});

test("a success with another signature or other rows is reported", () => {
  const list = (lines: readonly string[]) =>
    listBroken({ statements: [createStatement("a", { lines })] });
  const row = "ROW row of READ a";
  expect(list([row, "DONE signed-b", "READY I 1.0"])).toEqual(["MIXED a"]);
  expect(list([row, "DONE -", "READY I 1.0"])).toEqual(["MIXED a"]);
  expect(list(["ROW other", "DONE signed-a", "READY I 1.0"]))
    .toEqual(["MIXED a"]);
  expect(list(["DONE signed-a", "READY I 1.0"])).toEqual(["MIXED a"]);
});

test("operations beyond a quota are reported", () => {
  // (10 / s * 5 s + 10) * 1.1 + 20 = 86 operations.
  const quotas = [{ workspace: "w1", ratePerS: 10, burst: 10 }];
  const list = (count: number) => {
    const statements = Array.from(
      { length: count },
      (_, i) => createStatement(`a${i}`, { sentAt: 11_000 + i }),
    );
    const groups = [
      createGroup(statements.map((entry) => createRun(entry))),
    ];
    return listBroken({ statements, groups, quotas });
  };
  expect(list(86)).toEqual([]);
  expect(list(87)).toEqual(["QUOTA w1"]);
});

test("two holders that order with one fencing token are reported", () => {
  const order = {
    service: SERVICE,
    target: "t2",
    fencingToken: 4,
    isAccepted: true,
  };
  const promotions = ["h1", "h1", "h2"].map((holder) => ({ ...order, holder }));
  expect(listBroken({ promotions })).toEqual([`ONE ${SERVICE}`]);
});

test("a host that outlives its grace is reported", () => {
  expect(listBroken({ stops: [{ ...STOP, endedAt: undefined }] }))
    .toEqual(["GRACE h1"]);
  expect(listBroken({ stops: [{ ...STOP, endedAt: 16_001 }] }))
    .toEqual(["GRACE h1"]);
  expect(listBroken({ stops: [{ ...STOP, endedAt: 16_000 }] })).toEqual([]);
  // A frozen process can't end.
  expect(
    listBroken({ stops: [{ ...STOP, endedAt: undefined, isDisrupted: true }] }),
  ).toEqual([]);
});
