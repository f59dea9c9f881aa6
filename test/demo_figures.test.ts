import { expect, test } from "vitest";
import { asId } from "../src/core/ids.ts";
import type { TraceLine } from "../src/generated/trace.ts";
import {
  countRefusedWithinRate,
  tryGetFailoverGapMs,
} from "../tools/demo_figures.ts";
import { fitDeployment } from "../tools/fit_deployment.ts";
import type { RequestRecord } from "../tools/load.ts";
import { LAKAZ } from "../tools/workloads.ts";

const LIMIT = { workspace: "archive", ratePerSecond: 10, burst: 2 };
const START = 1_000_000;

function createRecord(
  atMs: number,
  outcome: string,
  rest: object = {},
): RequestRecord {
  const line: TraceLine = {
    atMs,
    workspace: asId("archive"),
    session: "s",
    service: asId("ordering"),
    class: "order_place",
    access: "write",
    body: {},
    ...rest,
  };
  const at = START + atMs;
  const common = { id: "r", token: "" };
  const answer: RequestRecord["answer"] = outcome === "ok"
    ? { ...common, ok: true, result: 1, servedBy: "primary" }
    : { ...common, ok: false, error: outcome, run: "not_run", message: "" };
  return { id: asId("r"), line, sentAt: at, answeredAt: at, answer };
}

test("a refusal within rate and burst is counted, one beyond it is not", () => {
  const within = [
    createRecord(0, "ok"),
    createRecord(1, "rate_limited"),
    createRecord(2, "ok"),
  ];
  expect(countRefusedWithinRate(within, [LIMIT])).toBe(1);
  const beyond = [
    createRecord(0, "ok"),
    createRecord(1, "ok"),
    createRecord(2, "rate_limited"),
  ];
  expect(countRefusedWithinRate(beyond, [LIMIT])).toBe(0);
});

test("the bucket fills at the rate of the plan", () => {
  const calls = [
    createRecord(0, "ok"),
    createRecord(0, "ok"),
    createRecord(99, "rate_limited"),
  ];
  expect(countRefusedWithinRate(calls, [LIMIT])).toBe(0);
  const later = [
    createRecord(0, "ok"),
    createRecord(0, "ok"),
    createRecord(101, "unavailable"),
  ];
  expect(countRefusedWithinRate(later, [LIMIT])).toBe(1);
});

test("a caller's error is not counted as a wrong refusal", () => {
  const calls = [createRecord(0, "bad_request"), createRecord(1, "forbidden")];
  expect(countRefusedWithinRate(calls, [LIMIT])).toBe(0);
});

test("the gap is between answered writes of one class around the partition", () => {
  const partition = { at: START + 500, workspaces: new Set(["archive"]) };
  const calls = [
    createRecord(100, "ok"),
    createRecord(490, "ok"),
    createRecord(505, "ok"),
    createRecord(600, "unavailable"),
    createRecord(700, "ok", { class: "payment" }),
    createRecord(1_700, "ok"),
    createRecord(1_800, "ok", { workspace: "litigants" }),
  ];
  expect(tryGetFailoverGapMs(calls, partition)).toBe(1_195);
  expect(tryGetFailoverGapMs(calls.slice(0, 2), partition)).toBeUndefined();
});

test("a trace with other workspaces gets plans for them", () => {
  const lines = [createRecord(0, "ok"), createRecord(9_000, "ok")].map((t) =>
    t.line
  );
  const other = lines.map((line) => ({
    ...line,
    workspace: asId<TraceLine["workspace"]>("notaries"),
  }));
  const fitted = fitDeployment([...lines, ...other]).unwrap();
  expect(fitted.workspaces).toHaveLength(LAKAZ.workspaces.length + 1);
  expect(fitDeployment([]).isErr()).toBe(true);
});
