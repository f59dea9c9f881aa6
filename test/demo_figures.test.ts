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
  overrides: object = {},
): RequestRecord {
  const line: TraceLine = {
    atMs,
    workspace: asId("archive"),
    session: "s",
    service: asId("ordering"),
    class: "order_place",
    access: "write",
    body: {},
    ...overrides,
  };
  const timeMs = START + atMs;
  const common = { id: "r", token: "" };
  const answer: RequestRecord["answer"] = outcome === "ok"
    ? { ...common, ok: true, result: 1, servedBy: "primary" }
    : { ...common, ok: false, error: outcome, run: "not_run", message: "" };
  return { id: asId("r"), line, sentAt: timeMs, answeredAt: timeMs, answer };
}

test("a refusal within rate and burst is counted, a refusal beyond them is not", () => {
  const withinRate = [
    createRecord(0, "ok"),
    createRecord(1, "rate_limited"),
    createRecord(2, "ok"),
  ];
  expect(countRefusedWithinRate(withinRate, [LIMIT])).toBe(1);
  const beyondRate = [
    createRecord(0, "ok"),
    createRecord(1, "ok"),
    createRecord(2, "rate_limited"),
  ];
  expect(countRefusedWithinRate(beyondRate, [LIMIT])).toBe(0);
});

test("the bucket fills at the rate of the plan", () => {
  const records = [
    createRecord(0, "ok"),
    createRecord(0, "ok"),
    createRecord(99, "rate_limited"),
  ];
  expect(countRefusedWithinRate(records, [LIMIT])).toBe(0);
  const laterRecords = [
    createRecord(0, "ok"),
    createRecord(0, "ok"),
    createRecord(101, "unavailable"),
  ];
  expect(countRefusedWithinRate(laterRecords, [LIMIT])).toBe(1);
});

test("a caller's error is not counted as a wrongful refusal", () => {
  const records = [
    createRecord(0, "bad_request"),
    createRecord(1, "forbidden"),
  ];
  expect(countRefusedWithinRate(records, [LIMIT])).toBe(0);
});

test("the failover gap is measured between answered writes of one class", () => {
  const partition = {
    isolatedAt: START + 500,
    workspaces: new Set(["archive"]),
  };
  const records = [
    createRecord(100, "ok"),
    createRecord(490, "ok"),
    createRecord(505, "ok"),
    createRecord(600, "unavailable"),
    createRecord(700, "ok", { class: "payment" }),
    createRecord(1_700, "ok"),
    createRecord(1_800, "ok", { workspace: "litigants" }),
  ];
  expect(tryGetFailoverGapMs(records, partition)).toBe(1_195);
  expect(tryGetFailoverGapMs(records.slice(0, 2), partition)).toBeUndefined();
});

test("a trace with other workspaces gets plans for them", () => {
  const lines = [createRecord(0, "ok"), createRecord(9_000, "ok")].map((r) =>
    r.line
  );
  const otherLines = lines.map((line) => ({
    ...line,
    workspace: asId<TraceLine["workspace"]>("notaries"),
  }));
  const fitted = fitDeployment([...lines, ...otherLines]).unwrap();
  expect(fitted.workspaces).toHaveLength(LAKAZ.workspaces.length + 1);
  expect(fitDeployment([]).isErr()).toBe(true);
});
