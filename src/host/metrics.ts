/** Metrics of a host, kept by prom-client. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type {
  CounterName,
  GaugeName,
  HistogramName,
  MetricLabels,
  MetricsSink,
} from "../core/types.ts";

const PREFIX = "turmericchute_";
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/** Metrics with the registry that exports them. */
export interface HostMetrics extends MetricsSink {
  readonly registry: Registry;
}

/** Creates empty metrics; a metric comes to be when it is first used. */
export function createMetrics(): HostMetrics {
  const registry = new Registry();
  const counters = new Map<CounterName, Counter>();
  const histograms = new Map<HistogramName, Histogram>();
  const gauges = new Map<GaugeName, Gauge>();

  function common(name: string, labels: MetricLabels) {
    return {
      name: `${PREFIX}${name}`,
      help: name.replaceAll("_", " "),
      labelNames: Object.keys(labels),
      registers: [registry],
    };
  }

  function add(name: CounterName, amount: number, labels: MetricLabels): void {
    const counter = counters.get(name) ?? new Counter(common(name, labels));
    counters.set(name, counter);
    counter.inc(labels, amount);
  }

  return {
    registry,
    count: (name, labels) => add(name, 1, labels),
    add,
    observe(name, value, labels) {
      const histogram = histograms.get(name) ??
        new Histogram({ ...common(name, labels), buckets: BUCKETS_MS });
      histograms.set(name, histogram);
      histogram.observe(labels, value);
    },
    set(name, value, labels) {
      const gauge = gauges.get(name) ?? new Gauge(common(name, labels));
      gauges.set(name, gauge);
      gauge.set(labels, value);
    },
  };
}
