/**
 * Records in the store how far a service's log must reach in every successor,
 * for commits of which no recorded copy has given a receipt. The floor is part
 * of the failover lease: a claim that is accepted has seen every floor before
 * it, and none is written while a claim is held.
 */

import { nowMs } from "../core/clock.ts";
import type { HostId, ServiceId } from "../core/ids.ts";
import { hasEntry, maxPosition, ORIGIN } from "../core/position.ts";
import { getEra } from "../core/store_era.ts";
import {
  type FailoverLease,
  tryDecodeFailoverLease,
} from "./failover_lease.ts";
import { type Fleet, getFailoverLeaseKey } from "./fleet.ts";
import type { PoolIo, Position } from "./types.ts";

/** Minimum interval between two writes of a floor, in milliseconds. */
const WRITE_INTERVAL_MS = 100;

/** Floors of all services, as this host knows them. */
export interface StoredFloors {
  /** Whether every successor has to have the commit. */
  covers(service: ServiceId, position: Position): boolean;
  /** Begins to raise the floor to the position, unless it must wait. */
  raise(service: ServiceId, position: Position): void;
}

interface FloorState {
  /** Highest position for which the floor was to be raised. */
  wanted: Position;
  isWriting: boolean;
  nextWriteAt: number;
}

/** Creates the floors, which are read from the leases. */
export function createStoredFloors(
  io: Pick<PoolIo, "store" | "log">,
  options: {
    readonly self: HostId;
    readonly fleet: Pick<Fleet, "applyObject" | "isLoaded" | "tryGet">;
  },
): StoredFloors {
  const { self, fleet } = options;
  const states = new Map<ServiceId, FloorState>();

  function tryLease(service: ServiceId): FailoverLease | undefined {
    return tryDecodeFailoverLease(
      fleet.tryGet(getFailoverLeaseKey(service))?.value,
    );
  }

  function covers(service: ServiceId, position: Position): boolean {
    return hasEntry(tryLease(service)?.floor, position);
  }

  async function write(service: ServiceId, wanted: Position): Promise<void> {
    const key = getFailoverLeaseKey(service);
    const lease: FailoverLease = tryLease(service) ?? {
      holder: self,
      fencingToken: 0,
      era: getEra(io.store),
      isDone: true,
    };
    const floor = maxPosition(lease.floor ?? ORIGIN, wanted);
    const res = await io.store.put(key, { ...lease, floor }, {
      ifVersion: fleet.tryGet(key)?.version ?? 0,
    });
    io.log.info("floor_recorded", {
      service,
      term: floor.term,
      position: floor.pos,
      isAccepted: res.isOk(),
    });
    if (res.isOk()) {
      fleet.applyObject(res.value);
    } else if (res.error.kind === "conflict") {
      fleet.applyObject(res.error.current);
    }
  }

  return {
    covers,
    raise(service, position) {
      const state = states.get(service) ??
        { wanted: ORIGIN, isWriting: false, nextWriteAt: -Infinity };
      states.set(service, state);
      state.wanted = maxPosition(state.wanted, position);
      const isHeld = tryLease(service)?.isDone === false;
      if (
        isHeld || state.isWriting || nowMs() < state.nextWriteAt ||
        !fleet.isLoaded() || covers(service, state.wanted)
      ) {
        return;
      }
      state.isWriting = true;
      state.nextWriteAt = nowMs() + WRITE_INTERVAL_MS;
      void write(service, state.wanted).finally(() => state.isWriting = false);
    },
  };
}
