/** A steady load of writes on a fleet of pool hosts, and what became of them. */

import { vi } from "vitest";
import { tryDecodeStatement } from "../platform/line_codec.ts";
import { asId } from "../src/core/ids.ts";
import type { StatementTarget } from "../standins/statement_group.ts";
import type { PoolFleet } from "./pool_fleet.ts";

/** Usual interval of the writes of each host, in milliseconds. */
const WRITE_INTERVAL_MS = 15;

/** Writes until it is stopped. */
export interface WriteLoad {
  /** Ids of the acknowledged writes. */
  readonly acknowledged: ReadonlySet<string>;
  stop(): void;
}

/** Number of writes of all loads, so that their ids differ. */
let count = 0;

/** Starts to write on these hosts, each write in a session of its own. */
export function startWriteLoad(
  fleet: PoolFleet,
  hosts: readonly number[],
  intervalMs = WRITE_INTERVAL_MS,
): WriteLoad {
  const acknowledged = new Set<string>();
  const timer = setInterval(() => {
    for (const host of hosts) {
      const id = `w${count++}`;
      void fleet.openSession("orders", host)
        .execute(asId(id), tryDecodeStatement("WRITE k 1")!)
        .then(({ kind }) => kind === "done" && acknowledged.add(id));
    }
  }, intervalMs);
  return { acknowledged, stop: () => clearInterval(timer) };
}

/** Returns the primary of the newest term; undefined if no target leads. */
export function tryPrimaryOf(fleet: PoolFleet): StatementTarget | undefined {
  return fleet.group.targets.filter(({ role }) => role === "primary")
    .toSorted((a, b) => b.term - a.term)[0];
}

/** Returns the acknowledged writes that the primary's log lacks. */
export function listLostWrites(
  fleet: PoolFleet,
  acknowledged: ReadonlySet<string>,
): readonly string[] {
  const primary = tryPrimaryOf(fleet);
  const kept = new Set(primary?.log.flatMap(({ ids }) => ids));
  return primary ? [...acknowledged].filter((id) => !kept.has(id)) : [];
}

/**
 * Returns the acknowledged writes that a primary lacked at one of the times at
 * which logs were compared, while time passes.
 */
export async function listLostWithin(
  fleet: PoolFleet,
  acknowledged: ReadonlySet<string>,
  time: { readonly ms: number; readonly intervalMs: number },
): Promise<string[]> {
  const lost = new Set<string>();
  for (let passedMs = 0; passedMs < time.ms; passedMs += time.intervalMs) {
    await vi.advanceTimersByTimeAsync(time.intervalMs);
    listLostWrites(fleet, acknowledged).forEach((id) => lost.add(id));
  }
  return [...lost];
}
