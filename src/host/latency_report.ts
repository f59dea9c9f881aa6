/** Summarizes latency histograms for operators. */

import { type HostMetrics, readSamples } from "./metrics.ts";

/** Latency histogram of one workspace and class. */
export interface LatencyReport {
  readonly workspace: string;
  readonly class: string;
  readonly count: number;
  /**
   * Upper bounds of the buckets that contain the quantiles; undefined for the
   * last bucket.
   */
  readonly p50Ms: number | undefined;
  readonly p99Ms: number | undefined;
  readonly buckets: readonly LatencyBucket[];
}

/** Requests that took at most `leMs` and more than the previous bucket. */
export interface LatencyBucket {
  /** Upper bound in milliseconds; the last bucket has none. */
  readonly leMs: number | undefined;
  readonly count: number;
}

interface LatencySeries {
  readonly workspace: string;
  readonly class: string;
  readonly cumulative: LatencyBucket[];
}

/** Returns the latency of each workspace and class with requests. */
export async function reportLatencies(
  metrics: HostMetrics,
): Promise<LatencyReport[]> {
  const seriesByKey = new Map<string, LatencySeries>();
  for (const sample of await readSamples(metrics, "request_ms")) {
    const { workspace, class: requestClass, le } = sample.labels;
    if (le === undefined) {
      continue;
    }
    const key = `${workspace}/${requestClass}`;
    const series = seriesByKey.get(key) ?? {
      workspace: `${workspace}`,
      class: `${requestClass}`,
      cumulative: [],
    };
    const leMs = le === "+Inf" ? undefined : Number(le);
    series.cumulative.push({ leMs, count: sample.value });
    seriesByKey.set(key, series);
  }
  return [...seriesByKey].sort(([a], [b]) => a.localeCompare(b))
    .map(([, series]) => summarize(series));
}

function summarize(series: LatencySeries): LatencyReport {
  const cumulative = series.cumulative.toSorted((a, b) =>
    (a.leMs ?? Infinity) - (b.leMs ?? Infinity)
  );
  const total = cumulative.at(-1)?.count ?? 0;
  const quantile = (fraction: number) =>
    cumulative.find((bucket) => bucket.count >= total * fraction)?.leMs;
  return {
    workspace: series.workspace,
    class: series.class,
    count: total,
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    buckets: cumulative.map(({ leMs, count }, index) => ({
      leMs,
      count: count - (cumulative[index - 1]?.count ?? 0),
    })),
  };
}
