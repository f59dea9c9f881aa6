/** Rate and burst of each workspace, counted over the whole fleet. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import type { Failure } from "./errors.ts";
import type { WorkspaceId } from "./ids.ts";

const MS_PER_SECOND = 1_000;

/** Decides whether a workspace may send one more statement. */
export interface Limits {
  tryTake(workspace: WorkspaceId): Result<void, Failure>;
}

interface Bucket {
  tokens: number;
  at: number;
}

/** Creates limits that give each of `hosts` hosts an equal, fixed share. */
export function createStaticLimits(
  cfg: Configuration,
  options: { readonly hosts: number },
): Limits {
  const buckets = new Map<WorkspaceId, Bucket>();

  return {
    tryTake(workspace) {
      const plan = cfg.tryAllowance(workspace);
      if (!plan) {
        return Err({ error: "forbidden" });
      }
      const rate = plan.ratePerSecond / options.hosts / MS_PER_SECOND;
      const burst = plan.burst / options.hosts;
      const now = nowMs();
      const bucket = buckets.get(workspace) ?? { tokens: burst, at: now };
      bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.at) * rate);
      bucket.at = now;
      buckets.set(workspace, bucket);
      if (bucket.tokens < 1) {
        const retryAfterMs = Math.ceil((1 - bucket.tokens) / rate);
        return Err({ error: "rate_limited", retryAfterMs });
      }
      bucket.tokens -= 1;
      return Ok(undefined);
    },
  };
}
