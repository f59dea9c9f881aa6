/** Pool hosts of a deployment with evacuations, for tests. */

import { vi } from "vitest";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import type { Session } from "../src/pooling/session.ts";
import {
  getOutcome,
  type PoolFleet,
  type PoolFleetOptions,
  run,
  startPoolFleet,
} from "./pool_fleet.ts";

/** The fleet that was started last. */
let fleet: PoolFleet;

/** Time for an evacuation to be in force, in milliseconds. */
export const IN_FORCE_MS = 5_000;

/** Starts hosts before `t1` in `d0` (the primary), `t2` in `d1`, `t3` in `d2`. */
export async function startEvacuable(
  options: PoolFleetOptions = {},
): Promise<PoolFleet> {
  fleet = await startPoolFleet({
    hosts: 3,
    domains: ["d0", "d1", "d2"],
    evacuationInForceMs: IN_FORCE_MS,
    ...options,
  });
  return fleet;
}

export const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

/** Statements and status requests that a target got since `time`. */
export function listAsked(target: string, time: number): string[] {
  return fleet.commands.filter((command) =>
    command.target === target && command.time >= time &&
    !["pause", "resume", "step_down"].includes(command.kind)
  ).map(({ kind }) => kind);
}

export function countLines(
  event: string,
  fields: Record<string, unknown> = {},
) {
  return fleet.logLines.filter((line) =>
    line.event === event &&
    Object.entries(fields).every(([key, value]) => line.fields[key] === value)
  ).length;
}

export function listPrimaries(): string[] {
  return fleet.group.targets.filter(({ role }) => role === "primary")
    .map(({ record }) => record.id);
}

/** Ids of acknowledged statements that a target lacks. */
export function listLost(target: string): string[] {
  const held = new Set(fleet.getTarget(target).log.flatMap(({ ids }) => ids));
  return [...fleet.group.acknowledged].filter((id) => !held.has(id));
}

/** Runs writes and reads on sessions of all hosts until `stop` is called. */
export function startClients(): { stop(): void; readonly outcomes: string[] } {
  const outcomes: string[] = [];
  let isStopped = false;
  let count = 0;
  const loop = async (session: Session, text: string) => {
    while (!isStopped) {
      const statement = text === "READ"
        ? { kind: "run", access: "read", text: "READ k" } as const
        : { kind: "run", access: "write", text: "WRITE k 1" } as const;
      const id = asId<never>(`c${count++}`);
      const answer = await session.execute(id, statement);
      outcomes.push(getOutcome(answer));
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };
  for (let host = 0; host < 3; host++) {
    void loop(fleet.openSession("orders", host), "WRITE");
    void loop(fleet.openSession("accounts", host), "READ");
  }
  return { stop: () => void (isStopped = true), outcomes };
}

/** Returns the store to a copy; some external objects are not written again. */
export function returnWithout(
  copy: ReturnType<PoolFleet["store"]["takeCopy"]>,
  isLost: (key: ObjectKey) => boolean,
): void {
  fleet.store.returnTo(copy, {
    isExternal: (key) =>
      !key.startsWith("turmericchute-fleet/") && !isLost(key),
  });
}

export const isEvacuation = (key: ObjectKey) => key.startsWith("evacuations/");

/** Whether a host sends reads or status requests to a target. */
export async function isUsed(target: string, host: number): Promise<boolean> {
  const before = fleet.commands.length;
  const session = fleet.openSession("accounts", host);
  for (let n = 0; n < 20; n++) {
    await run(session, "READ k");
  }
  await advance(3_500);
  return fleet.commands.slice(before).some((command) =>
    command.target === target && command.host === `h${host}`
  );
}
