/**
 * Withholds acknowledgements of a primary that is replaced without having
 * stepped down. Clients are answered through hosts, so what no host hands out
 * was not acknowledged, however late the promotion takes effect.
 */

import { nowMs, waitUntil } from "../core/clock.ts";
import type { ServiceId } from "../core/ids.ts";
import type { FailoverLease } from "./failover_lease.ts";
import type { PoolLog } from "./types.ts";

/** What may be done with the acknowledgement of a commit. */
export type BarrierState =
  /** It may be handed out. */
  | "open"
  /** A failover that may discard the commit has not ended. */
  | "pending"
  /** A target was promoted that may lack the commit. */
  | "closed";

/** Promise to the holder of a failover lease. */
export interface BarrierPromise {
  /** Acknowledgements of lower terms are withheld. */
  readonly term: number;
  /** Token of the claim for which they are withheld. */
  readonly fencingToken: number;
}

/** Barriers of all services on this host. */
export interface CommitBarrier {
  /** Withholds acknowledgements until the failover of this claim has ended. */
  promise(service: ServiceId, promised: BarrierPromise): void;
  /** Applies the newest lease that this host has seen. */
  applyLease(service: ServiceId, lease: FailoverLease): void;
  /** State for commits of a primary that leads in a term. */
  getState(service: ServiceId, term: number): BarrierState;
  /**
   * Waits while the state is pending; whether the acknowledgement may be handed
   * out then.
   */
  waitUntilOpen(
    service: ServiceId,
    commit: { readonly term: number; readonly timeoutMs: number },
  ): Promise<boolean>;
  /** Time for which acknowledgements have been withheld, in milliseconds. */
  getPendingMs(service: ServiceId): number;
}

interface ServiceBarrier {
  promised: BarrierPromise | undefined;
  lease: FailoverLease | undefined;
  /** Time at which the barrier became pending last. */
  pendingSince: number;
}

/** Creates barriers that are open. */
export function createCommitBarrier(log: PoolLog): CommitBarrier {
  const barriers = new Map<ServiceId, ServiceBarrier>();

  function getBarrier(service: ServiceId): ServiceBarrier {
    const barrier = barriers.get(service) ??
      { promised: undefined, lease: undefined, pendingSince: nowMs() };
    barriers.set(service, barrier);
    return barrier;
  }

  /** Changes a barrier, and logs if that makes it pending or ends that. */
  function update(
    service: ServiceId,
    change: Partial<Pick<ServiceBarrier, "promised" | "lease">>,
  ): void {
    const barrier = getBarrier(service);
    const wasPending = isPending(barrier);
    Object.assign(barrier, change);
    if (wasPending === isPending(barrier)) {
      return;
    }
    barrier.pendingSince = wasPending ? barrier.pendingSince : nowMs();
    log.info(wasPending ? "commits_released" : "commits_withheld", {
      service,
      belowTerm: barrier.lease?.minTerm,
      promisedTerm: barrier.promised?.term,
      fencingToken: barrier.promised?.fencingToken,
      ...(wasPending ? { ms: Math.round(nowMs() - barrier.pendingSince) } : {}),
    });
  }

  function getState(service: ServiceId, term: number): BarrierState {
    const barrier = barriers.get(service);
    return barrier ? getBarrierState(barrier, term) : "open";
  }

  return {
    promise(service, promised) {
      const earlier = getBarrier(service).promised;
      if (!earlier || promised.fencingToken >= earlier.fencingToken) {
        update(service, { promised });
      }
    },
    applyLease: (service, lease) => update(service, { lease }),
    getState,
    async waitUntilOpen(service, { term, timeoutMs }) {
      if (getState(service, term) === "pending") {
        await waitUntil(
          () => getState(service, term) !== "pending",
          timeoutMs,
        );
      }
      return getState(service, term) === "open";
    },
    getPendingMs(service) {
      const barrier = barriers.get(service);
      return barrier && isPending(barrier) ? nowMs() - barrier.pendingSince : 0;
    },
  };
}

/** Whether acknowledgements of some term are withheld. */
function isPending(barrier: ServiceBarrier): boolean {
  const { promised, lease } = barrier;
  const terms = [promised?.term, lease?.minTerm].flatMap((term) =>
    term === undefined ? [] : [term - 1]
  );
  return terms.some((term) => getBarrierState(barrier, term) === "pending");
}

function getBarrierState(
  { promised, lease }: ServiceBarrier,
  term: number,
): BarrierState {
  if (lease?.minTerm !== undefined && term < lease.minTerm) {
    return lease.isDone && lease.openTarget === undefined
      ? "closed"
      : "pending";
  }
  return promised && term < promised.term && !hasEnded(promised, lease)
    ? "pending"
    : "open";
}

/**
 * Whether the claim of a promise is over. A later claim begins only after no
 * order of this one can follow, or names the target of that order.
 */
function hasEnded(
  { fencingToken }: BarrierPromise,
  lease: FailoverLease | undefined,
): boolean {
  return lease !== undefined &&
    (lease.fencingToken > fencingToken ||
      (lease.fencingToken === fencingToken && lease.isDone));
}
