import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  createGetFrame,
  createPutFrame,
  getResult,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";

let fleet: TestFleet;

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet();
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

test("a write is answered and read back on every host", async () => {
  const writer = fleet.openSession("h1");
  const written = await settle(
    writer.request(createPutFrame("order-1", "placed")),
  );
  expect(getResult(written)).toBe("placed");
  for (const host of ["h1", "h2", "h3"]) {
    const reader = fleet.openSession(host, { token: written.token });
    const read = await settle(reader.request(createGetFrame("order-1")));
    expect(getResult(read)).toBe("placed");
  }
});

test("a workspace does not see the rows of another", async () => {
  const writer = fleet.openSession("h1");
  await settle(writer.request(createPutFrame("order-1", "placed")));
  const other = fleet.openSession("h1", { workspace: "archive" });
  const read = await settle(other.request(createGetFrame("order-1")));
  expect(getResult(read)).toBeNull();
});
