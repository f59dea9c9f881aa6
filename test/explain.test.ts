import { afterEach, expect, test, vi } from "vitest";
import {
  listRelatedLines,
  type LogLine,
  parseLogLines,
} from "../src/host/explain.ts";
import type { StatementAnswer } from "../src/pooling/types.ts";
import {
  getOutcome,
  type PoolFleet,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Returns the lines of the hosts' logs that explain a request. */
function explainRequest(id: string): readonly LogLine[] {
  const text = fleet.logLines.map(({ event, fields, time }) =>
    JSON.stringify({ time, host: "h0", ...fields, msg: event })
  ).join("\n");
  return listRelatedLines(parseLogLines(`noise\n${text}\n{broken`), id);
}

const listEvents = (lines: readonly LogLine[]) => lines.map(({ msg }) => msg);

test("a refusal below the rate is explained by the share of the host", async () => {
  fleet = await startPoolFleet({ hosts: 2, ratePerS: 5 });
  const answers: [string, StatementAnswer][] = [];
  for (let n = 0; n < 30; n++) {
    const statement = { kind: "run", access: "read", text: "READ k" } as const;
    void fleet.openSession("reports").execute(`q${n}` as never, statement)
      .then((answer) => answers.push([`q${n}`, answer]));
  }
  await vi.advanceTimersByTimeAsync(1_000);
  const [id] = answers.find(([, answer]) =>
    getOutcome(answer) === "over_quota"
  )!;
  const refused = explainRequest(id).find((line) => line.id === id)!;
  expect(refused.msg).toBe("statement_refused");
  expect(refused.detail).toMatch(/^share \d+ of 10000, next token in /);
  expect(refused.configuration).toBe(3);
});

test("a write in doubt is explained by the failover around it", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  const session = fleet.openSession("orders");
  await run(session, "WRITE k 1");
  fleet.getTarget("t1").faults.isUnresponsive = true;
  expect(getOutcome(await run(session, "WRITE k 2", { id: "w" }))).toBe(
    "in_doubt",
  );
  await vi.advanceTimersByTimeAsync(3_000);
  const explanation = explainRequest("w");
  expect(listEvents(explanation)).toEqual(expect.arrayContaining([
    "write_not_acknowledged",
    "statement_refused",
    "failover_started",
    "promotion_ordered",
    "failover_ended",
  ]));
  const [line] = explanation.filter(({ msg }) =>
    msg === "write_not_acknowledged"
  );
  expect(line).toMatchObject({
    target: "t1",
    reason: "the target did not answer in time",
  });
});

test("a slow read is explained by the replica that was behind its read floor", async () => {
  fleet = await startPoolFleet({ group: { lagMs: 800 } });
  const session = fleet.openSession("accounts");
  await run(session, "READ k");
  await run(session, "WRITE k 1");
  fleet.getTarget("t1").faults.isBusy = true;
  await run(session, "READ k", { id: "r" });
  const retried = explainRequest("r").filter(({ msg }) =>
    msg === "read_retried"
  );
  expect(retried.length).toBeGreaterThan(0);
  expect(retried).toEqual(expect.arrayContaining([
    expect.objectContaining({
      reason: "the target answered lagging",
      floor: "1.1",
    }),
  ]));
  expect(retried[0]).toHaveProperty("floorAgeMs");
});
