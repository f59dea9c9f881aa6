import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FULL_SHARE } from "../src/pooling/share_ledger.ts";
import type { PlatformCopy } from "../standins/platform_core.ts";
import { isExternalKey } from "./era_calls.ts";
import { createShareHosts } from "./share_hosts.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/**
 * Seeds that once failed are kept. 92: a host that started after the ledger was
 * lost created a new one beside it.
 */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 92];
const STEPS = 400;
const STEP_MS = 250;
const MAX_HOSTS = 6;
/** Copies that are kept, one every ten steps. */
const MAX_COPIES = 8;

test.each(SEEDS)(
  "the shares in use never exceed the quota, whenever the store returns, seed %i",
  async (seed) => {
    const rng = xoroshiro128plus(seed);
    const drawBelow = (limit: number) => (rng.next() >>> 0) % limit;
    const { core, createHost } = createShareHosts(() => drawBelow(1_000) / 1e3);
    const hosts = [0, 1, 2].map(createHost);
    hosts.forEach((host) => host.start());
    const copies: PlatformCopy[] = [core.takeCopy()];
    const exceeded: { readonly step: number; readonly sum: number }[] = [];
    let returns = 0;

    function returnStore(): void {
      const copy = copies[drawBelow(copies.length)]!;
      core.returnTo(copy, { isExternal: isExternalKey });
      returns++;
    }

    function disrupt(): void {
      const { state } = hosts[drawBelow(hosts.length)]!;
      const ms = 500 + drawBelow(8_000);
      switch (drawBelow(7)) {
        case 0:
        case 1:
          state.demand = drawBelow(FULL_SHARE);
          return;
        case 2:
          state.isUnreachable = true;
          setTimeout(() => state.isUnreachable = false, ms);
          return;
        case 3:
          state.responseDelayMs = drawBelow(1_500);
          setTimeout(() => state.responseDelayMs = 0, ms);
          return;
        case 4:
          // A call without a response may be executed seconds later.
          state.requestDelayMs = drawBelow(3_000);
          setTimeout(() => state.requestDelayMs = 0, ms);
          return;
        case 5:
          if (hosts.length < MAX_HOSTS) {
            hosts.push(createHost(hosts.length));
            hosts.at(-1)!.state.demand = drawBelow(FULL_SHARE);
            hosts.at(-1)!.start();
          }
          return;
        default:
          setTimeout(returnStore, drawBelow(STEP_MS));
      }
    }

    for (let step = 0; step < STEPS; step++) {
      if (step % 10 === 0) {
        copies.push(core.takeCopy());
        copies.splice(0, copies.length - MAX_COPIES);
      }
      if (drawBelow(3) === 0) {
        disrupt();
      }
      for (let ms = 0; ms < STEP_MS; ms += 10) {
        await vi.advanceTimersByTimeAsync(10);
        const sum = hosts.reduce((total, { state }) => total + state.share, 0);
        if (sum > FULL_SHARE) {
          exceeded.push({ step, sum });
        }
      }
    }
    expect(exceeded.slice(0, 3)).toEqual([]);
    expect(returns).toBeGreaterThan(3);
    // The quota is granted again once nothing is disrupted any more.
    hosts.forEach(({ state }) => state.demand = 0);
    hosts[0]!.state.demand = FULL_SHARE;
    await vi.advanceTimersByTimeAsync(120_000);
    expect(hosts[0]!.state.share).toBeGreaterThan(FULL_SHARE / 2);
    hosts.forEach((host) => host.stop());
  },
);
