/**
 * Load on the quotas of a pool fleet, and a checker that compares it with one
 * bucket for the whole fleet.
 */

import { vi } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { asId } from "../src/core/ids.ts";
import type { Session } from "../src/pooling/session.ts";
import type { Quota } from "../src/pooling/types.ts";
import type { PoolFleet } from "./pool_fleet.ts";

/** Bound of a window, from docs/design/hard_load.md. */
const WINDOW_MS = 5_000;
const STEP_MS = 10;
/** Longest time until a statement is answered. */
const MAX_ANSWER_MS = 1_000;

/** One statement, as its client saw it. */
export interface Attempt {
  readonly workspace: string;
  readonly host: number;
  readonly sentAt: number;
  answeredAt: number;
  /** `taken` if the statement got a token. */
  outcome: "waiting" | "taken" | "refused" | "other";
  detail: string;
}

/** Demand of a workspace, in statements a second over all hosts. */
export interface Demand {
  getRatePerS(elapsedMs: number): number;
  /** Chooses the host of a statement; any running one by default. */
  chooseHost?(random: () => number, elapsedMs: number): number;
}

/** Creates a load that begins transactions, which needs a token and no target. */
export function createQuotaLoad(
  fleet: PoolFleet,
  options: {
    readonly quotas: ReadonlyMap<string, Quota>;
    readonly demand: ReadonlyMap<string, Demand>;
    readonly seed: number;
    /** Hosts that take no clients at the moment. */
    isClosed?(host: number): boolean;
  },
) {
  const rng = xoroshiro128plus(options.seed);
  const random = () => (rng.next() >>> 0) / 2 ** 32;
  const attempts: Attempt[] = [];
  const startedAt = Date.now();
  let sent = 0;

  function chooseHost(demand: Demand, elapsedMs: number): number | undefined {
    for (let tries = 0; tries < 20; tries++) {
      const host = demand.chooseHost?.(random, elapsedMs) ??
        Math.floor(random() * fleet.poolers.length);
      const isOpen = !options.isClosed?.(host) &&
        fleet.listRunning().includes(fleet.poolers[host]!);
      if (isOpen) {
        return host;
      }
    }
    return undefined;
  }

  function send(workspace: string, host: number): void {
    const attempt: Attempt = {
      workspace,
      host,
      sentAt: Date.now(),
      answeredAt: Infinity,
      outcome: "waiting",
      detail: "",
    };
    attempts.push(attempt);
    let session: Session;
    try {
      session = fleet.openSession("orders", host, workspace);
    } catch {
      attempt.outcome = "other";
      return;
    }
    const pooler = fleet.poolers[host]!;
    sent++;
    void session.execute(asId(`q${sent}`), { kind: "begin", isReadOnly: true })
      .then((answer) => {
        attempt.answeredAt = Date.now();
        attempt.outcome = answer.kind === "done"
          ? "taken"
          : answer.error === "over_quota"
          ? "refused"
          : "other";
        attempt.detail = answer.kind === "done" ? "" : answer.detail;
        pooler.closeSession(session);
      });
  }

  return {
    attempts,
    startedAt,
    /** Waits until all statements are answered. */
    async finish(): Promise<void> {
      await vi.advanceTimersByTimeAsync(MAX_ANSWER_MS);
    },
    /** Sends statements for a time. */
    async run(ms: number): Promise<void> {
      for (let passed = 0; passed < ms; passed += STEP_MS) {
        const elapsedMs = Date.now() - startedAt;
        for (const [workspace, demand] of options.demand) {
          const expected = (demand.getRatePerS(elapsedMs) * STEP_MS) / 1_000;
          const count = Math.floor(expected) +
            (random() < expected % 1 ? 1 : 0);
          for (let n = 0; n < count; n++) {
            const host = chooseHost(demand, elapsedMs);
            if (host !== undefined) {
              send(workspace, host);
            }
          }
        }
        await vi.advanceTimersByTimeAsync(STEP_MS);
      }
    },
  };
}

/** Result of the comparison with one bucket for the whole fleet. */
export interface QuotaVerdict {
  readonly sent: number;
  readonly taken: number;
  /** Statements that one bucket would have served and the fleet did not. */
  readonly refusedWithinPlan: number;
  /** Windows with more statements than tolerated. */
  readonly exceeded: readonly string[];
}

/** Counts the attempts of an interval against one bucket for each workspace. */
export function checkQuotas(
  attempts: readonly Attempt[],
  options: {
    readonly quotas: ReadonlyMap<string, Quota>;
    readonly from?: number;
    readonly to?: number;
  },
): QuotaVerdict {
  const { from = 0, to = Infinity } = options;
  let refusedWithinPlan = 0;
  const exceeded: string[] = [];
  for (const [workspace, quota] of options.quotas) {
    const own = attempts.filter((attempt) => attempt.workspace === workspace);
    const isIn = ({ sentAt }: Attempt) => sentAt >= from && sentAt < to;
    const ideal = own.filter(createIdealBucket(quota)).filter(isIn).length;
    const taken = own.filter(({ outcome }) => outcome === "taken");
    refusedWithinPlan += Math.max(0, ideal - taken.filter(isIn).length);
    exceeded.push(...listExceeded(taken, { workspace, quota }));
  }
  const inside = attempts.filter(({ sentAt }) => sentAt >= from && sentAt < to);
  return {
    sent: inside.length,
    taken: inside.filter(({ outcome }) => outcome === "taken").length,
    refusedWithinPlan,
    exceeded,
  };
}

/** Returns whether a full bucket serves each statement, in their order. */
function createIdealBucket({ ratePerS, burst }: Quota) {
  let tokens = burst;
  let at: number | undefined;
  return ({ sentAt }: Attempt): boolean => {
    tokens = Math.min(
      burst,
      tokens + ((sentAt - (at ?? sentAt)) * ratePerS) / 1_000,
    );
    at = sentAt;
    const isServed = tokens >= 1;
    tokens -= isServed ? 1 : 0;
    return isServed;
  };
}

/** Lists the windows with more than (rate x 5 + burst) x 1.1 + 20 statements. */
function listExceeded(
  taken: readonly Attempt[],
  options: { readonly workspace: string; readonly quota: Quota },
): readonly string[] {
  const { workspace, quota: { ratePerS, burst } } = options;
  const limit = ((ratePerS * WINDOW_MS) / 1_000 + burst) * 1.1 + 20;
  const times = taken.map(({ answeredAt }) => answeredAt).sort((a, b) => a - b);
  const exceeded: string[] = [];
  let first = 0;
  times.forEach((time, index) => {
    while (times[first]! < time - WINDOW_MS) {
      first++;
    }
    if (index - first + 1 > limit) {
      exceeded.push(
        `${workspace}: ${index - first + 1} of ${limit} at ${time}`,
      );
    }
  });
  return exceeded;
}
