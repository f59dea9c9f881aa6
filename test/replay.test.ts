import { readdirSync, readFileSync } from "node:fs";
import { expect, test } from "vitest";
import {
  describeReplay,
  type Replay,
  replayText,
} from "../src/replay/replay.ts";
import { listMismatches } from "../tools/record/expected.ts";
import { SCENARIOS } from "../tools/record/scenarios.ts";
import { parseRun } from "../src/replay/trace.ts";

const TRACES_DIR = "traces";
const recordedRuns = readdirSync(TRACES_DIR)
  .filter((file) => file.endsWith(".jsonl"))
  .filter((file) => readTrace(file).includes('"kind":"header"'))
  .sort();

function readTrace(file: string): string {
  return readFileSync(`${TRACES_DIR}/${file}`, "utf8");
}

async function replay(text: string): Promise<Replay> {
  return (await replayText(text)).unwrap();
}

test.each(recordedRuns)(
  "replaying %s gives the recorded outcomes",
  async (file) => {
    const text = readTrace(file);
    const replayed = await replay(text);
    expect(describeReplay(replayed)).toMatch(/outcomes as stated$/);
    expect(replayed.text).toBe(text);
  },
);

test.each(SCENARIOS.map((s) => [s.name, s] as const))(
  "the recorded outcomes of %s are as the scenario requires",
  (name, scenario) => {
    const run = parseRun(readTrace(`${name}.jsonl`)).unwrap();
    expect(run.inputs).toEqual(scenario.inputs);
    expect(listMismatches(scenario.expected, run.outcomes)).toEqual([]);
  },
);

test("replaying twice gives the same bytes", async () => {
  const text = readTrace("old_primary.jsonl");
  const first = await replay(text);
  const second = await replay(text);
  expect(second.text).toBe(first.text);
});

test("the first difference is shown with the outcomes around it", async () => {
  const text = readTrace("read_your_writes.jsonl")
    .replace('"id":"r1","ok":true,"result":"placed"', '"id":"r1","ok":false');
  expect(describeReplay(await replay(text))).toMatchSnapshot();
});

test("an invalid line of a run is reported with its number", async () => {
  const [header] = readTrace("rate.jsonl").split("\n");
  const res = await replayText(`${header}\n{"kind":"open"}\n`);
  expect(res.unwrapErr()).toBe("line 2: not a line of a recorded run");
});
