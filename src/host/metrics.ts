/** Records metrics in prom-client, for export to the metrics collector. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type {
  CounterName,
  GaugeName,
  HistogramName,
  MetricLabels,
  MetricsSink,
} from "../core/types.ts";
import { createLabelLimiter } from "./metric_labels.ts";
import { createUsage, type Usage } from "./usage.ts";

const METRIC_PREFIX = "turmericchute_";
/** Upper bounds of the buckets of each histogram. */
export const BUCKETS_MS = [
  1,
  2,
  5,
  10,
  20,
  50,
  100,
  200,
  500,
  1_000,
  2_000,
  5_000,
];

/** Help texts that are exported with the metrics. */
const HELP_TEXTS: Partial<
  Readonly<Record<CounterName | HistogramName | GaugeName, string>>
> = {
  requests_total: "Requests of callers that were answered",
  refusals_total: "Requests that were not answered with a result, by error",
  target_sends_total: "Statements sent to targets",
  target_errors_total: "Statements that a target did not answer, by kind",
  platform_calls_total: "Calls to the object API of the platform",
  control_messages_total: "Control frames, by channel and direction",
  control_bytes_total: "Bytes of control frames, by channel and direction",
  answers_undelivered_total:
    "Answers that their client did not get, by outcome of the statement",
  promotions_total: "Promotions that this host carried out",
  state_changes_total: "Changes of state, by component and event",
  forwarded_commands_total: "Commands sent to other hosts, by kind",
  host_stream_errors_total: "Streams of other hosts ended as malformed",
  store_era_changes_total: "Returns of the store to an earlier copy",
  store_relayed_calls_total: "Calls to the store for other hosts, by result",
  store_reader_served_total: "Watches answered for other hosts, by outcome",
  store_reader_failures_total: "Store readers given up, by reason",
  store_calls_total: "Calls to the store by kind, cause and freshness",
  store_era_losses_total:
    "What was given up when the store returned to an earlier copy, by kind",
  quota_refusals_total: "Statements refused by their quota, by cause",
  quota_requests_repeated_total: "Requests for tokens without an answer",
  quota_requests_refused_total: "Requests for tokens that this owner refused",
  quota_tokens_granted_total: "Quota tokens that this owner granted",
  quota_tokens_lost_total: "Granted tokens that were not used in time",
  quota_owner_changes_total:
    "Partitions of the quotas that this host has claimed, by reason",
  quota_partitions_owned: "Partitions of the quotas that this host owns",
  slot_refusals_total: "Statements that got no slot in time, by reason",
  evacuation_changes_total: "Evacuations of domains that began and ended",
  ineligible_refusals_total:
    "Work refused at once because no target may run it, by reason",
  request_ms: "Time from a request to its answer in milliseconds",
  queue_ms: "Time in the queue of a database group in milliseconds",
  slot_wait_ms:
    "Time until a statement had a connection and a slot, by priority",
  confirm_ms: "Time until a majority held a write in milliseconds",
  failover_phase_ms: "Time of each phase of a failover in milliseconds",
  sessions: "Open sessions of callers",
  evacuated_domains: "Failure domains that are evacuated, as known here",
  store_age_ms: "Time since the last list or watch in milliseconds, by prefix",
  evacuations_age_ms:
    "Time since the store last confirmed the evacuations in milliseconds",
  cold_targets: "Targets with a limit after a start or an evacuation",
  ready: "1 if the host serves clients, else 0",
  target_connections: "Data connections to targets",
  in_flight_requests: "Requests of callers that are not answered yet",
  slots_in_use: "Statements of this host that run at a target",
  slot_limit: "Statements that this host may run at once at a target",
  group_term: "Highest term seen in a database group",
  peers_alive: "Hosts that this host counts as alive",
};

/** Metrics of a host with the registry that exports them. */
export interface HostMetrics extends MetricsSink {
  readonly registry: Registry;
  /** Recent requests and refusals of each workspace. */
  readonly usage: Usage;
}

interface Metric<T> {
  readonly labelNames: readonly string[];
  readonly metric: T;
}

/** Creates empty metrics; each metric is registered on first use. */
export function createMetrics(): HostMetrics {
  const registry = new Registry();
  const usage = createUsage();
  const limitLabels = createLabelLimiter();
  const counters = new Map<CounterName, Metric<Counter>>();
  const histograms = new Map<HistogramName, Metric<Histogram>>();
  const gauges = new Map<GaugeName, Metric<Gauge>>();

  function getMetric<N extends CounterName | HistogramName | GaugeName, T>(
    metrics: Map<N, Metric<T>>,
    name: N,
    options: {
      readonly labels: MetricLabels;
      readonly create: (cfg: ReturnType<typeof getMetricConfig>) => T;
    },
  ): Metric<T> {
    const existing = metrics.get(name);
    if (existing) {
      return existing;
    }
    const labelNames = Object.keys(options.labels);
    const metric = options.create(getMetricConfig(name, labelNames));
    metrics.set(name, { labelNames, metric });
    return { labelNames, metric };
  }

  function getMetricConfig(
    name: CounterName | HistogramName | GaugeName,
    labelNames: string[],
  ) {
    return {
      name: `${METRIC_PREFIX}${name}`,
      help: HELP_TEXTS[name] ?? name.replaceAll("_", " "),
      labelNames,
      registers: [registry],
    };
  }

  function add(
    name: CounterName,
    amount: number,
    rawLabels: MetricLabels,
  ): void {
    usage.record(name, rawLabels);
    const labels = limitLabels(rawLabels);
    const { metric, labelNames } = getMetric(counters, name, {
      labels,
      create: (cfg) => new Counter(cfg),
    });
    metric.inc(selectLabels(labels, labelNames), amount);
  }

  return {
    registry,
    usage,
    count: (name, labels) => add(name, 1, labels),
    add,
    observe(name, value, rawLabels) {
      const labels = limitLabels(rawLabels);
      const { metric, labelNames } = getMetric(histograms, name, {
        labels,
        create: (cfg) => new Histogram({ ...cfg, buckets: BUCKETS_MS }),
      });
      metric.observe(selectLabels(labels, labelNames), value);
    },
    set(name, value, rawLabels) {
      const labels = limitLabels(rawLabels);
      const { metric, labelNames } = getMetric(gauges, name, {
        labels,
        create: (cfg) => new Gauge(cfg),
      });
      metric.set(selectLabels(labels, labelNames), value);
    },
  };
}

/**
 * Restricts labels to those that the metric was created with, as prom-client
 * rejects others. Missing labels are empty.
 */
function selectLabels(
  labels: MetricLabels,
  names: readonly string[],
): MetricLabels {
  return Object.fromEntries(names.map((name) => [name, labels[name] ?? ""]));
}

/** Value of a metric for one set of labels. */
export interface Sample {
  readonly labels: Readonly<Record<string, string | number | undefined>>;
  readonly value: number;
}

/** Reads the values of a metric; empty before its first use. */
export async function readSamples(
  metrics: HostMetrics,
  name: CounterName | HistogramName,
): Promise<readonly Sample[]> {
  const metric = metrics.registry.getSingleMetric(`${METRIC_PREFIX}${name}`);
  return (await metric?.get())?.values as readonly Sample[] ?? [];
}
