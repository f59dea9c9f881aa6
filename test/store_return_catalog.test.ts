import { afterEach, expect, test, vi } from "vitest";
import { asId } from "../src/core/ids.ts";
import { isExternalKey } from "./era_calls.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";

const STEP_MS = 10;

let fleet: PoolFleet;
afterEach(() => fleet.stop());

/** Returns why a new session at the host is refused; undefined if it is not. */
function tryOpen(host: number): string | undefined {
  const opened = fleet.poolers[host]!.openSession({
    database: asId("orders"),
    key: "key1",
  });
  return opened.isErr() ? opened.error.error : undefined;
}

/** Advances the time and collects how sessions at the host were refused. */
async function collectRefusals(host: number, ms: number) {
  const seen = new Set<string | undefined>();
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
    seen.add(tryOpen(host));
    seen.add(fleet.poolers[host]!.isReady() ? "ready" : "not_ready");
  }
  return [...seen];
}

/** Starts hosts, withdraws the key and returns the store to before that. */
async function returnBeforeWithdrawal(hosts: number): Promise<void> {
  fleet = await startPoolFleet({ hosts });
  const copy = fleet.store.takeCopy();
  fleet.setCatalog({ workspaceByKey: new Map() });
  await vi.advanceTimersByTimeAsync(2_000);
  expect(tryOpen(0)).toBe("unauthenticated");
  fleet.store.returnTo(copy, {
    isExternal: (key) => isExternalKey(key) && !key.startsWith("catalog/"),
  });
}

// Guards against a key that was withdrawn: a host that had just started took
// the older configuration until the operator's word was written again.
test.each([0, 500, 5_000])(
  "a host that starts %i ms after a return waits for the configuration of its peers",
  async (delayMs) => {
    await returnBeforeWithdrawal(3);
    await vi.advanceTimersByTimeAsync(delayMs);
    fleet.startHost();
    expect(await collectRefusals(3, 5_000)).toEqual(["not_ready"]);
    fleet.setCatalog({ workspaceByKey: new Map() });
    await vi.advanceTimersByTimeAsync(200);
    expect(tryOpen(3)).toBe("unauthenticated");
    expect(fleet.poolers[3]!.isReady()).toBe(true);
  },
);

// Guards against a host whose first questions are lost, or whose peers do not
// know its address yet.
test("a host that learns late of a newer configuration stops to admit", async () => {
  await returnBeforeWithdrawal(3);
  fleet.peerFaults.isLost = true;
  fleet.startHost();
  await vi.advanceTimersByTimeAsync(3_000);
  fleet.peerFaults.isLost = false;
  await vi.advanceTimersByTimeAsync(1_500);
  expect(await collectRefusals(3, 3_000)).toEqual(["not_ready"]);
});

/** Starts one more host; returns the time until it is ready. */
async function measureStart(isLost: boolean): Promise<number> {
  fleet = await startPoolFleet({ hosts: 3 });
  fleet.peerFaults.isLost = isLost;
  fleet.startHost();
  let elapsedMs = 0;
  while (!fleet.poolers[3]!.isReady()) {
    await vi.advanceTimersByTimeAsync(1);
    elapsedMs++;
  }
  fleet.stop();
  return elapsedMs;
}

test("a host is ready hardly later if no peer answers", async () => {
  const answeredMs = await measureStart(false);
  expect(await measureStart(true) - answeredMs).toBeLessThanOrEqual(200);
});

test("hosts that start together do not wait for each other", async () => {
  fleet = await startPoolFleet({ hosts: 1 });
  for (let count = 0; count < 8; count++) {
    fleet.startHost();
  }
  await vi.advanceTimersByTimeAsync(2_500);
  expect(fleet.poolers.map((pooler) => pooler.isReady()))
    .toEqual(Array(9).fill(true));
});

// Guards against one wrong message that makes a host useless for good.
test("a version that a peer tells by mistake holds until its next answer", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  fleet.peerFaults.toldVersion = 1e300;
  fleet.startHost();
  await vi.advanceTimersByTimeAsync(3_000);
  expect(tryOpen(2)).toBe("not_ready");
  fleet.peerFaults.toldVersion = undefined;
  await vi.advanceTimersByTimeAsync(1_500);
  expect(tryOpen(2)).toBeUndefined();
  expect(fleet.poolers[2]!.isReady()).toBe(true);
});
