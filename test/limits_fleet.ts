/** Simulates the rate limits of several hosts in one process, with faults. */

import { mersenne } from "pure-rand/generator/mersenne";
import { Err, Ok } from "ts-results-es";
import { nowMs, sleep, withTimeout } from "../src/core/clock.ts";
import { rankNodes } from "../src/core/hash.ts";
import { asId, type HostId, type WorkspaceId } from "../src/core/ids.ts";
import {
  createLimits,
  type Limits,
  type LimitsOptions,
  type LimitsReq,
} from "../src/core/limits.ts";
import type { HostIo } from "../src/core/types.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import type { ExecutedStatement } from "../tools/bound_checker.ts";

/** Workspace used by the tests. */
export const WORKSPACE = asId<WorkspaceId>("members");

type HostState = "running" | "frozen" | "dead";

interface LimitsHost {
  readonly id: HostId;
  state: HostState;
  limits: Limits;
  process: number;
  /** Resume the operations that wait until the host runs again. */
  readonly resumeCallbacks: (() => void)[];
  readonly lastHeardAt: Map<HostId, number>;
}

/** Creates the limits of a host; tests substitute faulty schemes. */
export type CreateLimits = (
  io: HostIo,
  options: LimitsOptions,
) => Pick<Limits, "start" | "stop" | "tryTake" | "setWaiting" | "receive">;

const UINT32_RANGE = 2 ** 32;
const PEER_LATENCY_MS = 2;
const PLATFORM_LATENCY_MS = 3;
const MAX_RUN_MS = 60;
const HEARTBEAT_MS = 250;
const ALIVE_TIMEOUT_MS = 1_000;

