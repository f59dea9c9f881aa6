import { describe, expect, test } from "vitest";
import { cutNesting } from "../platform/bounded_value.ts";
import { tryDecodeCatalog } from "../platform/decode_catalog.ts";
import { tryDecodeTarget } from "../platform/decode_target.ts";
import { asId, type ObjectKey } from "../src/core/ids.ts";

const ENTRY = {
  service: "ledger",
  addr: "10.0.0.1:7000",
  zone: "d0",
  slots: 3,
  state: "ready",
  coldLeftMs: 0,
  seq: 1,
  born: 1,
  dbRole: "replica",
};

function decode(change: Readonly<Record<string, unknown>>) {
  return tryDecodeTarget({
    key: asId<ObjectKey>("servers/i-1"),
    version: 1,
    value: { ...ENTRY, ...change },
  });
}

function nest(levels: number): string {
  return `${"[".repeat(levels)}1${"]".repeat(levels)}`;
}

describe("an entry of another writer", () => {
  // Guards against values on which encoders run out of stack.
  test.each([1_000, 200_000])("keeps its upper levels: %i levels", (levels) => {
    const value = JSON.parse(`{"slots":3,"note":${nest(levels)}}`);
    const text = JSON.stringify(cutNesting(value));
    expect(text).toMatch(/^\{"slots":3,"note":\[+null\]+\}$/);
  });

  test("is left as it is if it is not nested deeply", () => {
    const value = { a: [{ b: [1, "x", null] }], c: JSON.parse(nest(20)) };
    expect(cutNesting(structuredClone(value))).toEqual(value);
  });

  // Guards against a target with more slots than any statement could use.
  test.each([Infinity, 1e308, -1e308, 2 ** 60])(
    "with the number %d names one slot and no other figure",
    (number) => {
      const target = decode({
        slots: number,
        seq: number,
        coldLeftMs: number === 1e308 || number === 2 ** 60 ? 0 : number,
      });
      expect(target).toMatchObject({ slots: 1 });
      expect(target).not.toHaveProperty("seq");
      expect(target).not.toHaveProperty("coldLeftMs");
    },
  );

  test.each(["0", "65536", "70000", "99999999999999999999"])(
    "with the port %s is not used",
    (port) => expect(decode({ addr: `10.0.0.1:${port}` })).toBeUndefined(),
  );

  test("leaves a configuration with numbers that are none", () => {
    const catalog = tryDecodeCatalog({
      version: 1,
      services: [{ name: "s", maxConns: Infinity, syncReplicas: -Infinity }],
      tenants: [{ name: "t", apiKeys: [], ratePerS: Infinity, burst: NaN }],
      limits: { txIdleMs: Infinity },
    });
    expect([...catalog!.services.values()]).toMatchObject([
      { maxConnections: 10, syncReplicas: 0 },
    ]);
    expect(
      [...catalog!.quotas.values()].every(({ ratePerS, burst }) =>
        Number.isFinite(ratePerS) && Number.isFinite(burst)
      ),
    ).toBe(true);
  });
});
