import { expect, test } from "vitest";
import { getReplicaProbeIntervalMs } from "../src/pooling/probes.ts";

test("a larger fleet does not probe a replica more often", () => {
  const getProbesPerS = (hosts: number) =>
    (1_000 * hosts) / getReplicaProbeIntervalMs(hosts);
  // Up to 8 hosts each probe a replica every 3 s.
  expect([1, 4, 8].map((hosts) => getProbesPerS(hosts) <= 8 / 3)).toEqual([
    true,
    true,
    true,
  ]);
  for (const hosts of [24, 65, 3_200]) {
    expect(getProbesPerS(hosts)).toBeCloseTo(getProbesPerS(8));
  }
});
