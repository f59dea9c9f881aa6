/**
 * A store that leaves watches unanswered and then discards its history: whatever
 * became of a watch, an accepted change must be in force within its bound.
 */

import { afterEach, expect, test, vi } from "vitest";
import { IN_FORCE_MS, startEvacuable } from "./evacuable_fleet.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";

/** Time within which a configuration must be in force, as in the settings. */
const CONFIG_BOUND_MS = 3_000;
/** Time within which a draining target must get no new work. */
const DRAIN_BOUND_MS = 5_000;
/** Hosts of one domain that watch for themselves, and through a reader. */
const FLEET_SIZES = [5, 8];

let fleet: PoolFleet;
afterEach(() => fleet.stop());

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

/** Lists the hosts that have logged the event since the lines were cleared. */
function listHosts(event: string): ReadonlySet<string> {
  const lines = fleet.logLines.filter((line) => line.event === event);
  return new Set(lines.map(({ host }) => host));
}

/**
 * Changes the configuration by means of `change`; returns how long it takes until
 * the last host has it, in milliseconds.
 */
async function measureChange(
  change = () => fleet.setCatalog({ transactionIdleMs: 2_999 }),
): Promise<number> {
  const changedAt = Date.now();
  const arrivedAt = new Map<number, number>();
  fleet.poolers.forEach((pooler, index) =>
    pooler.onCatalogChange(() => arrivedAt.set(index, Date.now()))
  );
  change();
  await advance(4 * CONFIG_BOUND_MS);
  return Math.max(
    ...fleet.poolers.map((_, index) => arrivedAt.get(index) ?? Infinity),
  ) - changedAt;
}

/** Discards the history after a second without answers, and cuts watches off. */
function discardHistory(silentAfterCutMs: number): void {
  const { watches } = fleet.storeFaults;
  watches.isSilent = true;
  setTimeout(() => {
    [...watches.waiting].forEach((cutOff) => cutOff());
    setTimeout(() => {
      fleet.store.discardHistory();
      watches.isSilent = false;
    }, silentAfterCutMs);
  }, 1_000);
}

/**
 * Changes the configuration while the history is lost, at many times after the
 * start of a watch; returns the longest time until a host has a change.
 */
async function measureWhileHistoryIsLost(options: {
  readonly phaseStepMs: number;
  readonly changeAfterMs: number;
  readonly silentAfterCutMs: number;
}): Promise<number> {
  await advance(8_000);
  const delays: number[] = [];
  // A reader watches for 1.75 s at a time.
  for (let phaseMs = 0; phaseMs < 1_750; phaseMs += options.phaseStepMs) {
    await advance(phaseMs);
    discardHistory(options.silentAfterCutMs);
    await advance(options.changeAfterMs);
    delays.push(await measureChange());
  }
  return Math.max(...delays);
}

// Guards against a configuration that is late by the wait of a watch which the
// store answers only at its end: the history was discarded after it began.
test.each(FLEET_SIZES)(
  "a watch that hears of nothing until its end delays no configuration (%i hosts)",
  async (hosts) => {
    fleet = await startPoolFleet({ hosts });
    const delayMs = await measureWhileHistoryIsLost({
      phaseStepMs: 125,
      changeAfterMs: 300,
      silentAfterCutMs: 100,
    });
    expect(delayMs).toBeLessThanOrEqual(CONFIG_BOUND_MS);
  },
);

// Guards against a second call in a row that is not answered: the delay of a
// retry doubled before it, which the time for a change to be in force lacks.
test("a watch that is cut off and a retry without an answer delay no configuration", async () => {
  fleet = await startPoolFleet({ hosts: 5 });
  const delayMs = await measureWhileHistoryIsLost({
    phaseStepMs: 50,
    changeAfterMs: 5,
    silentAfterCutMs: 200,
  });
  expect(delayMs).toBeLessThanOrEqual(CONFIG_BOUND_MS);
});

/** Loses the answers to the watches that wait now, if a change ends them. */
async function loseAnswers(change: () => void): Promise<void> {
  const { watches } = fleet.storeFaults;
  watches.isSilent = true;
  change();
  await advance(50);
  watches.isSilent = false;
}

// Guards against a bound that holds only if each watch is answered: a watch
// could wait for longer than changes may take to be in force.
test.each(FLEET_SIZES)(
  "a watch that is never answered delays no configuration (%i hosts)",
  async (hosts) => {
    fleet = await startPoolFleet({ hosts });
    await advance(8_000);
    const delays: number[] = [];
    for (let phaseMs = 0; phaseMs < CONFIG_BOUND_MS; phaseMs += 250) {
      await advance(phaseMs);
      const change = () => void loseAnswers(() => fleet.setCatalog());
      delays.push(await measureChange(change));
    }
    expect(Math.max(...delays)).toBeLessThanOrEqual(CONFIG_BOUND_MS);
  },
);

// As above: an evacuation has a bound of its own.
test("a watch that is never answered delays no evacuation", async () => {
  fleet = await startEvacuable();
  for (let phaseMs = 0; phaseMs < IN_FORCE_MS; phaseMs += 500) {
    await advance(phaseMs);
    fleet.logLines.length = 0;
    void loseAnswers(() => fleet.evacuate("d1"));
    await advance(IN_FORCE_MS);
    expect(listHosts("evacuation_started").size).toBe(fleet.poolers.length);
    fleet.endEvacuation("d1");
    await advance(2 * IN_FORCE_MS);
  }
});

// As above: a drain has a bound of its own, and statements must not reach the
// target after it.
test.each(FLEET_SIZES)(
  "a watch that is never answered delays no drain (%i hosts)",
  async (hosts) => {
    fleet = await startPoolFleet({ hosts });
    await advance(8_000);
    for (let phaseMs = 0; phaseMs < DRAIN_BOUND_MS; phaseMs += 500) {
      await advance(phaseMs);
      fleet.logLines.length = 0;
      void loseAnswers(() => fleet.register("t2", { isDraining: true }));
      await advance(DRAIN_BOUND_MS);
      expect(listHosts("target_changed").size).toBe(hosts);
      fleet.register("t2", { isDraining: false });
      await advance(DRAIN_BOUND_MS);
    }
  },
);
