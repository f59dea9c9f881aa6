import { Err } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { rankNodes } from "../src/core/hash.ts";
import { asId, type HostId, type ObjectKey } from "../src/core/ids.ts";
import { createPositionSharing } from "../src/pooling/position_sharing.ts";
import type { PoolIo } from "../src/pooling/types.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createMemoryStore } from "./memory_store.ts";
import { createSingleHostFleet } from "./single_host_fleet.ts";

vi.mock(import("../src/core/hash.ts"), { spy: true });

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const HOSTS = 65;

/** Creates a fleet whose host records count how often they are read. */
function createCountingFleet() {
  const state = { reads: 0 };
  const fleet = createSingleHostFleet();
  const applyRecord = (n: number, version: number) =>
    fleet.applyObject({
      key: asId(`turmericchute-fleet/host.h${n}`),
      version,
      value: {
        incarnation: 1,
        get beat() {
          state.reads++;
          return version;
        },
      },
    });
  for (let n = 0; n < HOSTS; n++) {
    applyRecord(n, n + 1);
  }
  return { state, fleet, applyRecord };
}

test("requests do not read the record of every host again", () => {
  const { state, fleet } = createCountingFleet();
  state.reads = 0;
  for (let n = 0; n < 1_000; n++) {
    expect(fleet.countHosts()).toBe(HOSTS);
    expect(fleet.listPeers().length).toBe(HOSTS - 1);
  }
  expect(state.reads).toBeLessThanOrEqual(HOSTS);
});

test("a host that joins or leaves changes the host count at once", () => {
  const { fleet, applyRecord } = createCountingFleet();
  expect(fleet.countHosts()).toBe(HOSTS);
  applyRecord(HOSTS, 100);
  expect(fleet.countHosts()).toBe(HOSTS + 1);
  applyRecord(HOSTS, 0);
  expect(fleet.countHosts()).toBe(HOSTS);
});

// Guards against a host that gives up its shares though its heartbeats are
// accepted, because their answers are lost.
test("a heartbeat whose answer is lost counts once its record is seen", async () => {
  const core = createPlatformCore();
  const store = createMemoryStore(core);
  let isAnswerLost = false;
  const fleet = createSingleHostFleet(core, {
    ...store,
    async put(...args) {
      const res = await store.put(...args);
      return isAnswerLost ? Err({ kind: "unreachable" }) : res;
    },
  });
  fleet.start();
  await vi.advanceTimersByTimeAsync(1_000);
  isAnswerLost = true;
  for (let ms = 0; ms < 4 * fleet.getOwnTimeoutMs(); ms += 100) {
    await vi.advanceTimersByTimeAsync(100);
    expect(fleet.isOwnHeartbeatExpired()).toBe(false);
  }
  fleet.stop();
});

/** Time within which a fleet has to recover. */
const RECOVERY_MS = 12_000;

test("a host without heartbeats is soon no longer counted", async () => {
  const core = createPlatformCore();
  const key = asId<ObjectKey>("turmericchute-fleet/host.h1");
  core.put(key, { incarnation: 1, beat: 1, peers: "" }, { ifVersion: 0 })
    .unwrap();
  const fleet = createSingleHostFleet(core);
  fleet.start();
  // A host stops using its shares before its peers may reclaim them.
  await vi.advanceTimersByTimeAsync(fleet.getOwnTimeoutMs());
  expect(fleet.countHosts()).toBe(2);
  await vi.advanceTimersByTimeAsync(RECOVERY_MS - fleet.getOwnTimeoutMs());
  expect(fleet.countHosts()).toBe(1);
  fleet.stop();
});

test("polling hosts are ranked again only after the peers changed", () => {
  let peers = ["h1", "h2", "h3"].map((id) => asId<HostId>(id));
  const sent: string[] = [];
  const sharing = createPositionSharing({
    peers: { send: (to: string) => void sent.push(to) },
    random: () => 0,
  } as unknown as PoolIo, {
    self: asId<HostId>("h0"),
    listPeers: () => peers,
    getPositions: () => {
      throw new Error("unexpected request for positions");
    },
    onPrimaryAnswered() {},
  });
  const isPollingHost = () => sharing.isPollingHost(asId("ledger"));
  const ranked = vi.mocked(rankNodes);
  ranked.mockClear();
  const wasPollingHost = isPollingHost();
  expect(isPollingHost()).toBe(wasPollingHost);
  expect(ranked).toHaveBeenCalledTimes(1);
  peers = [];
  expect(isPollingHost()).toBe(true);
  expect(isPollingHost()).toBe(true);
  expect(ranked).toHaveBeenCalledTimes(2);
});
