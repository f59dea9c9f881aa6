/**
 * Learned capacity of a target: how many statements of this host it handles at
 * once without slowing down. The limit falls when service times exceed the
 * target's own unloaded baseline, and only if fewer statements make them
 * shorter; a target that is slow for another reason gets a new baseline.
 */

import { createAimdLimit } from "../core/concurrency.ts";
import { nowMs } from "../core/clock.ts";

/**
 * Samples and time after which the service times are judged. A target that is 5
 * times slower has to be followed within 2 s, also with 2 slots and statements
 * of 165 ms then; the median of 5 samples ignores two slow statements.
 */
const MIN_WINDOW_SAMPLES = 5;
const MIN_WINDOW_MS = 150;
/** Ratio of service time to baseline above which the limit is reduced. */
const SLOW_RATIO = 1.5;
/** Ratio below which the baseline is too high: the target has become faster. */
const FAST_RATIO = 0.7;
/** Lower bound of the factor of one reduction. */
const MIN_DECREASE_FACTOR = 0.5;
/**
 * Slots by which the limit grows in a window in which statements waited: from 1
 * to the 6 slots of a target in 3 s, of the 5 s in which a recovery is followed.
 */
const INCREASE_STEP = 0.25;
/**
 * If at half of the limit the ratio is still this part of what it was, then the
 * number of statements is not the reason.
 */
const UNCHANGED_FRACTION = 0.7;
/**
 * Fraction by which an unloaded sample moves the baseline up or down. The
 * baseline is a median, as is the service time that is compared with it: the
 * mean of short and long statements of one kind is far from both.
 */
const BASELINE_STEP = 0.05;
/**
 * Time that is added to service times and baselines, so that the delays of a
 * millisecond that a busy host causes do not count as slow.
 */
const EXTRA_MS = 2;
/**
 * Interval and duration of probes, in milliseconds: while statements wait all
 * the time, half of the limit is left unused so that the baseline can be
 * measured. They take 3% of the slots.
 */
const PROBE_INTERVAL_MS = 3_000;
const PROBE_MS = 200;

/** Kind of a statement; its service times are compared with each other. */
export type StatementKind = string;

/** Service time of a statement. */
export interface ServiceSample {
  readonly kind: StatementKind;
  readonly ms: number;
  /** Statements of this host at the target when it ended, with itself. */
  readonly inUse: number;
  /** Whether other statements waited for a slot then. */
  readonly isQueued: boolean;
}

/** Adaptive limit of the statements at one target. */
export interface CapacityLimit {
  /** At least 1 and at most the stated maximum; lower during a probe. */
  getLimit(): number;
  /** The limit outside of probes, for estimates of waits. */
  getUsualLimit(): number;
  record(sample: ServiceSample): void;
}

/** Why the limit or the baseline changed. */
export type CapacityChange =
  | "slow"
  | "not_caused_by_load"
  | "faster"
  | "baseline_probed";

/** Reduction of the limit whose effect is being judged. */
interface Reduction {
  readonly limit: number;
  readonly ratio: number;
}

