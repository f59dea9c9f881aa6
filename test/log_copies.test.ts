import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../src/core/ids.ts";
import type { DirectoryEvent } from "../src/pooling/directory.ts";
import { createLogCopies, type LogCopies } from "../src/pooling/log_copies.ts";
import type { TargetRecord } from "../src/pooling/types.ts";

const SERVICE = asId<TargetRecord["service"]>("ledger");

let emit: (event: DirectoryEvent) => void;
let primary: string | undefined;
/** Replicas that have received all that the primary had when t3 left. */
let caughtUp: Set<string>;
/** Age of the primary's position. */
let ageMs: number;
let areHostsHeard: boolean;
let copies: LogCopies;

beforeEach(() => {
  vi.useFakeTimers();
  primary = "t1";
  caughtUp = new Set();
  ageMs = 0;
  areHostsHeard = true;
  copies = createLogCopies({ info() {}, request() {} }, {
    directory: { onChange: (listener) => void (emit = listener) },
    primaries: {
      tryPrimary: () => primary === undefined ? undefined : asId(primary),
    },
    health: {
      hasReceived: (id) => caughtUp.has(id),
      forgetReceived: (id) => void caughtUp.delete(id),
    },
    tryPosition: () => ({ position: { term: 1, pos: 7 }, ageMs }),
    requestPosition() {},
    areHostsHeard: () => areHostsHeard,
  });
  ["t1", "t2", "t3"].forEach((id) =>
    emit({ kind: "found", target: createRecord(id) })
  );
});

afterEach(() => {
  vi.useRealTimers();
});

function createRecord(id: string, isDraining = false): TargetRecord {
  return {
    id: asId(id),
    incarnation: 1,
    service: SERVICE,
    address: "127.0.0.1:1",
    domain: asId("d1"),
    slots: 3,
    isDraining,
    role: id === "t1" ? "primary" : "replica",
  };
}

function restart(id: string): void {
  const target = { ...createRecord(id), incarnation: 2 };
  emit({ kind: "changed", target, previous: createRecord(id) });
}

function listIds() {
  return copies.list(SERVICE).map(({ id }) => id);
}

/** Lets time pass in which the positions are noted, as a host does. */
function advance(ms: number): void {
  for (let passedMs = 0; passedMs < ms; passedMs += 1_000) {
    vi.advanceTimersByTime(1_000);
    copies.updateFloors();
  }
}

// Guards against a replica that only the store does not hear: it still makes
// commits acknowledged, however long that lasts.
test("a copy whose registration lapsed counts until another one holds what it may have had", () => {
  emit({ kind: "gone", target: createRecord("t3") });
  advance(10 * 60_000);
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
  caughtUp.add("t2");
  expect(listIds()).toEqual(["t1", "t2"]);
  expect(copies.tryGet(asId("t3"))).toBeUndefined();
  emit({ kind: "found", target: createRecord("t3") });
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
});

// Guards against a position from before a host fell silent, which may have used
// the copy since.
test("a copy whose registration lapsed counts while a host is silent", () => {
  caughtUp.add("t2");
  areHostsHeard = false;
  emit({ kind: "gone", target: createRecord("t3") });
  advance(10 * 60_000);
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
  areHostsHeard = true;
  ageMs = 5_000;
  advance(1_000);
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
  advance(6_000);
  expect(listIds()).toEqual(["t1", "t2"]);
});

// Guards against a partition that hides the primary together with a copy: the
// position that is known of it is from before.
test("a copy whose registration lapsed counts while the primary is out of reach", () => {
  caughtUp.add("t2");
  ageMs = Infinity;
  emit({ kind: "gone", target: createRecord("t3") });
  advance(10 * 60_000);
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
});

// Guards against commits that only a replica which has just left had received.
test("a replica that has left counts until another one has caught up", () => {
  emit({ kind: "gone", target: createRecord("t3", true) });
  advance(10 * 60_000);
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
  caughtUp.add("t2");
  expect(listIds()).toEqual(["t1", "t2"]);
});

// Guards against a position from before it left, for which another replica has
// long had all.
test("a replica that has left counts while the primary is out of reach", () => {
  caughtUp.add("t2");
  ageMs = Infinity;
  emit({ kind: "gone", target: createRecord("t3", true) });
  advance(10 * 60_000);
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
});

// Guards against two fenced replicas of three when the primary that has left
// had its last commits on the third one.
test("a primary that has left counts until another one is known, and a replica has caught up", () => {
  emit({ kind: "gone", target: createRecord("t1", true) });
  caughtUp.add("t2");
  advance(90_000);
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
  primary = undefined;
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
  primary = "t2";
  expect(listIds()).toEqual(["t1", "t2", "t3"]);
  caughtUp.add("t3");
  expect(listIds()).toEqual(["t2", "t3"]);
});

// Guards against commits that only a replica which has started again without its
// log had received: positions and log ends of before say nothing about them.
test("a log that is lost in a restart counts until a replica holds what it may have held", () => {
  caughtUp.add("t3");
  ageMs = 100;
  restart("t3");
  copies.updateFloors();
  caughtUp.add("t2");
  expect(copies.listLost(SERVICE)).toEqual(["t3@1"]);
  vi.advanceTimersByTime(100);
  caughtUp.clear();
  copies.updateFloors();
  expect(copies.listLost(SERVICE)).toEqual(["t3@1"]);
  caughtUp.add("t3");
  expect(copies.listLost(SERVICE)).toEqual([]);
});

// Guards against a time after which commits that only the lost log had count as
// held: the primary that has them too may be out of reach.
test("a log that is lost in a restart counts while the primary is out of reach", () => {
  ageMs = Infinity;
  restart("t3");
  caughtUp.add("t3");
  advance(10 * 60_000);
  expect(copies.listLost(SERVICE)).toEqual(["t3@1"]);
  ageMs = 0;
  expect(copies.listLost(SERVICE)).toEqual([]);
});

// Guards against a restart that shows only in the list that is read after the
// fence, and against a restored registration that passes for a restart.
test("only a later process of a target than the one heard of has lost its log", () => {
  const later = { ...createRecord("t3"), incarnation: 2 };
  expect(copies.listLost(SERVICE, [later])).toEqual(["t3@1"]);
  restart("t2");
  emit({ kind: "changed", target: createRecord("t2"), previous: later });
  ageMs = 0;
  caughtUp.add("t2");
  expect(copies.listLost(SERVICE)).toEqual([]);
  emit({
    kind: "changed",
    target: { ...later, id: asId("t2") },
    previous: later,
  });
  expect(copies.listLost(SERVICE)).toEqual([]);
});
