import { expect, test } from "vitest";
import { getReplicaProbeIntervalMs } from "../src/pooling/probes.ts";

test("a larger fleet does not probe a replica more often", () => {
  const perS = (hosts: number) =>
    (1_000 * hosts) / getReplicaProbeIntervalMs(hosts);
  expect([1, 4, 8].map((hosts) => perS(hosts) <= 8 / 3)).toEqual([
    true,
    true,
    true,
  ]);
  for (const hosts of [24, 65, 3_200]) {
    expect(perS(hosts)).toBeCloseTo(perS(8));
  }
});