/** Creates a limit that begins at its maximum. */
export function createCapacityLimit(options: {
  /** Maximum: this host's part of the slots that the target states. */
  getMax(): number;
  /** Whether the baseline is probed while statements wait; true by default. */
  readonly isProbing?: boolean;
  onChange?(
    change: {
      readonly reason: CapacityChange;
      readonly ratio: number;
      readonly limit: number;
    },
  ): void;
}): CapacityLimit {
  const { getMax, isProbing = true, onChange } = options;
  const limit = createAimdLimit({ initial: Infinity, getMax });
  const baselines = new Map<StatementKind, number>();
  let samples: { readonly kind: StatementKind; readonly ratio: number }[] = [];
  let isWindowQueued = false;
  let windowStartedAt = nowMs();
  let changedAt = -Infinity;
  let reduction: Reduction | undefined;
  let unloadedAt = nowMs();
  let queuedAt = -Infinity;
  let probeStartedAt = -Infinity;

  function startWindow(): void {
    samples = [];
    isWindowQueued = false;
    windowStartedAt = nowMs();
  }

  /** Ignores statements that began before now. */
  function markChanged(): void {
    changedAt = nowMs();
    startWindow();
  }

  /**
   * Moves each baseline to the service times of the window: those of its own
   * kind, or of all kinds where the window has none.
   */
  function moveBaselines(ratio: number): void {
    baselines.forEach((ms, kind) => {
      const own = samples.filter((sample) => sample.kind === kind);
      const factor = own.length > 0 ? getMedian(own) : ratio;
      baselines.set(kind, Math.max(0, (ms + EXTRA_MS) * factor - EXTRA_MS));
    });
  }

  function notify(reason: CapacityChange, ratio: number): void {
    onChange?.({ reason, ratio, limit: Math.floor(limit.value) });
  }

  function isInProbe(): boolean {
    return nowMs() - probeStartedAt < PROBE_MS;
  }

  /**
   * Begins a probe at the start of an interval of the time of day: all holders
   * of a target probe together, as each has only a part of its statements.
   */
  function updateProbe(): void {
    const now = nowMs();
    const intoIntervalMs = Date.now() % PROBE_INTERVAL_MS;
    const isDue = isProbing && limit.value >= 2 && intoIntervalMs < PROBE_MS &&
      now - probeStartedAt > PROBE_INTERVAL_MS / 2 &&
      now - unloadedAt > PROBE_INTERVAL_MS / 2 &&
      now - queuedAt < PROBE_INTERVAL_MS / 2;
    if (isDue) {
      probeStartedAt = now;
      markChanged();
    }
  }

  /** Adjusts the limit to the service times of a window. */
  function judge(ratio: number): void {
    if (ratio < FAST_RATIO) {
      moveBaselines(ratio);
      reduction = undefined;
      notify("faster", ratio);
      markChanged();
      return;
    }
    if (ratio <= SLOW_RATIO) {
      reduction = undefined;
      if (isWindowQueued && !isInProbe()) {
        limit.increase(INCREASE_STEP);
      }
      startWindow();
      return;
    }
    const from = reduction ?? { limit: limit.value, ratio };
    const isHalved = limit.value <= Math.max(1, from.limit / 2);
    if (isHalved && ratio >= from.ratio * UNCHANGED_FRACTION) {
      moveBaselines(ratio);
      reduction = undefined;
      limit.increase(from.limit - limit.value);
      notify("not_caused_by_load", ratio);
    } else {
      reduction = from;
      limit.decrease(Math.max(MIN_DECREASE_FACTOR, SLOW_RATIO / ratio));
      notify("slow", ratio);
    }
    markChanged();
  }

  /** Adjusts the baseline to the service times of a probe. */
  function judgeProbe(ratio: number): void {
    unloadedAt = nowMs();
    if (ratio < 1) {
      moveBaselines(ratio);
      notify("baseline_probed", ratio);
    }
    startWindow();
  }

  return {
    getLimit() {
      updateProbe();
      const value = Math.floor(limit.value);
      return isInProbe() ? Math.max(1, Math.floor(value / 2)) : value;
    },
    getUsualLimit: () => Math.floor(limit.value),
    record({ kind, ms, inUse, isQueued }) {
      const now = nowMs();
      const baseline = baselines.get(kind) ?? ms;
      const isUnloaded = !isQueued &&
        inUse <= Math.max(1, Math.floor(limit.value / 2));
      queuedAt = isQueued ? now : queuedAt;
      isWindowQueued ||= isQueued;
      const step = isUnloaded ? Math.sign(ms - baseline) * BASELINE_STEP : 0;
      baselines.set(kind, baseline + step * Math.max(baseline, EXTRA_MS));
      if (now - ms < changedAt) {
        return;
      }
      samples.push({ kind, ratio: (ms + EXTRA_MS) / (baseline + EXTRA_MS) });
      const isDone = samples.length >= MIN_WINDOW_SAMPLES &&
        now - windowStartedAt >= MIN_WINDOW_MS;
      const isProbeSample = now - ms >= probeStartedAt &&
        now - ms < probeStartedAt + PROBE_MS;
      if (isUnloaded) {
        unloadedAt = now;
      }
      if (!isDone) {
        return;
      }
      const median = getMedian(samples);
      if (isProbeSample) {
        judgeProbe(median);
      } else {
        judge(median);
      }
    },
  };
}

function getMedian(samples: readonly { readonly ratio: number }[]): number {
  const sorted = samples.map(({ ratio }) => ratio).sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