/** Starts a fleet of `hosts` hosts with the given plan. */
export function createLimitsFleet(options: {
  readonly hosts: number;
  readonly plan: { readonly ratePerSecond: number; readonly burst: number };
  readonly seed: number;
  readonly create?: CreateLimits;
}) {
  const generator = mersenne(options.seed);
  const random = () => (generator.next() >>> 0) / UINT32_RANGE;
  const platform = createPlatformCore();
  const partitions = new Set<string>();
  const executed: ExecutedStatement[] = [];
  const faults = { isPlatformDown: false, isPlatformLossy: false };
  const createHostLimits = options.create ?? createLimits;
  const cfg = {
    tryAllowance: () => ({ plan: "p" as never, services: [], ...options.plan }),
  };

  const isPartitioned = (a: string, b: string) =>
    partitions.has([a, b].sort().join("|"));
  async function waitUntilRunning(
    host: LimitsHost,
    process: number,
  ): Promise<boolean> {
    if (host.state === "frozen") {
      await new Promise<void>((resolve) => host.resumeCallbacks.push(resolve));
    }
    return host.state === "running" && host.process === process;
  }

  async function tryDeliver(
    from: LimitsHost,
    to: LimitsHost,
  ): Promise<boolean> {
    const [a, b] = [from.process, to.process];
    if (!await waitUntilRunning(from, a)) {
      return false;
    }
    await sleep(PEER_LATENCY_MS * (0.5 + random()));
    return await waitUntilRunning(to, b) && !isPartitioned(from.id, to.id);
  }

  async function callPlatform<T>(
    host: LimitsHost,
    run: () => T,
  ): Promise<T | undefined> {
    const { process } = host;
    const isDown = () =>
      faults.isPlatformDown || isPartitioned(host.id, "platform");
    await waitUntilRunning(host, process);
    await sleep(PLATFORM_LATENCY_MS);
    const res = isDown() ? undefined : run();
    await sleep(PLATFORM_LATENCY_MS);
    await waitUntilRunning(host, process);
    return isDown() || (faults.isPlatformLossy && random() < 0.5)
      ? undefined
      : res;
  }

  function createProcess(host: LimitsHost): Limits {
    const process = ++host.process;
    const unreachable = { kind: "unreachable" } as const;
    const io = {
      random,
      log() {},
      platform: {
        async list(prefix: string) {
          const res = await callPlatform(host, () => platform.list(prefix));
          return res ? Ok(res) : Err(unreachable);
        },
        async put(key: never, value: unknown, opts: { ifVersion: number }) {
          return await callPlatform(
            host,
            () => platform.put(key, value, opts),
          ) ?? Err(unreachable);
        },
      },
    } as unknown as HostIo;
    const listAlive = () =>
      hosts.filter((peer) =>
        peer === host ||
        nowMs() - (host.lastHeardAt.get(peer.id) ?? -1e9) < ALIVE_TIMEOUT_MS
      ).map((peer) => peer.id);
    return createHostLimits(io, {
      self: host.id,
      cfg,
      configuredHostCount: options.hosts,
      countAlive: () => listAlive().length,
      listOwners: (workspace) => rankNodes(workspace, listAlive()),
      listSeatHosts: () => rankNodes("seats", listAlive()),
      async call(to, req, { timeoutMs }) {
        const peer = hosts.find((h) => h.id === to)!;
        async function run() {
          if (!await tryDeliver(host, peer)) {
            return undefined;
          }
          const res = await peer.limits.receive(req as LimitsReq);
          return await tryDeliver(peer, host) && host.process === process
            ? structuredClone(res)
            : undefined;
        }
        return await withTimeout(run().then(neverIfUndefined), {
          ms: timeoutMs,
          fallback: undefined,
        });
      },
    }) as Limits;
  }

  const hosts: LimitsHost[] = Array.from(
    { length: options.hosts },
    (_, index) => ({
      id: asId<HostId>(`h${index + 1}`),
      state: "dead",
      process: 0,
      resumeCallbacks: [],
      lastHeardAt: new Map(),
    } as unknown as LimitsHost),
  );
  const heartbeats = setInterval(() => {
    for (const from of hosts.filter((h) => h.state === "running")) {
      hosts.filter((to) => !isPartitioned(from.id, to.id))
        .forEach((to) => to.lastHeardAt.set(from.id, nowMs()));
    }
  }, HEARTBEAT_MS);

  function start(host: LimitsHost): void {
    host.limits?.stop();
    host.limits = createProcess(host);
    host.state = "running";
    host.limits.start();
    host.resumeCallbacks.splice(0).forEach((wake) => wake());
  }

  const fleet = {
    hosts,
    platform,
    executedStatements: executed,
    faults,
    random,
    partition: (a: string, b: string) =>
      partitions.add([a, b].sort().join("|")),
    heal: () => partitions.clear(),
    kill(index: number) {
      const host = hosts[index]!;
      host.state = "dead";
      host.limits.stop();
    },
    restart: (index: number) => start(hosts[index]!),
    freeze(index: number) {
      if (hosts[index]!.state === "running") {
        hosts[index]!.state = "frozen";
      }
    },
    thaw(index: number) {
      const host = hosts[index]!;
      if (host.state === "frozen") {
        // The process resumes with work to send before messages reach it.
        host.state = "running";
        Array.from({ length: 50 }, () => fleet.trySendStatement(index));
        host.resumeCallbacks.splice(0).forEach((wake) => wake());
      }
    },
    /** Sends one statement if the host has a valid rate-limit token. */
    trySendStatement(index: number): boolean {
      const host = hosts[index]!;
      if (host.state !== "running") {
        return false;
      }
      const token = host.limits.tryTake(WORKSPACE);
      if (!token?.isValid()) {
        token?.settle();
        return false;
      }
      void sleep(random() * MAX_RUN_MS).then(async () => {
        executed.push({ workspace: WORKSPACE, ranAt: nowMs() });
        await sleep(random() * MAX_RUN_MS);
        token.settle();
      });
      return true;
    },
    stop() {
      clearInterval(heartbeats);
      hosts.forEach((host) => host.limits.stop());
    },
  };
  hosts.forEach(start);
  return fleet;
}

/** Never resolves for undefined: only its timeout reveals a lost call. */
function neverIfUndefined<T>(value: T): Promise<T> {
  return value === undefined ? new Promise(() => {}) : Promise.resolve(value);
}
