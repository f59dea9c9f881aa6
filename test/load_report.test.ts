import { expect, test } from "vitest";
import { parseLogLines } from "../src/host/explain.ts";
import { countRefused, summarizeLoad } from "../src/host/load_report.ts";

const LINES = [
  { time: 1_000, msg: "read_answered", workspace: "w1", target: "t1", ms: 20 },
  { time: 1_400, msg: "write_answered", workspace: "w2", target: "t2", ms: 40 },
  {
    time: 2_100,
    msg: "statement_refused",
    workspace: "w1",
    error: "over_quota",
  },
  {
    time: 2_200,
    msg: "statement_refused",
    workspace: "w1",
    error: "overloaded",
  },
  { time: 9_000, msg: "host_ready" },
].map((line) => JSON.stringify({ host: "h1", ...line })).join("\n");

// Guards against a report that hides whose statements were refused, or counts
// lines that are about no statement.
test("statements are counted by second, workspace, host and target", () => {
  const report = summarizeLoad(parseLogLines(LINES));
  const [first, second, ...rest] = report.bySecond;
  expect([first?.answered, countRefused(second!), rest.length])
    .toEqual([2, 2, 0]);
  const [refused] = report.byWorkspace;
  expect([refused?.key, refused?.answered]).toEqual(["w1", 1]);
  expect(Object.fromEntries(refused!.refused))
    .toEqual({ over_quota: 1, overloaded: 1 });
  expect(report.byHost.map(({ key, meanMs }) => [key, meanMs]))
    .toEqual([["h1", 30]]);
  expect(report.byTarget.map(({ key }) => key).toSorted())
    .toEqual(["t1", "t2"]);
});
