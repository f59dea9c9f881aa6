/** Counts operations against this host's share of each workspace's quota. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import type { PoolFailure } from "./errors.ts";
import { createTokenBucket, type TokenBucket } from "./token_bucket.ts";
import type { Quota } from "./types.ts";
import { WHOLE } from "./share_ledger.ts";

/** Half-life of the measured demand, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 2_000;
/** Spread of the demand within a second that a share must bear. */
const BURST_SIGMA = 1.5;
/** Headroom over the measured demand. */
const HEADROOM = 1.25;
const MIN_RETRY_AFTER_MS = 30;
const MAX_RETRY_AFTER_MS = 5_000;

/** Quotas on this host. */
export interface Quotas {
  /** Takes a token, waiting for it if it comes within `maxWaitMs`. */
  take(
    workspace: WorkspaceId,
    options: { readonly maxWaitMs: number },
  ): Promise<Result<void, PoolFailure>>;
  /** Sets this host's share of a workspace, in ten-thousandths. */
  setShare(workspace: WorkspaceId, share: number): void;
  setQuotas(quotas: ReadonlyMap<WorkspaceId, Quota>): void;
  /** Share that the demand of the last seconds needs, by workspace. */
  listDemand(): ReadonlyMap<WorkspaceId, number>;
}

interface Entry {
  quota: Quota;
  share: number;
  bucket: TokenBucket;
  waiting: number;
  /** Operations a second, decaying. */
  demandPerS: number;
  demandAt: number;
}

/** Creates counters without quotas; unknown workspaces are not limited. */
export function createQuotas(
  options: { random(): number },
): Quotas {
  const entries = new Map<WorkspaceId, Entry>();

  function decay(entry: Entry): number {
    const elapsed = nowMs() - entry.demandAt;
    entry.demandAt = nowMs();
    entry.demandPerS *= 0.5 ** (elapsed / DEMAND_HALF_LIFE_MS);
    return entry.demandPerS;
  }

  function resize(entry: Entry): void {
    const part = entry.share / WHOLE;
    entry.bucket.resize({
      ratePerS: entry.quota.ratePerS * part,
      burst: entry.quota.burst * part,
    });
  }

  function refuse(waitMs: number): Err<PoolFailure> {
    const bounded = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, waitMs),
    );
    const retryAfterMs = Math.ceil(bounded * (1 + options.random() / 2));
    return Err({ error: "over_quota", retryAfterMs });
  }

  return {
    async take(workspace, { maxWaitMs }) {
      const entry = entries.get(workspace);
      if (!entry) {
        return Ok(undefined);
      }
      decay(entry);
      entry.demandPerS += Math.LN2 / (DEMAND_HALF_LIFE_MS / 1_000);
      if (entry.waiting === 0 && entry.bucket.tryTake()) {
        return Ok(undefined);
      }
      const waitMs = entry.bucket.getWaitMs(entry.waiting);
      if (waitMs > maxWaitMs) {
        return refuse(waitMs);
      }
      entry.waiting++;
      await new Promise((resolve) => setTimeout(resolve, Math.ceil(waitMs)));
      entry.waiting--;
      return entry.bucket.tryTake()
        ? Ok(undefined)
        : refuse(entry.bucket.getWaitMs(entry.waiting));
    },
    setShare(workspace, share) {
      const entry = entries.get(workspace);
      if (entry && entry.share !== share) {
        entry.share = share;
        resize(entry);
      }
    },
    setQuotas(quotas) {
      for (const workspace of entries.keys()) {
        if (!quotas.has(workspace)) {
          entries.delete(workspace);
        }
      }
      for (const [workspace, quota] of quotas) {
        const entry = entries.get(workspace);
        if (entry) {
          entry.quota = quota;
          resize(entry);
          continue;
        }
        entries.set(workspace, {
          quota,
          share: 0,
          bucket: createTokenBucket({ ratePerS: 0, burst: 0, initial: 0 }),
          waiting: 0,
          demandPerS: 0,
          demandAt: nowMs(),
        });
      }
    },
    listDemand() {
      const demand = new Map<WorkspaceId, number>();
      for (const [workspace, entry] of entries) {
        const perS = decay(entry);
        const needed = perS * HEADROOM + BURST_SIGMA * Math.sqrt(perS);
        const part = needed / Math.max(1e-9, entry.quota.ratePerS);
        demand.set(workspace, Math.min(1, part) * WHOLE);
      }
      return demand;
    },
  };
}
