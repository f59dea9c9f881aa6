import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  getFrame,
  putFrame,
  resultOf,
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
  const writer = fleet.open("h1");
  const written = await settle(writer.request(putFrame("order-1", "placed")));
  expect(resultOf(written)).toBe("placed");
  for (const host of ["h1", "h2", "h3"]) {
    const reader = fleet.open(host, { token: written.token });
    const read = await settle(reader.request(getFrame("order-1")));
    expect(resultOf(read)).toBe("placed");
  }
});

test("a workspace does not see the rows of another", async () => {
  const writer = fleet.open("h1");
  await settle(writer.request(putFrame("order-1", "placed")));
  const other = fleet.open("h1", { workspace: "archive" });
  const read = await settle(other.request(getFrame("order-1")));
  expect(resultOf(read)).toBeNull();
});
