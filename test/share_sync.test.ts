import { Err, Ok } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type HostId, type WorkspaceId } from "../src/core/ids.ts";
import type { PlatformStore, StoredObject } from "../src/core/types.ts";
import { createClockJumpDetector } from "../src/pooling/clock_jumps.ts";
import { type Fleet, LEDGER_KEY } from "../src/pooling/fleet.ts";
import type { Quotas } from "../src/pooling/quotas.ts";
import {
  createShareSync,
  getAdjustIntervalMs,
} from "../src/pooling/share_sync.ts";
import type { PoolIo } from "../src/pooling/types.ts";
import { createSingleHostFleet } from "./single_host_fleet.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const SELF = asId<HostId>("h0");
const WORKSPACE = asId<WorkspaceId>("w");

/** Creates a host whose ledger row holds the full quota of one workspace. */
function createHost() {
  const state = {
    isHeartbeatExpired: false,
    isStoreUnreachable: false,
    decodes: 0,
    share: 0,
    events: [] as string[],
  };
  const object: StoredObject = {
    key: LEDGER_KEY,
    version: 5,
    value: {
      get shares() {
        state.decodes++;
        return { [SELF]: { [WORKSPACE]: 10_000 } };
      },
      wants: {},
    },
  };
  const fleet = {
    tryGet: () => object,
    applyObject() {},
    countHosts: () => 4,
    listExpiredHosts: () => [],
    listLeftHosts: () => [],
    refreshHosts: () => Promise.resolve(true),
    hasStoreReturned: () => false,
    listPeers: () => [],
    getOwnTimeoutMs: () => 30_000,
    isOwnHeartbeatExpired: () => state.isHeartbeatExpired,
    isLoaded: () => true,
    onChange() {},
    recordSuspension() {
      state.isHeartbeatExpired = true;
    },
  } as unknown as Fleet;
  const quotas = {
    setShare: (_: WorkspaceId, share: number) => void (state.share = share),
    listDemand: () => new Map([[WORKSPACE, { share: 9_000, burst: 100 }]]),
  } as unknown as Quotas;
  const store = {
    get: () =>
      Promise.resolve(
        state.isStoreUnreachable ? Err({ kind: "unreachable" }) : Ok(object),
      ),
  } as unknown as PlatformStore;
  const clockJumps = createClockJumpDetector();
  const shares = createShareSync({
    store,
    log: { info: (event: string) => void state.events.push(event) },
    random: () => 0.5,
  } as unknown as PoolIo, { self: SELF, fleet, quotas, clockJumps });
  return { state, clockJumps, shares };
}

/** Simulates a suspension, during which the monotonic clock stands still. */
function suspend(ms: number): void {
  vi.setSystemTime(Date.now() + ms);
}

test("a host that was suspended for long keeps only its minimum share", async () => {
  const { state, clockJumps, shares } = createHost();
  shares.start();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(state.share).toBe(10_000);
  suspend(50_000);
  state.isStoreUnreachable = true;
  clockJumps.getEpoch();
  expect(state.share).toBe(625);
  await vi.advanceTimersByTimeAsync(5_000);
  expect(state.share).toBe(625);
  // The full share returns after a heartbeat and a read of the stored row.
  state.isHeartbeatExpired = false;
  await vi.advanceTimersByTimeAsync(5_000);
  expect(state.share).toBe(625);
  state.isStoreUnreachable = false;
  await vi.advanceTimersByTimeAsync(5_000);
  expect(state.share).toBe(10_000);
  shares.stop();
});

test("the ledger is decoded once for each of its versions", async () => {
  const { state, shares } = createHost();
  shares.start();
  await vi.advanceTimersByTimeAsync(20_000);
  for (let n = 0; n < 1_000; n++) {
    shares.isReady();
    shares.getShare(SELF, WORKSPACE);
  }
  expect(state.decodes).toBeLessThanOrEqual(4);
  shares.stop();
});

test("no timer is left after stop", () => {
  const { shares } = createHost();
  shares.start();
  shares.stop();
  expect(vi.getTimerCount()).toBe(0);
});

test("a suspension counts as time without a heartbeat", async () => {
  const fleet = createSingleHostFleet();
  expect(fleet.isOwnHeartbeatExpired()).toBe(true);
  fleet.applyObject({
    key: asId("turmericchute-fleet/host.h1"),
    version: 1,
    value: {},
  });
  await fleet.sendHeartbeat();
  expect(fleet.isOwnHeartbeatExpired()).toBe(false);
  const suspensionMs = (2 / 3) * fleet.getOwnTimeoutMs();
  fleet.recordSuspension(suspensionMs);
  expect(fleet.isOwnHeartbeatExpired()).toBe(false);
  fleet.recordSuspension(-suspensionMs);
  expect(fleet.isOwnHeartbeatExpired()).toBe(true);
  fleet.stop();
});

test("ledger traffic of all hosts grows no faster than the fleet", () => {
  // Changes per second, times the size of the ledger, times its receivers.
  const getLoad = (hosts: number) =>
    (hosts / getAdjustIntervalMs(hosts)) * hosts * hosts;
  expect(getLoad(65) / getLoad(8)).toBeLessThan(1.01 * 65 / 8);
  expect(getLoad(3_200) / getLoad(8)).toBeLessThan(1.01 * 3_200 / 8);
});
